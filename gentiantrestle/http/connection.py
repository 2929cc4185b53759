"""One caller's HTTP/1.1 connection, bounded in size and time."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing, suppress
from http import HTTPStatus
from typing import NamedTuple, TypeAlias

import h11

from gentiantrestle.errors import (
    BAD_REQUEST,
    HEADERS_TOO_LARGE,
    REQUEST_TIMEOUT,
    RefusedError,
    refuse,
)
from gentiantrestle.http.messages import Request, Response, answer_refusal

READ_SIZE = 65536  # bytes
WRITE_BUFFER = 65536  # bytes
MAX_HEADER = 16384  # bytes
LINGER_TIME = 0.5  # seconds

Handler: TypeAlias = Callable[[Request], Awaitable[Response]]


class Limits(NamedTuple):
    """Bounds of one server."""

    header_timeout: float = 10
    idle_timeout: float = 75
    stall_timeout: float = 30
    max_connections: int = 2000


class ClosedError(Exception):
    """The other side left, or stalled beyond the bounds."""


class ServerConnection:
    """One caller's connection: requests in turn, answers streamed."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: Limits,
    ) -> None:
        """Wrap the streams in the protocol's state machine."""
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._h11 = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=MAX_HEADER,
        )
        self.started = False

    async def serve(self, handle: Handler, stopping: asyncio.Event) -> None:
        """Answer requests until either side closes."""
        while not stopping.is_set():
            head = await self._read_head(stopping)
            if head is None:
                return
            await self._answer(head, handle, stopping)
            if self._h11.our_state is not h11.DONE:
                return
            if self._h11.their_state is not h11.DONE:
                return
            self._h11.start_next_cycle()

    async def refuse(self, exc: RefusedError) -> None:
        """Answer with a refusal where the state still allows one."""
        if self._h11.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            response = answer_refusal(exc.refusal)
            await self._send(response, close=True)
            await self._linger()

    def close(self) -> None:
        """Close the connection without waiting."""
        self._writer.close()

    async def _read_head(self, stopping: asyncio.Event) -> h11.Request | None:
        patience = self._limits.idle_timeout
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            if self._h11.trailing_data[0]:
                patience = self._limits.header_timeout
            await self._receive(patience, stopping)

    async def _receive(
        self,
        patience: float,
        stopping: asyncio.Event | None = None,
    ) -> None:
        try:
            async with asyncio.timeout(patience):
                received = await self._reader.read(READ_SIZE)
        except TimeoutError:
            if not self._h11.trailing_data[0] and stopping is not None:
                raise ClosedError('idle') from None
            raise refuse(
                REQUEST_TIMEOUT, 'The request came too slowly'
            ) from None
        except ConnectionError as exc:
            raise ClosedError('reset') from exc
        self._h11.receive_data(received)

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA]:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as exc:
            kind = BAD_REQUEST
            if exc.error_status_hint == HEADERS_TOO_LARGE.status:
                kind = HEADERS_TOO_LARGE
            raise refuse(kind, f'Not valid HTTP: {exc}') from None

    async def _body(self) -> AsyncIterator[bytes]:
        self._go_on()
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                return
            if event is not h11.NEED_DATA:
                raise ClosedError('body cut')
            await self._receive(self._limits.stall_timeout)

    def _go_on(self) -> None:
        """Let a caller send its body that waits for our consent."""
        if self._h11.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(
                status_code=HTTPStatus.CONTINUE,
                headers=[],
            )
            self._writer.write(self._h11.send(go_on))

    async def _answer(
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
            self._body(),
        )
        self.started = True
        response = await handle(req)
        if self._h11.their_state is h11.SEND_BODY:
            await self._skip_body(req)
        unread = self._h11.their_state is not h11.DONE
        await self._send(response, close=unread or stopping.is_set())
        self.started = False
        if unread:
            await self._linger()

    async def _linger(self) -> None:
        """Read on for a moment, so that a reset does not eat the answer."""
        with suppress(OSError, TimeoutError):
            self._writer.write_eof()
            async with asyncio.timeout(LINGER_TIME):
                while await self._reader.read(READ_SIZE):
                    await asyncio.sleep(0)

    async def _skip_body(self, req: Request) -> None:
        """Read a short rest, so that the answer is not lost to a reset."""
        with suppress(RefusedError, ClosedError):
            await req.read(MAX_HEADER)

    async def _send(self, response: Response, *, close: bool) -> None:
        headers = [('Content-Type', response.content_type), *response.headers]
        if close:
            headers.append(('Connection', 'close'))
        whole = isinstance(response.body, bytes)
        if whole:
            headers.append(('Content-Length', str(len(response.body))))
        head = h11.Response(
            status_code=response.status,
            headers=headers,
            reason=HTTPStatus(response.status).phrase,
        )
        if whole:
            await self._send_whole(head, response.body)
            return
        async with aclosing(response.body) as parts:
            await self._write(self._h11.send(head))
            async for part in parts:
                await self._write(self._h11.send(h11.Data(data=part)))
        await self._write(self._h11.send(h11.EndOfMessage()))

    async def _send_whole(self, head: h11.Response, body: bytes) -> None:
        sent = self._h11.send(head)
        sent += self._h11.send(h11.Data(data=body))
        sent += self._h11.send(h11.EndOfMessage())
        await self._write(sent)

    async def _write(self, sent: bytes) -> None:
        transport = self._writer.transport
        if transport.is_closing():
            raise ClosedError('caller left')
        self._writer.write(sent)
        if transport.get_write_buffer_size() <= WRITE_BUFFER:
            return
        try:
            async with asyncio.timeout(self._limits.stall_timeout):
                await self._writer.drain()
        except (TimeoutError, ConnectionError) as exc:
            transport.abort()
            raise ClosedError('caller stalled') from exc
