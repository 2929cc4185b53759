"""Links between entries and the store that pass few bytes a second."""

import asyncio
from pathlib import Path

from gentiantrestle.models import Address
from tests.gateway.fleet import GatewayFleet
from tests.gateway.wire_samples import route_doc, route_docs
from tests.soak.proxy import DOWN, ProxiedConnection, Proxy
from tests.utils.ports import HOST, free_ports

PART = 4096  # bytes that pass at once
PREFIX = 'r-'


class NarrowLink(Proxy):
    """Passes the answers of all connections at one rate together."""

    def __init__(self, listen: Address, target: Address, rate: int) -> None:
        """Pass ``rate`` bytes a second; nothing listens yet."""
        super().__init__(listen, target)
        self._rate = rate
        self._free_at = float(0)
        # Bytes of answers that have come so far.
        self.passed = 0

    async def pass_on(
        self,
        direction: str,
        chunk: bytes,
        writer: asyncio.StreamWriter,
        conn: ProxiedConnection,
    ) -> None:
        """Write bytes in small parts, each in its turn."""
        if direction != DOWN:
            await super().pass_on(direction, chunk, writer, conn)
            return
        for start in range(0, len(chunk), PART):
            part = chunk[start : start + PART]
            await self._take_turn(len(part))
            await super().pass_on(direction, part, writer, conn)

    async def _take_turn(self, size: int) -> None:
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self._rate
        self.passed += size
        await asyncio.sleep(self._free_at - now)


class NarrowFleet(GatewayFleet):
    """A fleet whose entries reach the store by a narrow link each."""

    def __init__(self, folder: Path, entries: int, rate: int) -> None:
        """Pass ``rate`` bytes a second to each entry."""
        super().__init__(folder, entries, 1)
        self.links = [
            NarrowLink(Address(HOST, port), self.store, rate)
            for port in free_ports(entries)
        ]
        self._link_addresses = [link.listen for link in self.links]

    def store_address(self, number: int) -> Address:
        """Return the address of an entry's link."""
        return self._link_addresses[number]

    async def start_links(self) -> None:
        """Let all links listen."""
        for link in self.links:
            await link.start()

    async def stop(self) -> None:
        """Kill all processes and close the links."""
        await super().stop()
        for link in self.links:
            await link.stop()


def many_route_docs(count: int) -> list[dict[str, object]]:
    """Return the sample routes and ``count`` others."""
    return route_docs() + [
        route_doc(name=f'{PREFIX}{number}', path_prefix=f'/{PREFIX}{number}/')
        for number in range(count)
    ]
