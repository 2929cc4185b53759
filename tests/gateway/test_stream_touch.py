"""Streams taken up at an instance that can't reach the store."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from types import SimpleNamespace

import pytest

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.membership.peers import Peer, PeerList
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.streams.asking import (
    MAX_READERS,
    READ_TIMEOUT,
    write_answer,
)
from gentiantrestle.gateway.streams.origins import RETENTION, StreamOrigin
from gentiantrestle.gateway.streams.service import LIST_LAG, StreamOrigins
from gentiantrestle.gateway.streams.sharing import COPIES
from gentiantrestle.gateway.streams.versions import Versions
from gentiantrestle.wire.peer import ttypes
from tests.gateway.memory import MemoryStore
from tests.gateway.origins import ZONE, list_upstream, make_adapter
from tests.gateway.samples import (
    ENGINES,
    make_request,
    make_route,
    make_upstream,
)
from tests.utils.virtual_time import run_virtual, virtual_now

OLD, NEW = 'v1', 'v2'
LEFT = 5.0  # seconds that a take-up has
SHARED_TIME = 0.3  # seconds in which streams are told
UPSTREAM = make_upstream('u1', version=OLD)


class Other:
    """Another instance, which is asked; ``None`` where it is silent."""

    def __init__(
        self,
        zone: str = ZONE,
        versions: Versions | None = None,
        began: StreamOrigin | None = None,
        *,
        silent: bool = False,
    ) -> None:
        """Tell ``versions`` if asked to read, and where ``began`` began."""
        self.zone = zone
        self.silent = silent
        self.asked: list[ttypes.OriginRequest] = []
        self._versions = versions
        self._began = began

    async def answer(
        self, request: ttypes.OriginRequest
    ) -> ttypes.OriginAnswer | None:
        """Answer as an instance does."""
        self.asked.append(request)
        if self.silent:
            await asyncio.sleep(LEFT)
            return None
        known = [self._began] if self._began else []
        return write_answer(known, self._versions if request.confirm else None)


def _make_fleet() -> SimpleNamespace:
    """Return an instance's fleet, with upstreams of one version."""
    roster = Roster()
    roster.put(UPSTREAM)
    return SimpleNamespace(
        clock=SimpleNamespace(now=virtual_now),
        identity=SimpleNamespace(zone=ZONE, instance='me'),
        port=SimpleNamespace(on=lambda kind, handler: None),
        state=SimpleNamespace(roster=roster),
        peers=PeerList('me', '10.0.0.1', ZONE, ()),
    )


async def _watch(origins: StreamOrigins) -> None:
    """See the same upstreams until nothing from before counts."""
    started = virtual_now()
    while virtual_now() < started + RETENTION + 1:
        origins.note_upstreams()
        await asyncio.sleep(1)


async def _share_for(origins: StreamOrigins, seconds: float) -> None:
    """Run what tells coordinators of streams for a while."""
    sharing = next(
        child for child in origins.children() if child.name == 'share streams'
    )
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await sharing.run()


async def _take_up(*others: Other, listed_after: float = LEFT) -> str:
    """Take a stream up without the store; return the version it is bound to.

    The instance has watched upstreams of one version for long, and the others
    were heard just now. The new version is known here ``listed_after`` s.
    """
    store = MemoryStore()
    await list_upstream(store, OLD)
    store.down = True
    fleet = _make_fleet()
    roster, peers = fleet.state.roster, fleet.peers
    origins = StreamOrigins(fleet, None, make_adapter(store))
    origins.peers.ask = lambda peer, request: others[int(peer.instance)].answer(
        request
    )
    await _watch(origins)
    for number, other in enumerate(others):
        host = f'10.0.1.{number}'
        row = (str(number), 1, 1, host, other.zone, False, 3, True)
        peers.update(Peer(*row, virtual_now()))
    new = make_upstream('u2', version=NEW)
    asyncio.get_running_loop().call_later(listed_after, roster.put, new)
    req = make_request('r1', last_event=7)._replace(
        resumes='r0', deadline=virtual_now() + LEFT
    )
    found = await origins.find(req, make_route())
    assert found.service == ENGINES
    return found.version


def _reads(*versions: str) -> Versions:
    return {ENGINES: frozenset(versions)}


# ORDER: that others are heard says nothing of the age of the list here.
def test_stream_is_refused_where_no_other_instance_confirms_the_list() -> None:
    with pytest.raises(RefusedError):
        run_virtual(_take_up(Other(), Other('b1')))


