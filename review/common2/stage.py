"""Starts the processes of a small deployment on loopback addresses.

Used by the scripts of the second review. Only the standard library is needed
here; the programs that are started find theirs in target/deps.
"""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path

REPO = Path(__file__).resolve().parent.parent.parent
LOCAL = '127.0.0.1'
START_TRIES = 200
CALL_TIME = 6.0  # seconds that a call may take
SETTINGS = """
node-name = "{name}"
role = "entry"
machine-class = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internal-ports = [{first}, {last}]
seeds = [{seeds}]
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base", "drain", "config", "cost", "recover", "batch", "stream",
  "engine", "platform"]
[zones]
{zones}
[listen]
front = "{ip}:{front}"
ready-addr = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
memory-mb = {memory}
max-fds = 4100
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 4000
ack-ms = 5000
drain-ms = 2500
grace-s = 8
config-apply-ms = 2500
max-stretch-ms = 6000
finish-s = 18
status-s = 120
cancel-ms = 3000
settle-ms = 1000
[platform]
address = "{store}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
"""
LIMITS = {
    'max-header-bytes': 16384,
    'max-body-bytes': 1048576,
    'header-timeout-ms': 1000,
    'idle-timeout-ms': 5000,
}


class CannotRunError(Exception):
    """The case could not be played."""


class Proxy:
    """Passes bytes on to an address; holds all of them back while cut."""

    def __init__(self, target: int) -> None:
        """Lead to a port of the loopback address; nothing is cut."""
        self._target = target
        # Whether channels are reset.
        self.resets = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._open = asyncio.Event()
        self._open.set()
        # The loop itself doesn't keep tasks.
        self._tasks: set[asyncio.Task] = set()

    async def start(self, port: int) -> None:
        """Listen at a port of the loopback address."""
        await asyncio.start_server(self._accept, LOCAL, port)

    def cut(self) -> None:
        """Hold back all bytes and ends of channels, as a partition does."""
        self._open.clear()

    def reset(self) -> None:
        """Reset all channels, and all that come, until ``heal``."""
        self.resets = True
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def heal(self) -> None:
        """Pass on what was held back, and what follows."""
        self.resets = False
        self._open.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.add(asyncio.current_task())
        if self.resets:
            writer.transport.abort()
            return
        await self._open.wait()
        try:
            there = await asyncio.open_connection(LOCAL, self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, there[1]}
        await asyncio.gather(
            self._pump(reader, there[1]), self._pump(there[0], writer)
        )
        writer.close()
        there[1].close()
        self._writers -= {writer, there[1]}

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass on bytes, then the end; a reset is passed on as a reset."""
        try:
            while part := await reader.read(65536):
                await self._open.wait()
                writer.write(part)
                await writer.drain()
            await self._open.wait()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            await self._open.wait()
            writer.transport.abort()


class Stage:
    """The processes of one play, and the record of what they did."""

    def __init__(
        self, folder: Path, record: Path, places: dict[str, str]
    ) -> None:
        """Choose addresses; ``places`` maps zones to regions."""
        self.folder = folder
        self.places = places
        self.ips: dict[str, str] = {}
        # Ports by which entries reach the store, where not directly.
        self.store_ports: dict[str, int] = {}
        # MB that an entry is told it may use.
        self.memory_mb = 300
        self._record = record.open('w')
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        # All of them, also those that another one has followed.
        self._started: list[asyncio.subprocess.Process] = []
        self._is_ending = False
        self._ports = iter(_free_ports(60))
        self.store = self.port()
        self.front, self._ready, self._control = (self.port() for _ in range(3))
        self._peer = self.port()
        self.port()
        self.port()
        self._metrics = self.port()
        self._block = (
            f'127.{random.randrange(20, 120)}.{random.randrange(1, 250)}'
        )

    def port(self) -> int:
        """Return the next free port."""
        return next(self._ports)

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f'{time.time():.3f} {text}\n')
        self._record.flush()

    def add_entries(self, zone: str, count: int) -> None:
        """Give addresses to the entries of a zone."""
        for number in range(1, count + 1):
            index = len(self.ips) + 1
            self.ips[f'edge-{zone}-{number}'] = f'{self._block}.{index}'

    async def start_store(self) -> None:
        """Start the project's stand-in for the store."""
        await self.run('store', 'standins.core', 'objects', str(self.store))
        await until(lambda: listens(LOCAL, self.store))

    async def configure(self, version: int, routes: list[dict]) -> None:
        """Write the first configuration, as the operator does."""
        names = sorted({route['service'] for route in routes})
        config = {
            'version': version,
            'routes': routes,
            'services': [{'name': name, 'engine': {}} for name in names],
            'limits': LIMITS,
        }
        await self.write('config', 'main', config)

    async def write(self, kind: str, name: str, spec: dict) -> None:
        """Create an object of the store, or replace it."""
        body = json.dumps({'metadata': {'name': name}, 'spec': spec}).encode()
        path = f'/gentiantrestle/objects/{kind}'
        reply = await call(LOCAL, self.store, 'POST', path, {}, body)
        if reply[0] == 409:
            path = f'{path}/{name}'
            reply = await call(LOCAL, self.store, 'PUT', path, {}, body)
        if reply[0] not in {200, 201}:
            raise CannotRunError(f'the store answers {reply[0]}')

    async def start_entries(self) -> None:
        """Start all entries with the deploy file's command."""
        for name in self.ips:
            await self.start_entry(name)
        for ip in self.ips.values():
            await until(lambda ip=ip: self._is_ready(ip))

    async def start_entry(self, name: str) -> None:
        """Start one entry."""
        zone = name.split('-')[1]
        seeds = [ip for key, ip in self.ips.items() if key.endswith('-1')]
        store = self.store_ports.get(name, self.store)
        path = self.folder / f'{name}.toml'
        path.write_text(
            SETTINGS.format(
                name=name,
                memory=self.memory_mb,
                ip=self.ips[name],
                zone=zone,
                region=self.places[zone],
                first=self._peer,
                last=self._peer + 2,
                seeds=', '.join(f'"{ip}:{self._control}"' for ip in seeds[:3]),
                zones='\n'.join(
                    f'{key} = "{place}"' for key, place in self.places.items()
                ),
                front=self.front,
                ready=self._ready,
                control=self._control,
                store=f'{LOCAL}:{store}',
            )
        )
        await self.run(
            name,
            'gentiantrestle.platform',
            'entry',
            f'--metrics_port={self._metrics}',
            GENTIANTRESTLE_SETTINGS=str(path),
        )

    async def run(self, name: str, *words: str, **environ: str) -> None:
        """Start ``python3 -m`` with these words; its output goes to a log."""
        if self._is_ending:
            raise CannotRunError('the play is over')
        with (self.folder / f'{name}.log').open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                *words,
                cwd=REPO,
                stdout=log,
                stderr=log,
                env={**os.environ, **environ},
            )
        self._started.append(process)
        self._processes[name] = process

    async def kill(self, name: str) -> None:
        """Kill a process that was started."""
        await self.stop_process(name, signal.SIGKILL)

    async def stop_process(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to a process that was started, and await its end."""
        process = self._processes[name]
        if process.returncode is None:
            process.send_signal(signum)
        await process.wait()

    def memory(self, name: str) -> int:
        """Return the bytes of memory that a process uses; 0 if it has ended."""
        path = Path(f'/proc/{self._processes[name].pid}/status')
        try:
            lines = path.read_text().splitlines()
        except OSError:
            return 0
        found = [line for line in lines if line.startswith('VmRSS:')]
        return int(found[0].split()[1]) * 1024 if found else 0

    async def stop(self) -> None:
        """End all processes that were started."""
        self._is_ending = True
        # What is being started is known after that.
        await asyncio.sleep(0.3)
        for process in self._started:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
        for process in self._started:
            await process.wait()
        self._record.close()

    async def ask(
        self,
        entry: str,
        method: str,
        path: str,
        fields: dict[str, str],
        body: bytes = b'',
    ) -> tuple[int, bytes]:
        """Send a client's request to an entry, on a new channel."""
        return await call(
            self.ips[entry], self.front, method, path, fields, body
        )

    async def _is_ready(self, ip: str) -> bool:
        try:
            reply = await call(
                ip, self._ready, 'GET', '/gentiantrestle/readyz', {}
            )
        except OSError:
            return False
        return reply[0] == 200


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    fields: dict[str, str],
    body: bytes = b'',
) -> tuple[int, bytes]:
    """Send a request on a new channel; return the status and the body.

    Raises ``OSError`` if the channel ends before the answer is complete.
    """
    reader, writer = await asyncio.open_connection(host, port)
    head = {
        'Host': f'{host}:{port}',
        'Content-Type': 'application/json',
        **fields,
        'Content-Length': str(len(body)),
        'Connection': 'close',
    }
    lines = ''.join(f'{name}: {text}\r\n' for name, text in head.items())
    writer.write(f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body)
    try:
        async with asyncio.timeout(CALL_TIME):
            raw = await reader.read()
    finally:
        writer.close()
    return _parse(raw)


