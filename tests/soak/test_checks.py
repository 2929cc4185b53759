"""Each check of the soak reports the breach that it looks for."""

from collections.abc import Callable
from typing import Any

import pytest

from tests.gateway.wire_samples import expected_output, expected_stream
from tests.soak.history import APPLY_TIME, CANCEL_TIME, History
from tests.soak.records import (
    CallerRequest,
    Cancellation,
    Drain,
    Page,
    Probe,
    Serving,
    Silence,
)
from tests.soak.troubles import breaches
from tests.soak.upstream_checks import (
    DRAIN_TIME,
    FOLLOW_TIME,
    MIN_LOAD,
    MIN_TAKE_UPS,
    MIN_TRIES,
)

Mutation = Callable[[History], None]


def _request(name: str, kind: str, **changes: Any) -> CallerRequest:
    body = expected_stream(name, 2) if kind in {'chat', 'once'} else b'plain'
    count = 2 if kind in {'chat', 'once'} else 0
    req = CallerRequest(name, kind, 0, 10, 11, 200, True, body, count)
    return req._replace(**changes)


def _run(name: str, at: float = 10, upstream: str = 'u-0') -> dict[str, Any]:
    return {
        'id': name,
        'at': at,
        'upstream': upstream,
        'failed': False,
        'pid': 7,
    }


def _valid_history() -> History:
    """Return a history without a breach."""
    history = History()
    history.calm_from = 5
    history.requests = [
        _request('o1', 'once'),
        _request('c1', 'chat'),
        _request('p1', 'pay'),
        _request('j1', 'job', status=202),
        _request('j2', 'job', status=202),
    ]
    history.runs = [_run(name) for name in ('o1', 'c1', 'p1', 'i1', 'i2')]
    history.items = {'j1': ('i1',), 'j2': ('i2',)}
    history.event_counts = {'i1': 3, 'i2': 3}
    history.pages = [
        Page('j1', 0, 1, (('i1', 'completed', expected_output('i1', 3)),), 20)
    ]
    history.cancellations = [Cancellation('j2', 10)]
    history.cancel_requests = {'j2'}
    history.drains = [Drain('u-0', 20)]
    history.acked_at = {2: 20}
    history.probes = [Probe(0, 1, 2, 22, 23, True)]
    history.entries = 1
    history.serving = [
        Serving(name, version, 0)
        for name, version in (('u-0', 'v1'), ('u-1', 'v1'), ('u-2', 'v2'))
    ]
    return history


def _page(item: str, state: str, output: str) -> Page:
    return Page('j1', 0, 1, ((item, state, output),), 21)


def _stream(name: str, version: str, **changes: Any) -> CallerRequest:
    """Return a stream of two events by a software version."""
    body = expected_stream(name, 2).replace(b'\n\n', f'@{version}\n\n'.encode())
    return _request(name, 'chat', body=body, **changes)


def _take_up(name: str, first: str, version: str) -> CallerRequest:
    """Return the rest of a stream of which one event is known."""
    whole = _stream(name, version)
    rest = whole.body[whole.body.index(b'id: 2') :]
    return whole._replace(body=rest, first=first, after=1)


def _join_streams(history: History) -> None:
    """Let three streams go on at another version."""
    for number in range(3):
        begun = _stream(f'a{number}', 'v1')
        first_event = begun.body[: begun.body.index(b'id: 2')]
        history.requests += [
            begun._replace(body=first_event, complete=False, left=True),
            _take_up(f'b{number}', f'a{number}', 'v2'),
        ]
        history.runs += [_run(f'a{number}'), _run(f'b{number}')]


def _join_texts(history: History) -> None:
    """Let three items hold events of two versions."""
    names = ('i3', 'i4', 'i5')
    history.items['j3'] = names
    rows = []
    for name in names:
        history.event_counts[name] = 2
        rows.append((name, 'completed', f'{name}-1@v1\n{name}-2@v2'))
        history.runs.append(_run(name))
    history.pages.append(Page('j3', 0, 3, tuple(rows), 20))


def _refuse_take_ups(history: History, **changes: Any) -> None:
    """Refuse what is taken up while two upstreams of its version serve."""
    history.requests.append(_stream('a', 'v1'))
    history.runs.append(_run('a'))
    for number in range(MIN_TAKE_UPS):
        refused = _take_up(f'b{number}', 'a', 'v1')
        history.requests.append(
            refused._replace(status=503, body=b'', **changes)
        )


def _leave(history: History, sent: float, **changes: Any) -> None:
    """Let an upstream say that it leaves; send it a request after that."""
    history.requests += [
        _request('a', 'get', leaving=True),
        _request('b', 'get', sent=sent, ended=sent + 1, **changes),
    ]
    history.runs += [_run('a'), _run('b', at=sent)]


def _leave_last(history: History, told: float, *others: Serving) -> None:
    """Let an upstream get work late, which the store has had as leaving.

    It is the only one of its version, but for ``others``.
    """
    _leave(history, LATE)
    history.serving = [Serving('u-0', 'v1', 0, 10), *others]
    history.drains = [Drain('u-0', told)]


def _start_idle_upstream(history: History) -> None:
    """Register an upstream that gets no work, while others do."""
    history.serving.append(Serving('u-3', 'v2', 10, 10 + FOLLOW_TIME + 1))
    for number in range(MIN_LOAD + 1):
        history.requests.append(_request(f'g{number}', 'get'))
        history.runs.append(_run(f'g{number}', at=11))


def _answer_unknown(history: History) -> None:
    """Answer 502 during a silence."""
    history.silences.append(Silence(10, 11))
    history.requests.append(_request('p2', 'pay', status=502, body=b''))


