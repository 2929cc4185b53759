"""Paths from each entry to each upstream, which tests can cut.

A path is a proxy on loopback. On a silent one the kernel drops all packets of
the entry (Linux, a socket filter): connecting hangs, nothing is acknowledged,
keep-alive probes have no answer, and what was held back goes on afterwards, as
after a partition. Limits: packets *to* the entry aren't dropped, so a
connection that the proxy itself resets is reset during a silence, too; an
upstream notices nothing of a silence, since its side of the proxy stays open.
"""

import asyncio
import ctypes
import re
import socket
import struct
import time
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager, suppress
from enum import Enum
from pathlib import Path as FilePath
from typing import NamedTuple

from gentiantrestle.models import Address
from tests.gateway.fleet import GatewayFleet
from tests.gateway.own_paths import LISTED_HOST, OWN_HOST
from tests.soak.proxy import DOWN, UP, ProxiedConnection, Proxy

# Socket options and an instruction that Python has no names for.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
RETURN_CONSTANT = 6
# A filter that accepts no byte of a packet.
DROP_ALL = struct.pack('HBBI', RETURN_CONSTANT, 0, 0, 0)
LISTED_NUMBER = 100  # last part of the address that the store lists
ATTEMPT_ID = re.compile(rb'\r\nx-attempt-id: *([^\r]+)', re.IGNORECASE)


class Mode(Enum):
    """How a path is.

    ``SILENT``: connecting hangs, and open connections fall silent.
    ``REFUSING``: connecting is refused, and open connections are reset.
    ``REFUSING_NEW``: connecting is refused, and open connections live on.
    """

    SOUND = 'sound'
    SILENT = 'silent'
    REFUSING = 'refusing'
    REFUSING_NEW = 'refusing new'


class Passage(NamedTuple):
    """A request that went from an entry to an upstream."""

    at: float
    entry: int
    upstream: int
    request_id: str


class Path(Proxy):
    """The way from one entry to one upstream."""

    def __init__(self, listen: Address, target: Address) -> None:
        """Be sound; nothing listens yet."""
        super().__init__(listen, target)
        self.mode = Mode.SOUND
        # When which requests passed, by the id in their heads.
        self.passed: list[tuple[float, str]] = []
        self._switching = asyncio.Lock()

    async def switch(self, mode: Mode) -> None:
        """Cut the path, or let it be sound again; the last call counts."""
        async with self._switching:
            await self._switch(mode)

    async def pass_on(
        self,
        direction: str,
        chunk: bytes,
        writer: asyncio.StreamWriter,
        conn: ProxiedConnection,
    ) -> None:
        """Pass bytes on, and note the ids of requests."""
        if direction == UP:
            self.passed += [
                (time.time(), found.decode())
                for found in ATTEMPT_ID.findall(chunk)
            ]
        await super().pass_on(direction, chunk, writer, conn)

    async def _switch(self, mode: Mode) -> None:
        self.mode = mode
        silent = mode is Mode.SILENT
        self.blocked = {UP, DOWN} if silent else set()
        if mode in {Mode.SOUND, Mode.SILENT}:
            if not self._server.is_serving():
                await self.start()
        else:
            self._server.close()
        for sock in self._sockets():
            _drop_packets(sock, enabled=silent)
        if mode is Mode.REFUSING:
            self.reset()

    def _sockets(self) -> Iterable[socket.socket]:
        """Yield the sockets that receive what the entry sends."""
        yield from self._server.sockets
        for conn in self._conns:
            sock = conn.near_socket
            if sock is not None and sock.fileno() >= 0:
                yield sock


