"""Decisions of the gateway: routes, slots, retries, events, peers; no I/O."""

import pytest

from gentiantrestle.gateway.gossip import MAX_INTERVAL, SendSchedule
from gentiantrestle.gateway.loads import (
    STALE_AFTER,
    BatchBacklog,
    Load,
    LoadBoard,
    LoadReport,
)
from gentiantrestle.gateway.model import Share
from gentiantrestle.gateway.peers import (
    MIN_INTERVAL,
    SILENCE_TIMEOUT,
    Peer,
    PeerList,
    remote_interval,
    remote_silence_timeout,
)
from gentiantrestle.gateway.placement import Placement, Topology
from gentiantrestle.gateway.queueing import (
    AdmissionQueue,
    retry_after_seconds,
    wait_limit,
)
from gentiantrestle.gateway.retry_policy import (
    AttemptOutcome,
    RequestProgress,
    Step,
    next_step,
)
from gentiantrestle.gateway.roster import LAPSE_GRACE, Roster
from gentiantrestle.gateway.routing import Router, choose_service
from gentiantrestle.gateway.sse import EventOrderError, EventSplitter
from tests.gateway.samples import (
    ENGINES,
    HOST,
    ZONES,
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


def _make_placement() -> tuple[Placement, LoadBoard]:
    board = LoadBoard()
    return Placement(Topology('a1', ZONES), board, lambda: 0), board


def test_choose_prefers_own_zone_until_its_slots_are_taken() -> None:
    placement, board = _make_placement()
    local, remote = make_upstream('near'), make_upstream('far', zone='b1')
    assert placement.choose([remote, local], 0) == local
    board.add('near', online=8)
    assert placement.choose([remote, local], 0) == remote
    board.add('far', online=8)
    assert placement.choose([remote, local], 0) is None


def test_load_of_peer_counts_until_it_is_stale() -> None:
    placement, board = _make_placement()
    upstream = make_upstream('u1')
    board.set_peer_report('peer', LoadReport(0, {'u1': Load(8, 0)}, 0))
    assert placement.choose([upstream], STALE_AFTER / 2) is None
    assert placement.choose([upstream], STALE_AFTER + 0.1) == upstream


def test_upstream_is_suspended_after_two_failures_unless_it_is_alone() -> None:
    placement, _ = _make_placement()
    bad, good = make_upstream('bad'), make_upstream('good', zone='b1')
    for _ in range(2):
        placement.health('bad').record_failure(0, 0)
    assert placement.choose([bad, good], 0.1) == good
    assert placement.choose([bad], 0.1) == bad


STEPS = [
    # outcome, idempotent, runs, refusals, response_started, step
    (AttemptOutcome.NOT_RUN, False, 0, 1, False, Step.RETRY),
    (AttemptOutcome.NOT_RUN, False, 0, 4, False, Step.REFUSE),
    (AttemptOutcome.LOST, False, 1, 0, False, Step.ANSWER_UNKNOWN),
    (AttemptOutcome.LOST, True, 1, 0, False, Step.RETRY),
    (AttemptOutcome.LOST, True, 2, 0, False, Step.ANSWER_UNKNOWN),
    (AttemptOutcome.LOST, True, 2, 0, True, Step.CUT),
    (AttemptOutcome.NOT_RUN, True, 1, 4, False, Step.ANSWER_UNKNOWN),
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


def test_queue_serves_retries_first() -> None:
    queue = AdmissionQueue()
    for name, is_retry in (('new', False), ('retry', True)):
        req = make_request(name, is_retry=is_retry)
        queue.add(req, wait_limit(req, make_route(), 0), 0, 0)
    first = queue.peek()
    assert first is not None
    assert first.request.id == 'retry'
    queue.remove(first)
    assert [entry.request.id for entry in iter(queue.pop, None)] == ['new']


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


def _make_peer(name: str, **changes: object) -> Peer:
    default = Peer(name, 1, 1, f'10.0.0.{name}', 'a1', False, 3, True, 0)
    return default._replace(**changes)


def test_restart_replaces_run_and_silence_removes_it() -> None:
    peers = PeerList('me', '10.0.0.9', 'a1', ())
    assert peers.update(_make_peer('1'))
    assert not peers.update(_make_peer('1', sequence=1))
    assert peers.working_runs(0) == ('1/1',)
    assert peers.update(_make_peer('1', incarnation=2, sequence=1))
    assert peers.working_runs(0) == ('1/2',)
    assert peers.remove_silent(SILENCE_TIMEOUT + 1)
    assert peers.working_runs(SILENCE_TIMEOUT + 1) == ()


def test_loss_of_instance_counts_as_recent_until_its_return() -> None:
    peers = PeerList('me', '10.0.0.9', 'a1', ())
    peers.update(_make_peer('1'))
    peers.remove_silent(SILENCE_TIMEOUT + 1)
    assert not peers.no_recent_losses(10)
    peers.update(_make_peer('1', incarnation=2, received_at=11))
    assert peers.no_recent_losses(11)


def test_instance_that_announced_its_leave_is_not_a_loss() -> None:
    peers = PeerList('me', '10.0.0.9', 'a1', ())
    peers.update(_make_peer('1', leaving=True))
    assert peers.working_runs(0) == ()
    peers.remove_silent(SILENCE_TIMEOUT + 1)
    assert peers.no_recent_losses(10)


def test_change_is_sent_after_min_and_repeated_after_max_interval() -> None:
    schedule = SendSchedule()
    interval = MIN_INTERVAL
    assert schedule.is_due('a', interval, 0)
    assert not schedule.is_due('b', interval, 0.01)
    assert schedule.is_due('b', interval, 0.05)
    assert not schedule.is_due('b', interval, 0.2)
    assert schedule.is_due('b', interval, 0.05 + MAX_INTERVAL)


def test_change_waits_longer_with_many_remote_instances() -> None:
    schedule = SendSchedule()
    interval = remote_interval(53)
    assert interval > 1
    schedule.is_due('a', interval, 0)
    assert not schedule.is_due('b', interval, 0.9)
    assert schedule.is_due('b', interval, interval)


def test_remote_interval_of_small_fleet_is_min_interval() -> None:
    assert remote_interval(6) == MIN_INTERVAL


def test_instances_of_other_zones_are_lost_after_longer_silence() -> None:
    peers = PeerList('me', '10.0.0.9', 'a1', ())
    peers.update(_make_peer('near'))
    for number in range(53):
        peers.update(_make_peer(f'far{number}', zone='b1'))
    assert [
        peer.instance for peer in peers.remove_silent(SILENCE_TIMEOUT + 0.1)
    ] == ['near']
    assert len(peers.remove_silent(remote_silence_timeout(53) + 0.1)) == 53


def test_aggregators_are_first_live_instances_even_without_store() -> None:
    peers = PeerList('m', '10.0.0.9', 'a1', ())
    for name, zone in (('n', 'a1'), ('x', 'b1'), ('y', 'b1'), ('z', 'b1')):
        peers.update(_make_peer(name, zone=zone, store_reached=False))
    assert peers.is_aggregator(1)
    assert [peer.instance for peer in peers.remote_aggregators(1)] == ['x', 'y']
    peers.update(_make_peer('a', received_at=1))
    assert not peers.is_aggregator(1)
    assert peers.is_aggregator(1 + SILENCE_TIMEOUT)
    peers.update(_make_peer('a', sequence=2, received_at=1, leaving=True))
    assert peers.is_aggregator(1)


def test_sum_of_loads_skips_stale_peers_and_keeps_most_urgent_backlog() -> None:
    board = LoadBoard()
    board.set_peer_report(
        'a', LoadReport(0, {'u1': Load(1, 2)}, 3, BatchBacklog(4, 2.0))
    )
    board.set_peer_report('b', LoadReport(0, {'u1': Load(1), 'u2': Load(5)}, 1))
    board.set_peer_report('old', LoadReport(-9, {'u1': Load(7)}, 9))
    total = board.combine_peers(['a', 'b', 'old', 'unknown'], 0.5)
    assert total.loads == {'u1': Load(2, 2), 'u2': Load(5)}
    assert total.waiting == 4
    assert total.batch_backlog == BatchBacklog(4, 2.0)
