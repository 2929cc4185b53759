"""Which instance of a zone watches the store, and what others copy."""

import random

import pytest

from gentiantrestle.daemon.membership.seats import MIN_WATCHERS, count_seats
from gentiantrestle.daemon.membership.sources import SourceStates
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import job_to_content
from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.membership.peers import Peer
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
from gentiantrestle.platform.document_decoder import StoreDocumentDecoder
from gentiantrestle.wire.peer import ttypes
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import ENGINES, make_job

ZONE = 'a1'
LATER = 60.0


def _peer(name: str, **changes: object) -> Peer:
    default = Peer(name, 1, 1, f'10.0.0.{name}', ZONE, False, 3, True, 0, 5, 5)
    return default._replace(**changes)


def _election(instance: str = 'b') -> WatcherElection:
    return WatcherElection(instance, ZONE, 0)


def test_no_watch_before_start_wait_is_over() -> None:
    election = _election()
    assert not election.decide([], START_WAIT / 2, connected=False)
    assert election.decide([], START_WAIT, connected=False)


def test_no_watch_while_a_peer_of_the_zone_watches() -> None:
    election = _election('a')
    peers = [_peer('z', received_at=LATER)]
    assert not election.decide(peers, LATER, connected=False)


@pytest.mark.parametrize(
    ('other', 'connected', 'watches'),
    [('a', True, False), ('c', True, True), ('c', False, False)],
)
def test_watcher_yields_to_lower_name_or_when_disconnected(
    other: str, connected: bool, watches: bool
) -> None:
    election = _election('b')
    assert election.decide([], LATER, connected=False)
    peers = [_peer(other, received_at=LATER)]
    assert election.decide(peers, LATER, connected=connected) == watches


def test_silent_watcher_is_replaced_by_one_candidate_after_another() -> None:
    first, second = _election('b'), _election('c')
    silent_at = WATCHER_SILENCE + LATER
    for election in (first, second):
        watcher = [_peer('a', received_at=LATER)]
        assert not election.decide(watcher, silent_at - 0.01, connected=False)
    peers = [
        _peer('a', received_at=LATER),
        _peer('b', received_at=silent_at, store_reached=False),
        _peer('c', received_at=silent_at, store_reached=False),
    ]
    assert first.decide(peers, silent_at, connected=False)
    assert not second.decide(peers, silent_at, connected=False)
    assert second.decide(peers, silent_at + RANK_STEP, connected=False)


def test_only_first_candidates_try_soon_while_store_is_down() -> None:
    names = [f'{number:02}' for number in range(10)]
    elections = [_election(name) for name in names]
    trying = set()
    for step in range(40):
        now = START_WAIT + step / 10
        peers = [
            _peer(other, received_at=now, store_reached=False)
            for other in names
        ]
        for name, election in zip(names, elections, strict=True):
            others = [other for other in peers if other.instance != name]
            if election.decide(others, now, connected=False):
                trying.add(name)
    assert trying == set(names[:QUICK_RANKS])


def test_as_many_instances_watch_as_there_are_seats() -> None:
    elections = {
        name: WatcherElection(name, ZONE, 0, seats=2) for name in 'abcd'
    }
    connected: dict[str, bool] = dict.fromkeys(elections, False)
    for step in range(30):
        now = START_WAIT + step / 10
        rows = [
            _peer(name, received_at=now, store_reached=connected[name])
            for name in elections
        ]
        for name, election in elections.items():
            others = [row for row in rows if row.instance != name]
            connected[name] = election.decide(
                others, now, connected=connected[name]
            )
    assert [name for name in elections if connected[name]] == ['a', 'b']
    assert [name for name in elections if elections[name].is_first] == ['a']


def test_second_watcher_is_first_once_the_first_does_not_reach_the_store() -> (
    None
):
    election = WatcherElection('b', ZONE, 0, seats=2)
    first = _peer('a', received_at=LATER)
    assert election.decide([first], LATER, connected=False)
    assert not election.is_first
    silent = first._replace(store_reached=False)
    assert election.decide([silent], LATER, connected=True)
    assert election.is_first


@pytest.mark.parametrize('zones', [1, 2, 3, 4, 6, 11])
def test_enough_instances_of_all_zones_together_watch(zones: int) -> None:
    assert zones * count_seats(zones) >= MIN_WATCHERS
    assert zones * (count_seats(zones) - 1) < MIN_WATCHERS


def test_watcher_of_another_zone_does_not_count() -> None:
    peers = [_peer('a', received_at=LATER, zone='b1')]
    assert _election().decide(peers, LATER, connected=False)


KNOWN = Revisions(3, 5, 5)
NONE_SILENT = SourceStates()


def _selector() -> CopySourceSelector:
    return CopySourceSelector(ZONE, lambda: 0)


@pytest.mark.parametrize(
    'newer',
    [{'config_version': 4}, {'upstreams_revision': 6}, {'jobs_revision': 6}],
)
def test_newer_state_is_copied_from_zone_watcher_at_once(
    newer: dict[str, int],
) -> None:
    watcher = _peer('a', upstreams_fingerprint=1, **newer)
    other = _peer('c', store_reached=False, upstreams_fingerprint=1, **newer)
    assert (
        _selector().choose(KNOWN, [other, watcher], NONE_SILENT, 0) == watcher
    )
    assert _selector().choose(KNOWN, [other], NONE_SILENT, 0) is None
    assert (
        _selector().choose(Revisions(4, 6, 6), [watcher], NONE_SILENT, 0)
        is None
    )


