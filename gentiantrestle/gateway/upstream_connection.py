"""A connection to an upstream that carries one request."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from typing import NamedTuple, Protocol

import h11

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.answer_end import AnswerEnd
from gentiantrestle.gateway.memory.budget import Claim
from gentiantrestle.gateway.model import Request, Upstream
from gentiantrestle.gateway.ports import Dialect, Reply
from gentiantrestle.gateway.upstream_runs import UpstreamRuns
from gentiantrestle.http.delivery import is_taken
from gentiantrestle.http.link import (
    Link,
    LinkLostError,
    RequestNotSentError,
    open_link,
)
from gentiantrestle.http.messages import may_have_body, needs_body
from gentiantrestle.http.probe import is_path_sound, refuses_connections
from gentiantrestle.quarantine.watch import RequestWatch

# Two round trips between regions, with time for one lost packet.
CONNECT_TIMEOUT = 0.3  # seconds
MAX_HEADER_SIZE = 65536  # bytes
MAX_BODY = 8388608  # bytes of an answer that is read whole
BY_LENGTH = 'length'
BY_CHUNKS = 'chunks'
BY_CLOSE = 'close'  # the body ends with its connection


class ResponseLostError(Exception):
    """No complete, genuine response came; the request may have run."""


class NoRoomError(Exception):
    """This instance has no memory for an answer; the request has run."""


class UpstreamRequest(NamedTuple):
    """An HTTP request to an upstream."""

    request_id: str
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes

    @classmethod
    def from_request(
        cls, req: Request, headers: list[tuple[bytes, bytes]]
    ) -> 'UpstreamRequest':
        """Return what passes a caller's request on with other headers."""
        return cls(req.id, req.method, req.target, headers, req.body)


class Reach(Protocol):
    """The upstreams that this instance uses."""

    def others(self, upstream: Upstream) -> Iterable[Upstream]:
        """Return the other upstreams reached lately, the last one first."""


