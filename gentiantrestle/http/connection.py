"""One caller's HTTP/1.1 connection, with limits on size and time."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing, suppress
from http import HTTPStatus
from typing import NamedTuple, TypeAlias

import h11

from gentiantrestle import events
from gentiantrestle.errors import (
    BAD_REQUEST,
    HEADERS_TOO_LARGE,
    REQUEST_TIMEOUT,
    STOPPING,
    UPSTREAM_OUTCOME_UNKNOWN,
    RefusedError,
    refuse,
)
from gentiantrestle.http.link import CHUNKED_SINCE, reset_on_close
from gentiantrestle.http.messages import (
    Request,
    Response,
    close_body,
    internal_error_response,
    may_have_body,
    refusal_response,
    response_head,
)

READ_SIZE = 65536  # bytes
MAX_WRITE_BUFFER = 65536  # bytes
MAX_HEADER = 16384  # bytes
LINGER_TIME = 0.5  # seconds of reading after a last response
# A busy process finds an idle limit exceeded before it has read what arrived
# meanwhile, so it waits once more before it closes a connection.
LAST_WAIT = 0.05  # seconds

Handler: TypeAlias = Callable[[Request], Awaitable[Response]]


class ServerLimits(NamedTuple):
    """Limits of one server; timeouts are in s."""

    header_timeout: float = 10
    idle_timeout: float = 75
    stall_timeout: float = 30
    max_connections: int = 2000


class ConnectionClosedError(Exception):
    """The caller disconnected, or stayed idle or stalled for too long."""


class ServerConnection:
    """One caller's connection: requests in sequence, streamed responses."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: ServerLimits,
    ) -> None:
        """Wrap the streams in an h11 server state machine."""
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._h11 = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=MAX_HEADER,
        )
        # Whether a request has begun to arrive and isn't answered yet.
        self.busy = False
        self._idle_wait: asyncio.Timeout | None = None
        self._method = b''

    async def serve(self, handle: Handler, stopping: asyncio.Event) -> None:
        """Handle requests until either side closes.

        While ``stopping`` is set, the next request is the last one, and one
        that hasn't begun to arrive is not waited for.
        """
        while True:
            head = await self._read_head(stopping)
            if head is None:
                return
            await self._respond(head, handle, stopping)
            if self._h11.our_state is not h11.DONE:
                return
            if self._h11.their_state is not h11.DONE:
                return
            self._h11.start_next_cycle()

    async def refuse(self, exc: RefusedError) -> None:
        """Send a refusal, unless a response has already been started."""
        if self._h11.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            response = refusal_response(exc.refusal)
            await self._send(response, close=True)
            await self._linger()

    async def end(self) -> None:
        """Answer a request that is left as the server ends.

        One that is not complete has not run; another may have.
        """
        if not self.busy:
            return
        kind = UPSTREAM_OUTCOME_UNKNOWN
        if self._h11.their_state in {h11.IDLE, h11.SEND_BODY}:
            kind = STOPPING
        await self.refuse(refuse(kind, 'This instance ends'))

    def end_idle(self) -> None:
        """End the wait for a request if none has begun to arrive."""
        wait = self._idle_wait
        if wait is not None and not wait.expired():
            now = asyncio.get_running_loop().time()
            wait.reschedule(now + LAST_WAIT)

    def close(self) -> None:
        """Close the connection without waiting."""
        self._writer.close()

    async def _read_head(self, stopping: asyncio.Event) -> h11.Request | None:
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            if self._h11.trailing_data[0]:
                await self._receive(self._limits.header_timeout)
            else:
                await self._receive_first(stopping)

    async def _receive_first(self, stopping: asyncio.Event) -> None:
        """Wait for the first bytes of a request."""
        idle_timeout = 0 if stopping.is_set() else self._limits.idle_timeout
        # The third one reads what arrived as the second one ended.
        for timeout in (idle_timeout, LAST_WAIT, 0):
            with suppress(TimeoutError):
                received = await self._read_idle(timeout)
                self.busy = bool(received)
                self._h11.receive_data(received)
                return
        raise ConnectionClosedError('idle')

    async def _read_idle(self, timeout: float) -> bytes:
        self._idle_wait = asyncio.timeout(timeout)
        try:
            async with self._idle_wait:
                return await self._read()
        finally:
            self._idle_wait = None

    async def _receive(self, timeout: float) -> None:
        try:
            async with asyncio.timeout(timeout):
                received = await self._read()
        except TimeoutError:
            raise refuse(
                REQUEST_TIMEOUT, 'The request did not arrive in time'
            ) from None
        self._h11.receive_data(received)

    async def _read(self) -> bytes:
        try:
            return await self._reader.read(READ_SIZE)
        except ConnectionError as exc:
            raise ConnectionClosedError('reset') from exc

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA]:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as exc:
            kind = BAD_REQUEST
            if exc.error_status_hint == HEADERS_TOO_LARGE.status:
                kind = HEADERS_TOO_LARGE
            raise refuse(kind, f'Not valid HTTP: {exc}') from None

    async def _iter_body(self) -> AsyncIterator[bytes]:
        self._send_continue()
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                return
            if event is not h11.NEED_DATA:
                raise ConnectionClosedError(
                    'connection closed within the request body'
                )
            await self._receive(self._limits.stall_timeout)

    def _send_continue(self) -> None:
        """Send 100 Continue if the caller waits for it before its body."""
        if self._h11.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(
                status_code=HTTPStatus.CONTINUE,
                headers=[],
            )
            self._writer.write(self._h11.send(interim))

    async def _respond(
        self,
        head: h11.Request,
        handle: Handler,
        stopping: asyncio.Event,
    ) -> None:
        req = Request(
            head.method.decode(),
            head.target.decode('latin-1'),
            {
                name.decode(): text.decode('latin-1')
                for name, text in head.headers
            },
            self._iter_body(),
        )
        self.busy = True
        self._method = head.method
        response = await handle(req)
        if self._h11.their_state is h11.SEND_BODY:
            await _skip_body(req)
        unread = self._h11.their_state is not h11.DONE
        await self._send(response, close=unread or stopping.is_set())
        self.busy = False
        if unread:
            await self._linger()

    async def _linger(self) -> None:
        """Read on briefly before closing.

        Closing with unread bytes resets the connection, and the caller may
        lose the response.
        """
        with suppress(OSError, TimeoutError):
            self._writer.write_eof()
            async with asyncio.timeout(LINGER_TIME):
                while await self._reader.read(READ_SIZE):
                    await asyncio.sleep(0)

    async def _send(self, response: Response, *, close: bool) -> None:
        try:
            head = response_head(response, close=close)
        except h11.LocalProtocolError as exc:
            events.emit(events.REQUEST_FAILED, error=repr(exc))
            await close_body(response)
            response = internal_error_response()
            head = response_head(response, close=close)
        if not may_have_body(self._method, response.status):
            await close_body(response)
            response = response._replace(body=b'')
        if isinstance(response.body, bytes):
            await self._send_whole(head, response.body)
            return
        await self._send_stream(head, response.body)

    async def _send_stream(
        self, head: h11.Response, body: AsyncIterator[bytes]
    ) -> None:
        transport = self._writer.transport
        ends_by_close = self._h11.their_http_version < CHUNKED_SINCE
        reset_on_close(transport, enabled=ends_by_close)
        async with aclosing(body) as parts:
            await self._write(self._h11.send(head))
            async for part in parts:
                await self._write(self._h11.send(h11.Data(data=part)))
        reset_on_close(transport, enabled=False)
        await self._write(self._h11.send(h11.EndOfMessage()))

    async def _send_whole(self, head: h11.Response, body: bytes) -> None:
        payload = self._h11.send(head)
        payload += self._h11.send(h11.Data(data=body))
        payload += self._h11.send(h11.EndOfMessage())
        await self._write(payload)

    async def _write(self, payload: bytes) -> None:
        transport = self._writer.transport
        if transport.is_closing():
            raise ConnectionClosedError('caller disconnected')
        self._writer.write(payload)
        if transport.get_write_buffer_size() <= MAX_WRITE_BUFFER:
            return
        try:
            async with asyncio.timeout(self._limits.stall_timeout):
                await self._writer.drain()
        except (TimeoutError, ConnectionError) as exc:
            transport.abort()
            raise ConnectionClosedError(
                'caller stalled or disconnected'
            ) from exc


async def _skip_body(req: Request) -> None:
    """Read a short rest of the body; unread, it would cause a reset."""
    with suppress(RefusedError, ConnectionClosedError):
        await req.read(MAX_HEADER)
