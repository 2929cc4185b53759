"""Forwards a request to upstreams, with retries, until it is answered."""

from collections.abc import Callable

from gentiantrestle import events
from gentiantrestle.gateway.exchange import Exchange
from gentiantrestle.gateway.forwarded_request import ForwardedRequest
from gentiantrestle.gateway.forwarding_context import ForwardingContext
from gentiantrestle.gateway.model import Request, Route
from gentiantrestle.gateway.passing.messages import PassedRequest
from gentiantrestle.gateway.retry_policy import Step, next_step


class Forwarder:
    """Answers requests by forwarding them to upstreams."""

    def __init__(self, context: ForwardingContext) -> None:
        """Use the admission and dialect of ``context``."""
        self._context = context
        # Called with the outcome and the framing of each attempt.
        self.record_attempt: Callable[[str, str], None] = _record_nothing

    async def answer(
        self,
        req: Request,
        route: Route,
        exchange: Exchange,
    ) -> str:
        """Answer the exchange; return the outcome of the last attempt.

        Raises ``RefusedError`` if the caller still has to be refused.
        """
        origin = await self._context.streams.find(req, route)
        forwarded = ForwardedRequest(
            self._context, req, route, exchange, origin.version
        )
        return await self.run(req, forwarded, origin.service)

    def take_over(
        self, passed: PassedRequest, exchange: Exchange
    ) -> ForwardedRequest:
        """Return a request that another instance passes on."""
        forwarded = ForwardedRequest(
            self._context, passed.req, passed.route, exchange, passed.version
        )
        forwarded.continue_passed(passed)
        return forwarded

    async def run(
        self, req: Request, forwarded: ForwardedRequest, service: str
    ) -> str:
        """Answer a request; return and raise what ``answer`` does."""
        try:
            return await self._attempt(req, forwarded, service)
        finally:
            self._context.streams.end(req)

    async def _attempt(
        self, req: Request, forwarded: ForwardedRequest, service: str
    ) -> str:
        """Try upstreams until the request is answered."""
        while True:
            lease = await forwarded.acquire_slot(service)
            outcome = await forwarded.attempt(lease)
            left = req.deadline - self._context.clock.now()
            step = next_step(outcome, forwarded.progress(), left)
            events.emit(
                events.ATTEMPT_ENDED,
                request=req.id,
                upstream=lease.upstream.id,
                version=lease.upstream.version,
                outcome=outcome.value,
                reason=forwarded.reason,
                received=forwarded.received,
                framing=forwarded.framing,
                traits=forwarded.traits,
                step=step.value,
                left_ms=round(left * 1000),
            )
            self.record_attempt(outcome.value, forwarded.framing)
            if lease.via:
                self._context.passing.record(outcome.value)
            if step is not Step.RETRY:
                await forwarded.finish(step, outcome)
                return outcome.value


def _record_nothing(outcome: str, framing: str) -> None:
    """Record nothing; the default until metrics are set up."""
