"""A daemon's mirror of the store while members that are ahead are silent."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import pytest

from gentiantrestle.config import Settings
from gentiantrestle.context import Context
from gentiantrestle.daemon.configuration.service import Configuration
from gentiantrestle.daemon.membership.peers import PeerError
from gentiantrestle.daemon.membership.view import Member, MembershipView, State
from gentiantrestle.metrics import Metrics
from gentiantrestle.store.client import WATCH_WAIT
from gentiantrestle.store.listing import ListedObject, ObjectList
from gentiantrestle.wire.peer.ttypes import Changes, Envelope
from tests.decisions.test_configuration import REQUIRED_SETTINGS
from tests.utils.virtual_time import run_virtual, virtual_now

# A change is in force within 4 s; heartbeats tell of it within 1 s.
COPY_TIME = 3.0  # seconds
CALL_TIME = 2.0  # seconds until a call to a silent member fails
NEWEST = 9


def _member(name: str, revision: int, zone: str = 'a1') -> Member:
    return Member(name, 1, 1, zone, 'a', name, 1, 2, State.SERVING, 0, revision)


class _Fleet:
    """Members of which some don't answer."""

    def __init__(
        self, silent: set[str], rows: list[Member], took: float = 0
    ) -> None:
        self.view = MembershipView(_member('own', 0), 60)
        self.view.merge(rows, 0)
        self._silent = silent
        self._took = took
        self.asked: list[str] = []
        self._revisions = {row.instance: row.store_revision for row in rows}

    def register_handler(self, field: str, handle: Callable[..., Any]) -> None:
        """Take no calls."""

    async def fetch(self, member: Member, envelope: Envelope) -> Envelope:
        """Answer with the revision that a member has."""
        self.asked.append(member.instance)
        if member.instance in self._silent:
            await asyncio.sleep(CALL_TIME)
            raise PeerError('silent')
        await asyncio.sleep(self._took)
        revision = self._revisions[member.instance]
        return Envelope(changes=Changes(revision, complete=True, changes=[]))

    def answer_silence(self, member: Member) -> float:
        """Return for how many s no part of an answer has arrived."""
        return float('inf') if member.instance in self._silent else 0


def _time_copy(silent: set[str], rows: list[Member]) -> float:
    """Return after how many s a daemon has the newest revision."""
    cfg = Settings.from_sources(REQUIRED_SETTINGS, {})
    ctx = Context(
        cfg, Metrics.from_config(cfg), 1, random.Random(1), virtual_now
    )

    async def run() -> float:
        fleet = _Fleet(silent, rows)
        configuration = Configuration(ctx, None, fleet)
        following = asyncio.create_task(configuration._follow_peers())
        while configuration.mirror.revision < NEWEST:
            await asyncio.sleep(0.01)
            if virtual_now() > 60:
                break
        following.cancel()
        return virtual_now()

    return run_virtual(run())


@pytest.mark.parametrize('zone', ['a1', 'b1'])
def test_silent_member_does_not_delay_a_configuration(zone: str) -> None:
    rows = [_member('b', NEWEST), _member('c', NEWEST, zone)]
    assert _time_copy({'b'}, rows) <= COPY_TIME
    assert _time_copy({'c'}, rows) <= COPY_TIME


def test_silent_member_that_is_newest_holds_up_no_older_one() -> None:
    rows = [_member('b', NEWEST + 1), _member('c', NEWEST)]
    assert _time_copy({'b'}, rows) <= COPY_TIME


def test_several_silent_members_do_not_delay_a_configuration() -> None:
    rows = [_member(name, NEWEST) for name in 'bcde']
    assert _time_copy({'b', 'c', 'd'}, rows) <= COPY_TIME


@pytest.mark.parametrize(('took', 'asked'), [(1.0, 1), (COPY_TIME, 2)])
def test_members_are_not_asked_beside_an_answer_that_arrives(
    took: float, asked: int
) -> None:
    cfg = Settings.from_sources(REQUIRED_SETTINGS, {})
    ctx = Context(
        cfg, Metrics.from_config(cfg), 1, random.Random(1), virtual_now
    )
    rows = [_member(name, NEWEST) for name in 'bcde']
    fleet = _Fleet(set(), rows, took=took)

    async def run() -> int:
        configuration = Configuration(ctx, None, fleet)
        following = asyncio.create_task(configuration._follow_peers())
        await asyncio.sleep(COPY_TIME + 1)
        following.cancel()
        return configuration.mirror.revision

    assert run_virtual(run()) == NEWEST
    assert len(fleet.asked) == asked


