"""One request of a caller over all its attempts on upstreams."""

import asyncio
from functools import partial

from gentiantrestle.errors import (
    UPSTREAM_OUTCOME_UNKNOWN,
    RefusedError,
    refuse,
)
from gentiantrestle.gateway.attempt import (
    UPSTREAM_HEALTH,
    AttemptFailedError,
    HeldResponse,
    check_events,
)
from gentiantrestle.gateway.exchange import CONTENT_LENGTH, Exchange
from gentiantrestle.gateway.forwarding_context import ForwardingContext
from gentiantrestle.gateway.model import (
    Request,
    Route,
    RouteKind,
    Upstream,
)
from gentiantrestle.gateway.ports import Reply
from gentiantrestle.gateway.refusals import final_refusal, note_abandoned
from gentiantrestle.gateway.request_slots import RequestSlots
from gentiantrestle.gateway.request_traits import request_traits
from gentiantrestle.gateway.retry_policy import (
    AttemptOutcome,
    RequestProgress,
    Step,
)
from gentiantrestle.gateway.silence import (
    Silence,
    SlotSearch,
    WatchedAttempt,
    silence_limit,
)
from gentiantrestle.gateway.slots.client import SlotLease
from gentiantrestle.gateway.slots.messages import SlotOutcome
from gentiantrestle.gateway.sse import EventSplitter, EventStreamError
from gentiantrestle.gateway.upstream_connection import (
    ResponseLostError,
    UpstreamConnection,
    UpstreamRequest,
)
from gentiantrestle.http.link import RequestNotSentError
from gentiantrestle.quarantine.guard import QuarantinedError
from gentiantrestle.quarantine.watch import RequestWatch

OK = 200
SERVER_ERROR = 500


