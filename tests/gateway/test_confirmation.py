"""How new the configuration in force is known to be; no I/O."""

import random
from collections.abc import Iterable
from typing import Any

import pytest

from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.membership.peers import Peer
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.gateway.state.confirmation import (
    MAX_PENDING,
    Claim,
    ConfigConfirmation,
)
from gentiantrestle.gateway.state.confirmation_asks import (
    ANSWER_SILENCE,
    READ_PAUSE,
    WIDE_TARGETS,
    ConfirmationAsks,
    Situation,
)
from gentiantrestle.platform.document_decoder import StoreDocumentDecoder
from gentiantrestle.store.watch_proof import (
    DEAF_TIME,
    WatchProof,
    proven_time,
)
from tests.gateway.wire_samples import config_doc

LIMIT = 5.0
ZONE = 'a1'
STEP = 0.05


class _Keys:
    """A confirmation, and the version in force."""

    def __init__(self, version: int = 3, limit: float = LIMIT) -> None:
        self.version = version
        self.confirmation = ConfigConfirmation(limit, lambda: self.version)

    def confirm(self, version: int, at: float) -> None:
        self.confirmation.confirm(Claim(version, at))


def test_configuration_is_fresh_until_its_confirmation_is_too_old() -> None:
    keys = _Keys()
    assert not keys.confirmation.is_fresh(0)
    keys.confirm(3, 100)
    assert keys.confirmation.age(102) == 2
    assert keys.confirmation.is_fresh(104.8)
    assert not keys.confirmation.is_fresh(104.95)


def test_without_a_bound_it_is_always_fresh() -> None:
    assert _Keys(limit=0).confirmation.is_fresh(1e9)


@pytest.mark.parametrize('limit', [4, 5, 8, 20])
def test_watchers_wait_so_that_an_outage_stops_nobody_at_once(
    limit: float,
) -> None:
    wait = _Keys(limit=limit).confirmation.watch_wait
    assert wait + max(wait, DEAF_TIME) < 0.4 * limit


def test_late_claims_never_make_it_older() -> None:
    keys = _Keys()
    keys.confirm(3, 100)
    keys.confirm(3, 98)
    keys.confirm(2, 99)
    assert keys.confirmation.age(101) == 1


def test_confirmation_of_an_older_version_holds_for_a_newer_one() -> None:
    keys = _Keys()
    keys.confirm(3, 100)
    keys.version = 4
    assert keys.confirmation.age(101) == 1


def test_claim_for_a_newer_version_counts_once_that_is_in_force() -> None:
    keys = _Keys()
    keys.confirm(3, 100)
    keys.confirm(5, 104)
    keys.version = 4
    assert keys.confirmation.age(105) == 5
    keys.version = 5
    assert keys.confirmation.age(105) == 1


def test_pending_claims_are_bounded_and_the_newest_versions_stay() -> None:
    keys = _Keys()
    for version in range(10, 10 + 4 * MAX_PENDING):
        keys.confirm(version, version)
    keys.version = version
    assert keys.confirmation.last.version == version
    assert keys.confirmation.age(version) == 0


@pytest.mark.parametrize('frozen', [4.95, 8, 3600])
def test_nothing_from_before_a_freeze_is_fresh_after_it(frozen: float) -> None:
    # The clock counts the time of a suspended machine, too.
    keys = _Keys()
    keys.confirm(3, 100)
    assert keys.confirmation.is_fresh(100)
    assert not keys.confirmation.is_fresh(100 + frozen)


def _state(confirmed: list[tuple[int, float]]) -> FleetState:
    state = FleetState(StoreDocumentDecoder(), 'main', lambda: 0)
    state.on_confirmed = lambda version, at: confirmed.append((version, at))
    return state


def _config(version: int, revision: int, **changes: Any) -> StoredObject:
    stored = StoredObject('main', revision, config_doc(version))
    return stored._replace(**changes)


@pytest.mark.parametrize(
    'broken',
    [
        _config(4, 8, content={'version': 'new'}),
        _config(4, 8, content=None, error='not JSON'),
        _config(4, 8, deleted=True),
    ],
)
def test_configuration_that_cannot_be_read_is_no_confirmation(
    broken: StoredObject,
) -> None:
    confirmed: list[tuple[int, float]] = []
    state = _state(confirmed)
    handlers = state.config_handlers()
    handlers.replace([_config(3, 5)], 6)
    handlers.confirm(1)
    handlers.change([broken], 8)
    handlers.confirm(2)
    state.apply_config(_config(3, 5))
    handlers.confirm(3)
    assert confirmed == [(3, 1)]
    assert state.config_version == 3
    handlers.change([_config(5, 9)], 9)
    handlers.confirm(4)
    assert confirmed == [(3, 1), (5, 4)]


def test_list_without_a_configuration_is_no_confirmation() -> None:
    confirmed: list[tuple[int, float]] = []
    state = _state(confirmed)
    handlers = state.config_handlers()
    handlers.replace([_config(3, 5)], 6)
    handlers.replace([], 7)
    handlers.confirm(1)
    assert not confirmed
    handlers.replace([_config(3, 9)], 9)
    handlers.confirm(2)
    assert confirmed == [(3, 2)]


