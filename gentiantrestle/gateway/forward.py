"""Forwards one caller's request until it has its one answer."""

import asyncio
from collections.abc import Callable

from gentiantrestle import events
from gentiantrestle.errors import (
    ANSWER_TIMEOUT,
    NO_UPSTREAM,
    UPSTREAM_UNSURE,
    RefusedError,
    refuse,
)
from gentiantrestle.gateway.callers import Exchange
from gentiantrestle.gateway.gate import Gate, Lease, Wanted
from gentiantrestle.gateway.model import Call, Route, RouteKind
from gentiantrestle.gateway.placement import Placement
from gentiantrestle.gateway.ports import Dialect, Reply
from gentiantrestle.gateway.sending import Message, Sending, SendLostError
from gentiantrestle.gateway.sse import EventSplitter, OrderError
from gentiantrestle.gateway.steps import Outcome, Progress, Step, next_step
from gentiantrestle.gateway.waiting import retry_after
from gentiantrestle.http.link import LinkRefusedError

OK = 200
SERVER_ERROR = 500
LENGTH = b'content-length'
# An idempotent request that an upstream leaves without any byte this many
# latency targets long goes elsewhere; callers leave after two seconds.
STALL_TARGETS = 3.0
MAX_STALL = 1.0  # seconds
COME_BACK = 0.3  # seconds


class Ended(Exception):
    """Carries how an attempt ended up to the loop that decides."""

    def __init__(self, outcome: Outcome, reason: str) -> None:
        """Keep the outcome; the reason goes to the log."""
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason


class Forwarder:
    """Answers requests by way of upstreams."""

    def __init__(
        self,
        gate: Gate,
        placement: Placement,
        dialect: Dialect,
        now: Callable[[], float],
    ) -> None:
        """Take slots from ``gate`` and speak as ``dialect`` says."""
        self._gate = gate
        self._placement = placement
        self._dialect = dialect
        self._now = now

    async def answer(
        self,
        call: Call,
        route: Route,
        service: str,
        exchange: Exchange,
    ) -> str:
        """Give the caller its one answer; return how it ended."""
        run = _Run(self, call, route, exchange)
        while True:
            lease = await run.enter(self._gate, service)
            try:
                outcome = await run.attempt(lease)
            finally:
                self._gate.leave(lease)
            left = call.deadline - self._now()
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
            if step is Step.RETRY:
                run.avoid(lease)
                continue
            await run.finish(step, outcome, self._now())
            return outcome.value


class _Run:
    """The state of one request on its way."""

    def __init__(
        self,
        forwarder: Forwarder,
        call: Call,
        route: Route,
        exchange: Exchange,
    ) -> None:
        self._f = forwarder
        self._call = call
        self._route = route
        self._exchange = exchange
        self._excluded: frozenset[str] = frozenset()
        self._runs = 0
        self._refusals = 0
        self._splitter = EventSplitter(call.last_event)
        self._failure: tuple[Reply, bytes] | None = None
        self.reason = ''

    def progress(self) -> Progress:
        return Progress(
            self._route.idempotent,
            self._route.max_attempts,
            self._runs,
            self._refusals,
            self._exchange.begun,
        )

    def avoid(self, lease: Lease) -> None:
        self._excluded |= {lease.upstream.id}

    async def enter(self, gate: Gate, service: str) -> Lease:
        wanted = Wanted(self._call, self._route, service, self._excluded)
        try:
            return await gate.enter(wanted)
        except RefusedError as exc:
            if not self._runs:
                raise
            raise refuse(UPSTREAM_UNSURE, exc.refusal.reason) from exc

    async def attempt(self, lease: Lease) -> Outcome:
        """Try one upstream; note what it means for its health."""
        health = self._f._placement.health(lease.upstream.id)
        sending = Sending(self._f._dialect)
        try:
            async with asyncio.timeout(self._call.deadline - self._f._now()):
                await self._send(sending, lease)
        except Ended as exc:
            self.reason = exc.reason
            if exc.outcome is Outcome.LOST:
                health.fail(self._f._now(), 0)
            return exc.outcome
        except TimeoutError:
            self.reason = 'deadline'
            return Outcome.EXPIRED
        finally:
            sending.close()
        health.succeed()
        self.reason = ''
        return Outcome.DONE

    async def finish(self, step: Step, outcome: Outcome, now: float) -> None:
        """Give the final answer where the upstream's was none."""
        if step is Step.CUT:
            self._exchange.cut()
        elif step is Step.PASS_ON and self._failure is not None:
            reply, body = self._failure
            await self._exchange.respond(reply.status, reply.headers, body)
        elif step is Step.REFUSE:
            pause = retry_after(COME_BACK, self._call, now)
            raise refuse(NO_UPSTREAM, self.reason, pause)
        elif step is not Step.FINISH:
            kind = UPSTREAM_UNSURE
            if outcome is Outcome.EXPIRED:
                kind = ANSWER_TIMEOUT
            raise refuse(kind, self.reason)

    async def _send(self, sending: Sending, lease: Lease) -> None:
        try:
            await sending.open(lease.upstream)
        except LinkRefusedError as exc:
            self._refusals += 1
            self._f._placement.health(lease.upstream.id).fail(self._f._now(), 0)
            raise Ended(Outcome.NOT_RUN, repr(exc)) from exc
        self._runs += 1
        try:
            async with asyncio.timeout(self._stall):
                reply = await sending.start(self._message(lease))
        except SendLostError as exc:
            raise Ended(Outcome.LOST, repr(exc)) from exc
        except TimeoutError as exc:
            raise Ended(Outcome.LOST, 'no answer begun') from exc
        await self._read(sending, reply)

    async def _read(self, sending: Sending, reply: Reply) -> None:
        if reply.not_run or reply.wrong_instance:
            self._runs -= 1
            self._refusals += 1
            raise Ended(Outcome.NOT_RUN, f'status {reply.status}')
        try:
            if self._route.kind is RouteKind.STREAM and reply.status == OK:
                await self._stream(sending, reply)
            else:
                await self._pass_whole(sending, reply)
        except (SendLostError, OrderError) as exc:
            raise Ended(Outcome.LOST, repr(exc)) from exc

    async def _pass_whole(self, sending: Sending, reply: Reply) -> None:
        body = await sending.read(self._stall)
        if reply.status >= SERVER_ERROR or self._exchange.begun:
            self._failure = (reply, body)
            raise Ended(Outcome.FAILED, f'status {reply.status}')
        await self._exchange.respond(reply.status, reply.headers, body)

    async def _stream(self, sending: Sending, reply: Reply) -> None:
        self._splitter = EventSplitter(self._splitter.last)
        async for part in sending.parts(self._stall):
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

    def _message(self, lease: Lease) -> Message:
        call = self._call
        return Message(
            call.id,
            call.method,
            call.target,
            self._f._dialect.upstream_headers(
                call,
                lease.upstream,
                call.deadline - self._f._now(),
                self._splitter.last,
            ),
            call.body,
        )

    @property
    def _stall(self) -> float | None:
        """Longest silence of an upstream, in s; None where it must finish."""
        if not self._route.idempotent:
            return None
        return min(MAX_STALL, self._route.target * STALL_TARGETS)
