"""Looks after the jobs that this instance is in charge of."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress

from gentiantrestle import events
from gentiantrestle.gateway.batch.context import BatchContext
from gentiantrestle.gateway.batch.item_progress import Finished, ItemRun
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.result_writer import ResultWriter
from gentiantrestle.gateway.batch.run_table import RunTable
from gentiantrestle.gateway.batch.scheduling import (
    Due,
    due_items,
    is_abandoned,
    runs_here,
    start_budget,
)
from gentiantrestle.gateway.loads import BatchBacklog
from gentiantrestle.gateway.model import Route, Upstream
from gentiantrestle.gateway.routing import choose_service
from gentiantrestle.store.client import StoreUnavailableError

# How often waiting items look for slots, besides when one is given back.
ROUND_TIME = 0.1  # seconds
IDLE_TIME = 0.4  # seconds, where nothing runs or waits
# An upstream that refused or lost an item is left alone by it for this long.
ITEM_PAUSE = 0.3  # seconds
# Runs of other instances that the others are told of with each datagram.
TAKEN_TOLD = 8


class Runner:
    """Starts items on free slots and has their results listed."""

    def __init__(self, parts: BatchContext, instance: str) -> None:
        """Run nothing yet; ``alive`` lists the living runs of instances."""
        self._parts = parts
        self._instance = instance
        self._began = parts.clock.now()
        self.live_instances: Callable[[], Iterable[str]] = tuple
        self.run_table = RunTable(parts, self._note_end)
        self._writer = ResultWriter(parts.job_store)
        self._paused: dict[str, float] = {}
        self._learning: set[str] = set()
        self._woken = asyncio.Event()
        self.waiting = BatchBacklog()
        # Runs of instances whose jobs were taken over, told to the others.
        self.taken_over: deque[str] = deque(maxlen=TAKEN_TOLD)
        self.stopping = False

    async def run(self) -> None:
        """Look for work until cancelled."""
        while not self.stopping:
            self._round()
            self._woken.clear()
            busy = self.waiting.count or self.run_table.ids()
            with suppress(TimeoutError):
                async with asyncio.timeout(ROUND_TIME if busy else IDLE_TIME):
                    await self._woken.wait()

    def wake(self) -> None:
        """Look for work now."""
        self._woken.set()

    def is_own(self, entry: JobEntry) -> bool:
        """Tell whether this instance runs a job."""
        age = self._parts.clock.now() - self._began
        return runs_here(entry, self._instance, self.live_instances(), age)

    async def stop(self) -> None:
        """Cut the items and list what is finished."""
        self.stopping = True
        for item_id in self.run_table.ids():
            self.run_table.cut(item_id)
        await self._writer.stop()

    def _round(self) -> None:
        now = self._parts.clock.now()
        self.run_table.cut_closed()
        self.run_table.preempt_overbooked()
        mine = list(self._own_entries())
        self._give_up(mine)
        busy = self.run_table.ids() | self._writer.held() | self._pausing(now)
        waiting = due_items(mine, busy, self.run_table.need)
        self.waiting = BatchBacklog()
        if waiting:
            self.waiting = BatchBacklog(len(waiting), waiting[0].spare)
            self._start_some(waiting, now)

    def _start_some(self, waiting: list[Due], now: float) -> None:
        """Start the first items, as far as each service has slots for them."""
        ahead = self._parts.board.batch_ahead(self.waiting, now)
        budgets: dict[str, int] = {}
        for due in waiting:
            route = self._parts.router.match(due.entry.job.host, due.spec.path)
            if route is None:
                continue
            service = choose_service(route, due.spec.id)
            found = self._parts.roster.usable_upstreams(service, now)
            budget = budgets.get(service)
            if budget is None:
                budget = self._budget(found, ahead, now)
            budgets[service] = budget - self._start(due, route, found, budget)

    def _start(
        self,
        due: Due,
        route: Route,
        found: list[Upstream],
        budget: int,
    ) -> bool:
        """Start an item if the budget and a free slot allow it."""
        if not budget:
            return False
        now = self._parts.clock.now()
        upstream = self._parts.placement.choose(found, now)
        if upstream is None:
            return False
        self.run_table.start(due, route, upstream)
        return True

    def _budget(
        self,
        found: list[Upstream],
        ahead: int,
        now: float,
    ) -> int:
        placement = self._parts.placement
        fit = placement.healthy(found, now)
        free = sum(max(0, placement.free_slots(one, now)) for one in fit)
        return start_budget(free, sum(one.slots for one in found), ahead)

    def _own_entries(self) -> Iterator[tuple[JobEntry, Route | None]]:
        for entry in self._parts.index.open_entries():
            if not self.is_own(entry):
                continue
            self._note_taken(entry)
            if not entry.learned or not entry.has_bodies:
                self._learn(entry)
                continue
            yield (
                entry,
                self._parts.router.match(entry.job.host, entry.job.path),
            )

    def _note_taken(self, entry: JobEntry) -> None:
        run = entry.job.acceptor
        if run != self._instance and run not in self.taken_over:
            events.emit(events.JOBS_TAKEN_OVER, run=run)
            self.taken_over.append(run)

    def _learn(self, entry: JobEntry) -> None:
        """Read what others have listed before running another's job."""
        if entry.job.id not in self._learning:
            self._learning.add(entry.job.id)
            asyncio.create_task(self._read_listed(entry))

    async def _read_listed(self, entry: JobEntry) -> None:
        try:
            await self._parts.job_store.refresh(entry)
            if entry.open:
                await self._parts.job_store.load(entry)
        except StoreUnavailableError as exc:
            events.emit(
                events.STORE_CALL_FAILED, name=entry.job.id, error=repr(exc)
            )
            await asyncio.sleep(ITEM_PAUSE)
        finally:
            self._learning.discard(entry.job.id)
        if entry.complete:
            await self._parts.job_store.finish(entry.job.id)
        self.wake()

    def _pausing(self, now: float) -> set[str]:
        """Return the items that were refused or lost just now."""
        self._paused = {
            item_id: until
            for item_id, until in self._paused.items()
            if until > now
        }
        return set(self._paused)

    def _note_end(self, run: ItemRun, ended: Finished) -> None:
        item_id = run.spec.id
        if ended.result is None:
            self._paused[item_id] = self._parts.clock.now() + ITEM_PAUSE
            return
        self.run_table.forget(item_id)
        self._writer.post(run.entry, ended.result)
        self.wake()

    def _give_up(self, mine: list[tuple[JobEntry, Route | None]]) -> None:
        """List items that nobody waits for, or that have no route any more."""
        wall = self._parts.clock.wall()
        version = self._parts.router.table.version
        for entry, route in mine:
            if is_abandoned(entry, route, version, wall):
                self._give_up_job(entry)

    def _give_up_job(self, entry: JobEntry) -> None:
        held = self._writer.held()
        for spec in tuple(entry.unlisted()):
            if spec.id in self.run_table.ids():
                self.run_table.cut(spec.id)
            if spec.id not in held:
                run = ItemRun(entry, spec, 0)
                self._writer.post(entry, run.give_up('nobody waits for it'))
