"""Relays answers of upstreams to the caller of one request."""

from collections.abc import Callable

from gentiantrestle.gateway.attempt import (
    AttemptFailedError,
    HeldResponse,
    check_events,
)
from gentiantrestle.gateway.exchange import CONTENT_LENGTH, Exchange
from gentiantrestle.gateway.forwarding_context import ForwardingContext
from gentiantrestle.gateway.memory.budget import ANSWERS
from gentiantrestle.gateway.model import (
    HeaderTuple,
    Request,
    Route,
    RouteKind,
    Upstream,
)
from gentiantrestle.gateway.passing.answers import without_fields
from gentiantrestle.gateway.ports import Reply
from gentiantrestle.gateway.retry_policy import AttemptOutcome
from gentiantrestle.gateway.silence import Silence
from gentiantrestle.gateway.slots.timing import AnswerTimer, AnswerTiming
from gentiantrestle.gateway.sse import (
    EventSplitter,
    EventStreamError,
    ServerSentEvent,
)
from gentiantrestle.gateway.upstream_connection import (
    NoRoomError,
    ResponseLostError,
    UpstreamConnection,
)
from gentiantrestle.quarantine.watch import RequestWatch

OK = 200
SERVER_ERROR = 500


class AnswerRelay:
    """Writes the answers of one request's attempts as a single one."""

    def __init__(
        self,
        context: ForwardingContext,
        req: Request,
        route: Route,
        exchange: Exchange,
    ) -> None:
        """Answer ``exchange``; ``begin`` is called before each attempt."""
        self._context = context
        self._req = req
        self._route = route
        self._exchange = exchange
        self._splitter = EventSplitter(req.last_event)
        self._held: HeldResponse | None = None
        # The upstream that answers.
        self.upstream: Upstream | None = None
        # Returns fields that are added to the answers of an upstream.
        self.label: Callable[[Upstream], HeaderTuple] = _no_fields
        self._watch: RequestWatch | None = None
        self.silence = Silence(None)
        # Events that the attempt has received.
        self.received = 0
        self._timer = AnswerTimer()

    @property
    def timing(self) -> AnswerTiming:
        """Return what the attempt shows of the upstream's pace."""
        return self._timer.timing

    @property
    def last_event(self) -> int:
        """Return the id of the last event that the caller has, or 0."""
        return self._splitter.last_id

    @property
    def has_held(self) -> bool:
        """Return whether a response is held back."""
        return self._held is not None

    def begin(
        self, upstream: Upstream, silence: Silence, watch: RequestWatch
    ) -> None:
        """Begin an attempt; ``silence`` and ``watch`` are told of it."""
        self.upstream = upstream
        self.silence = silence
        self._watch = watch
        self.received = 0
        self._timer = AnswerTimer()

    def await_upstream(self) -> None:
        """Note that the upstream is waited for from now on."""
        now = self._context.clock.now()
        self.silence.begin(now)
        self._timer.note_sent(now)

    async def pass_on(self, conn: UpstreamConnection, reply: Reply) -> None:
        """Relay the body that follows the head ``reply``.

        Raises ``AttemptFailedError``.
        """
        is_stream = self._route.kind is RouteKind.STREAM and reply.status == OK
        relay = self._relay_stream if is_stream else self._relay_whole
        added = self.label(self.upstream)
        if added:
            kept = without_fields(reply.headers)
            reply = reply._replace(headers=(*kept, *added))
        try:
            if is_stream and self._splitter.last_id:
                check_events(reply)
            await relay(conn, reply)
        except (ResponseLostError, EventStreamError) as exc:
            raise AttemptFailedError(AttemptOutcome.LOST, repr(exc)) from exc
        except NoRoomError as exc:
            # Neither the upstream's fault, nor to be tried once more.
            raise AttemptFailedError(AttemptOutcome.EXPIRED, repr(exc)) from exc

    async def send_held(self) -> None:
        """Answer with the response that was held back."""
        reply, body = self._held
        await self._exchange.respond(reply.status, reply.headers, body)

    async def _relay_whole(
        self, conn: UpstreamConnection, reply: Reply
    ) -> None:
        self._watch.note_event()
        self.await_upstream()
        with self._context.budget.claim(ANSWERS) as claim:
            body = await conn.read_body(self.await_upstream, claim)
            self.silence.end()
            await self._respond(reply, body)

    async def _respond(self, reply: Reply, body: bytes) -> None:
        if reply.status >= SERVER_ERROR or self._exchange.started:
            self._held = HeldResponse(reply, body)
            raise AttemptFailedError(
                AttemptOutcome.FAILED, f'status {reply.status}'
            )
        if reply.status == OK:
            self._watch.note_sound()
            self._timer.note_events(self._context.clock.now())
        await self._exchange.respond(reply.status, reply.headers, body)

    async def _relay_stream(
        self, conn: UpstreamConnection, reply: Reply
    ) -> None:
        self._splitter = EventSplitter(self._splitter.last_id)
        self.await_upstream()
        async for part in conn.iter_body():
            found = self._splitter.feed(part)
            self.silence.trickles = True
            self.received += len(found)
            if found:
                self._watch.note_event()
                self.silence.end()
                await self._write_events(reply, found)
                self.await_upstream()
        self.silence.end()
        if self._splitter.remainder or conn.ended_empty:
            raise ResponseLostError('the stream ended within an event')
        if not self._exchange.started:
            await self._write(reply, b'')
        self._watch.note_sound()
        await self._exchange.finish_stream()

    async def _write_events(
        self, reply: Reply, found: list[ServerSentEvent]
    ) -> None:
        now = self._context.clock.now
        self._timer.note_events(now(), len(found))
        await self._write(reply, b''.join(event.raw for event in found))
        self._timer.note_read(now())

    async def _write(self, reply: Reply, part: bytes) -> None:
        if self._exchange.started:
            await self._exchange.send_part(part)
            return
        self._context.streams.begin(self._req, self._route, self.upstream)
        headers = [pair for pair in reply.headers if pair[0] != CONTENT_LENGTH]
        await self._exchange.start_stream(reply.status, headers, part)


def _no_fields(upstream: Upstream) -> HeaderTuple:
    """Add nothing to answers."""
    return ()
