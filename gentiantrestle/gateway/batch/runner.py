"""Runs the items of the jobs that this instance is in charge of."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.batch.book import Book, Entry
from gentiantrestle.gateway.batch.duty import (
    Due,
    Need,
    Pace,
    due_items,
    may_yield,
    runs_here,
    startable,
    yield_rank,
)
from gentiantrestle.gateway.batch.item import ItemRun
from gentiantrestle.gateway.batch.keeper import Keeper
from gentiantrestle.gateway.loads import BatchWaiting, LoadBoard
from gentiantrestle.gateway.model import ItemResult, ItemSpec, Route, Upstream
from gentiantrestle.gateway.placement import Placement
from gentiantrestle.gateway.ports import Dialect
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.routing import Router, choose_service
from gentiantrestle.store.client import StoreUnavailableError

# How often waiting items look for slots, besides when one is given back.
ROUND_TIME = 0.1  # seconds
# Results are listed together when they come within this time.
LIST_PAUSE = 0.4  # seconds
# An upstream that refused or lost an item is left alone by it for this long.
ITEM_PAUSE = 0.3  # seconds
TAKEN_TOLD = 8


class Clock(NamedTuple):
    """Steady time for pauses, wall-clock time for what is due."""

    now: Callable[[], float]
    wall: Callable[[], float]


class Parts(NamedTuple):
    """What the runner works with."""

    book: Book
    keeper: Keeper
    router: Router
    roster: Roster
    board: LoadBoard
    placement: Placement
    dialect: Dialect
    clock: Clock


class _Running(NamedTuple):
    upstream: Upstream
    task: asyncio.Task[None]
    since: float


class Runner:
    """Starts items on free slots, and gives slots back to online work."""

    def __init__(self, parts: Parts, instance: str) -> None:
        """Run nothing yet; ``alive`` lists the living instances."""
        self._p = parts
        self._instance = instance
        self.alive: Callable[[], Iterable[str]] = tuple
        self._runs: dict[str, ItemRun] = {}
        self._running: dict[str, _Running] = {}
        self._paused: dict[str, float] = {}
        self._outbox: dict[str, list[ItemResult]] = {}
        self._listing: dict[str, asyncio.Task[None]] = {}
        self._learning: set[str] = set()
        self._woken = asyncio.Event()
        self._pace = Pace()
        self.waiting = BatchWaiting()
        # Runs of instances whose jobs were taken over, told to the others.
        self.taken: deque[str] = deque(maxlen=TAKEN_TOLD)
        self.stopping = False

    async def run(self) -> None:
        """Look for work until cancelled."""
        while True:
            self._round()
            self._woken.clear()
            try:
                async with asyncio.timeout(ROUND_TIME):
                    await self._woken.wait()
            except TimeoutError:
                continue

    def wake(self) -> None:
        """Look for work now."""
        self._woken.set()

    def is_own(self, entry: Entry) -> bool:
        """Tell whether this instance runs a job."""
        return runs_here(entry, self._instance, self.alive())

    def preempt(self, upstreams: Iterable[str]) -> str | None:
        """Cut the item that can best wait on some upstreams; return which."""
        wanted = set(upstreams)
        spares = {
            item_id: self._spare_of(item_id)
            for item_id, running in self._running.items()
            if running.upstream.id in wanted
        }
        fit = [one for one in spares if may_yield(spares[one])]
        if not fit:
            return None
        item_id = max(fit, key=lambda one: yield_rank(spares[one]))
        upstream = self._running[item_id].upstream.id
        events.emit(
            events.ITEM_PREEMPTED,
            item=item_id,
            upstream=upstream,
            spare_ms=round(spares[item_id] * 1000),
        )
        self._cut(item_id)
        return upstream

    async def stop(self) -> None:
        """Cut the items and list what is finished."""
        self.stopping = True
        for item_id in tuple(self._running):
            self._cut(item_id)
        if self._listing:
            await asyncio.wait(tuple(self._listing.values()), timeout=2)

    def _round(self) -> None:
        if self.stopping:
            return
        now = self._p.clock.now()
        mine = self._own_entries()
        self._cut_closed()
        self.yield_overload()
        self._give_up_late(mine)
        busy = set(self._running) | self._held_back(now)
        waiting = due_items(mine, busy, self._need)
        if waiting:
            self.waiting = BatchWaiting(len(waiting), waiting[0].spare)
            self._start_some(waiting, now)
        else:
            self.waiting = BatchWaiting()

    def _start_some(self, waiting: list[Due], now: float) -> None:
        """Start the first items, as far as each service has slots for them."""
        ahead = self._p.board.batch_ahead(self.waiting, now)
        budgets: dict[str, int] = {}
        for due in waiting:
            route = self._p.router.match(due.entry.job.host, due.spec.path)
            if route is None:
                continue
            service = choose_service(route, due.spec.id)
            found = self._p.roster.of_service(service, now)
            if service not in budgets:
                budgets[service] = self._budget(found, ahead, now)
            if budgets[service]:
                budgets[service] -= 1
                self._start(due, route, found)

    def _budget(
        self,
        found: list[Upstream],
        ahead: int,
        now: float,
    ) -> int:
        fit = self._p.placement.healthy(found, now)
        free = sum(max(0, self._p.placement.free(one, now)) for one in fit)
        return startable(free, sum(one.slots for one in found), ahead)

    def _own_entries(self) -> list[tuple[Entry, Route]]:
        found = []
        for entry in self._p.book.open_entries():
            if not self.is_own(entry):
                continue
            self._note_taken(entry)
            if not entry.learned:
                self._learn(entry)
                continue
            route = self._p.router.match(entry.job.host, entry.job.path)
            if route is not None:
                found.append((entry, route))
        return found

    def _note_taken(self, entry: Entry) -> None:
        run = entry.job.acceptor
        if run != self._instance and run not in self.taken:
            events.emit(events.JOBS_TAKEN, run=run)
            self.taken.append(run)

    def _learn(self, entry: Entry) -> None:
        """Read what others have listed before running another's job."""
        if entry.job.id not in self._learning:
            self._learning.add(entry.job.id)
            asyncio.create_task(self._read_listed(entry))

    async def _read_listed(self, entry: Entry) -> None:
        try:
            await self._p.keeper.refresh(entry)
        except StoreUnavailableError as exc:
            events.emit(events.WRITE_FAILED, name=entry.job.id, error=repr(exc))
            await asyncio.sleep(ITEM_PAUSE)
        finally:
            self._learning.discard(entry.job.id)
        if entry.complete:
            await self._p.keeper.finish(entry.job.id)
        self.wake()

    def _held_back(self, now: float) -> set[str]:
        """Return items that pause, and those that wait to be listed."""
        self._paused = {
            item_id: until
            for item_id, until in self._paused.items()
            if until > now
        }
        held = set(self._paused)
        for results in self._outbox.values():
            held.update(one.id for one in results)
        return held

    def _start(
        self,
        due: Due,
        route: Route,
        found: list[Upstream],
    ) -> None:
        now = self._p.clock.now()
        upstream = self._p.placement.choose(found, now)
        if upstream is None:
            return
        run = self._runs.get(due.spec.id)
        if run is None:
            run = ItemRun(due.entry, due.spec, route.max_attempts)
            self._runs[due.spec.id] = run
        events.emit(
            events.ITEM_PLACED,
            item=due.spec.id,
            job=due.entry.job.id,
            upstream=upstream.id,
            spare_ms=round(due.spare * 1000),
            roster=self._p.roster.revision,
        )
        self._p.board.add(upstream.id, batch=1)
        task = asyncio.create_task(self._drive(run, upstream))
        self._running[due.spec.id] = _Running(upstream, task, now)

    async def _drive(self, run: ItemRun, upstream: Upstream) -> None:
        finished = None
        try:
            finished = await run.run(
                upstream,
                self._p.placement,
                self._p.dialect,
                self._p.clock.now,
            )
        finally:
            self._release(run, upstream)
        if finished.result is None:
            self._paused[run.spec.id] = self._p.clock.now() + ITEM_PAUSE
            return
        if finished.result.completed:
            self._pace.note(run.spent, run.spec.tokens)
        self._post(run.entry, finished.result)
        self.wake()

    def _release(self, run: ItemRun, upstream: Upstream) -> None:
        running = self._running.get(run.spec.id)
        if running is not None and running.task is asyncio.current_task():
            self._running.pop(run.spec.id)
            self._p.board.add(upstream.id, batch=-1)

    def _post(self, entry: Entry, one: ItemResult) -> None:
        """Have a result listed, together with others that come soon."""
        self._runs.pop(one.id, None)
        job = entry.job.id
        self._outbox.setdefault(job, []).append(one)
        if job not in self._listing:
            task = asyncio.create_task(self._list(entry))
            self._listing[job] = task

    async def _list(self, entry: Entry) -> None:
        job = entry.job.id
        try:
            while self._outbox.get(job):
                if not self.stopping:
                    await asyncio.sleep(LIST_PAUSE)
                results = tuple(self._outbox[job])
                await self._p.keeper.list_results(entry, results)
                self._outbox[job] = self._outbox[job][len(results) :]
        finally:
            self._listing.pop(job, None)
        self._outbox.pop(job, None)
        if entry.complete:
            events.emit(events.JOB_FINISHED, job=job, state='done')
            await self._p.keeper.finish(job)

    def _cut(self, item_id: str) -> None:
        """End a run at once; its slot is free for others now."""
        running = self._running.pop(item_id)
        self._p.board.add(running.upstream.id, batch=-1)
        running.task.cancel()

    def _cut_closed(self) -> None:
        for item_id in tuple(self._running):
            run = self._runs.get(item_id)
            if run is not None and not run.entry.open:
                self._cut(item_id)
                self._runs.pop(item_id, None)

    def yield_overload(self) -> None:
        """Cut items where all instances together take over the slots.

        Of several instances the one with the most batch there gives way.
        """
        now = self._p.clock.now()
        for upstream in {one.upstream for one in self._running.values()}:
            own = self._p.board.own[upstream.id].batch
            if self._p.placement.free(upstream, now) >= 0:
                continue
            if own >= self._p.board.most_batch(upstream.id, now):
                self.preempt((upstream.id,))

    def _need(
        self,
        entry: Entry,
        route: Route,
        spec: ItemSpec,
        running: float = 0,
    ) -> Need:
        """Say what an item needs; it has been ``running`` s this time."""
        run = self._runs.get(spec.id)
        spent = running + (run.spent if run is not None else 0)
        left = self._pace.left(spec.tokens, spent)
        due = entry.job.submitted + route.completion_target
        spare = self._pace.spare(due, self._p.clock.wall(), left)
        return Need(left, spare)

    def _spare_of(self, item_id: str) -> float:
        """Return a running item's time to spare, in s."""
        run = self._runs[item_id]
        job = run.entry.job
        route = self._p.router.match(job.host, job.path)
        if route is None:
            return 0
        running = self._p.clock.now() - self._running[item_id].since
        return self._need(run.entry, route, run.spec, running).spare

    def _give_up_late(self, mine: Iterable[tuple[Entry, Route]]) -> None:
        """List items that nobody waits for any more."""
        wall = self._p.clock.wall()
        for entry, route in mine:
            if not route.retention:
                continue
            if wall < entry.job.submitted + route.retention:
                continue
            for spec in tuple(entry.unlisted()):
                if spec.id in self._running:
                    self._cut(spec.id)
                if not self._is_posted(entry, spec.id):
                    run = ItemRun(entry, spec, 0)
                    self._post(entry, run.give_up('retention is over'))

    def _is_posted(self, entry: Entry, item_id: str) -> bool:
        return any(
            one.id == item_id for one in self._outbox.get(entry.job.id, ())
        )
