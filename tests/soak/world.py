"""The processes of one play, with a proxy before the store and upstreams."""

import asyncio
import time
from pathlib import Path
from typing import Any

from gentiantrestle.http.client import ConnectionLostError, NotSentError
from gentiantrestle.models import Address
from tests.gateway.fleet import GatewayFleet
from tests.gateway.wire_samples import route_doc, route_docs
from tests.soak.history import Drained, History
from tests.soak.proxy import Proxy
from tests.soak.skewed import CLOCK_FILE
from tests.utils.http import until
from tests.utils.ports import HOST, free_ports

ENTRIES = 3
UPSTREAMS = 3


class World(GatewayFleet):
    """A fleet whose links can be harmed; it notes what was acknowledged."""

    def __init__(
        self,
        folder: Path,
        entries: int = ENTRIES,
        upstreams: int = UPSTREAMS,
    ) -> None:
        """Give every process its address; nothing is started yet."""
        super().__init__(folder, entries, upstreams)
        ports = free_ports(entries + upstreams)
        seen = [Address(HOST, port) for port in ports]
        self.store_links = [Proxy(one, self.store) for one in seen[:entries]]
        self.upstream_links = [
            Proxy(one, target)
            for one, target in zip(seen[entries:], self.upstreams, strict=True)
        ]
        self._seen = seen
        self.history = History()
        # Overlapping faults must not start the same process twice.
        self._starting = asyncio.Lock()
        # Versions reach the store in their order.
        self._operator = asyncio.Lock()
        self.runs_of = [0] * entries
        self.launcher = 'tests.soak.skewed'
        self.environ = {CLOCK_FILE: str(folder / 'clock')}

    @property
    def links(self) -> list[Proxy]:
        """All proxies."""
        return self.store_links + self.upstream_links

    def store_seen(self, number: int) -> Address:
        """Return the proxy through which an entry finds the store."""
        return self._seen[number]

    def upstream_seen(self, number: int) -> Address:
        """Return the proxy through which entries find an upstream."""
        return self._seen[len(self.hosts) + number]

    async def start(self) -> None:
        """Start the proxies and then everything else."""
        for link in self.links:
            await link.start()
        await super().start()

    async def start_entry(self, number: int) -> None:
        """Start another run of an entry, unless it runs."""
        async with self._starting:
            if self.entries[number].runs:
                return
            self.runs_of[number] += 1
            await super().start_entry(number)

    async def start_upstream(self, number: int) -> None:
        """Start another run of an upstream, and wait until it answers."""
        async with self._starting:
            child = self.standins.get(self.upstreams[number])
            if child is None or not child.runs:
                await super().start_upstream(number)
        await until(lambda: self._answers(number))

    async def stop(self) -> None:
        """End every process that was started, and the proxies."""
        await super().stop()
        for link in self.links:
            await link.stop()
        self._read_runs()

    def skew_clocks(self, seconds: float) -> None:
        """Let the time of day of all entries jump."""
        (self.folder / 'clock').write_text(str(seconds))

    async def next_version(self) -> int:
        """Write a configuration with one more route of its own."""
        async with self._operator:
            versions = range(1, self.version + 2)
            await self.configure([*route_docs(), *map(_own_route, versions)])
            self.history.acked[self.version] = time.time()
        return self.version

    async def drain(self, upstream: int) -> None:
        """Let an upstream report that it is leaving."""
        await self.register(upstream, 'draining')
        self.history.drained.append(Drained(self.name(upstream), time.time()))

    async def _answers(self, number: int) -> bool:
        try:
            await self.set_faults(number)
        except (NotSentError, ConnectionLostError):
            return False
        return True

    def _read_runs(self) -> None:
        for number, address in enumerate(self.upstreams):
            for run in self.standins[address].lines():
                named: dict[str, Any] = {**run, 'upstream': self.name(number)}
                self.history.runs.append(named)


def _own_route(version: int) -> dict[str, Any]:
    return route_doc(
        name=f'v{version}',
        path_prefix=f'/v{version}/',
        route_kind='safe',
    )
