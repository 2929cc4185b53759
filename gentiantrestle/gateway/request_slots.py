"""Takes the slots of one request, one for each attempt."""

import asyncio

from gentiantrestle.errors import QUARANTINED, RefusedError
from gentiantrestle.gateway.attempt import AttemptFailedError
from gentiantrestle.gateway.forwarding_context import ForwardingContext
from gentiantrestle.gateway.model import (
    Request,
    Route,
    RouteKind,
    Upstream,
)
from gentiantrestle.gateway.refusals import refuse_quarantined
from gentiantrestle.gateway.retry_policy import (
    MAX_REFUSALS,
    MIN_TIME_LEFT,
    AttemptOutcome,
    RequestProgress,
)
from gentiantrestle.gateway.silence import Silence
from gentiantrestle.gateway.slots.client import SlotLease
from gentiantrestle.gateway.slots.messages import SlotOutcome
from gentiantrestle.gateway.slots.slot_request import (
    SlotRequest,
    VersionGoneError,
)
from gentiantrestle.gateway.slots.timing import NO_TIMING, AnswerTiming
from gentiantrestle.gateway.upstream_runs import OtherRunError

# Pause before a request that may have been executed is sent, or a slot for
# it is asked for, again.
OWED_INTERVAL = 0.25  # seconds
# Pause before an upstream that has refused a request is sent it again, doubled
# with each refusal: slots that items give back are free within tens of ms.
REPEAT_PAUSE = 0.05  # seconds


