"""HTTP/1.1 client connections."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import NamedTuple

import h11

from gentiantrestle.http.delivery import (
    LONG_REQUEST,
    delivery_as_progress,
    is_taken,
    undelivered,
)
from gentiantrestle.http.link import (
    Link,
    LinkLostError,
    RequestNotSentError,
    open_link,
)
from gentiantrestle.http.messages import HeaderPairs, may_have_body, needs_body
from gentiantrestle.http.progress import note_progress
from gentiantrestle.http.witness import Witness
from gentiantrestle.models import Address

MAX_HEADER = 65536  # bytes
MAX_BODY = 33554432  # bytes of a body that is read whole
PROBE_TIMEOUT = 1.0  # seconds
FIRST_NON_SUCCESS = 300
BOTH_IDLE = (h11.IDLE, h11.IDLE)
BOTH_DONE = (h11.DONE, h11.DONE)
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

    def __init__(self, link: Link, address: Address) -> None:
        """Use an open link to a server."""
        self._link = link
        self._address = address
        self.ends_by_close = False
        self._witness: Witness | None = None
        self._request_size = 0
        self._needs_body = True
        self._has_answered = False
        # Whether another request may follow the present one.
        self._keep = True

    @classmethod
    async def open(cls, address: Address, timeout: float) -> 'ClientConnection':
        """Connect within ``timeout`` s, or raise ``NotSentError``."""
        try:
            link = await open_link(address, timeout, MAX_HEADER)
        except RequestNotSentError as exc:
            raise NotSentError(str(exc)) from exc
        return cls(link, address)

    @property
    def usable(self) -> bool:
        """Whether another request can be sent on this connection.

        Bytes that have arrived since the last answer belong to no request.
        """
        machine = self._link.machine
        is_idle = (machine.our_state, machine.their_state) == BOTH_IDLE
        is_open = not self._link.disconnected
        return self._keep and is_idle and is_open and not self._link.has_input

    async def expect_no_length(self) -> None:
        """Prepare for an answer that ends with its connection.

        Then the run of the server that answers is known for certain.
        """
        self._witness = await Witness.opened(self._address, PROBE_TIMEOUT)

    def end_after_answer(self) -> None:
        """Let no further request follow on this connection."""
        self._keep = False

    async def send(self, req: ClientRequest, host: str) -> 'ClientResponse':
        """Send a request; return its response once the head has arrived.

        Raises ``NotSentError`` and ``ConnectionLostError``.
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
        self._request_size = len(req.body)
        if self._link.has_input:
            raise NotSentError(f'{host}: bytes arrived before the request')
        with delivery_as_progress(self._link, self._request_size):
            event = await self._exchange(
                host, (head, h11.Data(data=req.body), h11.EndOfMessage())
            )
        note_progress()
        self._check_head(req.method, event)
        self._needs_body = needs_body(req.method, event.status_code)
        if self.ends_by_close and self._witness is None:
            self._witness = Witness(self._address, PROBE_TIMEOUT)
        return ClientResponse(
            event.status_code, event.headers.raw_items(), self
        )

    async def iter_body(self) -> AsyncIterator[bytes]:
        """Yield the response body until it is complete.

        Raises ``ConnectionLostError`` if the connection fails before that, or
        if the server ends with the connection that ends the body.
        """
        is_empty = True
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                is_empty = False
                note_progress()
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                await self._confirm_end(is_empty=is_empty)
                self._reset_when_done()
                return

    def abandon(self) -> None:
        """Close the connection; send no more of a long request."""
        is_sending = self._request_size > LONG_REQUEST and not self._link.lost
        if is_sending and undelivered(self._link):
            self._link.reset_on_close(enabled=True)
            self._link.abort()
        self.close()

    def close(self) -> None:
        """Close the connection without waiting."""
        self._link.close()
        if self._witness is not None:
            self._witness.close()

    async def _exchange(
        self, host: str, parts: tuple[h11.Event, ...]
    ) -> h11.Response:
        """Send the parts of a request; return the head of its answer."""
        try:
            await self._link.send(*parts)
        except (LinkLostError, h11.ProtocolError) as exc:
            raise ConnectionLostError(f'{host}: {exc!r}') from exc
        event = await self._next_event()
        while not isinstance(event, h11.Response):
            event = await self._next_event()
        return event

    def _check_head(self, method: str, head: h11.Response) -> None:
        """Raise ``ConnectionLostError`` for what is no answer to the request.

        A server may write an earlier answer once more. It may also answer
        before it has read the whole request, but not twice on a connection.
        """
        if self._link.read_while_writing:
            if self._has_answered:
                raise ConnectionLostError('answered before the request ended')
            self._keep = False
        if head.status_code >= FIRST_NON_SUCCESS:
            # Written once more, it would look like the next answer.
            self._keep = False
        self._has_answered = True
        names = {name for name, _ in head.headers}
        is_framed = bool(names & FRAMING)
        self.ends_by_close = not is_framed and may_have_body(
            method.encode(), head.status_code
        )

    async def _confirm_end(self, *, is_empty: bool) -> None:
        """Raise ``ConnectionLostError`` if a body without length may be cut.

        Where no second connection was opened before the request, the server may
        have ended and started again before its answer was read.
        """
        if not self.ends_by_close or not self._link.eof_seen:
            return
        if is_empty and self._needs_body:
            raise ConnectionLostError('the connection ended with the head')
        if not await is_taken(self._link, self._request_size):
            raise ConnectionLostError('ended before the request was taken')
        if not await self._witness.answers():
            raise ConnectionLostError('the server ended with its response')

    def _reset_when_done(self) -> None:
        machine = self._link.machine
        if (machine.our_state, machine.their_state) == BOTH_DONE:
            machine.start_next_cycle()

    async def _next_event(self) -> h11.Event:
        try:
            event = await self._link.next_event()
        except (LinkLostError, h11.RemoteProtocolError) as exc:
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
