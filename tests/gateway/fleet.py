"""A gateway fleet of real processes, with a store and upstreams.

An entry is a gateway instance; the store and the upstreams are stand-ins.
"""

import asyncio
from pathlib import Path
from typing import Any

from gentiantrestle.http.client import ConnectionLostError, NotSentError
from gentiantrestle.models import Address
from tests.gateway.child import Child
from tests.gateway.wire import send_exact
from tests.gateway.wire_samples import ROUTE_HOST, SERVICE, route_docs
from tests.utils.http import Reply, send, until
from tests.utils.ports import (
    HOST,
    free_port_pair,
    free_ports,
    worker_number,
)

ENTRIES = 3
WRITE_RETRY_DELAY = 0.1  # seconds
REQUEST_ENDED = 5104  # event number of the last log line of a request
UPSTREAMS = 2
VERSION = 'v1'
STORE_ROOT = '/gentiantrestle/objects'
UNREACHABLE = (NotSentError, ConnectionLostError)
SETTINGS = """
node-name = "{name}"
ip = "{host}"
zone = "a1"
serves = ["edge", "control_plane"]
internal-ports = [{peer}, {passing}]
seeds = [{seeds}]
[zones]
{zones}
[listen]
front = "{host}:{front}"
ready-addr = "{host}:{ready}"
[bounds]
grace-s = 6
drain-ms = 2500
[platform]
address = "{store}"
"""