class RequestSlots:
    """The slots of one request; prefers upstreams that were not tried yet."""

    def __init__(
        self,
        context: ForwardingContext,
        req: Request,
        route: Route,
        traits: tuple[str, ...],
    ) -> None:
        """Hold no slot yet; ``traits`` are those of the request."""
        self._context = context
        self._req = req
        self._route = route
        self._traits = traits
        self._tried: frozenset[str] = frozenset()
        # Taken while the attempt before was silent.
        self._next: SlotLease | None = None
        self._is_repeat = False

    @property
    def tried(self) -> frozenset[str]:
        """Return the ids of the upstreams that were tried."""
        return self._tried

    def note_tried(self, upstreams: frozenset[str]) -> None:
        """Note that upstreams were tried by other instances."""
        self._tried |= upstreams

    async def take(
        self, service: str, version: str, progress: RequestProgress
    ) -> SlotLease:
        """Take the slot of the next attempt; raise ``RefusedError``.

        Only upstreams of ``version`` will do, unless it is empty. For a
        request that may have been executed it is sought until the deadline,
        unless its version is gone or the request is quarantined; while that may
        end soon it waits. A slot that was kept is given back if it isn't taken.
        """
        try:
            return await self._seek(service, version, progress)
        finally:
            self.release_kept()

    async def pause_before_repeat(self, progress: RequestProgress) -> None:
        """Wait if the slot taken last is on an upstream that may be full."""
        if self._is_repeat and progress.refusals:
            pause = REPEAT_PAUSE * 2 ** min(progress.refusals - 1, MAX_REFUSALS)
            left = self._req.deadline - self._context.clock.now()
            await asyncio.sleep(min(pause, left / 4))

    async def confirm_run(self, upstream: Upstream, last_event: int) -> None:
        """Raise ``AttemptFailedError`` unless the listed run answers.

        Only for streams: what another run writes may not fit the events up to
        ``last_event``, or may be taken for that of the listed version.
        """
        if self._route.kind is not RouteKind.STREAM:
            return
        is_mixed = self._context.streams.may_be_mixed(upstream.service)
        if not last_event and not (is_mixed and self._route.resumable):
            return
        try:
            await self._context.runs.confirm(
                upstream, must_be_known=is_mixed and last_event > 0
            )
        except OtherRunError as exc:
            raise AttemptFailedError(AttemptOutcome.NOT_RUN, str(exc)) from exc

    async def find_other(
        self, lease: SlotLease, silence: Silence, version: str
    ) -> SlotLease | None:
        """Take a slot elsewhere while the upstream of ``lease`` is silent.

        An upstream that sends bytes without an event may be asked again. What
        was passed on to a peer is only taken from it for another one. An answer
        that is bound to ``version`` goes on, and is no new request.
        """
        peer = self._find_peer(lease.upstream.service, version, lease.via)
        if peer is not None or lease.via:
            return peer
        slot_request = self._ask(lease.upstream.service, version)
        if version:
            req = self._req._replace(is_retry=True)
            slot_request = slot_request._replace(request=req)
        try:
            found = await self._context.admission.acquire(slot_request)
        except RefusedError:
            return None
        if found.upstream.id == lease.upstream.id and not silence.trickles:
            self.release(found)
            return None
        return found

    def keep(self, lease: SlotLease) -> None:
        """Keep a slot for the next attempt."""
        self._next = lease

    def release(
        self,
        lease: SlotLease,
        health: SlotOutcome = SlotOutcome.UNKNOWN,
        timing: AnswerTiming = NO_TIMING,
    ) -> None:
        """Give a slot back; the rest is what its upstream has shown."""
        if lease.via:
            self._context.passing.release(lease)
        else:
            self._context.admission.release(lease, health, timing)

    def release_kept(self) -> None:
        """Give back the slot that was kept, if there is one."""
        if self._next is not None:
            self.release(self._next)
            self._next = None

    async def _seek(
        self, service: str, version: str, progress: RequestProgress
    ) -> SlotLease:
        if progress.refusals >= MAX_REFUSALS:
            await asyncio.sleep(OWED_INTERVAL)
        slot_request = self._ask(service, version)
        if progress.is_owed:
            req = self._req._replace(is_retry=True)
            slot_request = slot_request._replace(request=req)
        while True:
            await self._outwait_blame(progress)
            try:
                return await self._take(slot_request)
            except RefusedError as exc:
                if not self._may_wait(progress, exc):
                    raise
            await asyncio.sleep(OWED_INTERVAL)

    async def _outwait_blame(self, progress: RequestProgress) -> None:
        """Wait while a request that was executed may soon be sent on.

        It has met a failure, so others are better for a trial.
        """
        guard = self._context.guard
        clock = self._context.clock
        while progress.is_owed and self._has_time():
            if not guard.may_be_cleared(self._traits, clock.wall()):
                return
            self.release_kept()
            await asyncio.sleep(OWED_INTERVAL)

    async def _take(self, slot_request: SlotRequest) -> SlotLease:
        wall = self._context.clock.wall()
        refuse_quarantined(self._context.guard, self._req, self._traits, wall)
        lease = self._next
        self._next = None
        if lease is None:
            lease = self._find_peer(slot_request.service, slot_request.version)
        if lease is None:
            lease = await self._context.admission.acquire(slot_request)
        if lease.via:
            self._is_repeat = False
            return lease
        self._is_repeat = lease.upstream.id in self._tried
        self._tried |= {lease.upstream.id}
        return lease

    def _find_peer(
        self, service: str, version: str, excluded: str = ''
    ) -> SlotLease | None:
        if self._context.passing is None:
            return None
        return self._context.passing.find(service, version, excluded)

    def _may_wait(self, progress: RequestProgress, exc: RefusedError) -> bool:
        if isinstance(exc, VersionGoneError):
            return False
        return (
            progress.is_owed
            and exc.refusal.kind is not QUARANTINED
            and self._has_time()
        )

    def _has_time(self) -> bool:
        """Return whether to wait and try again before the deadline."""
        left = self._req.deadline - self._context.clock.now()
        return left > OWED_INTERVAL + MIN_TIME_LEFT

    def _ask(self, service: str, version: str) -> SlotRequest:
        return SlotRequest(
            self._req, self._route, service, self._tried, version
        )