class _SilentStore:
    """A store that answers everybody but some instances."""

    def __init__(self, silent: set[str], own: str) -> None:
        self._is_silent = own in silent

    async def list_documents(self, *prefixes: str) -> ObjectList:
        """Return no objects as of the first revision."""
        return ObjectList(objects=[], revision=1)

    async def watch(self, after: int, *prefixes: str) -> ObjectList:
        """Tell of the newest revision, or never answer."""
        if self._is_silent or after >= NEWEST:
            await asyncio.Event().wait()
        newest = ListedObject(name='live/b', version=NEWEST, body={})
        return ObjectList(objects=[newest], revision=NEWEST)

    read_changes = watch


def _hears_in_time(own: str, silent: set[str], zones: list[str]) -> bool:
    """Return whether one instance of the own zone hears of a change."""
    cfg = Settings.from_sources({**REQUIRED_SETTINGS, 'instance': own}, {})
    ctx = Context(
        cfg, Metrics.from_config(cfg), 1, random.Random(1), virtual_now
    )

    async def run() -> bool:
        rows = [
            _member(f'{zone}-{number}', 1, zone)
            for zone in zones
            for number in range(3)
        ]
        fleet = _Fleet(set(), [row for row in rows if row.instance != own])
        fleet.view.local_member = _member(own, 1)
        store = _SilentStore(silent, own)
        configuration = Configuration(ctx, store, fleet)
        following = asyncio.create_task(configuration._follow_store())
        await asyncio.sleep(COPY_TIME)
        following.cancel()
        return configuration.mirror.revision == NEWEST

    return run_virtual(run())


@pytest.mark.parametrize('zones', [['a1'], ['a1', 'b1'], ['a1', 'b1', 'b2']])
def test_change_is_heard_while_the_store_is_silent_to_one_of_a_zone(
    zones: list[str],
) -> None:
    names = [f'a1-{number}' for number in range(3)]
    for silent in names:
        heard = [_hears_in_time(own, {silent}, zones) for own in names]
        assert any(heard)


def test_one_instance_of_each_zone_watches_where_there_are_many_zones() -> None:
    names = [f'a1-{number}' for number in range(3)]
    zones = ['a1', 'a2', 'b1', 'b2', 'c1']
    assert sum(_hears_in_time(own, set(), zones) for own in names) == 1


class _DeafStore:
    """A store that changes while its watches hear nothing."""

    def __init__(self) -> None:
        self.watched: list[int] = []
        self._changed = ListedObject(name='live/b', version=8, body={})

    async def list_documents(self, *prefixes: str) -> ObjectList:
        """Return no objects as of the first revision."""
        return ObjectList(objects=[], revision=1)

    async def watch(self, after: int, *prefixes: str) -> ObjectList:
        """Miss a change in the first watch; tell of it afterwards."""
        self.watched.append(after)
        await asyncio.sleep(WATCH_WAIT)
        is_heard = len(self.watched) > 1 and after < self._changed['version']
        found = [self._changed] if is_heard else []
        return ObjectList(objects=found, revision=NEWEST)


def test_change_that_the_watch_did_not_hear_is_not_passed_over() -> None:
    cfg = Settings.from_sources({**REQUIRED_SETTINGS, 'instance': 'own'}, {})
    ctx = Context(
        cfg, Metrics.from_config(cfg), 1, random.Random(1), virtual_now
    )
    store = _DeafStore()

    async def run() -> bool:
        configuration = Configuration(ctx, store, _Fleet(set(), []))
        following = asyncio.create_task(configuration._follow_store())
        await asyncio.sleep(4 * WATCH_WAIT)
        following.cancel()
        return configuration.mirror.get('live/b') is not None

    assert run_virtual(run())
    assert store.watched[:3] == [1, 1, NEWEST]
