"""One request on one connection to one upstream."""

import asyncio
from collections.abc import AsyncIterator
from typing import NamedTuple

import h11

from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.ports import Dialect, Reply
from gentiantrestle.http.link import (
    Link,
    LinkLostError,
    RequestNotSentError,
    open_link,
)

# Two round trips between regions, with room for a lost packet.
CONNECT_TIMEOUT = 0.3  # seconds
MAX_HEADER = 65536  # bytes


class ResponseLostError(Exception):
    """No genuine whole answer came; the request may have run."""


class UpstreamRequest(NamedTuple):
    """What is sent to an upstream."""

    request_id: str
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


class UpstreamConnection:
    """One attempt on the wire; the connection is not used again.

    A connection of its own for each attempt rules out that bytes of one
    answer are taken for another's.
    """

    def __init__(self, dialect: Dialect) -> None:
        """Nothing is opened yet."""
        self._dialect = dialect
        self._link: Link | None = None

    async def connect(self, upstream: Upstream) -> None:
        """Connect, or raise ``RequestNotSentError``: nothing was sent."""
        self._link = await open_link(
            upstream.address, CONNECT_TIMEOUT, MAX_HEADER
        )

    async def send(self, message: UpstreamRequest) -> Reply:
        """Send the request and wait for the head of a genuine answer.

        Raises ``ResponseLostError``, and ``RequestNotSentError`` if the request
        can't be written as HTTP.
        """
        head = _encode_head(message)
        try:
            await self._link.send(
                head, h11.Data(data=message.body), h11.EndOfMessage()
            )
            reply = await self._read_head()
        except (LinkLostError, h11.ProtocolError) as exc:
            raise ResponseLostError(repr(exc)) from exc
        if not reply.genuine or reply.request_id not in {
            '',
            message.request_id,
        }:
            raise ResponseLostError('not the answer to this request')
        return reply

    async def iter_body(self, stall: float | None) -> AsyncIterator[bytes]:
        """Pass the body on until it is whole; raise ``ResponseLostError``.

        ``stall`` is the longest silence in s; None waits for ever.
        """
        event = await self._next(stall)
        while not isinstance(event, h11.EndOfMessage):
            yield bytes(event.data)
            event = await self._next(stall)

    async def read_body(self, stall: float | None) -> bytes:
        """Collect the whole body."""
        return b''.join([part async for part in self.iter_body(stall)])

    def close(self) -> None:
        """Reset the connection; an upstream at work stops."""
        if self._link is not None:
            self._link.abort()

    async def _next(self, stall: float | None) -> h11.Data | h11.EndOfMessage:
        try:
            async with asyncio.timeout(stall):
                event = await self._link.next_event()
        except (LinkLostError, h11.ProtocolError, TimeoutError) as exc:
            raise ResponseLostError(repr(exc)) from exc
        if isinstance(event, h11.Data | h11.EndOfMessage):
            return event
        raise ResponseLostError('closed early')

    async def _read_head(self) -> Reply:
        while True:
            event = await self._link.next_event()
            if isinstance(event, h11.Response):
                return self._dialect.read_reply(event)
            if not isinstance(event, h11.InformationalResponse):
                raise LinkLostError('closed early')


def _encode_head(message: UpstreamRequest) -> h11.Request:
    length = (b'content-length', str(len(message.body)).encode())
    try:
        return h11.Request(
            method=message.method,
            target=message.target,
            headers=[*message.headers, length],
        )
    except h11.LocalProtocolError as exc:
        raise RequestNotSentError(f'not valid HTTP: {exc}') from exc
