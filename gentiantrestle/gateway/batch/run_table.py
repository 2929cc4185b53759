"""The items that run here, and which of them give way."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.batch.context import BatchContext
from gentiantrestle.gateway.batch.item_progress import Finished, ItemRun
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.scheduling import (
    Due,
    Need,
    Pace,
    may_yield,
    yield_rank,
)
from gentiantrestle.gateway.model import ItemSpec, Route, Upstream


class _Running(NamedTuple):
    upstream: Upstream
    task: asyncio.Task[None]
    since: float


class RunTable:
    """Runs of items: started, ended, cut for requests."""

    def __init__(
        self,
        parts: BatchContext,
        finished: Callable[[ItemRun, Finished], None],
    ) -> None:
        """Call ``finished`` for each run that was not cut."""
        self._parts = parts
        self._finished = finished
        self._runs: dict[str, ItemRun] = {}
        self._running: dict[str, _Running] = {}
        self._pace = Pace()

    def ids(self) -> set[str]:
        """Return the ids of the items that run now."""
        return set(self._running)

    def start(self, due: Due, route: Route, upstream: Upstream) -> None:
        """Run an item on, or from its start, on an upstream."""
        item_id = due.spec.id
        run = self._runs.get(item_id)
        if run is None:
            run = ItemRun(due.entry, due.spec, route.max_attempts)
            self._runs[item_id] = run
        events.emit(
            events.ITEM_PLACED,
            item=item_id,
            job=due.entry.job.id,
            upstream=upstream.id,
            spare_ms=round(due.spare * 1000),
            roster=self._parts.roster.revision,
        )
        self._parts.board.add(upstream.id, batch=1)
        task = asyncio.create_task(self._drive(run, upstream))
        now = self._parts.clock.now()
        self._running[item_id] = _Running(upstream, task, now)

    def cut(self, item_id: str) -> None:
        """End a run at once; its slot is free for others now."""
        running = self._running.pop(item_id)
        self._parts.board.add(running.upstream.id, batch=-1)
        running.task.cancel()

    def cut_closed(self) -> None:
        """End the runs of jobs that are ended or complete."""
        for item_id in tuple(self._running):
            if not self._runs[item_id].entry.open:
                self.cut(item_id)
                self.forget(item_id)

    def forget(self, item_id: str) -> None:
        """Drop what is known of an item that is not run any more."""
        self._runs.pop(item_id, None)

    def preempt(self, upstreams: Iterable[str]) -> str | None:
        """Cut the item that can best wait on some upstreams; return which."""
        wanted = set(upstreams)
        spares = {
            item_id: self._spare(item_id)
            for item_id, running in self._running.items()
            if running.upstream.id in wanted
        }
        fit = [one for one, spare in spares.items() if may_yield(spare)]
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
        self.cut(item_id)
        return upstream

    def preempt_overbooked(self) -> None:
        """Cut items where all instances together take over the slots.

        Of several instances the one with the most batch there gives way.
        """
        now = self._parts.clock.now()
        board = self._parts.board
        used = {one.upstream for one in self._running.values()}
        for upstream in used:
            if self._parts.placement.free_slots(upstream, now) >= 0:
                continue
            own = board.own_loads[upstream.id].batch
            if own >= board.max_peer_batch(upstream.id, now):
                self.preempt((upstream.id,))

    def need(
        self,
        entry: JobEntry,
        route: Route,
        spec: ItemSpec,
        running: float = 0,
    ) -> Need:
        """Say what an item needs; it has been ``running`` s this time."""
        run = self._runs.get(spec.id)
        spent = running
        if run is not None:
            spent += run.spent
        left = self._pace.left(spec.tokens, spent)
        due = entry.job.submitted + route.completion_target
        spare = self._pace.spare(due, self._parts.clock.wall(), left)
        return Need(left, spare)

    def _spare(self, item_id: str) -> float:
        """Return a running item's time to spare, in s."""
        run = self._runs[item_id]
        job = run.entry.job
        route = self._parts.router.match(job.host, job.path)
        if route is None:
            return 0
        running = self._parts.clock.now() - self._running[item_id].since
        return self.need(run.entry, route, run.spec, running).spare

    async def _drive(self, run: ItemRun, upstream: Upstream) -> None:
        try:
            ended = await run.run(
                upstream,
                self._parts.placement,
                self._parts.dialect,
                self._parts.clock.now,
            )
        finally:
            self._release(run, upstream)
        if ended.result is not None and ended.result.completed:
            self._pace.note(run.spent, run.spec.tokens)
        self._finished(run, ended)

    def _release(self, run: ItemRun, upstream: Upstream) -> None:
        """Give the slot back, unless a cut has done so."""
        running = self._running.get(run.spec.id)
        if running is not None and running.task is asyncio.current_task():
            self._running.pop(run.spec.id)
            self._parts.board.add(upstream.id, batch=-1)
