"""Daemons on one event loop whose zones a test can isolate."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from gentiantrestle.config import Settings
from gentiantrestle.context import Context
from gentiantrestle.daemon.membership.peers import PeerError
from gentiantrestle.daemon.tree import SupervisionTree
from gentiantrestle.http.connection import ServerLimits
from gentiantrestle.http.server import Server
from gentiantrestle.models import Address
from gentiantrestle.wire.peer.ttypes import Envelope
from standins.engine import EngineConfig, EngineStandin
from standins.platform import PlatformStandin
from standins.service import ServiceStandin
from tests.utils.fleet import CLIENT_KEY, OPERATOR_KEY, hash_key
from tests.utils.http import Reply, send
from tests.utils.ports import HOST, free_ports


class InProcessFleet:
    """A platform, a service, and a daemon and an engine for each zone given."""

    def __init__(self, zones: tuple[str, ...]) -> None:
        """Reserve the ports; start nothing yet."""
        self.zones = zones
        count = len(zones)
        ports = iter(free_ports(3 * count + 2))
        self.http = [Address(HOST, next(ports)) for _ in zones]
        self.peers = [Address(HOST, next(ports)) for _ in zones]
        self.engines = [Address(HOST, next(ports)) for _ in zones]
        self.platform_address = Address(HOST, next(ports))
        self.service_address = Address(HOST, next(ports))
        self.platform = PlatformStandin()
        self.service = ServiceStandin(0.01)
        self.isolated_zones: set[str] = set()
        self._servers: list[Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the stand-ins and the daemons."""
        await self._serve(self.platform.handle, self.platform_address)
        await self._serve(self.service.handle, self.service_address)
        for address in self.engines:
            engine = EngineStandin(EngineConfig())
            await self._serve(engine.handle, address)
            self._tasks.append(asyncio.create_task(engine.run()))
        for index, _ in enumerate(self.zones):
            self._start_daemon(index)

    async def stop(self) -> None:
        """Stop the daemons and the stand-ins."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self._servers:
            await server.stop(0)

    async def isolate_zones(self, *zones: str) -> None:
        """Isolate just these zones from the others and the platform."""
        self.isolated_zones = set(zones)
        body = {'cut_zones': list(zones)}
        await send(self.platform_address, 'POST', '/control', body)

    async def call(
        self,
        index: int,
        method: str,
        target: str,
        body: Any = b'',
        **headers: str,
    ) -> Reply:
        """Send a request to a daemon, with the operator's key below /admin."""
        key = OPERATOR_KEY if target.startswith('/admin') else CLIENT_KEY
        headers['authorization'] = f'Bearer {key}'
        return await send(self.http[index], method, target, body, **headers)

    async def revision(self, index: int) -> int:
        """Return the revision in force at a daemon."""
        return (await self.call(index, 'GET', '/admin/config')).json()[
            'revision'
        ]

    def config_document(self, revision: int) -> dict[str, Any]:
        """Return the configuration of the fleet as a document."""
        upstreams = {
            f'e{index}': {
                'zone': zone,
                'address': str(self.engines[index]),
                'kind': 'engine',
                'slots': 8,
            }
            for index, zone in enumerate(self.zones)
        }
        upstreams['s'] = {
            'zone': self.zones[0],
            'address': str(self.service_address),
            'kind': 'service',
            'slots': 8,
        }
        engines = sorted(set(upstreams) - {'s'})
        return {
            'revision': revision,
            'upstreams': upstreams,
            'deployments': {
                'd': {'model': 'm', 'version': '1', 'upstreams': engines},
                'svc': {'model': 's', 'version': '1', 'upstreams': ['s']},
            },
            'endpoints': {
                'chat': {'deployment': 'd', 'max_prompt': 100},
                'book': {'deployment': 'svc', 'max_prompt': 100},
            },
            'clients': {'moko': {'key_hashes': [hash_key(CLIENT_KEY)]}},
        }

    async def _serve(
        self,
        handle: Callable[..., Awaitable[Any]],
        address: Address,
    ) -> None:
        server = Server(handle, ServerLimits())
        await server.start(*address)
        self._servers.append(server)

    def _start_daemon(self, index: int) -> None:
        cfg = Settings.from_sources(
            {
                'instance': f'i{index}',
                'zone': self.zones[index],
                'region': 'a',
                'http_port': str(self.http[index].port),
                'peer_port': str(self.peers[index].port),
                'store': str(self.platform_address),
                'peers': ','.join(map(str, self.peers)),
                'admin_key_hash': hash_key(OPERATOR_KEY),
                'heartbeat': '0.1',
                'silence': '0.6',
                'lease': '1.5',
                'store_timeout': '0.5',
            },
            {},
        )
        tree = SupervisionTree.from_config(Context.from_config(cfg))
        self._wrap_peer_calls(tree, self.zones[index])
        self._tasks.append(asyncio.create_task(tree.run()))

    def _wrap_peer_calls(self, tree: SupervisionTree, zone: str) -> None:
        """Make calls between an isolated zone and the others fail."""
        peers = tree.components.membership.peers
        call = peers.call

        async def call_unless_isolated(
            address: Address,
            envelope: Envelope,
            timeout: float = 1,
        ) -> Envelope:
            other = self.zones[self.peers.index(address)]
            if other != zone and self.isolated_zones & {other, zone}:
                raise PeerError('zone is isolated by the test')
            return await call(address, envelope, timeout)

        peers.call = call_unless_isolated
