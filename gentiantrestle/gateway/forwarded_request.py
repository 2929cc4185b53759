"""One request of a caller over all its attempts on upstreams."""

import asyncio
from collections.abc import Callable
from functools import partial

from gentiantrestle.errors import (
    UPSTREAM_OUTCOME_UNKNOWN,
    Refusal,
    RefusedError,
    refuse,
)
from gentiantrestle.gateway.answer_relay import AnswerRelay
from gentiantrestle.gateway.attempt import (
    UPSTREAM_HEALTH,
    AttemptFailedError,
)
from gentiantrestle.gateway.exchange import Exchange
from gentiantrestle.gateway.forwarding_context import ForwardingContext
from gentiantrestle.gateway.model import Request, Route
from gentiantrestle.gateway.passing.answers import upstream_fields
from gentiantrestle.gateway.passing.hop import (
    PeerHop,
    hop_silence_limit,
    peer_route,
)
from gentiantrestle.gateway.passing.messages import PassedRequest
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
from gentiantrestle.gateway.upstream_connection import (
    ResponseLostError,
    UpstreamConnection,
    UpstreamRequest,
)
from gentiantrestle.http.link import RequestNotSentError
from gentiantrestle.quarantine.guard import QuarantinedError
from gentiantrestle.quarantine.watch import RequestWatch


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
        self._relay = AnswerRelay(context, req, route, exchange)
        self._progress = RequestProgress(route.idempotent, route.max_attempts)
        self.version = version
        self.reason = ''
        # What told where the answer of the attempt ended.
        self.framing = ''
        self.traits = request_traits(req)
        self._slots = RequestSlots(context, req, route, self.traits)
        self._refusal: Refusal | None = None  # of another instance
        self._is_passed_on = False
        # Called before each attempt; may raise ``RefusedError``.
        self.before_slot: Callable[[], None] | None = None

    def continue_passed(self, passed: PassedRequest) -> None:
        """Go on where the instance that passes the request on has stopped.

        Answers say which upstream has made them.
        """
        self._progress = self._progress._replace(runs=passed.runs)
        self._slots.note_tried(passed.tried)
        self._relay.label = upstream_fields

    @property
    def received(self) -> int:
        """Count the events that the attempt has received."""
        return self._relay.received

    def progress(self) -> RequestProgress:
        """Return what decides about the next step."""
        return self._progress._replace(response_started=self._exchange.started)

    async def acquire_slot(self, service: str) -> SlotLease:
        """Take a slot, if possible on an upstream that was not tried yet.

        For a response that has been started it is sought until the deadline.
        Raises ``RefusedError``; it reports an unknown outcome if an earlier
        attempt may have been executed.
        """
        if self.before_slot is not None:
            self.before_slot()
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
        try:
            await self._slots.pause_before_repeat(self._progress)
            outcome = await self._run_attempt(lease)
            health = UPSTREAM_HEALTH.get(outcome, health)
        finally:
            self._slots.release(lease, health, self._relay.timing)
            if self._exchange.started:
                self.version = self._relay.upstream.version
        return outcome

    async def finish(self, step: Step, outcome: AttemptOutcome) -> None:
        """End the exchange after the last attempt; may raise a refusal."""
        self._slots.release_kept()
        if step is Step.CUT:
            self._exchange.abort()
        elif step is Step.PASS_ON and self._relay.has_held:
            await self._relay.send_held()
        elif step is not Step.FINISH:
            raise self._final_refusal(step, outcome)

    def _final_refusal(
        self, step: Step, outcome: AttemptOutcome
    ) -> RefusedError:
        if step is Step.REFUSE and self._refusal is not None:
            return RefusedError(self._refusal)
        now = self._context.clock.now()
        return final_refusal(step, outcome, self.reason, self._req, now)

    def _new_watch(self, lease: SlotLease) -> RequestWatch:
        # A peer watches its attempts itself.
        traits = () if lease.via else self.traits
        return RequestWatch(self._context.guard, traits, self._context.clock)

    def _new_silence(self, lease: SlotLease, left: float) -> Silence:
        find_limit = hop_silence_limit if lease.via else silence_limit
        return Silence(find_limit(self._route, self.progress(), left))

    async def _run_attempt(self, lease: SlotLease) -> AttemptOutcome:
        watch = self._new_watch(lease)
        ctx = self._context
        conn = UpstreamConnection(ctx.dialect, watch, ctx.runs)
        left = self._req.deadline - ctx.clock.now()
        self.reason = ''
        self._relay.begin(lease.upstream, self._new_silence(lease, left), watch)
        try:
            async with asyncio.timeout(left):
                return await self._send_watched(conn, lease)
        except TimeoutError:
            self.reason = 'deadline'
            return AttemptOutcome.EXPIRED
        finally:
            self.framing = conn.framing
            conn.close()

    async def _send_watched(
        self, conn: UpstreamConnection, lease: SlotLease
    ) -> AttemptOutcome:
        """Run an attempt, and give it up for another one if it is silent."""
        watched = WatchedAttempt(
            self._relay.silence,
            SlotSearch(partial(self._find_other, lease), self._slots.release),
            self._context.clock.now,
        )
        send = self._pass_on if lease.via else self._send
        try:
            successor = await watched.run(send(conn, lease))
        except AttemptFailedError as exc:
            self.reason = exc.reason
            if exc.outcome is AttemptOutcome.LOST:
                await self._check_crash(conn)
            return exc.outcome
        except RequestNotSentError as exc:
            self.reason = repr(exc)
            return AttemptOutcome.UNREACHED
        if successor is None:
            return AttemptOutcome.DONE
        self._slots.keep(successor)
        self.reason = 'silent; there is another upstream'
        return AttemptOutcome.LOST

    async def _find_other(self, lease: SlotLease) -> SlotLease | None:
        started = self._exchange.started
        version = self._relay.upstream.version if started else self.version
        return await self._slots.find_other(lease, self._relay.silence, version)

    async def _check_crash(self, conn: UpstreamConnection) -> None:
        if await conn.check_crash(self._context.reach):
            crashes = self._progress.crashes + 1
            self._progress = self._progress._replace(crashes=crashes)

    async def _send(self, conn: UpstreamConnection, lease: SlotLease) -> None:
        before = self._progress
        refused = before._replace(refusals=before.refusals + 1)
        self._progress = refused._replace(unreached=before.unreached + 1)
        conn.on_contact = self._context.reach.note
        await conn.connect(lease.upstream)
        self._progress = refused
        await self._slots.confirm_run(lease.upstream, self._relay.last_event)
        self._progress = before
        reply = await self._send_head(conn, lease)
        self._context.admission.note_reply(lease, reply)
        if reply.not_run:
            self._progress = refused
            raise AttemptFailedError(
                AttemptOutcome.NOT_RUN, f'status {reply.status}'
            )
        await self._relay.pass_on(conn, reply)

    async def _pass_on(
        self, conn: UpstreamConnection, lease: SlotLease
    ) -> None:
        """Have another instance answer."""
        passing = self._context.passing
        if not self._is_passed_on:
            # Upstreams that aren't reached from here say nothing of peers.
            self._is_passed_on = True
            self._progress = self._progress._replace(refusals=0, unreached=0)
        hop = PeerHop(passing, self._relay, self._progress, lease)
        try:
            await hop.run(conn, self._describe(lease))
        finally:
            self._note_hop(hop)

    def _note_hop(self, hop: PeerHop) -> None:
        self._progress = hop.progress
        self._refusal = hop.refusal
        self._slots.note_tried(hop.tried)

    def _describe(self, lease: SlotLease) -> PassedRequest:
        """Return what another instance has to know to go on."""
        return PassedRequest(
            self._context.passing.instance,
            self._req._replace(last_event=self._relay.last_event),
            peer_route(self._route, self._progress.runs),
            lease.upstream.service,
            lease.upstream.version,
            self._progress.runs,
            self._slots.tried,
        )

    async def _send_head(
        self, conn: UpstreamConnection, lease: SlotLease
    ) -> Reply:
        """Send the request and return the head of the response."""
        before = self._progress
        # From here on the request counts as executed, unless the upstream
        # says that it was not.
        self._progress = before._replace(runs=before.runs + 1)
        self._relay.await_upstream()
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
            self._relay.silence.end()

    def _build_request(self, lease: SlotLease) -> UpstreamRequest:
        req = self._req
        left = req.deadline - self._context.clock.now()
        headers = self._context.dialect.upstream_headers(
            req, lease.upstream, left, self._relay.last_event
        )
        return UpstreamRequest.from_request(req, headers)
