"""HTTP/1.1 connections to other servers, kept and bounded."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import NamedTuple

import h11

from gentiantrestle.http.messages import HeaderPairs
from gentiantrestle.models import Address

READ_SIZE = 65536  # bytes
MAX_KEPT = 64
MAX_HEADER = 65536  # bytes


class NotSentError(Exception):
    """No byte of the request has left: it was not run."""


class ConnectionLostError(Exception):
    """The connection was lost after bytes of the request had left."""


class ClientRequest(NamedTuple):
    """A request to send."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


class ClientConnection:
    """One connection to a server; one call at a time."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Wrap the streams in the protocol's state machine."""
        self._reader = reader
        self._writer = writer
        self._h11 = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=MAX_HEADER,
        )

    @classmethod
    async def open(cls, address: Address, timeout: float) -> 'ClientConnection':
        """Connect, or raise ``NotSentError``."""
        try:
            async with asyncio.timeout(timeout):
                streams = await asyncio.open_connection(
                    address.host,
                    address.port,
                    limit=READ_SIZE,
                )
        except (OSError, TimeoutError) as exc:
            raise NotSentError(f'{address}: {exc!r}') from exc
        return cls(*streams)

    @property
    def usable(self) -> bool:
        """Tell whether another call can be sent."""
        return (
            self._h11.our_state is h11.IDLE
            and self._h11.their_state is h11.IDLE
            and not self._reader.at_eof()
            and not self._writer.transport.is_closing()
        )

    async def send(self, call: ClientRequest, host: str) -> 'ClientResponse':
        """Send a call and wait for the head of its answer."""
        head = h11.Request(
            method=call.method,
            target=call.target,
            headers=[
                ('Host', host),
                ('Content-Length', str(len(call.body))),
                *call.headers,
            ],
        )
        sent = self._h11.send(head)
        sent += self._h11.send(h11.Data(data=call.body))
        sent += self._h11.send(h11.EndOfMessage())
        try:
            self._writer.write(sent)
            await self._writer.drain()
        except ConnectionError as exc:
            raise ConnectionLostError(f'{host}: {exc!r}') from exc
        while True:
            event = await self._event()
            if isinstance(event, h11.Response):
                return ClientResponse(
                    event.status_code, event.headers.raw_items(), self
                )

    async def iter_body(self) -> AsyncIterator[bytes]:
        """Pass on the parts of the answer's body until it is whole."""
        while True:
            event = await self._event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
                return

    def close(self) -> None:
        """Close the connection without waiting."""
        self._writer.close()

    def _finish(self) -> None:
        states = (self._h11.our_state, self._h11.their_state)
        if states == (h11.DONE, h11.DONE):
            self._h11.start_next_cycle()

    async def _event(self) -> h11.Event:
        try:
            event = self._h11.next_event()
            while event is h11.NEED_DATA:
                self._h11.receive_data(await self._reader.read(READ_SIZE))
                event = self._h11.next_event()
        except (h11.RemoteProtocolError, ConnectionError) as exc:
            raise ConnectionLostError(repr(exc)) from exc
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionLostError('closed early')
        return event


class ClientResponse(NamedTuple):
    """The head of an answer, and the connection its body comes on."""

    status: int
    raw_headers: HeaderPairs
    conn: ClientConnection

    def header(self, name: str) -> str:
        """Return one header field or an empty text."""
        wanted = name.lower().encode()
        for key, text in self.raw_headers:
            if key.lower() == wanted:
                return text.decode('latin-1')
        return ''

    async def iter_body(self, stall: float) -> AsyncIterator[bytes]:
        """Pass the body on; raise ``TimeoutError`` when it stalls.

        ``stall`` is the longest pause between two parts, in s.
        """
        async with aclosing(self.conn.iter_body()) as iter_body:
            while True:
                async with asyncio.timeout(stall):
                    part = await anext(iter_body, None)
                if part is None:
                    return
                yield part

    async def read(self) -> bytes:
        """Collect the whole body."""
        return b''.join([part async for part in self.conn.iter_body()])


class ConnectionPool:
    """Kept connections to one address, at most ``size`` at a time."""

    def __init__(self, address: Address, size: int, timeout: float) -> None:
        """Start empty; connections are opened when needed."""
        self.address = address
        self._timeout = timeout
        self._slots = asyncio.Semaphore(size)
        self._idle: list[ClientConnection] = []

    async def send(self, call: ClientRequest) -> ClientResponse:
        """Send a call; its answer must be given to ``release`` at last."""
        await self._slots.acquire()
        conn = None
        try:
            conn = await self._connect()
            return await conn.send(call, str(self.address))
        except BaseException:
            self._slots.release()
            if conn is not None:
                conn.close()
            raise

    def release(self, answer: ClientResponse) -> None:
        """Take a connection back; one in mid-answer is closed."""
        self._slots.release()
        if answer.conn.usable and len(self._idle) < MAX_KEPT:
            self._idle.append(answer.conn)
            return
        answer.conn.close()

    async def fetch(self, call: ClientRequest) -> tuple[ClientResponse, bytes]:
        """Send a call and collect its whole answer."""
        answer = await self.send(call)
        try:
            body = await answer.read()
        finally:
            self.release(answer)
        return answer, body

    def close(self) -> None:
        """Close the connections that are not in use."""
        while self._idle:
            self._idle.pop().close()

    async def _connect(self) -> ClientConnection:
        while self._idle:
            conn = self._idle.pop()
            if conn.usable:
                return conn
            conn.close()
        return await ClientConnection.open(self.address, self._timeout)