class ForwardedRequest:
    """The state of one request over all its attempts."""

    def __init__(
        self,
        context: ForwardingContext,
        req: Request,
        route: Route,
        exchange: Exchange,
        version: str = '',
    ) -> None:
        """Answer ``exchange``; nothing has been sent yet.

        An answer that goes on after the caller's last event takes the
        ``version`` of the upstream that began it; empty if it may be any.
        """
        self._context = context
        self._req = req
        self._route = route
        self._exchange = exchange
        self._silence = Silence(None)
        self._progress = RequestProgress(route.idempotent, route.max_attempts)
        self._splitter = EventSplitter(req.last_event)
        self._held_response: HeldResponse | None = None
        self.version = version
        self._upstream: Upstream | None = None
        self.reason = ''
        # Events that the attempt has received, and the framing of its answer.
        self.received = 0
        self.framing = ''
        self.traits = request_traits(req)
        self._slots = RequestSlots(context, req, route, self.traits)
        self._watch = self._new_watch()

    def progress(self) -> RequestProgress:
        """Return what decides about the next step."""
        return self._progress._replace(response_started=self._exchange.started)

    async def acquire_slot(self, service: str) -> SlotLease:
        """Take a slot, if possible on an upstream that was not tried yet.

        For a response that has been started it is sought until the deadline.
        Raises ``RefusedError``; it reports an unknown outcome if an earlier
        attempt may have been executed.
        """
        try:
            return await self._slots.take(
                service, self.version, self.progress()
            )
        except RefusedError as exc:
            if self._exchange.started:
                note_abandoned(self._req, self.version, exc.refusal.reason)
                self._exchange.abort()
            if not self._progress.runs:
                raise
            raise refuse(UPSTREAM_OUTCOME_UNKNOWN, exc.refusal.reason) from exc

    async def attempt(self, lease: SlotLease) -> AttemptOutcome:
        """Try one upstream and give its slot back."""
        health = SlotOutcome.UNKNOWN
        self._upstream = lease.upstream
        try:
            await self._slots.pause_before_repeat(self._progress)
            outcome = await self._run_attempt(lease)
            health = UPSTREAM_HEALTH.get(outcome, health)
        finally:
            self._slots.release(lease, health)
            if self._exchange.started:
                self.version = lease.upstream.version
        return outcome

    async def finish(self, step: Step, outcome: AttemptOutcome) -> None:
        """End the exchange after the last attempt; may raise a refusal."""
        self._slots.release_kept()
        if step is Step.CUT:
            self._exchange.abort()
        elif step is Step.PASS_ON and self._held_response is not None:
            reply, body = self._held_response
            await self._exchange.respond(reply.status, reply.headers, body)
        elif step is not Step.FINISH:
            now = self._context.clock.now()
            raise final_refusal(step, outcome, self.reason, self._req, now)

    def _new_watch(self) -> RequestWatch:
        return RequestWatch(
            self._context.guard, self.traits, self._context.clock
        )

    async def _run_attempt(self, lease: SlotLease) -> AttemptOutcome:
        self._watch = self._new_watch()
        conn = UpstreamConnection(self._context.dialect, self._watch)
        conn.on_contact = self._context.reach.note
        left = self._req.deadline - self._context.clock.now()
        self.reason = ''
        self.received = 0
        self._silence = Silence(
            silence_limit(self._route, self.progress(), left)
        )
        watched = WatchedAttempt(
            self._silence,
            SlotSearch(partial(self._find_other, lease), self._slots.release),
            self._context.clock.now,
        )
        try:
            async with asyncio.timeout(left):
                successor = await watched.run(self._send(conn, lease))
        except AttemptFailedError as exc:
            self.reason = exc.reason
            if exc.outcome is AttemptOutcome.LOST:
                await self._check_crash(conn)
            return exc.outcome
        except RequestNotSentError as exc:
            self.reason = repr(exc)
            return AttemptOutcome.UNREACHED
        except TimeoutError:
            self.reason = 'deadline'
            return AttemptOutcome.EXPIRED
        finally:
            self.framing = conn.framing
            conn.close()
        if successor is None:
            return AttemptOutcome.DONE
        self._slots.keep(successor)
        self.reason = 'silent; there is another upstream'
        return AttemptOutcome.LOST

    async def _find_other(self, lease: SlotLease) -> SlotLease | None:
        started = self._exchange.started
        version = lease.upstream.version if started else self.version
        return await self._slots.find_other(lease, self._silence, version)

    async def _check_crash(self, conn: UpstreamConnection) -> None:
        if await conn.check_crash(self._context.reach):
            crashes = self._progress.crashes + 1
            self._progress = self._progress._replace(crashes=crashes)

    async def _send(self, conn: UpstreamConnection, lease: SlotLease) -> None:
        before = self._progress
        refused = before._replace(refusals=before.refusals + 1)
        self._progress = refused._replace(unreached=before.unreached + 1)
        await conn.connect(lease.upstream)
        self._progress = refused
        await self._slots.confirm_run(lease.upstream, self._splitter.last_id)
        self._progress = before
        reply = await self._send_head(conn, lease)
        self._context.admission.note_reply(lease, reply)
        if reply.not_run:
            self._progress = refused
            raise AttemptFailedError(
                AttemptOutcome.NOT_RUN, f'status {reply.status}'
            )
        await self._relay_response(conn, reply)

    async def _send_head(
        self, conn: UpstreamConnection, lease: SlotLease
    ) -> Reply:
        """Send the request and return the head of the response."""
        before = self._progress
        # From here on the request counts as executed, unless the upstream
        # says that it was not.
        self._progress = before._replace(runs=before.runs + 1)
        self._await_upstream()
        try:
            return await conn.send(self._build_request(lease))
        except QuarantinedError as exc:
            self._progress = before
            raise AttemptFailedError(
                AttemptOutcome.QUARANTINED, str(exc)
            ) from exc
        except RequestNotSentError:
            self._progress = before._replace(refusals=before.refusals + 1)
            raise
        except ResponseLostError as exc:
            raise AttemptFailedError(AttemptOutcome.LOST, repr(exc)) from exc
        finally:
            self._silence.end()

    async def _relay_response(
        self, conn: UpstreamConnection, reply: Reply
    ) -> None:
        is_stream = self._route.kind is RouteKind.STREAM and reply.status == OK
        relay = self._relay_stream if is_stream else self._relay_whole
        try:
            if is_stream and self._splitter.last_id:
                check_events(reply)
            await relay(conn, reply)
        except (ResponseLostError, EventStreamError) as exc:
            raise AttemptFailedError(AttemptOutcome.LOST, repr(exc)) from exc

    async def _relay_whole(
        self, conn: UpstreamConnection, reply: Reply
    ) -> None:
        self._watch.note_event()
        self._await_upstream()
        body = await conn.read_body(self._await_upstream)
        self._silence.end()
        if reply.status >= SERVER_ERROR or self._exchange.started:
            self._held_response = HeldResponse(reply, body)
            raise AttemptFailedError(
                AttemptOutcome.FAILED, f'status {reply.status}'
            )
        if reply.status == OK:
            self._watch.note_sound()
        await self._exchange.respond(reply.status, reply.headers, body)

    async def _relay_stream(
        self, conn: UpstreamConnection, reply: Reply
    ) -> None:
        self._splitter = EventSplitter(self._splitter.last_id)
        self._await_upstream()
        async for part in conn.iter_body():
            found = self._splitter.feed(part)
            self._silence.trickles = True
            self.received += len(found)
            if found:
                self._watch.note_event()
                self._silence.end()
                await self._write(reply, b''.join(event.raw for event in found))
                self._await_upstream()
        self._silence.end()
        if self._splitter.remainder or conn.ended_empty:
            raise ResponseLostError('the stream ended within an event')
        if not self._exchange.started:
            await self._write(reply, b'')
        self._watch.note_sound()
        await self._exchange.finish_stream()

    def _await_upstream(self) -> None:
        self._silence.begin(self._context.clock.now())

    async def _write(self, reply: Reply, part: bytes) -> None:
        if self._exchange.started:
            await self._exchange.send_part(part)
            return
        self._context.streams.begin(self._req, self._route, self._upstream)
        headers = [pair for pair in reply.headers if pair[0] != CONTENT_LENGTH]
        await self._exchange.start_stream(reply.status, headers, part)

    def _build_request(self, lease: SlotLease) -> UpstreamRequest:
        req = self._req
        left = req.deadline - self._context.clock.now()
        headers = self._context.dialect.upstream_headers(
            req, lease.upstream, left, self._splitter.last_id
        )
        return UpstreamRequest.from_request(req, headers)
