"""Callers of streams, before upstreams of two software versions."""

import asyncio
import re
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from tests.gateway.fleet import (
    UNREACHABLE,
    GatewayFleet,
    has_applied_config,
)
from tests.gateway.wire_samples import ROUTE_HOST, route_doc, route_docs
from tests.utils.http import send, until

ENTRIES = 3
OLD, NEW = 'v1', 'v2'
OLD_UPSTREAMS = (0, 1)
NEW_UPSTREAMS = (2, 3)
EVENTS = 80
EVENT_PAUSE = 0.1  # seconds
TIME_LEFT_MS = 10000
READ_ON = 3  # events that show that a stream goes on
READ_TIMEOUT = 4.0  # seconds
SETTLING_TIME = 1.5  # seconds until all instances know a change
BODY = msgspec.json.encode({'events': EVENTS, 'pause': EVENT_PAUSE})
EVENT = re.compile(rb'id: (\d+)\ndata: [^@\n]*@(\w+)\n\n')


class Event(NamedTuple):
    """An event that a caller got, and the version that made it."""

    number: int
    version: str


class Answer:
    """One answer to a caller, read while it comes."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read the answer until it ends or is closed."""
        self._reader = reader
        self._writer = writer
        self._raw = b''
        self._started = time.monotonic()
        self.duration = float(0)  # seconds until the end
        self._reading = asyncio.create_task(self._read())

    @property
    def ended(self) -> bool:
        """Return whether no more is to come."""
        return self._reading.done()

    @property
    def status(self) -> int:
        """Return the status, or 0 without a response."""
        line = self._raw.partition(b'\r\n')[0].split()
        return int(line[1]) if len(line) > 1 else 0

    @property
    def events(self) -> list[Event]:
        """Return the events that have come."""
        return [
            Event(int(number), version.decode())
            for number, version in EVENT.findall(self._raw)
        ]

    async def read_on(self, count: int) -> None:
        """Wait for ``count`` events more, or the end."""
        count += len(self.events)
        await until(
            lambda: self.ended or len(self.events) >= count, READ_TIMEOUT
        )

    def close(self) -> None:
        """Leave, as a caller does whose connection breaks."""
        self._reading.cancel()
        self._writer.close()

    async def _read(self) -> None:
        try:
            while part := await self._reader.read(65536):
                self._raw += part
        except ConnectionError:
            self._raw += b''
        self.duration = time.monotonic() - self._started


class Caller:
    """One caller's stream over all its attempts."""

    def __init__(self, fleet: GatewayFleet, name: str) -> None:
        """Use ``name`` as the id of the first attempt."""
        self._fleet = fleet
        self.name = name
        self.answers: list[Answer] = []

    @property
    def events(self) -> list[Event]:
        """Return the events of all answers."""
        return [event for answer in self.answers for event in answer.events]

    @property
    def version(self) -> str:
        """Return the version that began the stream."""
        return self.events[0].version

    @property
    def is_joined(self) -> bool:
        """Return whether it holds events of several versions."""
        return len({event.version for event in self.events}) > 1

    @property
    def went_on(self) -> bool:
        """Return whether the last answer has brought the next events."""
        numbers = [event.number for event in self.events]
        return bool(self.answers[-1].events) and numbers == list(
            range(numbers[0], numbers[0] + len(numbers))
        )

    def __repr__(self) -> str:
        """Show the events by version, for failed checks."""
        return f'{self.name}: {[tuple(event) for event in self.events]}'

    def attempt_id(self, number: int) -> str:
        """Return the id of an attempt; 0 is the first."""
        return f'{self.name}-{number}' if number else self.name

    async def begin(self, entry: int) -> None:
        """Send the first attempt and wait for its first event."""
        await self._send(entry, ())
        await self.answers[-1].read_on(1)
        assert self.events, (self.name, self.answers[-1].status)

    async def take_up(
        self, entry: int, last: int = 0, first_id: str = ''
    ) -> None:
        """Leave, take the stream up again, and read some events.

        ``last`` and ``first_id`` stand for the last event that came and for
        the attempt that brought the first one.
        """
        if self.answers:
            self.answers[-1].close()
        last = last or self.events[-1].number
        resumes = f'Resumes: {first_id or self.name}'
        await self._send(entry, (f'Last-Event-Id: {last}', resumes))
        await self.answers[-1].read_on(READ_ON)

    async def _send(self, entry: int, fields: Iterable[str]) -> None:
        lines = (
            'POST /chat/1 HTTP/1.1',
            f'Host: {ROUTE_HOST}',
            f'X-Attempt-Id: {self.attempt_id(len(self.answers))}',
            f'X-Deadline-Ms: {TIME_LEFT_MS}',
            f'Content-Length: {len(BODY)}',
            'Connection: close',
            *fields,
        )
        streams = await asyncio.open_connection(
            *self._fleet.front_address(entry)
        )
        head = '\r\n'.join((*lines, '', ''))
        streams[1].write(head.encode() + BODY)
        self.answers.append(Answer(*streams))


