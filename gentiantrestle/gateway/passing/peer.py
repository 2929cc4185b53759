"""Serves requests that other instances pass on to this one."""

from collections.abc import Callable
from functools import partial

from gentiantrestle import events
from gentiantrestle.errors import (
    BAD_REQUEST,
    NO_CONFIGURATION,
    NO_UPSTREAM,
    OVERLOADED,
    STOPPING,
    RefusedError,
    refuse,
)
from gentiantrestle.gateway.batch.context import Clock
from gentiantrestle.gateway.ending import Ending
from gentiantrestle.gateway.exchange import Exchange
from gentiantrestle.gateway.forward import Forwarder
from gentiantrestle.gateway.forwarded_request import ForwardedRequest
from gentiantrestle.gateway.model import Request
from gentiantrestle.gateway.passing.answers import UNREACHED
from gentiantrestle.gateway.passing.messages import (
    PassedRequest,
    UnreadableRequestError,
    unpack,
)
from gentiantrestle.gateway.reach.service import UpstreamReach


class PassedRequestHandler:
    """Answers requests for other instances; passes none of them on again."""

    def __init__(
        self,
        forwarder: Forwarder,
        reach: UpstreamReach,
        ending: Ending,
        clock: Clock,
    ) -> None:
        """Answer with ``forwarder`` as long as no ``ending`` is planned."""
        self._forwarder = forwarder
        self._reach = reach
        self._ending = ending
        self._clock = clock
        # Whether this instance knows what the others know.
        self.is_prepared: Callable[[], bool] = _is_always_prepared
        # Returns a request as upstreams may get it.
        self.admit: Callable[[Request], Request] = _admit_as_it_is

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request; raise ``RefusedError`` for one to be refused."""
        now = self._clock.now()
        passed = self._read(exchange, now)
        outcome = 'left'
        try:
            outcome = await self._answer(passed, exchange, now)
        except RefusedError as exc:
            outcome = exc.refusal.kind.name
            raise
        finally:
            events.emit(
                events.PASSED_REQUEST_ENDED,
                request=passed.req.id,
                instance=passed.instance,
                service=passed.service,
                outcome=outcome,
                left_ms=round((passed.req.deadline - now) * 1000),
                took_ms=round((self._clock.now() - now) * 1000),
            )

    def _read(self, exchange: Exchange, now: float) -> PassedRequest:
        try:
            return unpack(exchange.body, now)
        except UnreadableRequestError as exc:
            _note_refused('', repr(exc))
            raise refuse(BAD_REQUEST, 'Not a request passed on') from exc

    async def _answer(
        self, passed: PassedRequest, exchange: Exchange, now: float
    ) -> str:
        try:
            self._check(passed)
        except RefusedError as exc:
            _note_refused(passed.instance, exc.refusal.reason)
            raise
        admitted = self.admit(passed.req)
        req = self._ending.bound(admitted, passed.route, now)
        forwarded = self._forwarder.take_over(
            passed._replace(req=req), exchange
        )
        forwarded.before_slot = partial(self._check_reach, passed, forwarded)
        try:
            return await self._forwarder.run(req, forwarded, passed.service)
        except RefusedError as exc:
            if _has_met_none(forwarded, passed, exc):
                raise refuse(UNREACHED, exc.refusal.reason) from exc
            raise

    def _check(self, passed: PassedRequest) -> None:
        """Refuse at once what this instance can't serve."""
        is_ending = self._ending.is_planned
        if is_ending and self._reach.is_served_elsewhere(
            passed.service, passed.instance
        ):
            raise refuse(STOPPING, 'This instance is about to end', 0)
        if not self.is_prepared():
            raise refuse(NO_CONFIGURATION, 'This instance has just started', 0)
        if self._reach.is_cut_off(passed.service):
            raise _unreached(passed)

    def _check_reach(
        self, passed: PassedRequest, forwarded: ForwardedRequest
    ) -> None:
        """Refuse what hasn't run here once no upstream is reached."""
        is_unrun = forwarded.progress().runs == passed.runs
        if is_unrun and self._reach.is_cut_off(passed.service):
            raise _unreached(passed)


def _unreached(passed: PassedRequest) -> RefusedError:
    return refuse(
        UNREACHED, f'{passed.service} is not reached from here either'
    )


def _has_met_none(
    forwarded: ForwardedRequest, passed: PassedRequest, exc: RefusedError
) -> bool:
    """Return whether no upstream could be connected to from here."""
    progress = forwarded.progress()
    return (
        exc.refusal.kind in {NO_UPSTREAM, OVERLOADED}
        and progress.runs == passed.runs
        and progress.refusals > 0
        and progress.unreached == progress.refusals
    )


def _note_refused(instance: str, reason: str) -> None:
    events.emit(events.PASSED_REQUEST_REFUSED, instance=instance, reason=reason)


def _admit_as_it_is(req: Request) -> Request:
    """Change nothing until this is set."""
    return req


def _is_always_prepared() -> bool:
    """Return true until this is set."""
    return True
