"""Decisions of the gateway: routes, slots, retries, events, peers; no I/O."""

import pytest

from gentiantrestle.gateway.model import Share
from gentiantrestle.gateway.retry_policy import (
    AttemptOutcome,
    RequestProgress,
    Step,
    next_step,
)
from gentiantrestle.gateway.roster import LAPSE_GRACE, Roster
from gentiantrestle.gateway.routing import Router, choose_service
from gentiantrestle.gateway.slots.queueing import (
    retry_after_seconds,
    wait_limit,
)
from gentiantrestle.gateway.sse import EventOrderError, EventSplitter
from tests.gateway.samples import (
    ENGINES,
    HOST,
    make_request,
    make_route,
    make_table,
    make_upstream,
)


@pytest.mark.parametrize(
    ('host', 'target', 'name'),
    [
        (HOST, '/chat/1', 'chat'),
        (f'{HOST.upper()}:80', '/chat/1?x=/chat/new/', 'chat'),
        (HOST, '/chat/new/1', 'new'),
        (HOST, '/chat', None),
        ('other.example', '/chat/1', None),
    ],
)
def test_match_returns_route_with_longest_prefix_of_host(
    host: str, target: str, name: str | None
) -> None:
    router = Router()
    router.apply(
        make_table(make_route(), make_route(name='new', prefix='/chat/new/'))
    )
    found = router.match(host, target)
    assert (found and found.name) == name


def test_apply_ignores_older_and_equal_versions() -> None:
    router = Router()
    assert router.apply(make_table(make_route(), version=7))
    assert not router.apply(make_table(version=6))
    assert not router.apply(make_table(version=7))
    assert router.match(HOST, '/chat/1') is not None


def test_choose_service_follows_weights_and_is_stable_per_request() -> None:
    split = make_route(shares=(Share('old', 90), Share('new', 10)))
    chosen = [
        choose_service(split, f'request-{number}') for number in range(2000)
    ]
    assert 140 < chosen.count('new') < 260
    assert choose_service(split, 'request-1') == chosen[1]


def test_upstream_removed_in_store_outage_is_used_for_grace_time() -> None:
    roster = Roster()
    roster.put(make_upstream('u1'))
    roster.note_outage(10)
    roster.remove('u1', 10.5)
    grace_end = 10 + LAPSE_GRACE
    assert [
        up.id for up in roster.usable_upstreams(ENGINES, grace_end - 0.1)
    ] == ['u1']
    assert roster.usable_upstreams(ENGINES, grace_end + 0.1) == []


@pytest.mark.parametrize('draining', [True, False])
def test_draining_or_removed_upstream_is_not_used(draining: bool) -> None:
    roster = Roster()
    roster.put(make_upstream('u1'))
    if draining:
        roster.put(make_upstream('u1', draining=True))
    else:
        roster.remove('u1', 0)
    assert roster.usable_upstreams(ENGINES, 0) == []


STEPS = [
    # outcome, idempotent, runs, refusals, response_started, step
    (AttemptOutcome.NOT_RUN, False, 0, 1, False, Step.RETRY),
    (AttemptOutcome.NOT_RUN, False, 0, 4, False, Step.REFUSE),
    (AttemptOutcome.LOST, False, 1, 0, False, Step.ANSWER_UNKNOWN),
    (AttemptOutcome.LOST, True, 1, 0, False, Step.RETRY),
    (AttemptOutcome.LOST, True, 2, 0, False, Step.ANSWER_UNKNOWN),
    (AttemptOutcome.LOST, True, 2, 0, True, Step.CUT),
    (AttemptOutcome.NOT_RUN, True, 1, 4, False, Step.RETRY),
    (AttemptOutcome.NOT_RUN, False, 1, 4, False, Step.ANSWER_UNKNOWN),
    (AttemptOutcome.FAILED, False, 1, 0, False, Step.PASS_ON),
    (AttemptOutcome.FAILED, True, 1, 0, False, Step.RETRY),
    (AttemptOutcome.EXPIRED, True, 1, 0, False, Step.ANSWER_UNKNOWN),
    (AttemptOutcome.EXPIRED, False, 0, 0, False, Step.REFUSE),
    (AttemptOutcome.DONE, False, 1, 0, True, Step.FINISH),
]


@pytest.mark.parametrize(
    ('outcome', 'idempotent', 'runs', 'refusals', 'response_started', 'step'),
    STEPS,
)
def test_next_step_by_outcome_and_progress(
    outcome: AttemptOutcome,
    idempotent: bool,
    runs: int,
    refusals: int,
    response_started: bool,
    step: Step,
) -> None:
    progress = RequestProgress(idempotent, 2, runs, refusals, response_started)
    assert next_step(outcome, progress, 1.0) is step


@pytest.mark.parametrize(
    ('outcome', 'unreached', 'step'),
    [
        (AttemptOutcome.NOT_RUN, 0, Step.RETRY),
        (AttemptOutcome.UNREACHED, 3, Step.RETRY),
        (AttemptOutcome.UNREACHED, 4, Step.CUT),
    ],
)
def test_started_response_is_cut_if_upstreams_are_gone_not_if_they_are_full(
    outcome: AttemptOutcome, unreached: int, step: Step
) -> None:
    progress = RequestProgress(
        idempotent=True,
        max_attempts=2,
        runs=1,
        refusals=9,
        response_started=True,
        unreached=unreached,
    )
    assert next_step(outcome, progress, 1.0) is step


def test_wait_limit_is_below_target_and_longer_for_retries() -> None:
    assert 0 < wait_limit(make_request('c'), make_route(), 0).seconds < 0.3
    limit = wait_limit(make_request('c', is_retry=True), make_route(), 0)
    assert 0.3 < limit.seconds < 2


def test_retry_after_is_positive_and_at_most_a_third_of_time_left() -> None:
    assert retry_after_seconds(9, make_request('c'), 0) <= 5 / 3
    assert retry_after_seconds(0, make_request('c'), 0) > 0


def test_splitter_returns_complete_events_only() -> None:
    splitter = EventSplitter(0)
    assert splitter.feed(b'id: 1\ndata: a') == []
    found = splitter.feed(b'\n\nid: 2\ndata: b\n\nid: 3')
    assert [(event.event_id, event.data) for event in found] == [
        (1, 'a'),
        (2, 'b'),
    ]
    assert splitter.last_id == 2
    assert splitter.remainder == b'id: 3'


def test_splitter_raises_if_event_id_does_not_increase() -> None:
    splitter = EventSplitter(4)
    with pytest.raises(EventOrderError):
        splitter.feed(b'id: 4\ndata: a\n\n')


def test_events_before_one_out_of_order_are_not_skipped_on_resumption() -> None:
    splitter = EventSplitter(4)
    with pytest.raises(EventOrderError):
        splitter.feed(b'id: 5\ndata: a\n\nid: 6\ndata: b\n\nid: 6\ndata: c\n\n')
    assert splitter.last_id == 4