class PathGrid:
    """The paths of some entries to some upstreams."""

    def __init__(self, hosts: list[str], targets: list[Address]) -> None:
        """Let entries on ``hosts``, of one block, reach ``targets``."""
        self._block = hosts[0].rpartition('.')[0]
        self._targets = targets
        self._size = (len(hosts), len(targets))
        self.paths = {
            (entry, upstream): Path(
                Address(self._path_host(entry), target.port), target
            )
            for entry, _ in enumerate(hosts)
            for upstream, target in enumerate(targets)
        }

    async def start(self) -> None:
        """Start all paths."""
        for path in self.paths.values():
            await path.start()

    async def stop(self) -> None:
        """Reset all connections and stop listening."""
        for path in self.paths.values():
            path.clear_faults()
            await path.stop()

    def environ(self, entry: int) -> dict[str, str]:
        """Return what tells the launcher of an entry its paths."""
        return {
            LISTED_HOST: self._listed_host,
            OWN_HOST: self._path_host(entry),
        }

    def listed_address(self, upstream: int) -> Address:
        """Return the address that the store lists for an upstream."""
        return Address(self._listed_host, self._targets[upstream].port)

    async def cut(
        self,
        mode: Mode,
        entries: Iterable[int] | None = None,
        upstreams: Iterable[int] | None = None,
    ) -> None:
        """Set the mode of paths, of all if not told which."""
        from_entries = set(range(self._size[0]) if entries is None else entries)
        to_upstreams = set(
            range(self._size[1]) if upstreams is None else upstreams
        )
        for (entry, upstream), path in self.paths.items():
            if entry in from_entries and upstream in to_upstreams:
                await path.switch(mode)

    @property
    def _listed_host(self) -> str:
        return f'{self._block}.{LISTED_NUMBER}'

    def _path_host(self, entry: int) -> str:
        return f'{self._block}.{LISTED_NUMBER + 1 + entry}'


class PathFleet(GatewayFleet):
    """A fleet whose entries have a path of their own to each upstream."""

    def __init__(self, folder: FilePath, entries: int, upstreams: int) -> None:
        """Choose the addresses; nothing is started yet."""
        super().__init__(folder, entries, upstreams)
        self.launcher = 'tests.gateway.own_paths'
        self.grid = PathGrid(self.hosts, self.upstreams)
        self.cut = self.grid.cut

    async def start(self) -> None:
        """Start the paths and then the processes."""
        await self.grid.start()
        await super().start()

    async def stop(self) -> None:
        """Kill every process that is running, and end the paths."""
        await super().stop()
        await self.grid.stop()

    async def start_entry(
        self, number: int, seeds: tuple[str, ...] | None = None
    ) -> None:
        """Start one entry on its paths."""
        self.environ = self.grid.environ(number)
        await super().start_entry(number, seeds)

    def upstream_address(self, number: int) -> Address:
        """Return the address that the store lists for an upstream."""
        return self.grid.listed_address(number)

    async def end_upstream(self, number: int, mode: Mode) -> None:
        """Kill an upstream; its address refuses, or is silent as its host."""
        await self.standins[self.upstreams[number]].end()
        await self.cut(mode, upstreams=(number,))

    def passages(self) -> list[Passage]:
        """Return what has passed on all paths, in order of time."""
        return sorted(
            Passage(at, entry, upstream, request_id)
            for (entry, upstream), path in self.grid.paths.items()
            for at, request_id in path.passed
        )

    def served_by(self, request_id: str) -> list[int]:
        """Return the entries that sent a request to upstreams, in order."""
        return [
            passage.entry
            for passage in self.passages()
            if passage.request_id == request_id
        ]

    def handled_elsewhere(self, request_ids: set[str], entry: int) -> set[str]:
        """Return which requests other entries than theirs have handled.

        They name a request's id in the line of each decision about it.
        """
        others = [*self.entries[:entry], *self.entries[entry + 1 :]]
        logged = {
            line.get('request')
            for child in others
            for line in child.log_lines()
        }
        passed = {
            passage.request_id
            for passage in self.passages()
            if passage.entry != entry
        }
        return request_ids & (logged | passed)


@asynccontextmanager
async def started_paths(
    folder: FilePath,
    entries: int,
    upstreams: int,
    services: dict[int, str] | None = None,
) -> AsyncIterator[PathFleet]:
    """Start a fleet with paths; kill its processes afterwards.

    ``services`` are those of upstreams that serve another one.
    """
    fleet = PathFleet(folder, entries, upstreams)
    fleet.services = services or {}
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()


def _drop_packets(sock: socket.socket, *, enabled: bool) -> None:
    """Let the kernel drop all that arrives for a socket, or accept it again."""
    if enabled:
        program = ctypes.create_string_buffer(DROP_ALL, len(DROP_ALL))
        described = struct.pack('HxxxxxxP', 1, ctypes.addressof(program))
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, described)
        return
    with suppress(OSError):  # it had no filter
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
