"""Forwards a request to upstreams, with retries, until it is answered."""

from collections.abc import Callable

from gentiantrestle import events
from gentiantrestle.gateway.exchange import Exchange
from gentiantrestle.gateway.forwarded_request import ForwardedRequest
from gentiantrestle.gateway.forwarding_context import ForwardingContext
from gentiantrestle.gateway.model import Request, Route
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
        streams = self._context.streams
        origin = await streams.find(req, route)
        forwarded = ForwardedRequest(
            self._context, req, route, exchange, origin.version
        )
        try:
            return await self._attempt(req, forwarded, origin.service)
        finally:
            streams.end(req)

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
            if step is not Step.RETRY:
                await forwarded.finish(step, outcome)
                return outcome.value


def _record_nothing(outcome: str, framing: str) -> None:
    """Record nothing; the default until metrics are set up."""
