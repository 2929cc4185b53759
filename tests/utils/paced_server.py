"""A server that reads requests and writes answers at a given rate."""

import asyncio
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import NamedTuple

from gentiantrestle.models import Address
from tests.utils.ports import HOST

RECEIVE_BUFFER = 16384  # bytes
PART = 8192  # bytes
HEAD_END = b'\r\n\r\n'
LENGTH = 'content-length:'
SILENT = 60.0  # seconds


class Pace(NamedTuple):
    """How requests are read and answers written."""

    answer: bytes = b'{}'
    status: str = '200 OK'
    rate: float = 0  # bytes per second of an answer; 0 for no limit
    read_rate: float = 0  # bytes per second of a request; 0 for no limit
    delay: float = 0  # seconds from a request to the head of its answer
    stops_at: int | None = None  # bytes of a body after which nothing comes
    reads_up_to: int = sys.maxsize  # bytes of a body that are read


class PacedServer:
    """Keeps the requests that it has read, whole or not."""

    def __init__(self, pace: Pace) -> None:
        """Serve each request alike."""
        self.pace = pace
        self.begun = 0
        self.whole: list[bytes] = []
        self.received = 0  # bytes of bodies
        self.stopped_at = float(0)  # time of the last byte before silence
        self.open = 0  # connections

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.open += 1
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await self._serve_request(reader, writer)
        writer.close()
        self.open -= 1

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(HEAD_END)).decode()
        self.begun += 1
        lines = head.lower().split('\r\n')
        sizes = (line[len(LENGTH) :] for line in lines if LENGTH in line)
        self.whole.append(await self._read(reader, int(next(sizes, '0'))))
        pace = self.pace
        await asyncio.sleep(pace.delay)
        body = pace.answer
        writer.write(
            f'HTTP/1.1 {pace.status}\r\nX-Version: 1\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
        )
        await _write(writer, body[: pace.stops_at], pace.rate)
        if pace.stops_at is None:
            return
        await self._fall_silent()

    async def _read(self, reader: asyncio.StreamReader, size: int) -> bytes:
        began = _now()
        body = b''
        while len(body) < size:
            if len(body) >= self.pace.reads_up_to:
                await self._fall_silent()
            part = await reader.readexactly(min(PART, size - len(body)))
            body += part
            self.received += len(part)
            await _keep_pace(began, len(body), self.pace.read_rate)
        return body

    async def _fall_silent(self) -> None:
        self.stopped_at = _now()
        await asyncio.sleep(SILENT)


async def _write(
    writer: asyncio.StreamWriter, body: bytes, rate: float
) -> None:
    began = _now()
    for begin in range(0, len(body), PART):
        writer.write(body[begin : begin + PART])
        await writer.drain()
        await _keep_pace(began, begin + PART, rate)


@asynccontextmanager
async def paced_server(
    pace: Pace,
) -> AsyncIterator[tuple[PacedServer, Address]]:
    """Serve at a port of the loopback address."""
    paced = PacedServer(pace)
    sock = socket.create_server((HOST, 0))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    server = await asyncio.start_server(paced.serve, sock=sock, limit=PART)
    try:
        yield paced, Address(*sock.getsockname())
    finally:
        server.close()


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _keep_pace(began: float, moved: int, rate: float) -> None:
    if rate:
        await asyncio.sleep(began + moved / rate - _now())
