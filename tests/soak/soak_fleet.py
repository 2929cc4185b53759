"""The processes of one play, with proxies before the store and upstreams."""

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gentiantrestle.http.client import ConnectionLostError, NotSentError
from gentiantrestle.models import Address
from tests.gateway.fleet import GatewayFleet
from tests.gateway.wire_samples import route_doc, route_docs
from tests.soak.history import Drain, History
from tests.soak.proxy import Proxy
from tests.soak.skewed import CLOCK_FILE
from tests.utils.http import until
from tests.utils.ports import HOST, free_ports

ENTRIES = 3
UPSTREAMS = 3


class SoakFleet(GatewayFleet):
    """A fleet with proxied links that records acknowledged changes.

    Each entry has its own proxy to the store; all entries share one proxy to
    each upstream.
    """

    def __init__(
        self,
        folder: Path,
        entries: int = ENTRIES,
        upstreams: int = UPSTREAMS,
        new_link: Callable[[Address, Address], Proxy] = Proxy,
    ) -> None:
        """Choose the addresses; nothing is started yet.

        ``new_link`` makes the proxy before an upstream.
        """
        super().__init__(folder, entries, upstreams)
        ports = free_ports(entries + upstreams)
        addresses = [Address(HOST, port) for port in ports]
        self.store_links = [
            Proxy(address, self.store) for address in addresses[:entries]
        ]
        self.upstream_links = [
            new_link(address, target)
            for address, target in zip(
                addresses[entries:], self.upstreams, strict=True
            )
        ]
        self._proxy_addresses = addresses
        self.history = History()
        # Entries reach the upstreams without their proxies.
        self.direct = False
        # Overlapping faults must not start the same process twice.
        self._starting = asyncio.Lock()
        # Versions must reach the store in order.
        self._writing_config = asyncio.Lock()
        self.run_numbers = [0] * entries
        self.launcher = 'tests.soak.skewed'
        self.environ = {CLOCK_FILE: str(folder / 'clock')}

    @property
    def links(self) -> list[Proxy]:
        """All proxies."""
        return self.store_links + self.upstream_links

    def store_address(self, number: int) -> Address:
        """Return the address of an entry's proxy to the store."""
        return self._proxy_addresses[number]

    def upstream_address(self, number: int) -> Address:
        """Return the address of the proxy to an upstream, or its own."""
        if self.direct:
            return self.upstreams[number]
        return self._proxy_addresses[len(self.hosts) + number]

    async def start(self) -> None:
        """Start the proxies and then the processes."""
        for link in self.links:
            await link.start()
        await super().start()

    async def start_entry(self, number: int) -> None:
        """Start an entry unless it is running; each start is a new run."""
        async with self._starting:
            if self.entries[number].running:
                return
            self.run_numbers[number] += 1
            await super().start_entry(number)

    async def start_upstream(self, number: int) -> None:
        """Start an upstream unless it is running; wait until it answers."""
        async with self._starting:
            child = self.standins.get(self.upstreams[number])
            if child is None or not child.running:
                await super().start_upstream(number)
        await until(lambda: self._answers(number))

    async def stop(self) -> None:
        """Kill the processes, stop the proxies and read the upstreams' runs."""
        await super().stop()
        for link in self.links:
            await link.stop()
        self._read_runs()

    def skew_clocks(self, seconds: float) -> None:
        """Set the offset of all entries' wall clocks."""
        (self.folder / 'clock').write_text(str(seconds))

    async def add_version(self) -> int:
        """Write the next configuration version and return its number.

        Each version adds one route, ``/v{version}/``.
        """
        async with self._writing_config:
            versions = range(1, self.version + 2)
            await self.configure(
                [*route_docs(), *map(_version_route, versions)]
            )
            self.history.acked_at[self.version] = time.time()
        return self.version

    async def drain(self, upstream: int) -> None:
        """Register an upstream as draining and record it."""
        await self.register(upstream, 'draining')
        self.history.drains.append(
            Drain(self.upstream_id(upstream), time.time())
        )

    async def _answers(self, number: int) -> bool:
        try:
            await self.set_faults(number)
        except (NotSentError, ConnectionLostError):
            return False
        return True

    def _read_runs(self) -> None:
        for number, address in enumerate(self.upstreams):
            for run in self.standins[address].log_lines():
                record: dict[str, Any] = {
                    **run,
                    'upstream': self.upstream_id(number),
                }
                self.history.runs.append(record)


def _version_route(version: int) -> dict[str, Any]:
    return route_doc(
        name=f'v{version}',
        path_prefix=f'/v{version}/',
        route_kind='safe',
    )
