"""Give batch items their upstream slots, and take them back on a burst."""

import asyncio
import heapq
from collections.abc import Iterator
from itertools import count

from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.caps import BatchCap
from gentiantrestle.daemon.upstreams.service import Upstream, UpstreamRegistry
from gentiantrestle.models import DeploymentDoc


class Slot:
    """One batch item's place on an upstream."""

    def __init__(self, upstream: Upstream, *, yields: bool) -> None:
        """Hold the place; ``yields`` tells if it may be taken back."""
        self.upstream = upstream
        self.yields = yields
        self.taken_back = False
        self.task: asyncio.Task[None] | None = None

    def take_back(self) -> None:
        """Cancel what runs in the slot, at once."""
        self.taken_back = True
        if self.task is not None:
            self.task.cancel()


class Waiter:
    """An item that waits for a slot; earlier deadlines go first."""

    def __init__(
        self,
        order: tuple[float, int],
        deployment: DeploymentDoc,
        *,
        yields: bool,
    ) -> None:
        """Wait in the order given."""
        self.order = order
        self.deployment = deployment
        self.yields = yields
        self.fut = asyncio.get_running_loop().create_future()

    def __lt__(self, other: 'Waiter') -> bool:
        """Order by deadline, then by arrival."""
        return self.order < other.order


class Gate:
    """The slots that this instance owns for batch work."""

    def __init__(self, ctx: Context, fleet: UpstreamRegistry) -> None:
        """Heed each change of online load."""
        self._ctx = ctx
        self._fleet = fleet
        self._allowances: dict[str, BatchCap] = {}
        self._slots: dict[str, list[Slot]] = {}
        self._waiting: list[Waiter] = []
        self._arrivals = count()
        fleet.loads.add_listener(self.enforce)

    async def take(
        self,
        deployment: DeploymentDoc,
        deadline: float,
        *,
        yields: bool,
    ) -> Slot:
        """Wait for a slot on an upstream of the deployment."""
        order = (deadline, next(self._arrivals))
        waiter = Waiter(order, deployment, yields=yields)
        heapq.heappush(self._waiting, waiter)
        self.pump()
        try:
            return await waiter.fut
        except asyncio.CancelledError:
            if waiter.fut.done() and not waiter.fut.cancelled():
                self.give(waiter.fut.result())
            raise

    def give(self, slot: Slot) -> None:
        """Give a slot back."""
        self._slots[slot.upstream.name].remove(slot)
        slot.upstream.batch -= 1
        self.pump()

    def enforce(self, name: str) -> None:
        """Take slots back from the youngest items above the cap."""
        slots = self._slots.get(name)
        if not slots:
            return
        cap = self._cap(name, self._ctx.now())
        active = [slot for slot in slots if not slot.taken_back]
        excess = len(active) - cap
        for slot in reversed(active):
            if excess <= 0:
                return
            if slot.yields:
                slot.take_back()
                excess -= 1

    def tick(self) -> None:
        """Bring all caps up to date."""
        for name in tuple(self._slots):
            self.enforce(name)
        self.pump()

    def pump(self) -> None:
        """Let waiting items go while there are free slots."""
        now = self._ctx.now()
        put_back = []
        blocked: set[tuple[str, ...]] = set()
        while self._waiting:
            waiter = heapq.heappop(self._waiting)
            if waiter.fut.done():
                continue
            group = tuple(waiter.deployment['upstreams'])
            upstream = None
            if group not in blocked:
                upstream = self._choose(waiter.deployment, now)
            if upstream is None:
                blocked.add(group)
                put_back.append(waiter)
                continue
            waiter.fut.set_result(self._occupy(upstream, waiter))
        for waiter in put_back:
            heapq.heappush(self._waiting, waiter)

    def free(self, deployment: DeploymentDoc) -> int:
        """Count free slots, less the items that wait already."""
        now = self._ctx.now()
        free = sum(
            max(0, self._cap(name, now) - len(self._slots.get(name, ())))
            for name in self.owned(deployment, now)
        )
        return free - len(self._waiting)

    def owned(self, deployment: DeploymentDoc, now: float) -> Iterator[str]:
        """Yield the deployment's upstreams whose batch slots are owned."""
        me = self._ctx.cfg.instance
        for name in deployment['upstreams']:
            settings = self._fleet.settings(name)
            if settings is None or settings['zone'] != self._ctx.cfg.zone:
                continue
            if self._fleet.batch_owner(name, now) == me:
                yield name

    def _choose(self, deployment: DeploymentDoc, now: float) -> Upstream | None:
        total = sum(len(slots) for slots in self._slots.values())
        if total >= self._ctx.cfg.batch_streams:
            return None
        room = {
            name: self._cap(name, now) - len(self._slots.get(name, ()))
            for name in self.owned(deployment, now)
            if self._fleet.is_usable(name, now)
        }
        best = max(room, key=room.__getitem__, default=None)
        if best is None or room[best] <= 0:
            return None
        return self._fleet.find(best)

    def _occupy(self, upstream: Upstream, waiter: Waiter) -> Slot:
        slot = Slot(upstream, yields=waiter.yields)
        self._slots.setdefault(upstream.name, []).append(slot)
        upstream.batch += 1
        return slot

    def _cap(self, name: str, now: float) -> int:
        slots = self._fleet.settings(name)['slots']
        allowance = self._allowances.setdefault(name, BatchCap(slots))
        return allowance.update(self._fleet.online_pressure(name, now), now)
