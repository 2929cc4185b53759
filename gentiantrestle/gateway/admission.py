"""Admission of requests: assigns upstream slots and queues the rest."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.errors import NO_UPSTREAM, OVERLOADED, RefusedError, refuse
from gentiantrestle.gateway.loads import LoadBoard
from gentiantrestle.gateway.model import Request, Route, Upstream
from gentiantrestle.gateway.placement import Placement
from gentiantrestle.gateway.queueing import (
    AdmissionQueue,
    HoldTime,
    QueueEntry,
    retry_after_seconds,
    wait_limit,
)
from gentiantrestle.gateway.roster import Roster

# About the time between two discovery updates.
NO_UPSTREAM_RETRY_AFTER = 0.5  # seconds


class SlotLease(NamedTuple):
    """A slot that a request holds on an upstream.

    ``acquired_at`` is a monotonic time in s.
    """

    upstream: Upstream
    acquired_at: float


class SlotRequest(NamedTuple):
    """A request that needs a slot of ``service``.

    ``excluded`` holds the ids of upstreams that must not be chosen at once;
    a request that has to wait may still be given a slot on one of them.
    """

    request: Request
    route: Route
    service: str
    excluded: frozenset[str] = frozenset()


class Admission:
    """Assigns the slots of all upstreams; one waiting queue per service."""

    def __init__(
        self,
        roster: Roster,
        board: LoadBoard,
        placement: Placement,
        now: Callable[[], float],
    ) -> None:
        """Start with empty queues; ``now`` returns a monotonic time in s."""
        self._roster = roster
        self._board = board
        self._placement = placement
        self._now = now
        self._queues: dict[str, AdmissionQueue] = {}
        self._futures: dict[str, asyncio.Future[Upstream]] = {}
        self._hold_times: dict[str, HoldTime] = {}
        # Frees a slot that batch work of this instance holds on one of the
        # given upstreams; returns the id of that upstream, or None.
        self.preempt: Callable[[Iterable[str]], str | None] = _preempt_nothing

    @property
    def waiting(self) -> int:
        """Count the requests that wait at this instance."""
        return sum(len(queue) for queue in self._queues.values())

    async def acquire(self, slot_request: SlotRequest) -> SlotLease:
        """Take a slot, waiting in the queue if none is free.

        Raises ``RefusedError`` if the expected or the actual wait exceeds
        the request's wait limit.
        """
        now = self._now()
        queue = self._queues.setdefault(slot_request.service, AdmissionQueue())
        upstream = (
            None
            if len(queue)
            else self._find_upstream(
                slot_request.service, slot_request.excluded, now
            )
        )
        if upstream is None:
            upstream = await self._wait_for_slot(slot_request, queue, now)
        self._board.add(upstream.id, online=1)
        self._log_placed(slot_request, upstream, now)
        return SlotLease(upstream, self._now())

    def release(self, lease: SlotLease) -> None:
        """Release a slot and dispatch waiting requests."""
        now = self._now()
        self._board.add(lease.upstream.id, online=-1)
        self._hold_time(lease.upstream.service).record(now - lease.acquired_at)
        self.dispatch()

    def dispatch(self) -> None:
        """Assign free slots to waiting requests."""
        now = self._now()
        for service, queue in self._queues.items():
            entry = queue.peek()
            while entry is not None and self._grant_slot(service, entry, now):
                queue.pop()
                entry = queue.peek()

    def _grant_slot(self, service: str, entry: QueueEntry, now: float) -> bool:
        """Assign a slot to a waiting request.

        Returns False if no slot is free, so that the queue has to wait.
        """
        fut = self._futures.get(entry.request.id)
        if fut is None or fut.done():
            return True
        upstream = self._find_upstream(service, frozenset(), now)
        if upstream is None:
            return False
        # Counted now, so that the next request sees the slot as taken. The
        # waiter takes this count back and counts itself when it wakes.
        self._board.add(upstream.id, online=1)
        fut.set_result(upstream)
        return True

    def _find_upstream(
        self,
        service: str,
        excluded: frozenset[str],
        now: float,
    ) -> Upstream | None:
        """Find an upstream with a free slot, or with batch work to preempt.

        Batch work of this instance is preempted first; other instances
        preempt theirs when they see that an upstream is overbooked.
        """
        known = self._roster.usable_upstreams(service, now)
        upstream = self._placement.choose(known, now, excluded=excluded)
        if upstream is not None:
            return upstream
        preempted = self.preempt(
            [
                candidate.id
                for candidate in known
                if candidate.id not in excluded
            ]
        )
        if preempted is not None:
            return next(
                candidate for candidate in known if candidate.id == preempted
            )
        return self._placement.choose_preemptible(known, now, excluded=excluded)

    async def _wait_for_slot(
        self,
        slot_request: SlotRequest,
        queue: AdmissionQueue,
        now: float,
    ) -> Upstream:
        limit = wait_limit(slot_request.request, slot_request.route, now)
        expected = self._expected_wait(slot_request.service, queue, now)
        if expected > limit.seconds:
            raise self._refusal(slot_request, expected, now)
        entry = queue.add(
            slot_request.request, limit, slot_request.route.priority, now
        )
        fut = asyncio.get_running_loop().create_future()
        self._futures[slot_request.request.id] = fut
        try:
            async with asyncio.timeout(limit.seconds):
                upstream = await fut
        except TimeoutError:
            raise self._refusal(slot_request, expected, self._now()) from None
        except asyncio.CancelledError:
            self._return_slot(fut)
            raise
        finally:
            self._futures.pop(slot_request.request.id, None)
            queue.remove(entry)
        self._board.add(upstream.id, online=-1)
        return upstream

    def _return_slot(self, fut: asyncio.Future[Upstream]) -> None:
        """Release a slot that was assigned to a cancelled request."""
        if fut.done() and not fut.cancelled():
            self._board.add(fut.result().id, online=-1)
            self.dispatch()

    def _expected_wait(
        self,
        service: str,
        queue: AdmissionQueue,
        now: float,
    ) -> float:
        known = self._roster.usable_upstreams(service, now)
        if not known:
            return NO_UPSTREAM_RETRY_AFTER
        slots = sum(upstream.slots for upstream in known)
        ahead = len(queue) + self._board.waiting_at_peers(now)
        return self._hold_time(service).expected_wait(ahead, slots)

    def _refusal(
        self,
        slot_request: SlotRequest,
        expected: float,
        now: float,
    ) -> RefusedError:
        req = slot_request.request
        known = self._roster.usable_upstreams(slot_request.service, now)
        delay = retry_after_seconds(expected, req, now)
        events.emit(
            events.REQUEST_REFUSED,
            request=req.id,
            service=slot_request.service,
            upstreams=len(known),
            expected_ms=round(expected * 1000),
            retry_after=delay,
        )
        if not known:
            return refuse(
                NO_UPSTREAM, 'No upstream of this service is available', delay
            )
        return refuse(OVERLOADED, 'All slots of this service are in use', delay)

    def _hold_time(self, service: str) -> HoldTime:
        return self._hold_times.setdefault(service, HoldTime())

    def _log_placed(
        self,
        slot_request: SlotRequest,
        upstream: Upstream,
        now: float,
    ) -> None:
        load = self._board.total_load(upstream.id, now)
        events.emit(
            events.REQUEST_PLACED,
            request=slot_request.request.id,
            upstream=upstream.id,
            online=load.online,
            batch=load.batch,
            roster=self._roster.revision,
            waited_ms=round(
                (self._now() - slot_request.request.received) * 1000
            ),
        )


def _preempt_nothing(upstreams: Iterable[str]) -> str | None:
    """Free nothing; the default until batch work is set up."""