@pytest.mark.parametrize('wait', [0.05, 0.4, 1.0, 1.8])
@pytest.mark.parametrize('deaf_after', [0, 0.3, 0.7, 0.99])
def test_deaf_watch_proves_nothing_that_it_has_not_heard(
    wait: float, deaf_after: float
) -> None:
    """Play watches until one is cut; a change comes while they are deaf."""
    proof = WatchProof()
    revision, stored, changed_at = 5, 5, 10 + deaf_after
    asked_at = 7.0
    while True:
        answered_at = asked_at + wait
        if answered_at > changed_at:
            stored = 8
        if asked_at <= 10 + DEAF_TIME < answered_at:
            break
        assert proven_time(asked_at, wait) <= changed_at
        revision = proof.next_revision(revision, stored, wait)
        asked_at = answered_at
    assert revision < 8  # older than the dropped history: listed again


def test_calm_watches_go_on_from_newer_revisions() -> None:
    proof = WatchProof()
    revision = 5
    for stored in range(6, 12):
        revision = proof.next_revision(revision, stored, 1.0)
    assert revision == 10


def _peer(name: str, **changes: Any) -> Peer:
    default = Peer(name, 1, 1, f'h-{name}', ZONE, False, 3, False, 0, 5, 5)
    return default._replace(**changes)


NEAR = _peer('near', store_reached=True)
FAR = [
    _peer(f'far{number}', zone='b1', store_reached=True) for number in range(4)
]
OTHERS = [_peer(f'other{number}') for number in range(8)]
FLEET = (NEAR, *FAR, *OTHERS)


def _asks(seed: int = 1) -> ConfirmationAsks:
    return ConfirmationAsks(ZONE, LIMIT, random.Random(seed))


def _hosts(asks: ConfirmationAsks, now: float, *situation: Any) -> list[str]:
    questions = asks.plan(now, Situation(*situation))
    return [question.target.host for question in questions]


def test_a_watcher_of_the_zone_is_asked_twice_a_second() -> None:
    asks = _asks()
    rounds = []
    for step in range(80):
        now = step * STEP
        questions = asks.plan(now, Situation(1, False, FLEET))
        rounds.append([question.target.host for question in questions])
        for question in questions:
            asks.close(question.number, now)
    asked = [hosts for hosts in rounds if hosts]
    assert len(asked[0]) == WIDE_TARGETS  # no watcher has answered yet
    assert asked[1:] == [['h-near']] * 7


def test_others_are_asked_while_no_watcher_answers() -> None:
    asks = _asks()
    rounds = [_hosts(asks, number, 1, False, FLEET) for number in range(3)]
    assert [len(hosts) for hosts in rounds] == [WIDE_TARGETS] * 3


def test_watchers_ask_nobody_until_their_own_confirmation_is_old() -> None:
    asks = _asks()
    assert not _hosts(asks, 10, 2.9, True, FLEET)
    assert len(_hosts(asks, 11, 3.0, True, FLEET)) == WIDE_TARGETS


def test_others_are_asked_where_the_confirmation_gets_old() -> None:
    asks = _asks()
    asked: set[str] = set()
    for number in range(40):
        hosts = _hosts(asks, number, 3, False, FLEET)
        assert len(hosts) == WIDE_TARGETS
        assert 'h-near' in hosts
        asked.update(hosts)
    assert asked == {peer.host for peer in FLEET}


def test_known_hosts_are_asked_while_nobody_is_alive() -> None:
    hosts = _hosts(_asks(), 10, 9, False, (), ('h1', 'h2', 'h3', 'h4'))
    assert len(hosts) == WIDE_TARGETS


def test_answers_count_once_and_not_after_the_limit() -> None:
    asks = _asks()
    first = asks.plan(0, Situation(1, False, FLEET))[0]
    second = asks.plan(3, Situation(1, False, FLEET))[0]
    assert asks.close(first.number, 3) == first
    assert asks.close(first.number, 3) is None
    assert asks.close(second.number + WIDE_TARGETS, 3) is None
    asks.plan(3 + LIMIT, Situation(1, False, FLEET))
    assert asks.close(second.number, 3 + LIMIT) is None


def test_store_is_read_where_no_watcher_answers() -> None:
    asks = _asks()
    reads = [
        step * STEP
        for step in range(200)
        if asks.must_read(step * STEP, Situation(step * STEP, False, FLEET))
    ]
    assert 0.5 * LIMIT <= reads[0] <= 0.85 * LIMIT
    assert len(reads) <= (10 - reads[0]) / READ_PAUSE + 1


@pytest.mark.parametrize(
    ('age', 'answers', 'peers'),
    [
        (2.4, False, FLEET),  # not old
        (9, True, FLEET),  # a watcher has answered, and knows nothing newer
        (9, False, OTHERS),  # nobody reaches the store
    ],
)
def test_store_is_not_read_where_that_helps_nobody(
    age: float, *, answers: bool, peers: Iterable[Peer]
) -> None:
    asks = _asks()
    situation = Situation(age, False, tuple(peers))
    for question in asks.plan(100, situation):
        if answers:
            asks.close(question.number, 100)
    assert not asks.must_read(100 + ANSWER_SILENCE / 2, situation)


def test_store_is_read_again_once_its_watchers_fall_silent() -> None:
    asks = _asks()
    situation = Situation(9, False, FLEET)
    for question in asks.plan(100, situation):
        asks.close(question.number, 100)
    assert asks.must_read(100 + ANSWER_SILENCE, situation)