@pytest.mark.parametrize(
    ('newer', 'lag'),
    [({'config_version': 4}, URGENT_LAG), ({'jobs_revision': 6}, JOBS_LAG)],
)
def test_copies_from_any_zone_after_lag(
    newer: dict[str, int], lag: float
) -> None:
    selector = _selector()
    remote = _peer('z', zone='b1', upstreams_fingerprint=1, **newer)
    assert selector.choose(KNOWN, [remote], NONE_SILENT, 1) is None
    assert selector.choose(KNOWN, [remote], NONE_SILENT, 1 + lag) == remote
    assert selector.choose(KNOWN, [_peer('z')], NONE_SILENT, 2 + lag) is None
    assert selector.choose(KNOWN, [remote], NONE_SILENT, 3 + lag) is None


def test_equal_fingerprint_is_not_copied() -> None:
    selector = _selector()
    same = _peer('z', zone='b1', upstreams_revision=9, upstreams_fingerprint=7)
    known = KNOWN._replace(upstreams_fingerprint=7)
    for now in (0, URGENT_LAG, 2 * URGENT_LAG):
        assert selector.choose(known, [same], NONE_SILENT, now) is None


def test_no_copy_from_other_zone_while_keeping_up_with_jobs() -> None:
    selector = _selector()
    for step in range(100):
        # The peer is always ahead, by less time than JOBS_LAG.
        known = KNOWN._replace(jobs_revision=step - 2)
        remote = _peer('z', zone='b1', jobs_revision=step)
        assert (
            selector.choose(known, [remote], NONE_SILENT, step * JOBS_LAG / 4)
            is None
        )


def _copier(now: float = 0) -> tuple[StateCopier, FleetState, JobStore]:
    state = FleetState(StoreDocumentDecoder(), 'main', lambda: now)
    store = JobStore(MemoryStore(), JobIndex(), random.Random(1), lambda: now)
    return StateCopier(state, store, lambda: now), state, store


def _entry(name: str, revision: int) -> StoredObject:
    entry = {
        'service': ENGINES,
        'address': '127.0.0.1:9',
        'zone': ZONE,
        'slots': 8,
        'state': 'ready',
        'born': 1,
    }
    return StoredObject(name, revision, entry)


def test_copy_contains_only_what_is_newer() -> None:
    source, source_state, store = _copier()
    source_state.replace_upstreams([_entry('u1', 4)], 5)
    for number in (6, 8):
        name = f'job{number}'
        content = job_to_content(make_job(name))
        store.apply_changes(
            [StoredObject(name, number, content, {'state': ''})], number
        )
    target, target_state, jobs = _copier()
    target.apply_copy(source.build_copy(target.build_request()))
    assert target.revisions == source.revisions
    assert target.revisions[:3] == (0, 5, 8)
    assert [
        entry.id for entry in target_state.roster.usable_upstreams(ENGINES, 0)
    ] == ['u1']
    assert set(jobs.index.entries) == {'job6', 'job8'}
    again = source.build_copy(ttypes.CopyRequest(0, 5, 6))
    assert again.upstreams is None
    assert [entry.name for entry in again.jobs] == ['job8']


async def test_job_known_by_other_ways_is_copied_to_whoever_may_lack_it() -> (
    None
):
    source, _, store = _copier()
    await store.accept(make_job('own'))
    store.apply_changes([], 5)
    read = StoredObject('read', 8, job_to_content(make_job('read')))
    store.apply(read)
    target, _, jobs = _copier()
    target.apply_copy(source.build_copy(target.build_request()))
    # The changes up to 5 didn't tell of the own job, so it is newer.
    assert set(jobs.index.entries) == {'read'}
    assert jobs.index.revision == 5
    own = StoredObject('own', 6, job_to_content(make_job('own')))
    store.apply_changes([own, read], 9)
    target.apply_copy(source.build_copy(target.build_request()))
    assert set(jobs.index.entries) == {'own', 'read'}
    assert not source.build_copy(target.build_request()).jobs


def test_older_copy_does_not_replace_newer_state() -> None:
    old, state, _ = _copier()
    state.replace_upstreams([], 3)
    target, target_state, _ = _copier()
    target_state.replace_upstreams([_entry('u1', 4)], 5)
    target.apply_copy(old.build_copy(ttypes.CopyRequest(0, 0, 0)))
    assert target.revisions.upstreams_revision == 5
    assert target_state.upstreams


def test_lapsed_entries_in_a_copy_stay_in_use_for_grace_time() -> None:
    source, source_state, _ = _copier()
    target, target_state, _ = _copier()
    for one in (source_state, target_state):
        one.replace_upstreams([_entry('u1', 4)], 5)
    source_state.roster.note_outage(0)
    source_state.replace_upstreams([], 6)
    target.apply_copy(source.build_copy(target.build_request()))
    found = target_state.roster.usable_upstreams(ENGINES, LAPSE_GRACE / 2)
    assert [one.id for one in found] == ['u1']
    assert not target_state.roster.usable_upstreams(ENGINES, LAPSE_GRACE + 1)
