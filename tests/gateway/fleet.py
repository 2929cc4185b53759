"""Real processes: an object store, upstreams, and entries of the gateway."""

import asyncio
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from gentiantrestle.http.client import ConnectionLostError, NotSentError
from gentiantrestle.models import Address
from tests.gateway.wire import ask_raw
from tests.gateway.wire_samples import ROUTE_HOST, SERVICE, route_docs
from tests.utils.http import Reply, send, until
from tests.utils.ports import HOST, free_ports, worker_number

ENTRIES = 3
WRITE_PAUSE = 0.1  # seconds
ENDED = 5104  # the event that ends a request
UPSTREAMS = 2
UNREACHABLE = (NotSentError, ConnectionLostError)
SETTINGS = """
node-name = "{name}"
ip = "{host}"
zone = "a1"
serves = ["edge", "control_plane"]
internal-ports = [{peer}, {peer}]
seeds = [{seeds}]
[zones]
a1 = "a"
[listen]
front = "{host}:{front}"
ready-addr = "{host}:{ready}"
[bounds]
grace-s = 6
[platform]
address = "{store}"
"""


class Child:
    """One process that the test has started."""

    def __init__(self, log: Path) -> None:
        """Write what the process prints to ``log``."""
        self.log = log
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, *words: str, **environ: str) -> None:
        """Start a module of the project."""
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                *words,
                stdout=log,
                stderr=log,
                env={**os.environ, **environ},
            )

    async def end(self, signum: signal.Signals = signal.SIGKILL) -> int:
        """End just this process; return its exit status."""
        with suppress(ProcessLookupError):
            self.process.send_signal(signum)
        return await self.process.wait()

    @property
    def runs(self) -> bool:
        """Tell whether the process has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def lines(self) -> list[dict[str, Any]]:
        """Read the structured lines that the process has printed."""
        return [
            msgspec.json.decode(line)
            for line in self.log.read_bytes().splitlines()
            if line.startswith(b'{')
        ]


class GatewayFleet:
    """Entries on addresses of the loopback range, one port for all."""

    def __init__(self, folder: Path, entries: int, upstreams: int) -> None:
        """Give every process its address; nothing is started yet."""
        self.folder = folder
        ports = free_ports(upstreams + 4)
        self.store = Address(HOST, ports[0])
        self.front, self.ready, self.peer = ports[1:4]
        # Each worker has a block of loopback addresses of its own.
        block = f'127.{worker_number() + 7}.{self.front % 250}'
        self.hosts = [f'{block}.{one + 1}' for one in range(entries)]
        self.upstreams = [Address(HOST, port) for port in ports[4:]]
        self.entries = [
            Child(folder / f'entry{one}.log') for one in range(entries)
        ]
        self.standins: dict[Address, Child] = {}
        self._born = [0] * upstreams
        self.version = 0
        self.launcher = 'gentiantrestle.platform'
        self.environ: dict[str, str] = {}

    def name(self, upstream: int) -> str:
        """Return an upstream's id."""
        return f'u-{upstream}'

    async def start(self) -> None:
        """Start everything, configure it, and wait until it is ready."""
        await self._standin('objects', self.store)
        for number, _ in enumerate(self.upstreams):
            await self.start_upstream(number)
        await until(self._store_answers)
        for number, _ in enumerate(self.upstreams):
            await self.register(number)
        await self.configure(route_docs())
        for number, _ in enumerate(self.entries):
            await self.start_entry(number)
        for number, _ in enumerate(self.entries):
            await until(lambda one=number: self.is_ready(one))

    async def start_entry(self, number: int) -> None:
        """Start one entry."""
        path = self.folder / f'entry{number}.toml'
        seeds = ', '.join(f'"{host}:1"' for host in self.hosts[:3])
        path.write_text(
            SETTINGS.format(
                name=f'entry-{number}',
                host=self.hosts[number],
                peer=self.peer,
                seeds=seeds,
                front=self.front,
                ready=self.ready,
                store=self.store_seen(number),
            ),
        )
        await self.entries[number].start(
            self.launcher,
            'entry',
            GENTIANTRESTLE_SETTINGS=str(path),
            **self.environ,
        )

    async def start_upstream(self, number: int) -> None:
        """Start one upstream; it is another run under the same name."""
        self._born[number] += 1
        await self._standin(
            'upstream', self.upstreams[number], f'name={self.name(number)}'
        )

    def store_seen(self, number: int) -> Address:
        """Return where an entry finds the store."""
        return self.store

    def upstream_seen(self, number: int) -> Address:
        """Return where entries find an upstream."""
        return self.upstreams[number]

    async def stop(self) -> None:
        """End every process that was started."""
        for child in (*self.entries, *self.standins.values()):
            if child.runs:
                await child.end()

    def address(self, number: int) -> Address:
        """Return where an entry takes callers."""
        return Address(self.hosts[number], self.front)

    async def is_ready(self, number: int) -> bool:
        """Tell whether an entry says that callers may come."""
        address = Address(self.hosts[number], self.ready)
        try:
            reply = await send(address, 'GET', '/gentiantrestle/readyz')
        except UNREACHABLE:
            return False
        return reply.status == 200

    async def request(
        self,
        number: int,
        request_id: str,
        path: str = '/chat/1',
        body: Any = None,
        method: str = 'POST',
        **headers: str,
    ) -> Reply:
        """Send one request to an entry as a caller does."""
        fields = {
            'Host': ROUTE_HOST,
            'X-Attempt-Id': request_id,
            'X-Deadline-Ms': '5000',
        }
        return await ask_raw(
            self.address(number), method, path, body, {**fields, **headers}
        )

    async def set_store_faults(self, **faults: Any) -> None:
        """Put faults of the store in force, in place of those before."""
        await send(self.store, 'POST', '/control', faults)

    async def set_faults(self, upstream: int, **faults: Any) -> None:
        """Put faults of an upstream in force, in place of those before."""
        await send(self.upstreams[upstream], 'POST', '/control', faults)

    async def runs(self) -> list[dict[str, Any]]:
        """Return what the upstreams have run."""
        found = []
        for address in self.upstreams:
            found += (await send(address, 'GET', '/runs')).json()
        return found

    def ended(self, entry: int, request_id: str) -> list[dict[str, Any]]:
        """Return the lines in which an entry says how a request ended."""
        return [
            line
            for line in self.entries[entry].lines()
            if line.get('request') == request_id and line['code'] == ENDED
        ]

    async def register(self, number: int, state: str = 'ready') -> None:
        """Write an upstream's entry as it does itself."""
        entry = {
            'service': SERVICE,
            'address': str(self.upstream_seen(number)),
            'zone': 'a1',
            'slots': 8,
            'state': state,
            'born': self._born[number],
        }
        await self.write('servers', self.name(number), entry)

    async def configure(self, listed: list[dict[str, Any]]) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        limits = {
            'max-header-bytes': 16384,
            'max-body-bytes': 1048576,
            'header-timeout-ms': 1000,
            'idle-timeout-ms': 5000,
        }
        config = {
            'version': self.version,
            'routes': listed,
            'services': [{'name': SERVICE, 'engine': {}}],
            'limits': limits,
        }
        await self.write('config', 'main', config)

    async def write(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object, until the store takes it."""
        while not await self._try_write(kind, name, spec):
            await asyncio.sleep(WRITE_PAUSE)

    async def _try_write(self, kind: str, name: str, spec: Any) -> bool:
        root = f'/gentiantrestle/objects/{kind}'
        document = {'metadata': {'name': name}, 'spec': spec}
        reply = await send(self.store, 'POST', root, document)
        if reply.status == 409:
            reply = await send(self.store, 'PUT', f'{root}/{name}', document)
        return reply.status in {200, 201}

    async def _store_answers(self) -> bool:
        try:
            await send(self.store, 'GET', '/calls')
            for address in self.upstreams:
                await send(address, 'GET', '/runs')
        except UNREACHABLE:
            return False
        return True

    async def _standin(self, kind: str, address: Address, *words: str) -> None:
        child = Child(self.folder / f'{kind}-{address.port}.log')
        await child.start('standins.core', kind, str(address.port), *words)
        self.standins[address] = child


def has_applied_config(fleet: GatewayFleet, entry: int, version: int) -> bool:
    """Tell whether an entry has said that a version is in force."""
    return any(
        line['code'] == 4001 and line['revision'] == version
        for line in fleet.entries[entry].lines()
    )
