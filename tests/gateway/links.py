"""Links of entries that carry so many bytes a second.

All that an entry receives from the store and from other entries comes through
one link of its own, and what it sends to the store goes through another one.
What it sends to other entries, and requests of callers, aren't bounded.
"""

import asyncio
import math
import time
from pathlib import Path

from gentiantrestle.models import Address
from tests.gateway.fleet import GatewayFleet
from tests.gateway.own_links import LINK_BLOCK, LINK_OFFSET
from tests.soak.proxy import DOWN, UP, ProxiedConnection, Proxy

OFFSET = 100  # of the hosts of the first entry's proxies
HOSTS = 20  # of each entry's proxies
STORE_HOST = 19  # among these
CHUNK_SIZE = 8192  # bytes of one connection until another one has its turn


class Link:
    """One direction of an entry's link, one chunk after the other."""

    def __init__(self) -> None:
        """Carry any number of bytes a second."""
        self.rate = math.inf  # bytes a second
        self._free_at = float(0)

    async def carry(self, size: int) -> None:
        """Return once so many bytes have arrived."""
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + size / self.rate
        await asyncio.sleep(self._free_at - now)


class LinkProxy(Proxy):
    """Connections of an entry to one address, through its links."""

    def __init__(
        self, listen: Address, target: Address, links: dict[str, Link]
    ) -> None:
        """Prepare to listen; ``links`` are those of directions."""
        super().__init__(listen, target)
        self._links = links

    async def pass_on(
        self,
        direction: str,
        chunk: bytes,
        writer: asyncio.StreamWriter,
        conn: ProxiedConnection,
    ) -> None:
        """Write bytes as the link carries them."""
        link = self._links.get(direction)
        if link is None:
            await super().pass_on(direction, chunk, writer, conn)
            return
        for start in range(0, len(chunk), CHUNK_SIZE):
            part = chunk[start : start + CHUNK_SIZE]
            await link.carry(len(part))
            await super().pass_on(direction, part, writer, conn)


class LinkFleet(GatewayFleet):
    """A fleet whose entries have links that can be bounded."""

    def __init__(self, folder: Path, entries: int, upstreams: int) -> None:
        """Choose the addresses; nothing is started yet."""
        super().__init__(folder, entries, upstreams)
        self.launcher = 'tests.gateway.own_links'
        self._links = [{UP: Link(), DOWN: Link()} for _ in self.hosts]
        self._block = self.hosts[0].rpartition('.')[0]
        self._proxies = [
            LinkProxy(listen, target, links)
            for entry, _ in enumerate(self.hosts)
            for listen, target, links in self._ways(entry)
        ]

    async def start(self) -> None:
        """Start the links and then the processes."""
        for proxy in self._proxies:
            await proxy.start()
        await super().start()

    async def stop(self) -> None:
        """Kill every process that is running, and end the links."""
        await super().stop()
        for proxy in self._proxies:
            await proxy.stop()

    async def start_entry(
        self, number: int, seeds: tuple[str, ...] | None = None
    ) -> None:
        """Start one entry on its link."""
        self.environ = {
            LINK_BLOCK: self._block,
            LINK_OFFSET: str(OFFSET + HOSTS * number),
        }
        await super().start_entry(number, seeds)

    def store_address(self, number: int) -> Address:
        """Return the address of the store that an entry uses."""
        return Address(self._link_host(number, STORE_HOST), self.store.port)

    def bound(self, rate: float) -> None:
        """Let each link carry ``rate`` bytes a second in each direction."""
        for links in self._links:
            for link in links.values():
                link.rate = rate

    def _ways(
        self, entry: int
    ) -> list[tuple[Address, Address, dict[str, Link]]]:
        """Return where an entry connects, where that leads, and its links."""
        links = self._links[entry]
        return [
            (self.store_address(entry), self.store, links),
            *(
                (
                    Address(self._link_host(entry, number + 1), port),
                    Address(host, port),
                    {DOWN: links[DOWN]},
                )
                for number, host in enumerate(self.hosts)
                for port in (self.peer, self.passing)
            ),
        ]

    def _link_host(self, entry: int, number: int) -> str:
        return f'{self._block}.{OFFSET + HOSTS * entry + number}'
