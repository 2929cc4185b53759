"""Allocate upstream slots to batch items; preempt items under online load."""

import asyncio
import heapq
from collections.abc import Iterator
from itertools import count

from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.caps import BatchCap
from gentiantrestle.daemon.upstreams.service import Upstream, UpstreamRegistry
from gentiantrestle.models import DeploymentDoc


class Slot:
    """A slot on an upstream, held by one batch item."""

    def __init__(self, upstream: Upstream, *, preemptible: bool) -> None:
        """Hold the slot; only a ``preemptible`` one may be preempted."""
        self.upstream = upstream
        self.preemptible = preemptible
        self.preempted = False
        self.task: asyncio.Task[None] | None = None

    def preempt(self) -> None:
        """Cancel the task that runs in the slot."""
        self.preempted = True
        if self.task is not None:
            self.task.cancel()


class Waiter:
    """A batch item that waits for a slot."""

    def __init__(
        self,
        order: tuple[float, int],
        deployment: DeploymentDoc,
        *,
        preemptible: bool,
    ) -> None:
        """Wait at ``order``: the deadline, then the arrival number."""
        self.order = order
        self.deployment = deployment
        self.preemptible = preemptible
        self.fut = asyncio.get_running_loop().create_future()

    def __lt__(self, other: 'Waiter') -> bool:
        """Put earlier deadlines first, then earlier arrivals."""
        return self.order < other.order


class SlotAllocator:
    """Allocates the batch slots that this instance owns."""

    def __init__(self, ctx: Context, upstreams: UpstreamRegistry) -> None:
        """Follow each change of online load."""
        self._ctx = ctx
        self._upstreams = upstreams
        self._caps: dict[str, BatchCap] = {}
        self._slots: dict[str, list[Slot]] = {}
        self._waiting: list[Waiter] = []
        self._arrivals = count()
        upstreams.loads.add_listener(self.enforce_cap)

    async def acquire(
        self,
        deployment: DeploymentDoc,
        deadline: float,
        *,
        preemptible: bool,
    ) -> Slot:
        """Wait for a slot on one of the deployment's upstreams.

        Waiters with an earlier ``deadline`` go first. Release the slot after
        use, also if it was preempted.
        """
        order = (deadline, next(self._arrivals))
        waiter = Waiter(order, deployment, preemptible=preemptible)
        heapq.heappush(self._waiting, waiter)
        self.assign_free_slots()
        try:
            return await waiter.fut
        except asyncio.CancelledError:
            if waiter.fut.done() and not waiter.fut.cancelled():
                self.release(waiter.fut.result())
            raise

    def release(self, slot: Slot) -> None:
        """Release a slot and assign the free ones."""
        self._slots[slot.upstream.name].remove(slot)
        slot.upstream.batch -= 1
        self.assign_free_slots()

    def enforce_cap(self, name: str) -> None:
        """Preempt the newest preemptible items of an upstream above its cap."""
        slots = self._slots.get(name)
        if not slots:
            return
        cap = self._current_cap(name, self._ctx.now())
        active = [slot for slot in slots if not slot.preempted]
        excess = len(active) - cap
        for slot in reversed(active):
            if excess <= 0:
                return
            if slot.preemptible:
                slot.preempt()
                excess -= 1

    def refresh(self) -> None:
        """Update the caps of upstreams in use, then assign free slots."""
        for name in tuple(self._slots):
            self.enforce_cap(name)
        self.assign_free_slots()

    def assign_free_slots(self) -> None:
        """Give free slots to the waiting items."""
        now = self._ctx.now()
        still_waiting = []
        blocked: set[tuple[str, ...]] = set()
        while self._waiting:
            waiter = heapq.heappop(self._waiting)
            if waiter.fut.done():
                continue
            group = tuple(waiter.deployment['upstreams'])
            upstream = None
            if group not in blocked:
                upstream = self._choose_upstream(waiter.deployment, now)
            if upstream is None:
                blocked.add(group)
                still_waiting.append(waiter)
                continue
            waiter.fut.set_result(self._create_slot(upstream, waiter))
        for waiter in still_waiting:
            heapq.heappush(self._waiting, waiter)

    def free_slots(self, deployment: DeploymentDoc) -> int:
        """Return how many more items of a deployment could get a slot here.

        These are the free slots on its upstreams that this instance owns,
        minus the waiting items that may take one of them; may be negative.
        """
        now = self._ctx.now()
        free = sum(
            max(
                0, self._current_cap(name, now) - len(self._slots.get(name, ()))
            )
            for name in self.owned_upstreams(deployment, now)
        )
        upstreams = set(deployment['upstreams'])
        competing = sum(
            not upstreams.isdisjoint(waiter.deployment['upstreams'])
            for waiter in self._waiting
        )
        return free - competing

    def owned_upstreams(
        self, deployment: DeploymentDoc, now: float
    ) -> Iterator[str]:
        """Yield the deployment's upstreams whose batch slots are owned here."""
        instance = self._ctx.cfg.instance
        for name in deployment['upstreams']:
            settings = self._upstreams.settings(name)
            if settings is None or settings['zone'] != self._ctx.cfg.zone:
                continue
            if self._upstreams.batch_owner(name, now) == instance:
                yield name

    def _choose_upstream(
        self, deployment: DeploymentDoc, now: float
    ) -> Upstream | None:
        in_use = sum(len(slots) for slots in self._slots.values())
        if in_use >= self._ctx.cfg.batch_streams:
            return None
        free = {
            name: self._current_cap(name, now) - len(self._slots.get(name, ()))
            for name in self.owned_upstreams(deployment, now)
            if self._upstreams.is_usable(name, now)
        }
        best = max(free, key=free.__getitem__, default=None)
        if best is None or free[best] <= 0:
            return None
        return self._upstreams.find(best)

    def _create_slot(self, upstream: Upstream, waiter: Waiter) -> Slot:
        slot = Slot(upstream, preemptible=waiter.preemptible)
        self._slots.setdefault(upstream.name, []).append(slot)
        upstream.batch += 1
        return slot

    def _current_cap(self, name: str, now: float) -> int:
        slots = self._upstreams.settings(name)['slots']
        batch_cap = self._caps.setdefault(name, BatchCap(slots))
        return batch_cap.update(self._upstreams.online_pressure(name, now), now)
