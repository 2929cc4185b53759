"""Routes, rosters, slots, steps and streams, without a network."""

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
def test_the_longest_prefix_of_the_host_wins(
    host: str, target: str, name: str | None
) -> None:
    router = Router()
    router.apply(
        make_table(make_route(), make_route(name='new', prefix='/chat/new/'))
    )
    found = router.match(host, target)
    assert (found and found.name) == name


def test_an_older_configuration_never_comes_back() -> None:
    router = Router()
    assert router.apply(make_table(make_route(), version=7))
    assert not router.apply(make_table(version=6))
    assert not router.apply(make_table(version=7))
    assert router.match(HOST, '/chat/1') is not None


def test_a_split_keeps_its_weights_and_each_request_its_side() -> None:
    split = make_route(shares=(Share('old', 90), Share('new', 10)))
    chosen = [choose_service(split, f'request-{one}') for one in range(2000)]
    assert 140 < chosen.count('new') < 260
    assert choose_service(split, 'request-1') == chosen[1]


def test_entries_that_lapse_with_the_store_stay_in_use_for_a_while() -> None:
    roster = Roster()
    roster.put(make_upstream('u1'))
    roster.note_outage(10)
    roster.remove('u1', 10.5)
    back = 10 + LAPSE_GRACE
    assert [one.id for one in roster.usable_upstreams(ENGINES, back - 0.1)] == [
        'u1'
    ]
    assert roster.usable_upstreams(ENGINES, back + 0.1) == []


@pytest.mark.parametrize('draining', [True, False])
def test_a_leaving_upstream_gets_no_new_work(draining: bool) -> None:
    roster = Roster()
    roster.put(make_upstream('u1'))
    if draining:
        roster.put(make_upstream('u1', draining=True))
    else:
        roster.remove('u1', 0)
    assert roster.usable_upstreams(ENGINES, 0) == []


def _placement() -> tuple[Placement, LoadBoard]:
    board = LoadBoard()
    return Placement(Topology('a1', ZONES), board, lambda: 0), board


def test_a_near_slot_goes_before_a_far_one_until_it_is_taken() -> None:
    placement, board = _placement()
    near, far = make_upstream('near'), make_upstream('far', zone='b1')
    assert placement.choose([far, near], 0) == near
    board.add('near', online=8)
    assert placement.choose([far, near], 0) == far
    board.add('far', online=8)
    assert placement.choose([far, near], 0) is None


def test_what_peers_told_counts_until_it_is_stale() -> None:
    placement, board = _placement()
    one = make_upstream('u1')
    board.set_peer_report('peer', LoadReport(0, {'u1': Load(8, 0)}, 0))
    assert placement.choose([one], STALE_AFTER / 2) is None
    assert placement.choose([one], STALE_AFTER + 0.1) == one


def test_an_upstream_that_refuses_connections_rests() -> None:
    placement, _ = _placement()
    bad, good = make_upstream('bad'), make_upstream('good', zone='b1')
    for _ in range(2):
        placement.health('bad').record_failure(0, 0)
    assert placement.choose([bad, good], 0.1) == good
    assert placement.choose([bad], 0.1) == bad


STEPS = [
    # outcome, idempotent, runs, refusals, begun, step
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
    ('outcome', 'idempotent', 'runs', 'refusals', 'begun', 'step'), STEPS
)
def test_what_may_have_run_is_never_called_not_run(
    outcome: AttemptOutcome,
    idempotent: bool,
    runs: int,
    refusals: int,
    begun: bool,
    step: Step,
) -> None:
    so_far = RequestProgress(idempotent, 2, runs, refusals, begun)
    assert next_step(outcome, so_far, 1.0) is step


def test_those_that_came_back_go_first() -> None:
    line = AdmissionQueue()
    for name, returned in (('new', False), ('back', True)):
        one = make_request(name, is_retry=returned)
        line.add(one, wait_limit(one, make_route(), 0), 0, 0)
    gone = line.peek()
    assert gone is not None
    assert gone.request.id == 'back'
    line.remove(gone)
    assert [ticket.request.id for ticket in iter(line.pop, None)] == ['new']


def test_a_new_request_waits_within_its_target_and_no_longer() -> None:
    assert 0 < wait_limit(make_request('c'), make_route(), 0).seconds < 0.3
    back = wait_limit(make_request('c', is_retry=True), make_route(), 0)
    assert 0.3 < back.seconds < 2


def test_retry_after_stays_within_a_third_of_the_time_left() -> None:
    assert retry_after_seconds(9, make_request('c'), 0) <= 5 / 3
    assert retry_after_seconds(0, make_request('c'), 0) > 0


def test_events_are_passed_on_whole() -> None:
    splitter = EventSplitter(0)
    assert splitter.feed(b'id: 1\ndata: a') == []
    found = splitter.feed(b'\n\nid: 2\ndata: b\n\nid: 3')
    assert [(one.event_id, one.data) for one in found] == [(1, 'a'), (2, 'b')]
    assert splitter.last_id == 2
    assert splitter.remainder == b'id: 3'