def _refuse_cut_off(history: History, at: float) -> None:
    """Refuse requests at an entry that was cut off at a time."""
    history.cut_off[1] = at
    for number in range(MIN_TRIES):
        name = f'g{number}'
        history.requests += [
            _request(name, 'get'),
            _request(f'{name}x', 'get', entry=1, status=503, body=b''),
        ]
        history.runs.append(_run(name))


LATE = 11 + DRAIN_TIME + 0.1


BREACHES: dict[str, Mutation] = {
    'TWICE: once o1': lambda history: history.runs.append(_run('o1')),
    'REFUSED': lambda history: history.requests.append(
        _request('p1', 'pay', status=503, body=b'')
    ),
    'UNASKED: x ran': lambda history: history.runs.append(_run('x')),
    'MIXED: chat': lambda history: history.requests.append(
        _request('c2', 'chat', body=expected_stream('c1', 2))
    ),
    'MIXED: once': lambda history: history.requests.append(
        _request('o2', 'once', body=expected_stream('o2', 1))
    ),
    'TWICE: j1 at 0': lambda history: history.pages.append(
        _page('i1', 'completed', 'other')
    ),
    'TWICE: i1 is listed': lambda history: history.pages.append(
        history.pages[0]._replace(after=1)
    ),
    'MIXED: j1 has': lambda history: history.pages.append(
        history.pages[0]._replace(total=2)
    ),
    'MIXED: i2 is not': lambda history: history.pages.append(
        _page('i2', 'completed', expected_output('i2', 3))
    ),
    'MIXED: i1 has': lambda history: history.pages.append(
        _page('i1', 'completed', expected_output('i1', 2))
    ),
    'MIXED: i1 was dead-lettered': lambda history: history.pages.append(
        _page('i1', 'dead_lettered', '')
    ),
    'LOST: j1 lacks': lambda history: history.pages.clear(),
    'UNASKED: i2 ran': lambda history: history.runs.append(
        _run('i2', 11 + CANCEL_TIME)
    ),
    'DRAIN': lambda history: history.runs.append(_run('c1', 21 + APPLY_TIME)),
    'LOST: chat': lambda history: history.requests.append(
        _request('c1', 'chat', complete=False, body=b'')
    ),
    'CONFIG: Probe': lambda history: history.probes.append(
        Probe(0, 1, 2, 24, 25, False)
    ),
    'is unknown after': lambda history: history.probes.append(
        Probe(1, 1, 2, 21 + APPLY_TIME, 25, False)
    ),
    'ORDER: 3 streams': _join_streams,
    'ORDER: 3 texts': _join_texts,
    'LOST: of 12 streams': _refuse_take_ups,
    'LOST: pay p2 got 502': _answer_unknown,
    'DRAIN: b reached': lambda history: _leave(history, LATE),
    'DRAIN: i1 reached': lambda history: (
        _leave(history, LATE),
        history.runs.append(_run('i1', at=LATE)),
    ),
    'ENDED: entry 0': lambda history: history.ends.append((0, 8)),
    'LIST: u-3': _start_idle_upstream,
    'RECOVER': lambda history: _refuse_cut_off(history, 10 - FOLLOW_TIME),
}


LATE_WORK: dict[str, Mutation] = {
    'another upstream of its version serves': lambda history: _leave_last(
        history, LATE - 1, Serving('u-1', 'v1', 0)
    ),
    'the store has had it as leaving for long': lambda history: _leave_last(
        history, LATE - DRAIN_TIME - 0.1
    ),
    'the store has it as ready': lambda history: _leave_last(history, LATE + 1),
}


@pytest.mark.parametrize('case', LATE_WORK)
def test_late_work_of_a_leaving_upstream_is_a_breach(case: str) -> None:
    history = _valid_history()
    LATE_WORK[case](history)
    assert any('DRAIN: b reached' in line for line in breaches('', history))


def test_valid_history_has_no_breach() -> None:
    assert breaches('', _valid_history()) == []


@pytest.mark.parametrize('expected', BREACHES)
def test_check_reports_breach(expected: str) -> None:
    history = _valid_history()
    BREACHES[expected](history)
    assert any(expected in line for line in breaches('', history))


def test_new_run_of_entry_may_serve_older_config() -> None:
    history = _valid_history()
    history.probes.append(Probe(0, 2, 2, 21, 21.5, False))
    assert breaches('', history) == []


ALLOWED: dict[str, Mutation] = {
    'two joined streams': lambda history: (
        _join_streams(history),
        history.requests.pop(),
        history.runs.pop(),
    ),
    'take-ups without upstreams': lambda history: (
        _refuse_take_ups(history),
        history.serving.pop(0),
    ),
    'a request within the drain time': lambda history: _leave(
        history, LATE - 1
    ),
    'a restart since': lambda history: (
        _leave(history, LATE),
        history.disturbed[0].append(12),
    ),
    'another entry': lambda history: _leave(history, LATE, entry=1),
    'take-ups at an entry that is down': lambda history: _refuse_take_ups(
        history, reached=False
    ),
    'a cut just before': lambda history: _refuse_cut_off(history, 9),
    'a kill': lambda history: history.ends.append((0, -9)),
    'work for the last upstream of a version': lambda history: _leave_last(
        history, LATE - 1, Serving('u-1', 'v2', 0)
    ),
    'an upstream that is idle as the play ends': lambda history: (
        _start_idle_upstream(history),
        setattr(history, 'loaded_until', 9 + FOLLOW_TIME),
    ),
}


@pytest.mark.parametrize('case', ALLOWED)
def test_check_allows(case: str) -> None:
    history = _valid_history()
    ALLOWED[case](history)
    assert breaches('', history) == []
