"""HTTP/1.1 client connections, and a bounded pool that reuses them."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import NamedTuple

import h11

from gentiantrestle.http.messages import HeaderPairs
from gentiantrestle.http.probe import accepts_connections
from gentiantrestle.models import Address

READ_SIZE = 65536  # bytes
MAX_IDLE = 64  # connections
MAX_HEADER = 65536  # bytes
MAX_BODY = 33554432  # bytes of a body that is read whole
PROBE_TIMEOUT = 1.0  # seconds
# Header fields that tell where a body ends.
FRAMING = frozenset((b'content-length', b'transfer-encoding'))


class NotSentError(Exception):
    """Connecting failed; no byte of the request was sent, so it was not run."""


class ConnectionLostError(Exception):
    """The connection failed after sending began; the request may have run."""


class ClientRequest(NamedTuple):
    """One request; Host and Content-Length are added when it is sent."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


class ClientConnection:
    """One connection to a server; it carries one request at a time."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        address: Address,
    ) -> None:
        """Wrap the streams in an h11 client state machine."""
        self._reader = reader
        self._writer = writer
        self._address = address
        self._ends_by_close = False
        self._h11 = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=MAX_HEADER,
        )

    @classmethod
    async def open(cls, address: Address, timeout: float) -> 'ClientConnection':
        """Connect within ``timeout`` s, or raise ``NotSentError``."""
        try:
            async with asyncio.timeout(timeout):
                streams = await asyncio.open_connection(
                    address.host,
                    address.port,
                    limit=READ_SIZE,
                )
        except (OSError, TimeoutError) as exc:
            raise NotSentError(f'{address}: {exc!r}') from exc
        return cls(*streams, address)

    @property
    def usable(self) -> bool:
        """Whether another request can be sent on this connection."""
        return (
            self._h11.our_state is h11.IDLE
            and self._h11.their_state is h11.IDLE
            and not self._reader.at_eof()
            and not self._writer.transport.is_closing()
        )

    async def send(self, req: ClientRequest, host: str) -> 'ClientResponse':
        """Send a request; return its response once the head has arrived.

        Raises ``ConnectionLostError``.
        """
        head = h11.Request(
            method=req.method,
            target=req.target,
            headers=[
                ('Host', host),
                ('Content-Length', str(len(req.body))),
                *req.headers,
            ],
        )
        payload = self._h11.send(head)
        payload += self._h11.send(h11.Data(data=req.body))
        payload += self._h11.send(h11.EndOfMessage())
        try:
            self._writer.write(payload)
            await self._writer.drain()
        except ConnectionError as exc:
            raise ConnectionLostError(f'{host}: {exc!r}') from exc
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                names = {name for name, _ in event.headers}
                self._ends_by_close = not names & FRAMING
                return ClientResponse(
                    event.status_code, event.headers.raw_items(), self
                )

    async def iter_body(self) -> AsyncIterator[bytes]:
        """Yield the response body until it is complete.

        Raises ``ConnectionLostError`` if the connection fails before that, or
        if the server ends with the connection that ends the body.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                await self._confirm_end()
                self._reset_when_done()
                return

    def close(self) -> None:
        """Close the connection without waiting."""
        self._writer.close()

    async def _confirm_end(self) -> None:
        if not self._ends_by_close or not self._reader.at_eof():
            return
        if not await accepts_connections(self._address, PROBE_TIMEOUT):
            raise ConnectionLostError('the server ended with its response')

    def _reset_when_done(self) -> None:
        states = (self._h11.our_state, self._h11.their_state)
        if states == (h11.DONE, h11.DONE):
            self._h11.start_next_cycle()

    async def _next_event(self) -> h11.Event:
        try:
            event = self._h11.next_event()
            while event is h11.NEED_DATA:
                self._h11.receive_data(await self._reader.read(READ_SIZE))
                event = self._h11.next_event()
        except (h11.RemoteProtocolError, ConnectionError) as exc:
            raise ConnectionLostError(repr(exc)) from exc
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionLostError(
                'connection closed before the response was complete'
            )
        return event


class ClientResponse(NamedTuple):
    """The head of a response, and the connection that carries its body."""

    status: int
    raw_headers: HeaderPairs
    conn: ClientConnection

    def header(self, name: str) -> str:
        """Return a header field, or an empty string if there is none."""
        wanted = name.lower().encode()
        for key, text in self.raw_headers:
            if key.lower() == wanted:
                return text.decode('latin-1')
        return ''

    async def iter_body(self, stall_timeout: float) -> AsyncIterator[bytes]:
        """Yield the body; raise ``TimeoutError`` if it stalls.

        ``stall_timeout`` is the longest wait for the next part, in s.
        """
        async with aclosing(self.conn.iter_body()) as iter_body:
            while True:
                async with asyncio.timeout(stall_timeout):
                    part = await anext(iter_body, None)
                if part is None:
                    return
                yield part

    async def read(self) -> bytes:
        """Read the whole body.

        Raises ``ConnectionLostError``, also for more than ``MAX_BODY``: such a
        body is taken for one without end.
        """
        parts = []
        size = 0
        async with aclosing(self.conn.iter_body()) as iter_body:
            async for part in iter_body:
                size += len(part)
                if size > MAX_BODY:
                    raise ConnectionLostError(
                        f'no end of a body in {MAX_BODY} bytes'
                    )
                parts.append(part)
        return b''.join(parts)


class ConnectionPool:
    """Reusable connections to one address, at most ``size`` in use."""

    def __init__(self, address: Address, size: int, timeout: float) -> None:
        """Open connections on demand, each within ``timeout`` s."""
        self.address = address
        self._timeout = timeout
        self._semaphore = asyncio.Semaphore(size)
        self._idle: list[ClientConnection] = []

    async def send(self, req: ClientRequest) -> ClientResponse:
        """Send a request; the caller must ``release`` its response.

        Raises ``NotSentError`` and ``ConnectionLostError``.
        """
        await self._semaphore.acquire()
        conn = None
        try:
            conn = await self._connect()
            return await conn.send(req, str(self.address))
        except BaseException:
            self._semaphore.release()
            if conn is not None:
                conn.close()
            raise

    def release(self, response: ClientResponse) -> None:
        """Take a connection back; close it if it can't be reused."""
        self._semaphore.release()
        if response.conn.usable and len(self._idle) < MAX_IDLE:
            self._idle.append(response.conn)
            return
        response.conn.close()

    async def fetch(self, req: ClientRequest) -> tuple[ClientResponse, bytes]:
        """Send a request and read its whole response."""
        response = await self.send(req)
        try:
            body = await response.read()
        finally:
            self.release(response)
        return response, body

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _connect(self) -> ClientConnection:
        while self._idle:
            conn = self._idle.pop()
            if conn.usable:
                return conn
            conn.close()
        return await ClientConnection.open(self.address, self._timeout)
