"""Forwards one caller's request until it has its one answer."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.errors import (
    ANSWER_TIMEOUT,
    NO_UPSTREAM,
    UPSTREAM_OUTCOME_UNKNOWN,
    RefusedError,
    refuse,
)
from gentiantrestle.gateway.admission import Admission, SlotLease, SlotRequest
from gentiantrestle.gateway.http_server import Exchange
from gentiantrestle.gateway.model import Request, Route, RouteKind
from gentiantrestle.gateway.placement import Placement
from gentiantrestle.gateway.ports import Dialect, Reply
from gentiantrestle.gateway.queueing import MIN_RETRY_AFTER, retry_after
from gentiantrestle.gateway.retry_policy import (
    Outcome,
    Progress,
    Step,
    next_step,
)
from gentiantrestle.gateway.sse import EventOrderError, EventSplitter
from gentiantrestle.gateway.upstream_connection import (
    ResponseLostError,
    UpstreamConnection,
    UpstreamRequest,
)
from gentiantrestle.http.link import LinkRefusedError

OK = 200
SERVER_ERROR = 500
LENGTH = b'content-length'
# An idempotent request that an upstream leaves without any byte this many
# latency targets long goes elsewhere; callers leave after two seconds.
STALL_TARGETS = 3.0
MAX_STALL = 1.0  # seconds


class Means(NamedTuple):
    """What requests are forwarded with."""

    admission: Admission
    placement: Placement
    dialect: Dialect
    now: Callable[[], float]


class Failed(NamedTuple):
    """An upstream's own answer that is not a success."""

    reply: Reply
    body: bytes


class AttemptEndedError(Exception):
    """An attempt came to nothing; carries how, to the loop that decides."""

    def __init__(self, outcome: Outcome, reason: str) -> None:
        """Keep the outcome; the reason goes to the log."""
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason


class Forwarder:
    """Answers requests by way of upstreams."""

    def __init__(self, means: Means) -> None:
        """Take slots from the admission and speak as the dialect says."""
        self._means = means

    async def answer(
        self,
        call: Request,
        route: Route,
        service: str,
        exchange: Exchange,
    ) -> str:
        """Give the caller its one answer; return how it ended."""
        run = _Run(self._means, call, route, exchange)
        while True:
            lease = await run.enter(service)
            try:
                outcome = await run.attempt(lease)
            finally:
                self._means.admission.release(lease)
            left = call.deadline - self._means.now()
            step = next_step(outcome, run.progress(), left)
            events.emit(
                events.ATTEMPT_ENDED,
                request=call.id,
                upstream=lease.upstream.id,
                outcome=outcome.value,
                reason=run.reason,
                step=step.value,
                left_ms=round(left * 1000),
            )
            if step is not Step.RETRY:
                await run.finish(step, outcome)
                return outcome.value