class GatewayFleet:
    """A store, upstreams, and entries on loopback addresses of their own.

    All entries use the same ports.
    """

    def __init__(self, folder: Path, entries: int, upstreams: int) -> None:
        """Choose the addresses; nothing is started yet."""
        self.folder = folder
        ports = free_ports(upstreams + 3)
        self.store = Address(HOST, ports[0])
        self.front, self.ready = ports[1:3]
        self.peer = free_port_pair()
        # Each pytest worker uses its own block of loopback addresses.
        block = f'127.{worker_number() + 7}.{self.front % 250}'
        self.hosts = [f'{block}.{number + 1}' for number in range(entries)]
        self.upstreams = [Address(HOST, port) for port in ports[3:]]
        self.entries = [
            Child(folder / f'entry{number}.log') for number in range(entries)
        ]
        self.standins: dict[Address, Child] = {}
        self._incarnations = [0] * upstreams
        self.version = 0
        self.body_limit = 1048576  # bytes of a request
        self.launcher = 'gentiantrestle.platform'
        self.environ: dict[str, str] = {}
        # Added to the arguments of each upstream.
        self.upstream_words: tuple[str, ...] = ()
        # Software versions of upstreams whose events name them, by number.
        self.versions: dict[int, str] = {}
        # Lines of the settings, added to the bounds.
        self.bounds = ''
        # Client accounts of the next configuration; None for none.
        self.accounts: list[dict[str, Any]] | None = None
        # Zones in the settings; all entries are in the first one.
        self.zones: tuple[str, ...] = ('a1',)
        # Services of upstreams that serve another one, by number.
        self.services: dict[int, str] = {}
        # Added to the settings of each entry, before its tables.
        self.settings = ''

    @property
    def passing(self) -> int:
        """Return the port for requests that entries pass on."""
        return self.peer + 1

    def upstream_id(self, upstream: int) -> str:
        """Return an upstream's id."""
        return f'u-{upstream}'

    async def start(self) -> None:
        """Start all processes; wait until the entries are ready."""
        await self._start_standin('objects', self.store)
        for number, _ in enumerate(self.upstreams):
            await self.start_upstream(number)
        await until(self._store_answers)
        for number, _ in enumerate(self.upstreams):
            await self.register(number)
        await self.configure(route_docs())
        for number, _ in enumerate(self.entries):
            await self.start_entry(number)
        for number, _ in enumerate(self.entries):
            await until(lambda entry=number: self.is_ready(entry))

    async def start_entry(
        self, number: int, seeds: tuple[str, ...] | None = None
    ) -> None:
        """Start one entry; ``seeds`` are the first hosts if not given."""
        path = self.folder / f'entry{number}.toml'
        listed = self.hosts[:3] if seeds is None else seeds
        text = SETTINGS.replace('[zones]', f'{self.settings}\n[zones]').replace(
            '[platform]', f'{self.bounds}\n[platform]'
        )
        path.write_text(
            text.format(
                name=f'entry-{number}',
                host=self.hosts[number],
                peer=self.peer,
                passing=self.passing,
                seeds=', '.join(f'"{host}:1"' for host in listed),
                front=self.front,
                ready=self.ready,
                store=self.store_address(number),
                zones='\n'.join(f'{zone} = "a"' for zone in self.zones),
            ),
        )
        await self.entries[number].start(
            self.launcher,
            'entry',
            GENTIANTRESTLE_SETTINGS=str(path),
            **self.environ,
        )

    async def start_upstream(self, number: int) -> None:
        """Start an upstream as a new incarnation with the same id."""
        self._incarnations[number] += 1
        await self._start_standin(
            'upstream',
            self.upstreams[number],
            f'name={self.upstream_id(number)}',
            f'version={self.versions.get(number, "")}',
            f'born={self._incarnations[number]}',
            *self.upstream_words,
        )

    def store_address(self, number: int) -> Address:
        """Return the address of the store that an entry uses."""
        return self.store

    def upstream_address(self, number: int) -> Address:
        """Return the address of an upstream that entries use."""
        return self.upstreams[number]

    async def stop(self) -> None:
        """Kill every process that is running."""
        for child in (*self.entries, *self.standins.values()):
            if child.running:
                await child.end()

    def front_address(self, number: int) -> Address:
        """Return the address at which an entry accepts requests."""
        return Address(self.hosts[number], self.front)

    async def is_ready(self, number: int) -> bool:
        """Tell whether an entry reports that it is ready."""
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
        """Send a request to an entry as a client does; return the response.

        Raises as ``send_exact`` does.
        """
        fields = {
            'Host': ROUTE_HOST,
            'X-Attempt-Id': request_id,
            'X-Deadline-Ms': '5000',
        }
        return await send_exact(
            self.front_address(number),
            method,
            path,
            body,
            {**fields, **headers},
        )

    async def set_store_faults(self, **faults: Any) -> None:
        """Replace the faults of the store; no arguments clear them."""
        await send(self.store, 'POST', '/control', faults)

    async def set_faults(self, upstream: int, **faults: Any) -> None:
        """Replace the faults of an upstream; no arguments clear them."""
        await send(self.upstreams[upstream], 'POST', '/control', faults)

    def printed_runs(self) -> list[dict[str, Any]]:
        """Return the runs that upstreams have printed, ended ones included."""
        lines = [
            line
            for address in self.upstreams
            for line in self.standins[address].log_lines()
        ]
        return sorted(lines, key=lambda run: run['at'])

    async def runs(self) -> list[dict[str, Any]]:
        """Return the runs that the upstreams have started."""
        runs = []
        for address in self.upstreams:
            runs += (await send(address, 'GET', '/runs')).json()
        return runs

    def end_lines(self, entry: int, request_id: str) -> list[dict[str, Any]]:
        """Return the lines in which an entry logged the end of a request."""
        return [
            line
            for line in self.entries[entry].log_lines()
            if line.get('request') == request_id
            and line['code'] == REQUEST_ENDED
        ]

    async def register(
        self, number: int, state: str = 'ready', born: int | None = None
    ) -> None:
        """Write an upstream's record to the store as an upstream does.

        ``born`` is the start of the stand-in unless it is given.
        """
        spec = {
            'service': self.services.get(number, SERVICE),
            'address': str(self.upstream_address(number)),
            'zone': 'a1',
            'version': self.versions.get(number, VERSION),
            'slots': 8,
            'state': state,
            'born': self._incarnations[number] if born is None else born,
        }
        await self.write('servers', self.upstream_id(number), spec)

    async def unregister(self, number: int) -> None:
        """Remove an upstream's record from the store."""
        name = self.upstream_id(number)
        await send(self.store, 'DELETE', f'{STORE_ROOT}/servers/{name}')

    async def configure(self, routes: list[dict[str, Any]]) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        limits = {
            'max-header-bytes': 16384,
            'max-body-bytes': self.body_limit,
            'header-timeout-ms': 1000,
            'idle-timeout-ms': 5000,
        }
        config = {
            'version': self.version,
            'routes': routes,
            'services': [
                {'name': name, 'engine': {}}
                for name in sorted({SERVICE, *self.services.values()})
            ],
            'limits': limits,
        }
        if self.accounts is not None:
            config['tenants'] = self.accounts
        await self.write('config', 'main', config)

    async def write(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object; retry until the store accepts it."""
        while not await self._try_write(kind, name, spec):
            await asyncio.sleep(WRITE_RETRY_DELAY)

    async def _try_write(self, kind: str, name: str, spec: Any) -> bool:
        root = f'{STORE_ROOT}/{kind}'
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

    async def _start_standin(
        self, kind: str, address: Address, *words: str
    ) -> None:
        child = Child(self.folder / f'{kind}-{address.port}.log')
        await child.start('standins.core', kind, str(address.port), *words)
        self.standins[address] = child


def has_applied_config(fleet: GatewayFleet, entry: int, version: int) -> bool:
    """Tell whether an entry has logged a version as applied (event 4001)."""
    return any(
        line['code'] == 4001 and line['revision'] == version
        for line in fleet.entries[entry].log_lines()
    )
