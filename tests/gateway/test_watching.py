"""One instance of a zone watches the store; the others copy from it."""

import random

import pytest

from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import job_to_content
from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.peers import Peer
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.gateway.roster import LAPSE_GRACE
from gentiantrestle.gateway.state_copier import StateCopier
from gentiantrestle.gateway.zone_watcher import (
    JOBS_LAG,
    QUICK_RANKS,
    RANK_STEP,
    START_WAIT,
    URGENT_LAG,
    WATCHER_SILENCE,
    CopySourceSelector,
    Revisions,
    WatcherElection,
)
from gentiantrestle.platform.documents import StoreDocuments
from gentiantrestle.wire.peer import ttypes
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import ENGINES, make_job

ZONE = 'a1'
LONG = 60.0


def _peer(name: str, **changes: object) -> Peer:
    plain = Peer(name, 1, 1, f'10.0.0.{name}', ZONE, False, 3, True, 0, 5, 5)
    return plain._replace(**changes)


def _duty(instance: str = 'b') -> WatcherElection:
    return WatcherElection(instance, ZONE, 0)


def test_nobody_watches_before_others_could_be_heard() -> None:
    duty = _duty()
    assert not duty.decide([], START_WAIT / 2, connected=False)
    assert duty.decide([], START_WAIT, connected=False)


def test_who_watches_already_goes_on() -> None:
    duty = _duty('a')
    peers = [_peer('z', last_heard=LONG)]
    assert not duty.decide(peers, LONG, connected=False)


@pytest.mark.parametrize(
    ('rival', 'connected', 'held'),
    [('a', True, False), ('c', True, True), ('c', False, False)],
)
def test_of_two_watchers_one_gives_up(
    rival: str, connected: bool, held: bool
) -> None:
    duty = _duty('b')
    assert duty.decide([], LONG, connected=False)
    peers = [_peer(rival, last_heard=LONG)]
    assert duty.decide(peers, LONG, connected=connected) == held


def test_a_silent_or_leaving_watcher_is_replaced_by_one() -> None:
    first, second = _duty('b'), _duty('c')
    gone = WATCHER_SILENCE + LONG
    for duty in (first, second):
        watched = [_peer('a', last_heard=LONG)]
        assert not duty.decide(watched, gone - 0.01, connected=False)
    near = [
        _peer('a', last_heard=LONG),
        _peer('b', last_heard=gone, store_reached=False),
        _peer('c', last_heard=gone, store_reached=False),
    ]
    assert first.decide(near, gone, connected=False)
    assert not second.decide(near, gone, connected=False)
    assert second.decide(near, gone + RANK_STEP, connected=False)


def test_few_try_at_once_while_the_store_is_away() -> None:
    names = [f'{number:02}' for number in range(10)]
    duties = [_duty(name) for name in names]
    trying = set()
    for step in range(40):
        now = START_WAIT + step / 10
        peers = [
            _peer(one, last_heard=now, store_reached=False) for one in names
        ]
        for name, duty in zip(names, duties, strict=True):
            others = [one for one in peers if one.instance != name]
            if duty.decide(others, now, connected=False):
                trying.add(name)
    assert trying == set(names[:QUICK_RANKS])


def test_watchers_of_other_zones_leave_the_own_one_vacant() -> None:
    peers = [_peer('a', last_heard=LONG, zone='b1')]
    assert _duty().decide(peers, LONG, connected=False)


KNOWN = Revisions(3, 5, 5)


def _rule() -> CopySourceSelector:
    return CopySourceSelector(ZONE, lambda: 0)


@pytest.mark.parametrize(
    'news',
    [{'config_version': 4}, {'upstreams_revision': 6}, {'jobs_revision': 6}],
)
def test_news_is_copied_from_the_zones_watcher_at_once(
    news: dict[str, int],
) -> None:
    watcher = _peer('a', upstreams_fingerprint=1, **news)
    other = _peer('c', store_reached=False, upstreams_fingerprint=1, **news)
    assert _rule().choose(KNOWN, [other, watcher], 0) == watcher
    assert _rule().choose(KNOWN, [other], 0) is None
    assert _rule().choose(Revisions(4, 6, 6), [watcher], 0) is None