def _parse(raw: bytes) -> tuple[int, bytes]:
    top, _, rest = raw.partition(b'\r\n\r\n')
    if not top:
        raise ConnectionError('no answer')
    first, *lines = top.decode('latin-1').lower().split('\r\n')
    fields = dict(line.split(': ', 1) for line in lines)
    if fields.get('transfer-encoding') == 'chunked':
        rest = _join(rest)
    elif len(rest) < int(fields.get('content-length', '0')):
        raise ConnectionError('the answer is not complete')
    return int(first.split()[1]), rest


def _join(rest: bytes) -> bytes:
    """Return a body sent in chunks; raise if its end is missing."""
    body = b''
    while True:
        size, separator, rest = rest.partition(b'\r\n')
        if not separator:
            raise ConnectionError('the answer is not complete')
        length = int(size, 16)
        if not length:
            return body
        body += rest[:length]
        rest = rest[length + 2 :]


async def listens(host: str, port: int) -> bool:
    """Return whether a process accepts channels."""
    try:
        _, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    writer.close()
    return True


async def until(check: Callable[[], Awaitable[bool]]) -> None:
    """Wait until a check holds; raise if it doesn't for long."""
    for _ in range(START_TRIES):
        if await check():
            return
        await asyncio.sleep(0.1)
    raise CannotRunError('a process did not start')


def conclude(broken: Iterable[str]) -> int:
    """Print what broke the rule; return the exit status of the script."""
    lines = list(broken)
    print(f'broken: {len(lines)}')
    for line in lines[:20]:
        print(line)
    return 1 if lines else 0


def main(play: Callable[[], Awaitable[int]]) -> None:
    """Play a case and exit with its status; 2 if it couldn't be played."""
    try:
        status = asyncio.run(play())
    except Exception as exc:  # noqa: BLE001 (no failure of its own is a breach)
        print(f'the case could not run: {exc!r}')
        status = 2
    sys.exit(status)


def _free_ports(count: int) -> list[int]:
    """Return free ports in a row, below those of outgoing channels."""
    for first in random.sample(range(11000, 30000 - count), 500):
        ports = list(range(first, first + count))
        if all(map(_is_free, ports)):
            return ports
    raise CannotRunError('no free ports')


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex((LOCAL, port)) != 0