class UpstreamConnection:
    """A connection for one attempt; it is not reused.

    This way bytes of one response can't be taken for part of another.
    """

    def __init__(
        self, dialect: Dialect, watch: RequestWatch, runs: UpstreamRuns
    ) -> None:
        """Decode responses with ``dialect``; ``connect`` opens the link.

        Nothing is sent that ``watch`` holds back. ``runs`` show whether an
        answer without length is whole.
        """
        self._dialect = dialect
        self._watch = watch
        self._runs = runs
        # Runs of the upstream that had begun before the request was sent.
        self._known_runs: frozenset[int] = frozenset()
        self._sent_at = float(0)
        self._end: AnswerEnd | None = None  # of an answer without length
        self._link: Link | None = None
        self._upstream: Upstream | None = None
        # What tells where the body ends; empty until the head has arrived.
        self.framing = ''
        self._needs_body = True
        self._request_size = 0
        self._body_size = 0
        # Called after each try to connect.
        self.on_contact: Callable[..., None] = _ignore_contact

    async def connect(self, upstream: Upstream) -> None:
        """Connect to ``upstream``.

        Raises ``RequestNotSentError``; then nothing was sent.
        """
        self._upstream = upstream
        self._known_runs = self._runs.known(upstream)
        try:
            self._link = await open_link(
                upstream.address, CONNECT_TIMEOUT, MAX_HEADER_SIZE
            )
        except RequestNotSentError:
            self.on_contact(upstream, reached=False)
            raise
        self.on_contact(upstream, reached=True)

    async def send(self, req: UpstreamRequest) -> Reply:
        """Send the request and wait for the head of a genuine response.

        Raises ``ResponseLostError``, ``RequestNotSentError`` if the request
        can't be encoded as HTTP or something else was answered already, or
        ``QuarantinedError``.
        """
        head = _encode_head(req)
        self._request_size = len(req.body)
        self._sent_at = asyncio.get_running_loop().time()
        self._watch.check()
        if self._link.has_input:
            raise RequestNotSentError('bytes arrived before the request')
        try:
            await self._link.send(
                head, h11.Data(data=req.body), h11.EndOfMessage()
            )
            self._watch.note_run()
            reply = await self._read_head(req.method)
        except (LinkLostError, h11.ProtocolError) as exc:
            self._watch.note_run()
            raise ResponseLostError(repr(exc)) from exc
        if reply.not_run:
            self._watch.note_run(was_run=False)
        if not _answers(reply, req):
            raise ResponseLostError('not a genuine response to this request')
        return reply

    async def iter_body(
        self, stall_timeout: float | None = None
    ) -> AsyncIterator[bytes]:
        """Yield the parts of the body until it is complete.

        ``stall_timeout`` is the longest silence in s; None waits forever.
        Raises ``ResponseLostError``.
        """
        event = await self._next_body_event(stall_timeout)
        while not isinstance(event, h11.EndOfMessage):
            self._body_size += len(event.data)
            if self._end is not None:
                self._end.note_part()
            yield bytes(event.data)
            event = await self._next_body_event(stall_timeout)
        await self._confirm_end()

    async def read_body(
        self, note_part: Callable[[], None], claim: Claim
    ) -> bytes:
        """Return the complete body; call ``note_part`` for each part of it.

        One of more than ``MAX_BODY`` is taken for one without end, and it is
        read as far as ``claim`` finds room. Raises ``ResponseLostError`` and
        ``NoRoomError``.
        """
        parts = []
        async for part in self.iter_body():
            note_part()
            if self._body_size > MAX_BODY:
                raise ResponseLostError(f'no end of a body in {MAX_BODY} bytes')
            await _hold(claim, part)
            parts.append(part)
        if self.ended_empty:
            raise ResponseLostError('the connection ended with the head')
        return b''.join(parts)

    @property
    def ended_empty(self) -> bool:
        """Return whether the connection was closed instead of a body."""
        ends_by_close = self.framing == BY_CLOSE and self._needs_body
        return ends_by_close and not self._body_size

    async def check_crash(self, reach: Reach) -> bool:
        """Return whether the upstream ended while it began this answer.

        To be called after the response was lost; the watch is told. It is no
        sign of an end if others reached lately can't be reached any more.
        """
        link = self._link
        if link is None or not link.disconnected or not self._watch.is_opening:
            return False
        upstream = self._upstream
        if not await refuses_connections(upstream.address, CONNECT_TIMEOUT):
            return False
        others = (other.address for other in reach.others(upstream))
        if not await is_path_sound(others, CONNECT_TIMEOUT):
            return False
        self._watch.note_crash(f'{upstream.id}/{upstream.incarnation}')
        return True

    def close(self) -> None:
        """Reset the connection; an upstream that is still working stops."""
        if self._link is not None:
            self._link.abort()
        if self._end is not None:
            self._end.close()

    async def _confirm_end(self) -> None:
        """Raise ``ResponseLostError`` unless a body without length is whole.

        It is not if the upstream ended with it, or reset the connection before
        it had taken the request.
        """
        if self._end is None or not self._link.eof_seen:
            return
        if not await is_taken(self._link, self._request_size):
            raise ResponseLostError('ended before the request was taken')
        if not await self._end.is_whole():
            raise ResponseLostError('the upstream may have ended before it')

    async def _next_body_event(
        self, stall_timeout: float | None
    ) -> h11.Data | h11.EndOfMessage:
        try:
            async with asyncio.timeout(stall_timeout):
                event = await self._link.next_event()
        except (LinkLostError, h11.ProtocolError, TimeoutError) as exc:
            raise ResponseLostError(repr(exc)) from exc
        if isinstance(event, h11.Data | h11.EndOfMessage):
            return event
        raise ResponseLostError('connection closed before the body ended')

    def _expect_end(self, method: str, status: int) -> None:
        """Prepare to show that a body without length is whole."""
        if self.framing == BY_CLOSE and may_have_body(method.encode(), status):
            now = asyncio.get_running_loop().time
            self._end = AnswerEnd(
                self._runs,
                self._upstream,
                self._known_runs,
                self._sent_at,
                now,
            )

    async def _read_head(self, method: str) -> Reply:
        while True:
            event = await self._link.next_event()
            if isinstance(event, h11.Response):
                self.framing = _framing(event)
                self._needs_body = needs_body(method, event.status_code)
                self._expect_end(method, event.status_code)
                return self._dialect.read_reply(event)
            if not isinstance(event, h11.InformationalResponse):
                raise LinkLostError('connection closed before the response')


async def _hold(claim: Claim, part: bytes) -> None:
    """Hold a part of an answer; raise ``NoRoomError`` without room."""
    try:
        await claim.grow(len(part))
    except RefusedError as exc:
        raise NoRoomError(repr(exc)) from exc


def _ignore_contact(upstream: Upstream, *, reached: bool) -> None:
    """Do nothing until contacts are noted."""


def _answers(reply: Reply, req: UpstreamRequest) -> bool:
    """Return whether a response is genuine and belongs to a request.

    A refusal without the request's id may be a late one to another request,
    while this one runs.
    """
    if reply.not_run:
        return reply.request_id == req.request_id
    return reply.genuine and reply.request_id in {'', req.request_id}


def _framing(head: h11.Response) -> str:
    names = {name for name, _ in head.headers}
    if b'transfer-encoding' in names:
        return BY_CHUNKS
    return BY_LENGTH if b'content-length' in names else BY_CLOSE


def _encode_head(req: UpstreamRequest) -> h11.Request:
    length = (b'content-length', str(len(req.body)).encode())
    try:
        return h11.Request(
            method=req.method,
            target=req.target,
            headers=[*req.headers, length],
        )
    except h11.LocalProtocolError as exc:
        raise RequestNotSentError(
            f'the request is not valid HTTP: {exc}'
        ) from exc
