"""Upstreams that break off their answers in a given way."""

import asyncio
import socket
import struct
from contextlib import suppress
from typing import NamedTuple

from standins.upstream import encode_event
from tests.gateway.fleet import GatewayFleet
from tests.gateway.reports import read_head

NO_LINGER = struct.pack('ii', 1, 0)  # closing resets the connection
END_OF_CHUNKS = b'0\r\n\r\n'
FLUSH_TIME = 0.02  # seconds in which bytes leave before a reset
DOWN_TIME = 0.1  # seconds that an ended upstream refuses connections
SILENCE = 30.0  # seconds
PLAIN = b'a plain answer'
EVENTS = 4

FRAMINGS = ('length', 'chunks', 'ended chunks', 'none')
WAYS = ('closed', 'reset', 'ended', 'silent')
CUTS = (
    'before the first byte',
    'inside the first event',
    'after the first event',
    'inside a later event',
    'inside a blank line',
)


class Break(NamedTuple):
    """How the first answer to a request is broken off.

    ``way`` is what happens to the connection; ``ended`` means that it is
    closed as the upstream's process ends.
    """

    framing: str
    cut: str
    way: str

    @property
    def is_hidden(self) -> bool:
        """Return whether nothing tells the answer from a complete one."""
        at_border = self.cut in {CUTS[0], CUTS[2]}
        if self.framing == 'ended chunks':
            return at_border
        return (
            self.framing == 'none' and self.cut == CUTS[2]
        ) and self.way == 'closed'

    def shorten(self, whole: bytes) -> bytes:
        """Return what of a stream's body is sent."""
        first = whole.index(b'\n\n') + 2
        second = whole.index(b'\n\n', first) + 2
        sizes = (0, first // 2, first, first + 5, second - 1)
        return whole[: sizes[CUTS.index(self.cut)]]


def stream_from(request_id: str, last_event: int) -> bytes:
    """Return the events of a request's stream after one of them."""
    return b''.join(
        encode_event(request_id, number)
        for number in range(last_event + 1, EVENTS + 1)
    )


class RawUpstream:
    """Breaks the first answer to each request off; later ones are whole."""

    def __init__(self, fleet: GatewayFleet, number: int) -> None:
        """Take the place of an upstream of the fleet."""
        self._fleet = fleet
        self._number = number
        self._server: asyncio.Server | None = None
        self._restarts: list[asyncio.Task[None]] = []
        self._seen: set[str] = set()
        self.breaks: dict[str, Break] = {}

    def share(self, seen: set[str], breaks: dict[str, Break]) -> None:
        """Share with other upstreams what was seen and what to break."""
        self._seen = seen
        self.breaks = breaks

    async def start(self) -> None:
        """Listen at the upstream's address."""
        address = self._fleet.upstreams[self._number]
        self._server = await asyncio.start_server(
            self._answer, address.host, address.port
        )

    async def refuse_connections(self) -> None:
        """Stop listening for a moment, as if the process had ended."""
        if self._server.is_serving():
            self._server.close()
            await asyncio.sleep(DOWN_TIME)
            await self.start()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            await self._serve(reader, writer)
        writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        raw = (await read_head(reader, writer)).decode('latin-1')
        fields = dict(
            line.lower().split(': ', 1) for line in raw.splitlines()[1:-1]
        )
        request_id = fields['x-attempt-id']
        await reader.readexactly(int(fields.get('content-length', '0')))
        if '/get/' in raw.split()[1] or '/pay/' in raw.split()[1]:
            whole = PLAIN
        else:
            whole = stream_from(request_id, int(fields.get('last-event-id', 0)))
        head = (
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n'
            'X-Server-Stamp: stamp\r\n'
        ).encode()
        broken = self.breaks.get(request_id)
        if broken is None or request_id in self._seen:
            length = f'Content-Length: {len(whole)}\r\n\r\n'.encode()
            writer.write(head + length + whole)
            await writer.drain()
            return
        self._seen.add(request_id)
        await self._break_off(head, whole, broken, writer)

    async def _break_off(
        self,
        head: bytes,
        whole: bytes,
        broken: Break,
        writer: asyncio.StreamWriter,
    ) -> None:
        sent = whole[:5] if whole == PLAIN else broken.shorten(whole)
        writer.write(head + _frame(sent, len(whole), broken.framing))
        await writer.drain()
        if broken.way == 'silent':
            await asyncio.sleep(SILENCE)
        if broken.way == 'reset':
            await asyncio.sleep(FLUSH_TIME)
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )
        if broken.way == 'ended':
            task = asyncio.create_task(self.refuse_connections())
            self._restarts.append(task)
            await asyncio.sleep(0)


def _frame(sent: bytes, length: int, framing: str) -> bytes:
    """Return the end of the head and the framed part of a body."""
    if framing == 'none':
        return b'\r\n' + sent
    if framing == 'length':
        return f'Content-Length: {length}\r\n\r\n'.encode() + sent
    chunks = b'Transfer-Encoding: chunked\r\n\r\n'
    if sent:
        chunks += f'{len(sent):x}\r\n'.encode() + sent + b'\r\n'
    if framing == 'ended chunks':
        chunks += END_OF_CHUNKS
    return chunks
