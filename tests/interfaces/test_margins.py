"""The command that compares logs with the fleet's promises."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from gentiantrestle import events, job_events
from gentiantrestle.cli.core import run
from gentiantrestle.event_kinds import Event
from gentiantrestle.exit_status import ExitStatus
from gentiantrestle.margins.records import LogReader, Record, split_runs
from gentiantrestle.margins.registry import Bounds, Margin, measure

LOST = 'answers of sound upstreams are passed on'
STOPS = 'planned stops cut no request'
GRACE = 'planned stops end within their grace time'
RELOADS = 'reloads cut no more requests than other times do'
CONFIGS = 'configurations cut no more requests than other times do'
FOUND = 'accepted jobs and their bodies are found'
OWNERS = 'owners know their jobs'
REPEATS = 'a job that was accepted is accepted again'
PROGRESS = 'open jobs make progress'
REFUSED_READS = 'reads of jobs that were refused'
UNREAD = 'longest time in which a job could not be read'
TAKE_UPS = 'streams taken up go on as new ones begin'
PROMISES = (
    LOST,
    STOPS,
    GRACE,
    RELOADS,
    CONFIGS,
    FOUND,
    OWNERS,
    REPEATS,
    PROGRESS,
    REFUSED_READS,
    UNREAD,
    TAKE_UPS,
)


def rec(
    at: float, event: Event, instance: str = 'a', /, **fields: Any
) -> Record:
    return Record(at, instance, event.code, fields)


def request(
    at: float, name: str, outcome: str, upstream: str = 'u'
) -> Iterator[Record]:
    """Return the events of a request that is placed and takes 0.1 s."""
    yield rec(at, events.REQUEST_PLACED, request=name, upstream=upstream)
    if outcome == 'done':
        yield rec(
            at + 0.1,
            events.ATTEMPT_ENDED,
            upstream=upstream,
            request=name,
            outcome=outcome,
        )
    yield rec(
        at + 0.1,
        events.REQUEST_ENDED,
        request=name,
        route='r',
        outcome=outcome,
        took_ms=100,
    )


def figures(*records: Record) -> dict[str, Margin]:
    return {margin.promise: margin for margin in measure(records, Bounds())}


def accepted(at: float = 0) -> Record:
    return rec(at, events.JOB_ACCEPTED, job='j', items=1)


def test_lines_with_and_without_a_collectors_prefix_are_read() -> None:
    reader = LogReader()
    line = '{"time":9.5,"code":1001,"instance":"b"}\n'
    lines = [
        f'  -1.25 a {line}',
        f'2026-12-08T00:00:01+00:00 a {line}',
        line,
        '{"time":9.75,"code":1002}\n',
        'built in 6.6 s\n',
        '{"time":"x","code":1}\n',
        '{"time":1',
    ]
    found = [
        (one.at, one.instance, one.code) for one in reader.read(lines, 'log')
    ]
    assert found == [
        (-1.25, 'a', 1001),
        (1796688001.0, 'a', 1001),
        (9.5, 'b', 1001),
        (9.75, 'b', 1002),
    ]
    assert reader.unread == 3


def test_lost_answer_counts_only_at_an_upstream_that_answers_others() -> None:
    records = [
        *request(0, '1', 'done'),
        *request(0.2, '2', 'lost'),
        *request(0.2, '3', 'lost', 'silent'),
        *request(0.2, '4', 'left'),
        *request(0.4, '5', 'done'),
    ]
    margin = figures(*records)[LOST]
    assert margin.figure == 1
    assert margin.details['causes'] == {'lost': 2, 'left': 1}


def test_requests_open_at_a_restart_are_told_from_those_of_a_stop() -> None:
    start = events.STARTED
    records = [
        rec(0, start),
        rec(1.0, events.REQUEST_PLACED, request='1', upstream='u'),
        rec(2.0, start),
        rec(3.0, events.REQUEST_PLACED, request='2', upstream='u'),
        rec(4.0, events.STOPPING),
        rec(5.0, start),
    ]
    assert [one.is_over for one in split_runs(records)] == [True, True, False]
    found = figures(*records)
    assert found[LOST].details['causes'] == {'run ended': 1, 'stopped': 1}
    assert found[STOPS].figure == 1
    assert found[STOPS].details['unreported'] == 1
    assert not found[STOPS].is_kept


def test_stop_that_outlasts_its_grace_time_is_not_kept() -> None:
    records = [
        rec(0, events.STOPPING),
        rec(30.5, events.STOPPED, cut=2),
    ]
    found = figures(*records)
    assert found[GRACE].figure == 30.5
    assert not found[GRACE].is_kept
    assert found[STOPS].figure == 2


@pytest.mark.parametrize(
    ('kind', 'promise'),
    [
        (events.RELOAD_REQUESTED, RELOADS),
        (events.CONFIG_APPLIED, CONFIGS),
    ],
)
def test_losses_beside_a_change_are_compared_with_other_times(
    kind: Event, promise: str
) -> None:
    records = [
        *(one for at in range(100) for one in request(at, str(at), 'done')),
        *request(90.0, 'x', 'lost'),
        *request(200.0, 'y', 'lost'),
        rec(-9.0, kind),
        rec(89.0, kind),
    ]
    margin = figures(*records)[promise]
    assert margin.details == {'lost': [1, 1], 'placed': [5, 97]}
    assert margin.figure == 19.4


def test_unknown_job_counts_once_instances_must_know_it() -> None:
    records = [
        rec(-1.0, events.JOB_UNFOUND, job='j', stored='none'),
        accepted(),
        rec(0.5, events.JOB_UNFOUND, job='j', stored='none'),
        rec(3.0, events.JOB_UNFOUND, job='j', stored='none'),
        rec(3.0, events.JOB_UNFOUND, job='j', stored='not for this caller'),
        rec(4.0, events.BODY_UNFOUND, job='j', item='i'),
    ]
    margin = figures(*records)[FOUND]
    assert margin.figure == 2
    assert margin.details['oldest_s'] == 4.0


def test_owner_that_learns_of_its_job_late_is_named() -> None:
    learned = rec(3.5, events.JOB_LEARNED, 'b', job='j', found=True)
    margin = figures(accepted(), learned)[OWNERS]
    assert margin.figure == 3.5
    assert margin.nearest == 'j at b'


def test_owner_that_has_just_started_is_not_late() -> None:
    records = [
        accepted(),
        rec(9.0, events.STARTED, 'b'),
        rec(9.5, events.JOB_LEARNED, 'b', job='j', found=True),
    ]
    assert figures(*records)[OWNERS].figure == 0.5


def test_refusals_of_an_accepted_job_are_counted_by_job() -> None:
    refused = [
        rec(at, events.JOB_REFUSED, job='j', kind='overloaded')
        for at in (-1.0, 1.0, 2.0, 3.0)
    ]
    margin = figures(accepted(), *refused)[REPEATS]
    assert margin.figure == 3
    assert not margin.is_kept


def test_open_job_without_progress_is_named() -> None:
    records = [
        accepted(),
        rec(2.0, events.ITEM_PLACED, job='j'),
        rec(9.0, events.CONFIG_APPLIED),
    ]
    found = figures(*records)
    assert found[PROGRESS].figure == 7.0
    assert found[PROGRESS].nearest == 'j'
    assert found[PROGRESS].details['idle_since'] == {'j': '6104 2.0 a'}
    done = rec(8.0, events.JOB_FINISHED, job='j', state='done')
    assert figures(*records, done)[PROGRESS].figure == 0


def refused_read(
    at: float, instance: str, job: str = 'j', operation: str = 'results'
) -> Record:
    return rec(
        at,
        job_events.JOB_CALL_UNANSWERED,
        instance,
        job=job,
        operation=operation,
        step='chunks',
    )


def test_refused_reads_are_counted_by_job_and_timed_until_an_answer() -> None:
    found = figures(
        refused_read(1.0, 'a'),
        refused_read(2.5, 'b'),
        rec(4.0, job_events.JOB_READ_AGAIN, 'b', job='j'),
        refused_read(6.0, 'a'),
        refused_read(1.0, 'a', 'k'),
        refused_read(1.0, 'a', 'l', 'cancel'),
    )
    assert found[REFUSED_READS].figure == 4
    assert found[REFUSED_READS].nearest == 'j'
    assert found[REFUSED_READS].details['by_job'] == {'j': 3, 'k': 1}
    assert found[REFUSED_READS].details['steps'] == {'chunks': 5}
    assert (found[UNREAD].figure, found[UNREAD].nearest) == (3.0, 'j')


def test_refusals_far_apart_are_not_taken_for_one_stretch() -> None:
    found = figures(
        refused_read(1.0, 'a'),
        refused_read(2.0, 'b'),
        refused_read(60.0, 'a'),
    )
    assert found[UNREAD].figure == 1.0


def test_take_ups_are_compared_with_new_streams_of_their_window() -> None:
    records = []
    for number in range(12):
        name = f't{number}'
        outcome = 'done' if number < 3 else 'overloaded'
        ended = list(request(4.2, name, outcome))
        records += [
            rec(
                4.1,
                events.STREAM_TAKEN_UP,
                request=name,
                service='s',
                attempt=name,
                version='v1' if number < 6 else '',
                known=number < 6,
            ),
            *(ended if number < 3 else ended[-1:]),
            rec(0, events.REQUEST_PLACED, request=name, version='v1'),
            *request(5.0, f'n{number}', 'done' if number < 8 else 'overloaded'),
        ]
    margin = figures(*records)[TAKE_UPS]
    assert margin.nearest == '4.0 r v1'
    assert margin.figure == 0.375
    assert margin.details['unknown'] == 6
    assert not margin.is_kept
    assert figures(*records[:50])[TAKE_UPS].figure is None


@pytest.mark.parametrize('flag', ['--json', '--nojson'])
def test_command_prints_each_promise(
    flag: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    line = '{"time":9.5,"code":1001,"instance":"b"}\n'
    (tmp_path / 'b.log').write_text(f'no event\n{line}')
    argv = ['gentiantrestle', flag, 'margins', str(tmp_path)]
    assert run(argv, {}) is ExitStatus.SUCCESS
    printed = capsys.readouterr().out.replace(' ', '')
    assert '"lines_without_event":1,' in printed
    assert all(promise.replace(' ', '') in printed for promise in PROMISES)


def test_log_without_events_is_an_input_error(tmp_path: Path) -> None:
    (tmp_path / 'b.log').write_text('no event\n')
    argv = ['gentiantrestle', 'margins', str(tmp_path / 'b.log')]
    assert run(argv, {}) is ExitStatus.BAD_SETTINGS
