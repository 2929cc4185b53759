"""Lets requests go to upstreams with free slots, or makes them wait."""

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
    Ticket,
    retry_after,
    wait_rule,
)
from gentiantrestle.gateway.roster import Roster

# Without any upstream a caller is sent away for about one discovery update.
NO_UPSTREAM_PAUSE = 0.5  # seconds


class SlotLease(NamedTuple):
    """A slot that a request holds on an upstream."""

    upstream: Upstream
    acquired_at: float


class SlotRequest(NamedTuple):
    """What a request needs: its service, and upstreams to avoid."""

    call: Request
    route: Route
    service: str
    excluded: frozenset[str] = frozenset()


class Admission:
    """Slots of all upstreams, and a waiting queue before each service."""

    def __init__(
        self,
        roster: Roster,
        board: LoadBoard,
        placement: Placement,
        now: Callable[[], float],
    ) -> None:
        """Start with empty queues; batch work yields through ``preempt``."""
        self._roster = roster
        self._board = board
        self._placement = placement
        self._now = now
        self._queues: dict[str, AdmissionQueue] = {}
        self._futures: dict[str, asyncio.Future[Upstream]] = {}
        self._holds: dict[str, HoldTime] = {}
        # Has batch give a slot back on one of some upstreams; names it.
        self.preempt: Callable[[Iterable[str]], str | None] = _keep_batch

    @property
    def waiting(self) -> int:
        """Count the requests that wait here."""
        return sum(len(queue) for queue in self._queues.values())

    async def acquire(self, wanted: SlotRequest) -> SlotLease:
        """Take a slot, waiting a little; raises ``RefusedError``."""
        now = self._now()
        queue = self._queues.setdefault(wanted.service, AdmissionQueue())
        upstream = (
            None
            if len(queue)
            else self._find(wanted.service, wanted.excluded, now)
        )
        if upstream is None:
            upstream = await self._wait(wanted, queue, now)
        self._board.add(upstream.id, online=1)
        self._log_placed(wanted, upstream, now)
        return SlotLease(upstream, self._now())

    def release(self, lease: SlotLease) -> None:
        """Give a slot back, and let the next request have it."""
        now = self._now()
        self._board.add(lease.upstream.id, online=-1)
        self._hold(lease.upstream.service).note(now - lease.acquired_at)
        self.dispatch()

    def dispatch(self) -> None:
        """Hand free slots to waiting requests."""
        now = self._now()
        for service, queue in self._queues.items():
            ticket = queue.peek()
            while ticket is not None and self._serve(service, ticket, now):
                queue.pop()
                ticket = queue.peek()

    def _serve(self, service: str, ticket: Ticket, now: float) -> bool:
        """Give a waiting request a slot; tell whether the next may try."""
        fut = self._futures.get(ticket.call.id)
        if fut is None or fut.done():
            return True
        upstream = self._find(service, frozenset(), now)
        if upstream is None:
            return False
        # Counted at once, so that the next one sees the slot as taken;
        # the waiter counts itself when it wakes.
        self._board.add(upstream.id, online=1)
        fut.set_result(upstream)
        return True

    def _find(
        self,
        service: str,
        excluded: frozenset[str],
        now: float,
    ) -> Upstream | None:
        """Find a free slot, one of own batch, or one of others' batch."""
        found = self._roster.usable_upstreams(service, now)
        upstream = self._placement.choose(found, now, excluded=excluded)
        if upstream is not None:
            return upstream
        yielded = self.preempt(
            [one.id for one in found if one.id not in excluded]
        )
        if yielded is not None:
            return next(one for one in found if one.id == yielded)
        return self._placement.choose_preemptible(found, now, excluded=excluded)

    async def _wait(
        self,
        wanted: SlotRequest,
        queue: AdmissionQueue,
        now: float,
    ) -> Upstream:
        rule = wait_rule(wanted.call, wanted.route, now)
        expected = self._expected_wait(wanted.service, queue, now)
        if expected > rule.seconds:
            raise self._refusal(wanted, expected, now)
        ticket = queue.add(wanted.call, rule, wanted.route.priority, now)
        fut = asyncio.get_running_loop().create_future()
        self._futures[wanted.call.id] = fut
        try:
            async with asyncio.timeout(rule.seconds):
                upstream = await fut
        except TimeoutError:
            raise self._refusal(wanted, expected, self._now()) from None
        except asyncio.CancelledError:
            self._return_slot(fut)
            raise
        finally:
            self._futures.pop(wanted.call.id, None)
            queue.remove(ticket)
        self._board.add(upstream.id, online=-1)
        return upstream

    def _return_slot(self, fut: asyncio.Future[Upstream]) -> None:
        """Give back a slot that was handed to a caller who has left."""
        if fut.done() and not fut.cancelled():
            self._board.add(fut.result().id, online=-1)
            self.dispatch()

    def _expected_wait(
        self,
        service: str,
        queue: AdmissionQueue,
        now: float,
    ) -> float:
        found = self._roster.usable_upstreams(service, now)
        if not found:
            return NO_UPSTREAM_PAUSE
        slots = sum(upstream.slots for upstream in found)
        ahead = len(queue) + self._board.waiting_at_peers(now)
        return self._hold(service).expected_wait(ahead, slots)

    def _refusal(
        self,
        wanted: SlotRequest,
        expected: float,
        now: float,
    ) -> RefusedError:
        call = wanted.call
        found = self._roster.usable_upstreams(wanted.service, now)
        pause = retry_after(expected, call, now)
        events.emit(
            events.REQUEST_REFUSED,
            request=call.id,
            service=wanted.service,
            upstreams=len(found),
            expected_ms=round(expected * 1000),
            retry_after=pause,
        )
        if not found:
            return refuse(NO_UPSTREAM, 'No upstream is known', pause)
        return refuse(OVERLOADED, 'Every slot is taken', pause)

    def _hold(self, service: str) -> HoldTime:
        return self._holds.setdefault(service, HoldTime())

    def _log_placed(
        self,
        wanted: SlotRequest,
        upstream: Upstream,
        now: float,
    ) -> None:
        load = self._board.total_load(upstream.id, now)
        events.emit(
            events.REQUEST_PLACED,
            request=wanted.call.id,
            upstream=upstream.id,
            online=load.online,
            batch=load.batch,
            roster=self._roster.revision,
            waited_ms=round((self._now() - wanted.call.received) * 1000),
        )


def _keep_batch(upstreams: Iterable[str]) -> str | None:
    """Yield nothing: no batch work runs here yet."""
