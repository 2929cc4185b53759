"""A fleet of real processes: stand-ins and daemons."""

import asyncio
import hashlib
import signal
import sys
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from gentiantrestle.http.client import ConnectionLostError, NotSentError
from gentiantrestle.models import Address
from tests.utils.http import Reply, send, until
from tests.utils.ports import HOST, free_ports

OPERATOR_KEY = 'operator-key'
CLIENT_KEY = 'client-key'
OTHER_KEY = 'other-key'
SLOTS = 8
UNREACHABLE = (NotSentError, ConnectionLostError)


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key, as the configuration stores it."""
    return hashlib.sha256(key.encode()).hexdigest()


class Process:
    """A process of a test; its standard error goes to a log file."""

    def __init__(self, name: str, log: Path) -> None:
        """Prepare a process; ``start`` runs it."""
        self.name = name
        self.log = log
        self.child: asyncio.subprocess.Process | None = None

    async def start(self, module: str, *words: str) -> None:
        """Run a module of the project with these arguments."""
        with self.log.open('ab') as log:
            self.child = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *words,
                stderr=log,
            )

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process, not to its children."""
        self.child.send_signal(signum)

    async def end(self, signum: signal.Signals = signal.SIGKILL) -> int:
        """Signal the process, wait for its end and return its exit status."""
        with suppress(ProcessLookupError):
            self.send_signal(signum)
        return await self.child.wait()


