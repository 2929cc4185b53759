"""Items that run on this instance, and preemption among them."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.batch.context import BatchContext
from gentiantrestle.gateway.batch.item_progress import ItemProgress, RunOutcome
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.scheduling import (
    Estimate,
    Pace,
    QueuedItem,
    is_preemptible,
    preemption_key,
)
from gentiantrestle.gateway.model import ItemSpec, Route, Upstream


class _ActiveRun(NamedTuple):
    upstream: Upstream
    task: asyncio.Task[None]
    started: float


class RunTable:
    """Starts, cancels and preempts runs of items."""

    def __init__(
        self,
        context: BatchContext,
        on_outcome: Callable[[ItemProgress, RunOutcome], None],
    ) -> None:
        """Call ``on_outcome`` after each run that was not cancelled."""
        self._context = context
        self._on_outcome = on_outcome
        self._progress: dict[str, ItemProgress] = {}
        self._active: dict[str, _ActiveRun] = {}
        self._pace = Pace()

    def ids(self) -> set[str]:
        """Return the ids of the items that run now."""
        return set(self._active)

    def start(
        self, queued: QueuedItem, route: Route, upstream: Upstream
    ) -> None:
        """Run an item on an upstream, resuming it if it has run before."""
        item_id = queued.spec.id
        progress = self._progress.get(item_id)
        if progress is None:
            progress = ItemProgress(
                queued.entry, queued.spec, route.max_attempts
            )
            self._progress[item_id] = progress
        events.emit(
            events.ITEM_PLACED,
            item=item_id,
            job=queued.entry.job.id,
            upstream=upstream.id,
            spare_ms=round(queued.slack * 1000),
            roster=self._context.roster.revision,
        )
        self._context.board.add(upstream.id, batch=1)
        task = asyncio.create_task(self._run(progress, upstream))
        now = self._context.clock.now()
        self._active[item_id] = _ActiveRun(upstream, task, now)

    def cancel(self, item_id: str) -> None:
        """Cancel a run; its slot counts as free at once."""
        active = self._active.pop(item_id)
        self._context.board.add(active.upstream.id, batch=-1)
        active.task.cancel()

    def cancel_closed(self) -> None:
        """Cancel the runs of jobs that are cancelled, done or complete."""
        for item_id in tuple(self._active):
            if not self._progress[item_id].entry.open:
                self.cancel(item_id)
                self.forget(item_id)

    def forget(self, item_id: str) -> None:
        """Drop the progress of an item that won't be run any more."""
        self._progress.pop(item_id, None)

    def preempt(self, upstreams: Iterable[str]) -> str | None:
        """Cancel the run on some upstreams whose item can best wait.

        Returns the id of its upstream, or None if no item may be preempted.
        """
        wanted = set(upstreams)
        slacks = {
            item_id: self._slack(item_id)
            for item_id, active in self._active.items()
            if active.upstream.id in wanted
        }
        candidates = [
            candidate
            for candidate, slack in slacks.items()
            if is_preemptible(slack)
        ]
        if not candidates:
            return None
        item_id = max(
            candidates, key=lambda candidate: preemption_key(slacks[candidate])
        )
        upstream = self._active[item_id].upstream.id
        events.emit(
            events.ITEM_PREEMPTED,
            item=item_id,
            upstream=upstream,
            spare_ms=round(slacks[item_id] * 1000),
        )
        self.cancel(item_id)
        return upstream

    def preempt_overbooked(self) -> None:
        """Preempt an item on each upstream with more work than slots.

        The work of all instances counts. This instance preempts only if no
        other has more batch items there.
        """
        now = self._context.clock.now()
        board = self._context.board
        used = {active.upstream for active in self._active.values()}
        for upstream in used:
            if self._context.placement.free_slots(upstream, now) >= 0:
                continue
            own_batch = board.own_loads[upstream.id].batch
            if own_batch >= board.max_peer_batch(upstream.id, now):
                self.preempt((upstream.id,))

    def estimate(
        self,
        entry: JobEntry,
        route: Route,
        spec: ItemSpec,
        running: float = 0,
    ) -> Estimate:
        """Estimate an item's remaining tokens and slack.

        ``running`` is the time in s that its current run has taken so far.
        """
        progress = self._progress.get(spec.id)
        run_time = running
        if progress is not None:
            run_time += progress.run_time
        tokens_left = self._pace.tokens_left(spec.tokens, run_time)
        deadline = entry.job.submitted + route.completion_target
        slack = self._pace.slack(
            deadline, self._context.clock.wall(), tokens_left
        )
        return Estimate(tokens_left, slack)

    def _slack(self, item_id: str) -> float:
        """Return a running item's slack in s; 0 if its route is removed."""
        progress = self._progress[item_id]
        job = progress.entry.job
        route = self._context.router.match(job.host, job.path)
        if route is None:
            return 0
        running = self._context.clock.now() - self._active[item_id].started
        return self.estimate(
            progress.entry, route, progress.spec, running
        ).slack

    async def _run(self, progress: ItemProgress, upstream: Upstream) -> None:
        try:
            outcome = await progress.run(
                upstream,
                self._context.placement,
                self._context.dialect,
                self._context.clock.now,
            )
        finally:
            self._release(progress, upstream)
        if outcome.result is not None and outcome.result.completed:
            self._pace.add_sample(progress.run_time, progress.spec.tokens)
        self._on_outcome(progress, outcome)

    def _release(self, progress: ItemProgress, upstream: Upstream) -> None:
        """Free the slot, unless ``cancel`` has done so."""
        active = self._active.get(progress.spec.id)
        if active is not None and active.task is asyncio.current_task():
            self._active.pop(progress.spec.id)
            self._context.board.add(upstream.id, batch=-1)