class _Run:
    """The state of one request on its way."""

    def __init__(
        self,
        means: Means,
        call: Request,
        route: Route,
        exchange: Exchange,
    ) -> None:
        self._means = means
        self._call = call
        self._route = route
        self._exchange = exchange
        self._tried: frozenset[str] = frozenset()
        self._counts = Progress(route.idempotent, route.max_attempts)
        self._splitter = EventSplitter(call.last_event)
        self._failure: Failed | None = None
        self.reason = ''

    def progress(self) -> Progress:
        return self._counts._replace(begun=self._exchange.begun)

    async def enter(self, service: str) -> SlotLease:
        """Take a slot on an upstream that was not tried yet."""
        wanted = SlotRequest(self._call, self._route, service, self._tried)
        try:
            lease = await self._means.admission.acquire(wanted)
        except RefusedError as exc:
            if self._exchange.begun:
                self._exchange.cut()
            if not self._counts.runs:
                raise
            raise refuse(UPSTREAM_OUTCOME_UNKNOWN, exc.refusal.reason) from exc
        self._tried |= {lease.upstream.id}
        return lease

    async def attempt(self, lease: SlotLease) -> Outcome:
        """Try one upstream; note what it means for its health."""
        health = self._means.placement.health(lease.upstream.id)
        outcome = await self._try(lease)
        if outcome in {Outcome.LOST, Outcome.UNREACHED}:
            health.record_failure(self._means.now(), 0)
        elif outcome in {Outcome.DONE, Outcome.FAILED}:
            health.record_success()
        return outcome

    async def finish(self, step: Step, outcome: Outcome) -> None:
        """Give the final answer where the upstream's was none."""
        if step is Step.CUT:
            self._exchange.cut()
        elif step is Step.PASS_ON and self._failure is not None:
            reply, body = self._failure
            await self._exchange.respond(reply.status, reply.headers, body)
        elif step is not Step.FINISH:
            raise self._refusal(step, outcome)

    def _refusal(self, step: Step, outcome: Outcome) -> RefusedError:
        if step is Step.REFUSE:
            now = self._means.now()
            pause = retry_after(MIN_RETRY_AFTER, self._call, now)
            return refuse(NO_UPSTREAM, self.reason, pause)
        if outcome is Outcome.EXPIRED:
            return refuse(ANSWER_TIMEOUT, self.reason)
        return refuse(UPSTREAM_OUTCOME_UNKNOWN, self.reason)

    async def _try(self, lease: SlotLease) -> Outcome:
        sending = UpstreamConnection(self._means.dialect)
        left = self._call.deadline - self._means.now()
        self.reason = ''
        try:
            async with asyncio.timeout(left):
                await self._send(sending, lease)
        except AttemptEndedError as exc:
            self.reason = exc.reason
            return exc.outcome
        except TimeoutError:
            self.reason = 'deadline'
            return Outcome.EXPIRED
        finally:
            sending.close()
        return Outcome.DONE

    async def _send(
        self, sending: UpstreamConnection, lease: SlotLease
    ) -> None:
        counts = self._counts
        self._counts = counts._replace(refusals=counts.refusals + 1)
        try:
            await sending.connect(lease.upstream)
        except LinkRefusedError as exc:
            raise AttemptEndedError(Outcome.UNREACHED, repr(exc)) from exc
        # From here on it may have run, until the upstream says otherwise.
        self._counts = counts._replace(runs=counts.runs + 1)
        try:
            async with asyncio.timeout(self._stall):
                reply = await sending.send(self._message(lease))
        except (ResponseLostError, TimeoutError) as exc:
            raise AttemptEndedError(Outcome.LOST, repr(exc)) from exc
        if reply.not_run:
            self._counts = counts._replace(refusals=counts.refusals + 1)
            raise AttemptEndedError(Outcome.NOT_RUN, f'status {reply.status}')
        await self._read(sending, reply)

    async def _read(self, sending: UpstreamConnection, reply: Reply) -> None:
        try:
            if self._route.kind is RouteKind.STREAM and reply.status == OK:
                await self._stream(sending, reply)
            else:
                await self._pass_whole(sending, reply)
        except (ResponseLostError, EventOrderError) as exc:
            raise AttemptEndedError(Outcome.LOST, repr(exc)) from exc

    async def _pass_whole(
        self, sending: UpstreamConnection, reply: Reply
    ) -> None:
        body = await sending.read_body(self._stall)
        if reply.status >= SERVER_ERROR or self._exchange.begun:
            self._failure = Failed(reply, body)
            raise AttemptEndedError(Outcome.FAILED, f'status {reply.status}')
        await self._exchange.respond(reply.status, reply.headers, body)

    async def _stream(self, sending: UpstreamConnection, reply: Reply) -> None:
        self._splitter = EventSplitter(self._splitter.last_id)
        async for part in sending.iter_body(self._stall):
            whole = b''.join(one.raw for one in self._splitter.feed(part))
            if whole:
                await self._write(reply, whole)
        if self._splitter.rest or not self._exchange.begun:
            await self._write(reply, self._splitter.rest)
        await self._exchange.end()

    async def _write(self, reply: Reply, piece: bytes) -> None:
        if self._exchange.begun:
            await self._exchange.part(piece)
            return
        headers = [pair for pair in reply.headers if pair[0] != LENGTH]
        await self._exchange.begin(reply.status, headers, piece)

    def _message(self, lease: SlotLease) -> UpstreamRequest:
        call = self._call
        left = call.deadline - self._means.now()
        headers = self._means.dialect.upstream_headers(
            call, lease.upstream, left, self._splitter.last_id
        )
        return UpstreamRequest(
            call.id, call.method, call.target, headers, call.body
        )

    @property
    def _stall(self) -> float | None:
        """Longest silence of an upstream, in s; None where it must finish."""
        if not self._route.idempotent:
            return None
        return min(MAX_STALL, self._route.latency_target * STALL_TARGETS)