def test_stream_is_refused_where_nobody_is_heard() -> None:
    with pytest.raises(RefusedError):
        run_virtual(_take_up())


def test_stream_goes_on_where_another_instance_confirms_the_list() -> None:
    other = Other('b1', _reads(OLD))
    assert run_virtual(_take_up(other)) == OLD
    assert [request.confirm for request in other.asked] == [True]


# ORDER: the new version was not known here yet.
def test_stream_is_refused_if_another_instance_knows_of_a_new_version() -> None:
    with pytest.raises(RefusedError):
        run_virtual(_take_up(Other('b1', _reads(OLD, NEW))))


def test_version_seen_here_counts_beside_those_that_others_confirm() -> None:
    with pytest.raises(RefusedError):
        run_virtual(_take_up(Other('b1', _reads(NEW))))


@pytest.mark.parametrize('version', [OLD, NEW])
def test_stream_goes_on_at_the_version_named_where_it_began(
    version: str,
) -> None:
    began = StreamOrigin('r0', ENGINES, version)
    silent = Other(silent=True)
    told = run_virtual(_take_up(silent, Other(began=began)))
    assert told == version
    assert not any(request.confirm for request in silent.asked)


@pytest.mark.parametrize('listed_after', [0.3, LEFT])
def test_take_up_waits_a_moment_for_a_version_that_is_new_here(
    listed_after: float,
) -> None:
    async def take_up() -> float:
        began_at = virtual_now()
        began = StreamOrigin('r0', ENGINES, NEW)
        await _take_up(Other(began=began), listed_after=listed_after)
        return virtual_now() - began_at

    waited = run_virtual(take_up()) - RETENTION - 1
    assert waited == pytest.approx(min(listed_after, LIST_LAG), abs=0.1)


def test_stream_of_an_ended_instance_goes_on_though_a_new_version_came() -> (
    None
):
    assert run_virtual(_take_up_after_release()) == OLD


async def _take_up_after_release() -> str:
    """Take a stream up that began while its service had one version.

    It is taken up at an instance that was told of it.
    """
    store = MemoryStore()
    await list_upstream(store, OLD)
    handlers: dict[str, Callable[[object], None]] = {}
    ended, survivor = _make_fleet(), _make_fleet()
    ended.port.send = lambda hosts, kind, message: handlers[kind](message)
    survivor.port.on = handlers.setdefault
    rows = (
        ('x', 1, 1, f'10.0.1.{host}', ZONE, False, 3, True) for host in range(9)
    )
    ranked = tuple(Peer(*row, virtual_now()) for row in rows)
    directory = SimpleNamespace(coordinators=lambda zone, now: ranked)
    first = StreamOrigins(ended, directory, make_adapter(store))
    second = StreamOrigins(survivor, directory, make_adapter(store))
    await asyncio.gather(_watch(first), _watch(second))
    first.begin(make_request('r0'), make_route(), UPSTREAM)
    await _share_for(first, SHARED_TIME)
    await list_upstream(store, NEW)
    survivor.state.roster.put(make_upstream('u2', version=NEW))
    req = make_request('r1', last_event=7)._replace(
        resumes='r0', deadline=virtual_now() + LEFT
    )
    return (await second.find(req, make_route())).version


def test_streams_of_one_version_are_told_to_four_instances() -> None:
    told: list[tuple[int, list[str]]] = []

    async def tell() -> None:
        fleet = _make_fleet()
        fleet.port.send = lambda hosts, kind, message: told.append(
            (len(hosts), message.attempts)
        )
        row = ('x', 1, 1, '10.0.1.1', ZONE, False, 3, True, virtual_now())
        directory = SimpleNamespace(
            coordinators=lambda zone, now: (Peer(*row),) * 9
        )
        origins = StreamOrigins(fleet, directory, make_adapter(MemoryStore()))
        await _watch(origins)
        origins.begin(make_request('r0'), make_route(), UPSTREAM)
        await _share_for(origins, SHARED_TIME)

    run_virtual(tell())
    assert told == [(4, ['r0'])] * COPIES


def test_silent_instances_hold_no_take_up_for_long() -> None:
    async def take_up() -> float:
        silent = [Other('b1', silent=True) for _ in range(MAX_READERS - 1)]
        began_at = virtual_now()
        assert await _take_up(*silent, Other('c1', _reads(OLD))) == OLD
        return virtual_now() - began_at

    waited = run_virtual(take_up()) - RETENTION - 1
    assert waited <= MAX_READERS * READ_TIMEOUT + 1