def test_a_stream_that_goes_back_is_not_passed_on() -> None:
    splitter = EventSplitter(4)
    with pytest.raises(EventOrderError):
        splitter.feed(b'id: 4\ndata: a\n\n')


def _peer(name: str, **changes: object) -> Peer:
    plain = Peer(name, 1, 1, f'10.0.0.{name}', 'a1', False, 3, True, 0)
    return plain._replace(**changes)


def test_silence_ends_a_run_and_a_restart_is_another_run() -> None:
    peers = PeerList('me', '10.0.0.9', 'a1', ())
    assert peers.update(_peer('1'))
    assert not peers.update(_peer('1', sequence=1))
    assert peers.working_runs(0) == ('1/1',)
    assert peers.update(_peer('1', incarnation=2, sequence=1))
    assert peers.working_runs(0) == ('1/2',)
    assert peers.remove_silent(SILENCE_TIMEOUT + 1)
    assert peers.working_runs(SILENCE_TIMEOUT + 1) == ()


def test_a_lost_instance_leaves_doubt_until_it_is_back() -> None:
    peers = PeerList('me', '10.0.0.9', 'a1', ())
    peers.update(_peer('1'))
    peers.remove_silent(SILENCE_TIMEOUT + 1)
    assert not peers.no_recent_losses(10)
    peers.update(_peer('1', incarnation=2, last_heard=11))
    assert peers.no_recent_losses(11)


def test_one_that_leaves_on_purpose_leaves_no_doubt() -> None:
    peers = PeerList('me', '10.0.0.9', 'a1', ())
    peers.update(_peer('1', leaving=True))
    assert peers.working_runs(0) == ()
    peers.remove_silent(SILENCE_TIMEOUT + 1)
    assert peers.no_recent_losses(10)


def test_news_goes_out_when_it_is_due_and_is_repeated() -> None:
    rhythm = SendSchedule()
    gap = MIN_INTERVAL
    assert rhythm.is_due('a', gap, 0)
    assert not rhythm.is_due('b', gap, 0.01)
    assert rhythm.is_due('b', gap, 0.05)
    assert not rhythm.is_due('b', gap, 0.2)
    assert rhythm.is_due('b', gap, 0.05 + MAX_INTERVAL)


def test_many_others_are_told_less_often() -> None:
    rhythm = SendSchedule()
    gap = remote_interval(53)
    assert gap > 1
    rhythm.is_due('a', gap, 0)
    assert not rhythm.is_due('b', gap, 0.9)
    assert rhythm.is_due('b', gap, gap)


def test_a_small_fleet_is_told_as_often_as_a_zone() -> None:
    assert remote_interval(6) == MIN_INTERVAL


def test_rare_news_of_other_zones_is_no_silence() -> None:
    peers = PeerList('me', '10.0.0.9', 'a1', ())
    peers.update(_peer('near'))
    for number in range(53):
        peers.update(_peer(f'far{number}', zone='b1'))
    assert [
        one.instance for one in peers.remove_silent(SILENCE_TIMEOUT + 0.1)
    ] == ['near']
    assert len(peers.remove_silent(remote_silence_timeout(53) + 0.1)) == 53


def test_a_zone_has_a_speaker_whether_or_not_it_hears_the_store() -> None:
    peers = PeerList('m', '10.0.0.9', 'a1', ())
    for name, zone in (('n', 'a1'), ('x', 'b1'), ('y', 'b1'), ('z', 'b1')):
        peers.update(_peer(name, zone=zone, store_reached=False))
    assert peers.is_aggregator(1)
    assert [one.instance for one in peers.remote_aggregators(1)] == ['x', 'y']
    peers.update(_peer('a', last_heard=1))
    assert not peers.is_aggregator(1)
    assert peers.is_aggregator(1 + SILENCE_TIMEOUT)
    peers.update(_peer('a', sequence=2, last_heard=1, leaving=True))
    assert peers.is_aggregator(1)


def test_zones_are_added_up_without_counting_twice() -> None:
    board = LoadBoard()
    board.set_peer_report(
        'a', LoadReport(0, {'u1': Load(1, 2)}, 3, BatchBacklog(4, 2.0))
    )
    board.set_peer_report('b', LoadReport(0, {'u1': Load(1), 'u2': Load(5)}, 1))
    board.set_peer_report('old', LoadReport(-9, {'u1': Load(7)}, 9))
    told = board.combine_peers(['a', 'b', 'old', 'unknown'], 0.5)
    assert told.loads == {'u1': Load(2, 2), 'u2': Load(5)}
    assert told.waiting == 4
    assert told.batch_backlog == BatchBacklog(4, 2.0)