@pytest.mark.parametrize(
    ('news', 'lag'),
    [({'config_version': 4}, URGENT_LAG), ({'jobs_revision': 6}, JOBS_LAG)],
)
def test_who_stays_behind_copies_from_any_zone(
    news: dict[str, int], lag: float
) -> None:
    rule = _rule()
    far = _peer('z', zone='b1', upstreams_fingerprint=1, **news)
    assert rule.choose(KNOWN, [far], 1) is None
    assert rule.choose(KNOWN, [far], 1 + lag) == far
    assert rule.choose(KNOWN, [_peer('z')], 2 + lag) is None
    assert rule.choose(KNOWN, [far], 3 + lag) is None


def test_the_same_entries_are_not_copied_again() -> None:
    rule = _rule()
    same = _peer('z', zone='b1', upstreams_revision=9, upstreams_fingerprint=7)
    known = KNOWN._replace(upstreams_fingerprint=7)
    for now in (0, URGENT_LAG, 2 * URGENT_LAG):
        assert rule.choose(known, [same], now) is None


def test_who_keeps_up_with_jobs_copies_from_no_other_zone() -> None:
    rule = _rule()
    for step in range(100):
        # Others are always ahead, by less than the time that is allowed.
        known = KNOWN._replace(jobs_revision=step - 2)
        far = _peer('z', zone='b1', jobs_revision=step)
        assert rule.choose(known, [far], step * JOBS_LAG / 4) is None


def _copies(now: float = 0) -> tuple[StateCopier, FleetState, JobStore]:
    state = FleetState(StoreDocuments(), 'main', lambda: now)
    store = JobStore(MemoryStore(), JobIndex(), random.Random(1), lambda: now)
    return StateCopier(state, store, lambda: now), state, store


def _server(name: str, revision: int) -> StoredObject:
    entry = {
        'service': ENGINES,
        'address': '127.0.0.1:9',
        'zone': ZONE,
        'slots': 8,
        'state': 'ready',
        'born': 1,
    }
    return StoredObject(name, revision, entry)


def test_a_copy_brings_what_is_newer_and_nothing_else() -> None:
    giver, state, store = _copies()
    state.replace_upstreams([_server('u1', 4)], 5)
    for number in (6, 8):
        name = f'job{number}'
        content = job_to_content(make_job(name))
        store.apply_changes(
            [StoredObject(name, number, content, {'state': ''})], number
        )
    taker, taken, jobs = _copies()
    taker.take(giver.give(taker.request()))
    assert taker.known == giver.known
    assert taker.known[:3] == (0, 5, 8)
    assert [one.id for one in taken.roster.usable_upstreams(ENGINES, 0)] == [
        'u1'
    ]
    assert set(jobs.index.entries) == {'job6', 'job8'}
    again = giver.give(ttypes.CopyRequest(0, 5, 6))
    assert again.upstreams is None
    assert [one.name for one in again.jobs] == ['job8']


def test_older_news_does_not_replace_newer() -> None:
    old, state, _ = _copies()
    state.replace_upstreams([], 3)
    taker, taken, _ = _copies()
    taken.replace_upstreams([_server('u1', 4)], 5)
    taker.take(old.give(ttypes.CopyRequest(0, 0, 0)))
    assert taker.known.upstreams_revision == 5
    assert taken.upstreams


def test_entries_that_lapsed_for_the_watcher_lapse_for_all() -> None:
    giver, state, _ = _copies()
    taker, taken, _ = _copies()
    for one in (state, taken):
        one.replace_upstreams([_server('u1', 4)], 5)
    state.roster.note_outage(0)
    state.replace_upstreams([], 6)
    taker.take(giver.give(taker.request()))
    found = taken.roster.usable_upstreams(ENGINES, LAPSE_GRACE / 2)
    assert [one.id for one in found] == ['u1']
    assert not taken.roster.usable_upstreams(ENGINES, LAPSE_GRACE + 1)
