"""An upstream whose process is replaced by a new run, in-process."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from gentiantrestle.models import Address
from standins.upstream import encode_event
from tests.gateway.scripted import HEAD
from tests.utils.ports import HOST, free_ports

REPORT_LINE = b'GET /gentiantrestle/report '
HEAD_END = b'\r\n\r\n'
LAST_EVENT = b'last-event-id: '
EVENTS = 3
NO_REPORT = b'HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n'


def event(number: int) -> bytes:
    """Return one event of the answer."""
    return encode_event('r1', number)


class Run:
    """One run: answers without length until ``end``, and tells of itself."""

    def __init__(self, address: Address, born: int, *, reports: bool) -> None:
        """Have a start at ``born``; without ``reports`` none is told."""
        self._address = address
        self._born = born
        self._reports = reports
        # Whether answers are held back after their first event.
        self.holds = True
        # Whether nothing of an answer is sent at all.
        self.holds_heads = False
        # Called once as much of an answer has been sent as is to be.
        self.on_answer: Callable[[], Awaitable[None]] = _nothing
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []
        # Those that carry an answer.
        self.answers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Listen at the upstream's address."""
        self._server = await asyncio.start_server(self._serve, *self._address)

    async def end(self) -> None:
        """End as a process does: its connections end in their order."""
        self.close()
        await self._server.wait_closed()

    def close(self) -> None:
        """Close all connections, and accept no others."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(HEAD_END)
                if head.startswith(REPORT_LINE):
                    writer.write(self._report())
                else:
                    self._answer(head.lower(), writer)
                    await self.on_answer()
                    return
        writer.close()

    def _answer(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        self.answers.append(writer)
        if self.holds_heads:
            return
        if self.holds:
            writer.write(HEAD + event(1))
            return
        last = int((head.partition(LAST_EVENT)[2].split() or [b'0'])[0])
        rest = range(last + 1, EVENTS + 1)
        writer.write(HEAD + b''.join(map(event, rest)))
        writer.close()

    def _report(self) -> bytes:
        if not self._reports:
            return NO_REPORT
        body = f'{{"born":{self._born}}}'.encode()
        length = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}'
        return length.encode() + HEAD_END + body


class RebornUpstream:
    """An upstream of one address whose runs follow each other."""

    def __init__(
        self, address: Address | None = None, *, reports: bool = True
    ) -> None:
        """Choose the address if none is given; no run has begun yet."""
        self.address = address or Address(HOST, free_ports(1)[0])
        self._reports = reports
        self._born = 0
        self.run: Run | None = None

    async def start(self) -> None:
        """Let the next run begin, with the next ``born``."""
        self._born += 1
        self.run = Run(self.address, self._born, reports=self._reports)
        await self.run.start()

    async def replace_now(self) -> None:
        """End the present run, which is answering, and begin the next one."""
        self.run.close()
        await self.start()

    async def start_again(self) -> None:
        """End the present run, and let the next one begin."""
        await self.run.end()
        await self.start()


async def _nothing() -> None:
    """Do nothing."""
