"""A configuration while the store answers some instances only."""

import asyncio
import time
from collections.abc import AsyncIterator, Iterable
from pathlib import Path

import pytest

from gentiantrestle.models import Address
from tests.gateway.fleet import ENTRIES, UPSTREAMS, GatewayFleet
from tests.gateway.wire_samples import route_doc, route_docs
from tests.soak.proxy import DOWN, UP, Proxy
from tests.utils.http import until
from tests.utils.ports import HOST, free_ports

# Until a confirmed configuration is in force at instances that the store
# answers, and at those that hear them.
APPLY_TIME = 2.5  # seconds
# Nothing is required of an instance for so long after its connections fell
# silent.
CONTACT_TIME = 4.0  # seconds
ROLES_TIME = 4.0  # seconds in which instances find out who watches the store
MUTE_TIME = 1.0  # seconds in which watches hear nothing
ROUNDS = 3
WATCHER_CHANGED = 3010  # event number


class LinkedFleet(GatewayFleet):
    """A fleet whose entries reach the store through a link each."""

    def __init__(self, folder: Path, upstreams: int = UPSTREAMS) -> None:
        """Choose the addresses; nothing is started yet."""
        super().__init__(folder, ENTRIES, upstreams)
        addresses = [Address(HOST, port) for port in free_ports(ENTRIES)]
        self._addresses = addresses
        self.links = [Proxy(address, self.store) for address in addresses]

    async def start(self) -> None:
        """Start the links and all processes."""
        for link in self.links:
            await link.start()
        await super().start()

    async def stop(self) -> None:
        """Kill every process that is running, and end the links."""
        await super().stop()
        for link in self.links:
            await link.stop()

    def store_address(self, number: int) -> Address:
        """Return the address of an entry's link to the store."""
        return self._addresses[number]

    def watchers(self) -> list[int]:
        """Return the entries that watch the store, by their logs."""
        return [
            number for number in range(ENTRIES) if self._has_watched(number)
        ]

    def _has_watched(self, number: int) -> bool:
        held = [
            line['held']
            for line in self.entries[number].log_lines()
            if line['code'] == WATCHER_CHANGED
        ]
        return bool(held) and held[-1]


@pytest.fixture
async def linked(tmp_path: Path) -> AsyncIterator[LinkedFleet]:
    """Start a fleet with links, and wait until the roles are settled."""
    fleet = LinkedFleet(tmp_path)
    try:
        await fleet.start()
        await until(fleet.watchers)
        await asyncio.sleep(ROLES_TIME)
        yield fleet
    finally:
        await fleet.stop()


async def _add_route(fleet: GatewayFleet, name: str) -> None:
    """Add a route; return once the store has confirmed it."""
    added = route_doc(name=name, path_prefix=f'/{name}/')
    await fleet.configure([*route_docs(), added])


async def _time_in_force(
    fleet: GatewayFleet, entries: Iterable[int], name: str
) -> float:
    """Return after how many s all ``entries`` serve an added route."""
    began = time.monotonic()

    async def serves(entry: int) -> bool:
        reply = await fleet.request(
            entry, f'{name}-{entry}', f'/{name}/1', body={'events': 1}
        )
        return reply.status != 404

    for entry in entries:
        await until(lambda entry=entry: serves(entry), timeout=10)
    return time.monotonic() - began


async def test_route_is_in_force_while_the_store_is_silent_to_its_watcher(
    linked: LinkedFleet,
) -> None:
    watcher = min(linked.watchers())
    linked.links[watcher].blocked |= {UP, DOWN}
    await _add_route(linked, 'added')
    took = await _time_in_force(linked, range(ENTRIES), 'added')
    assert took <= APPLY_TIME


@pytest.mark.parametrize('phase', [0.22, 0.8])
async def test_route_is_in_force_after_connections_to_the_store_fell_silent(
    linked: LinkedFleet, phase: float
) -> None:
    # All watches begin anew after a change.
    await _add_route(linked, 'first')
    await asyncio.sleep(phase)
    for link in linked.links:
        link.silence()
    await asyncio.sleep(CONTACT_TIME - APPLY_TIME)
    await _add_route(linked, 'added')
    took = await _time_in_force(linked, range(ENTRIES), 'added')
    assert took <= APPLY_TIME


async def test_route_is_in_force_after_watches_heard_nothing_and_were_cut(
    linked: LinkedFleet,
) -> None:
    for number in range(ROUNDS):
        await linked.set_store_faults(mute=True)
        await _add_route(linked, f'unheard{number}')
        await asyncio.sleep(MUTE_TIME)
        await _add_route(linked, f'added{number}')
        await linked.set_store_faults(compact=True)
        for link in linked.links:
            link.reset()
        name = f'added{number}'
        took = await _time_in_force(linked, range(ENTRIES), name)
        assert took <= APPLY_TIME