class Fleet:
    """A platform, a service, and an engine and a daemon for each zone given.

    Before ``start``, a test may shorten ``engines`` and change
    ``engine_zones``, ``slots`` (of an engine, in the configuration),
    ``engine_words`` (options of the stand-ins) and ``daemon_flags``.
    """

    def __init__(self, folder: Path, zones: Iterable[str]) -> None:
        """Reserve the ports of all processes; start nothing yet.

        ``zones`` holds the zone of each daemon and engine.
        """
        self.zones = tuple(zones)
        self._folder = folder
        count = len(self.zones)
        ports = iter(free_ports(4 * count + 2))
        self.platform = Address(HOST, next(ports))
        self.service = Address(HOST, next(ports))
        self.engines = [Address(HOST, next(ports)) for _ in self.zones]
        self.http = [Address(HOST, next(ports)) for _ in self.zones]
        self.peers = [Address(HOST, next(ports)) for _ in self.zones]
        self.engine_zones: tuple[str, ...] = self.zones
        self.slots = SLOTS
        self.daemons: list[Process] = []
        self._standins: list[Process] = []
        self.engine_words: tuple[str, ...] = (f'slots={SLOTS}', 'step=0.005')
        self.daemon_flags: tuple[str, ...] = ()

    async def start(self) -> None:
        """Start all processes and wait until the configuration is in force."""
        await self._start_standin('platform', self.platform)
        await self._start_standin('service', self.service)
        for address in self.engines:
            await self._start_standin('engine', address, *self.engine_words)
        for index, _ in enumerate(self.zones):
            self.daemons.append(
                Process(f'i{index}', self._log_path(f'i{index}'))
            )
            await self.start_daemon(index)
        for index, _ in enumerate(self.zones):
            await until(lambda index=index: self.is_ready(index))
        await until(lambda: self._apply_first())
        for index, _ in enumerate(self.zones):
            await until(lambda index=index: self.has_revision(index, 1))

    async def stop(self) -> None:
        """Kill every process that was started."""
        for process in (*self.daemons, *self._standins):
            if process.child is not None and process.child.returncode is None:
                with suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                await process.end()

    async def start_daemon(self, index: int) -> None:
        """Start or restart one daemon."""
        peers = ','.join(map(str, self.peers))
        await self.daemons[index].start(
            'gentiantrestle.core',
            f'--instance=i{index}',
            f'--zone={self.zones[index]}',
            f'--region={self.zones[index][:1]}',
            f'--http_port={self.http[index].port}',
            f'--peer_port={self.peers[index].port}',
            f'--store={self.platform}',
            f'--peers={peers}',
            f'--admin_key_hash={hash_key(OPERATOR_KEY)}',
            '--lease=1.5',
            '--silence=0.6',
            '--heartbeat=0.1',
            '--store_timeout=1.0',
            *self.daemon_flags,
        )

    async def call(
        self,
        index: int,
        method: str,
        target: str,
        body: Any = b'',
        key: str = CLIENT_KEY,
        **headers: str,
    ) -> Reply:
        """Send a request to a daemon with an API key, by default a client's."""
        headers.setdefault('authorization', f'Bearer {key}')
        return await send(self.http[index], method, target, body, **headers)

    async def control_platform(self, **switches: Any) -> None:
        """Set faults of the platform."""
        await send(self.platform, 'POST', '/control', switches)

    async def control_engine(self, index: int, **switches: Any) -> None:
        """Set faults of an engine."""
        await send(self.engines[index], 'POST', '/control', switches)

    async def control_service(self, **switches: Any) -> None:
        """Set faults of the plain service."""
        await send(self.service, 'POST', '/control', switches)

    def engine_process(self, index: int) -> Process:
        """Return the process of an engine."""
        engines = [
            process for process in self._standins if process.name == 'engine'
        ]
        return engines[index]

    async def restart_engine(self, index: int) -> None:
        """Start an engine that has ended again."""
        address = self.engines[index]
        await self.engine_process(index).start(
            'standins.core', 'engine', str(address.port), *self.engine_words
        )
        await until(lambda: _responds(address))

    async def write_object(self, name: str, document: dict[str, Any]) -> None:
        """Write an object straight to the platform, unconditionally."""
        target = f'/v1/objects/{name}'
        await send(self.platform, 'PUT', target, document)

    async def engine_runs(self) -> dict[str, int]:
        """Return the number of runs of each prompt, over all engines."""
        runs: dict[str, int] = {}
        for address in self.engines:
            stats = (await send(address, 'GET', '/stats')).json()
            for prompt, count in stats['runs'].items():
                runs[prompt] = runs.get(prompt, 0) + count
        return runs

    async def engine_refusals(self, index: int) -> int:
        """Return how many requests a leaving engine has refused."""
        stats = await send(self.engines[index], 'GET', '/stats')
        return stats.json()['refused']

    async def engine_tokens(self) -> dict[str, int]:
        """Return the tokens of each engine, steps in prefill included."""
        return {
            str(address): (await send(address, 'GET', '/stats')).json()['made']
            for address in self.engines
        }

    async def service_runs(self) -> dict[str, int]:
        """Return the number of runs of each body at the plain service."""
        return (await send(self.service, 'GET', '/stats')).json()['runs']

    async def is_ready(self, index: int) -> bool:
        """Tell whether a daemon is ready for requests."""
        with suppress(*UNREACHABLE):
            return (await self.call(index, 'GET', '/readyz')).status == 200
        return False

    async def status(self, index: int) -> dict[str, Any]:
        """Return the status of a daemon."""
        reply = await self.call(index, 'GET', '/admin/status', key=OPERATOR_KEY)
        return reply.json()

    async def has_revision(self, index: int, revision: int) -> bool:
        """Tell whether a daemon runs this revision or a later one."""
        return (await self.status(index))['config_revision'] >= revision

    async def sees_alive(self, index: int, count: int) -> bool:
        """Tell whether a daemon sees exactly ``count`` live instances."""
        members = (await self.status(index))['members']
        return sum(member['alive'] for member in members) == count

    async def submit(
        self,
        index: int,
        lines: bytes,
        key: str,
        endpoint: str = 'chat',
    ) -> Reply:
        """Submit a job under an idempotency key."""
        return await self.call(
            index,
            'POST',
            '/v1/batches',
            lines,
            idempotency_key=key,
        )

    async def job_status(self, index: int, job: str) -> dict[str, Any]:
        """Return the status of a job, as a daemon sees it."""
        return (await self.call(index, 'GET', f'/v1/batches/{job}')).json()

    async def wait_for_job(self, index: int, job: str) -> dict[str, Any]:
        """Wait up to 25 s until a job has ended; return its final status."""

        async def ended() -> dict[str, Any] | None:
            status = await self.job_status(index, job)
            return status if status.get('finished_at') else None

        return await until(ended, 25)

    async def chunk_records(self, job: str) -> dict[str, dict[str, Any]]:
        """Return a job's chunk records by name, read from the platform."""
        target = f'/v1/objects?values=1&prefix=chunks/{job}/'
        listing = (await send(self.platform, 'GET', target)).json()
        return {stored['name']: stored['body'] for stored in listing['objects']}

    async def results(self, index: int, job: str) -> list[dict[str, Any]]:
        """Return a job's result lines, as a daemon sends them."""
        reply = await self.call(index, 'GET', f'/v1/batches/{job}/results')
        return msgspec.json.Decoder().decode_lines(reply.body)

    async def apply(self, document: dict[str, Any], index: int = 0) -> Reply:
        """Apply a configuration as an operator."""
        return await self.call(
            index,
            'PUT',
            '/admin/config',
            document,
            key=OPERATOR_KEY,
        )

    def config_document(self, revision: int = 0) -> dict[str, Any]:
        """Return the configuration of the fleet as a document."""
        engines = {
            f'e{index}': {
                'zone': self.engine_zones[index],
                'address': str(address),
                'kind': 'engine',
                'slots': self.slots,
            }
            for index, address in enumerate(self.engines)
        }
        service = {
            'zone': self.zones[0],
            'address': str(self.service),
            'kind': 'service',
            'slots': SLOTS,
        }
        return {
            'revision': revision,
            'upstreams': {**engines, 's0': service},
            'deployments': {
                'd': {'model': 'm', 'version': '1', 'upstreams': list(engines)},
                'svc': {'model': 's', 'version': '1', 'upstreams': ['s0']},
            },
            'endpoints': {
                'chat': {'deployment': 'd', 'max_prompt': 1000},
                'once': {
                    'deployment': 'd',
                    'max_prompt': 1000,
                    'repeatable': False,
                },
                'book': {'deployment': 'svc', 'max_prompt': 1000},
            },
            'clients': {
                'moko': {'key_hashes': [hash_key(CLIENT_KEY)]},
                'other': {'key_hashes': [hash_key(OTHER_KEY)]},
            },
        }

    def _log_path(self, name: str) -> Path:
        return self._folder / f'{name}.log'

    async def _apply_first(self) -> bool:
        return (await self.apply(self.config_document())).status == 200

    async def _start_standin(
        self,
        kind: str,
        address: Address,
        *words: str,
    ) -> None:
        process = Process(kind, self._log_path(kind))
        self._standins.append(process)
        await process.start('standins.core', kind, str(address.port), *words)
        await until(lambda: _responds(address))


async def _responds(address: Address) -> bool:
    with suppress(*UNREACHABLE):
        return (await send(address, 'POST', '/control', {})).status == 200
    return False


def job_lines(
    count: int,
    tokens: int = 4,
    endpoint: str = 'chat',
    prefix: str = 'p',
) -> bytes:
    """Encode a batch input of ``count`` items as JSON lines.

    Item ``i`` has the prompt ``prefix`` followed by ``i``.
    """
    return msgspec.json.Encoder().encode_lines(
        [
            {
                'custom_id': f'c{index}',
                'url': '/v1/completions',
                'body': {
                    'model': endpoint,
                    'prompt': f'{prefix}{index}',
                    'max_tokens': tokens,
                },
            }
            for index in range(count)
        ]
    )
