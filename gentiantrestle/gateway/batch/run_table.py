"""Items that run on this instance, and preemption among them."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.batch.context import BatchContext
from gentiantrestle.gateway.batch.item_progress import ItemProgress, RunOutcome
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.scheduling import (
    Estimate,
    Pace,
    QueuedItem,
)
from gentiantrestle.gateway.model import ItemSpec, Route
from gentiantrestle.gateway.slots.client import SlotLease
from gentiantrestle.gateway.slots.messages import SlotOutcome


class _ActiveRun(NamedTuple):
    lease: SlotLease
    task: asyncio.Task[None]
    started: float


class RunTable:
    """Starts, cancels and preempts runs of items."""

    def __init__(
        self,
        context: BatchContext,
        on_outcome: Callable[[ItemProgress, RunOutcome], None],
        on_preempted: Callable[[], None],
    ) -> None:
        """Call ``on_outcome`` after each run that was not cancelled."""
        self._on_preempted = on_preempted
        self._context = context
        self._on_outcome = on_outcome
        self._progress: dict[str, ItemProgress] = {}
        self._active: dict[str, _ActiveRun] = {}
        self._pace = Pace()

    def ids(self) -> set[str]:
        """Return the ids of the items that run now."""
        return set(self._active)

    def start(self, queued: QueuedItem, route: Route, lease: SlotLease) -> None:
        """Run an item in a slot, resuming it if it has run before."""
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
            upstream=lease.upstream.id,
            version=lease.upstream.version,
            coordinator=lease.host,
            spare_ms=round(queued.slack * 1000),
            roster=self._context.roster.revision,
        )
        task = asyncio.create_task(self._run(progress, lease))
        now = self._context.clock.now()
        self._active[item_id] = _ActiveRun(lease, task, now)

    def wanted_version(self, item_id: str, service: str) -> str:
        """Return the version at which an item waits to go on.

        Empty if any will do, as where there is no other version, or if no
        upstream of it may get new work.
        """
        progress = self._progress.get(item_id)
        now = self._context.clock.now()
        build = progress and progress.wanted_build(now)
        if not build or build.service != service:
            return ''
        usable = self._context.roster.usable_upstreams(service, now)
        versions = {upstream.version for upstream in usable}
        return build.version if {build.version} < versions else ''

    def cancel(self, item_id: str) -> None:
        """Cancel a run; its slot counts as free at once."""
        active = self._active.pop(item_id)
        timing = self._progress[item_id].take_timing()
        active.task.cancel()
        self._context.slots.release(active.lease, SlotOutcome.UNKNOWN, timing)

    def cancel_closed(self) -> None:
        """Cancel the runs of jobs that are cancelled, done or complete."""
        closed = [
            item_id
            for item_id, progress in self._progress.items()
            if not progress.entry.open
        ]
        for item_id in closed:
            if item_id in self._active:
                self.cancel(item_id)
            self.forget(item_id)

    def forget(self, item_id: str) -> None:
        """Drop the progress of an item that won't be run any more."""
        self._progress.pop(item_id, None)

    def preempt(self, number: int) -> None:
        """Cancel the run that holds a slot; its item waits for another.

        ``number`` is that of the slot's lease.
        """
        for item_id, active in tuple(self._active.items()):
            if active.lease.number == number:
                events.emit(
                    events.ITEM_PREEMPTED,
                    item=item_id,
                    upstream=active.lease.upstream.id,
                    coordinator=active.lease.host,
                    spare_ms=round(self._slack(item_id) * 1000),
                )
                self.cancel(item_id)
                self._on_preempted()

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
        route = self._context.router.match_job(job)
        if route is None:
            return 0
        running = self._context.clock.now() - self._active[item_id].started
        return self.estimate(
            progress.entry, route, progress.spec, running
        ).slack

    async def _run(self, progress: ItemProgress, lease: SlotLease) -> None:
        health = SlotOutcome.UNKNOWN
        try:
            outcome = await progress.run(lease, self._context)
            health = outcome.upstream_health
        except Exception as exc:  # noqa: BLE001 (logged; run again)
            item_id = progress.spec.id
            events.emit(
                events.BATCH_STEP_FAILED,
                step='run',
                subject=item_id,
                error=repr(exc),
            )
            outcome = RunOutcome(None, repr(exc), health)
        finally:
            self._release(progress, lease, health)
        if outcome.result is not None and outcome.result.completed:
            self._pace.add_sample(progress.run_time, progress.spec.tokens)
        self._on_outcome(progress, outcome)

    def _release(
        self, progress: ItemProgress, lease: SlotLease, health: SlotOutcome
    ) -> None:
        """Give a slot back, unless ``cancel`` has done so."""
        item_id = progress.spec.id
        active = self._active.get(item_id)
        if active is not None and active.lease == lease:
            self._active.pop(item_id)
            timing = progress.take_timing()
            self._context.slots.release(lease, health, timing)