class VersionScene:
    """A fleet before upstreams of two versions, and its callers."""

    def __init__(self, folder: Path) -> None:
        """Choose the versions; nothing is started yet."""
        upstreams = len(OLD_UPSTREAMS) + len(NEW_UPSTREAMS)
        self.fleet = GatewayFleet(folder, ENTRIES, upstreams)
        self.fleet.versions = {
            **dict.fromkeys(OLD_UPSTREAMS, OLD),
            **dict.fromkeys(NEW_UPSTREAMS, NEW),
        }
        self.callers: list[Caller] = []

    async def start(self, **route: Any) -> None:
        """Start all processes with a route for long streams."""
        await self.fleet.start()
        await self.configure(**route)

    async def stop(self) -> None:
        """Leave all streams and end all processes."""
        for caller in self.callers:
            for answer in caller.answers:
                answer.close()
        await self.fleet.stop()

    async def configure(self, **route: Any) -> None:
        """Change the route of the streams; wait until all entries use it."""
        chat = route_doc(timeout_ms=TIME_LEFT_MS, max_attempts=4, **route)
        await self.fleet.configure([chat, *route_docs()[1:]])
        version = self.fleet.version
        for number in range(ENTRIES):
            await until(
                lambda entry=number: has_applied_config(
                    self.fleet, entry, version
                )
            )

    async def begin(self, count: int, entries: tuple[int, ...]) -> list[Caller]:
        """Begin streams at ``entries`` by turns."""
        first = len(self.callers)
        callers = [
            Caller(self.fleet, f's{first + number}') for number in range(count)
        ]
        self.callers += callers
        await asyncio.gather(
            *(
                caller.begin(entries[number % len(entries)])
                for number, caller in enumerate(callers)
            )
        )
        return callers

    async def remove(self, *upstreams: int) -> None:
        """Remove upstreams from the store and end them."""
        for number in upstreams:
            await self.fleet.unregister(number)
        for number in upstreams:
            await self.fleet.standins[self.fleet.upstreams[number]].end()

    async def add(self, *upstreams: int) -> None:
        """Start upstreams unless they run, and register them."""
        for number in upstreams:
            child = self.fleet.standins[self.fleet.upstreams[number]]
            if not child.running:
                await self.fleet.start_upstream(number)
        for number in upstreams:
            await until(lambda upstream=number: self.listens(upstream))
            await self.fleet.register(number)

    async def listens(self, upstream: int) -> bool:
        """Return whether an upstream that was started accepts connections."""
        try:
            await send(self.fleet.upstreams[upstream], 'GET', '/runs')
        except UNREACHABLE:
            return False
        return True

    async def drain(self, *upstreams: int) -> None:
        """Register upstreams as draining."""
        for number in upstreams:
            await self.fleet.register(number, 'draining')

    async def settle(self) -> None:
        """Wait until all instances know the last change."""
        await asyncio.sleep(SETTLING_TIME)

    async def kill(self, *entries: int) -> None:
        """Kill entries at once."""
        await asyncio.gather(
            *(self.fleet.entries[number].end() for number in entries)
        )

    async def restart(self, *entries: int) -> None:
        """Start entries that were killed; wait until they are ready."""
        for number in entries:
            await self.fleet.start_entry(number)
        for number in entries:
            await until(lambda entry=number: self.fleet.is_ready(entry))

    async def count_writes(self) -> int:
        """Return how many writes the store has got."""
        calls = (await send(self.fleet.store, 'GET', '/calls')).json()
        return sum(1 for call in calls if not call.startswith('GET'))

    def has_run(self, attempt_id: str) -> bool:
        """Return whether an upstream has begun to run an attempt."""
        return any(run['id'] == attempt_id for run in self.fleet.printed_runs())
