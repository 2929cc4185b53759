"""Runs the items of the jobs that this instance owns."""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress

from gentiantrestle import events
from gentiantrestle.gateway.batch.body_room import BodyRoom
from gentiantrestle.gateway.batch.context import BatchContext
from gentiantrestle.gateway.batch.item_progress import ItemProgress, RunOutcome
from gentiantrestle.gateway.batch.item_states import (
    ItemStateLog,
    ItemStates,
)
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.job_waits import (
    BODILESS,
    NO_ROOM,
    UNREAD,
    JobWaits,
)
from gentiantrestle.gateway.batch.result_writer import ResultWriter
from gentiantrestle.gateway.batch.run_table import RunTable
from gentiantrestle.gateway.batch.scheduling import (
    QueuedItem,
    is_abandoned,
    owns_job,
    queued_items,
)
from gentiantrestle.gateway.batch.stranded_runs import find_nobody
from gentiantrestle.gateway.batch.takeovers import Takeovers
from gentiantrestle.gateway.model import Job, Route
from gentiantrestle.gateway.routing import choose_service
from gentiantrestle.gateway.slots.batch_asks import WantedSlot
from gentiantrestle.gateway.slots.client import SlotLease

# Longest time between two scheduling rounds while items run or wait; a finished
# item starts a round at once.
BUSY_INTERVAL = 0.25  # seconds
IDLE_INTERVAL = 1.0  # seconds, while no item runs or waits
# Delay before an item that an upstream refused or lost is run again, and
# before a failed read of the store is repeated.
RETRY_DELAY = 0.3  # seconds
# Bodies are read if there is room for so much; their size isn't known before.
LARGE_JOB = 1048576  # bytes


class Runner:
    """Starts items on free slots and has their results written."""

    def __init__(self, context: BatchContext, run_name: str) -> None:
        """Run jobs as ``run_name``, the name of this instance's run.

        ``live_runs`` must be set to return the names of the runs of other live
        instances that run jobs, and ``find_stranded`` those that leave a job
        to others.
        """
        self._context = context
        self._run_name = run_name
        self._started = context.clock.now()
        self.live_runs: Callable[[], Iterable[str]] = tuple
        self.find_stranded: Callable[[Job], frozenset[str]] = find_nobody
        self.run_table = RunTable(context, self._note_outcome, self.wake)
        context.asks.start = self._start_granted
        self._writer = ResultWriter(context.job_store)
        self._retry_times: dict[str, float] = {}
        self._catching_up: set[str] = set()
        self._room = BodyRoom(context, self.owns)
        self._takeovers = Takeovers(run_name)
        self._waits = JobWaits()
        self._woken = asyncio.Event()
        self._waiting: dict[str, QueuedItem] = {}
        self._state_log = ItemStateLog()
        self.stopping = False

    async def run(self) -> None:
        """Schedule items until cancelled or stopped."""
        while not self.stopping:
            self._schedule()
            self._woken.clear()
            busy = self._waiting or self.run_table.ids()
            with suppress(TimeoutError):
                async with asyncio.timeout(
                    BUSY_INTERVAL if busy else IDLE_INTERVAL
                ):
                    await self._woken.wait()

    @property
    def item_states(self) -> ItemStates:
        """Return what the items of the jobs that run here wait for."""
        return self._state_log.states

    def wake(self) -> None:
        """Start a scheduling round now."""
        self._woken.set()

    def owns(self, entry: JobEntry) -> bool:
        """Return whether this instance runs a job."""
        stranded = self.find_stranded(entry.job)
        if self._run_name in stranded:
            return False
        uptime = self._context.clock.now() - self._started
        others = set(self.live_runs()) - stranded
        return owns_job(entry, self._run_name, others, uptime)

    async def stop(self) -> None:
        """Cancel all runs and write the results of finished items."""
        self.stopping = True
        self._context.asks.want(())
        for item_id in self.run_table.ids():
            self.run_table.cancel(item_id)
        await self._writer.stop()

    def _schedule(self) -> None:
        now = self._context.clock.now()
        self.run_table.cancel_closed()
        owned = list(self._owned_entries())
        self._fail_abandoned(owned)
        running = self.run_table.ids()
        unwritten = self._writer.unwritten_ids()
        delayed = self._retrying_later(now)
        ready = queued_items(
            owned, running | unwritten | delayed, self.run_table.estimate
        )
        waiting = [
            queued for queued in ready if not self._is_quarantined(queued)
        ]
        self._waiting = {queued.spec.id: queued for queued in waiting}
        wanted = tuple(self._wanted_slots(waiting))
        # Where no upstream can be reached from here, a slot would be wasted.
        self._context.asks.want(
            slot
            for slot in wanted
            if not self._context.reach.is_cut_off(slot.service)
        )
        self._note_states(
            wanted,
            ItemStates(
                running=len(running),
                delayed=len(delayed - running - unwritten),
                quarantined=len(ready) - len(waiting),
                unwritten=len(unwritten),
                unread=self._waits.count(UNREAD),
                bodiless=self._waits.count(BODILESS),
                no_room=self._waits.count(NO_ROOM),
            ),
        )

    def _note_states(
        self, wanted: tuple[WantedSlot, ...], others: ItemStates
    ) -> None:
        roster = self._context.roster
        now = self._context.clock.now()
        services = {slot.service for slot in wanted}
        served = {
            service
            for service in services
            if roster.usable_upstreams(service, now)
        }
        unserved = self._state_log.update(wanted, served, others)
        for service, waiting in unserved.items():
            events.emit(events.ITEMS_UNSERVED, service=service, items=waiting)

    def _is_quarantined(self, queued: QueuedItem) -> bool:
        """Return whether an item has to wait, as its prompt crashes upstreams.

        It waits until this instance may try it again.
        """
        wall = self._context.clock.wall()
        guard = self._context.guard
        if not guard.evidence.culprits(wall):
            return False
        parts = self._context.dialect.item_prompt_parts(queued.spec)
        return guard.find_refused(parts, wall, owed=True) is not None

    def _wanted_slots(
        self, waiting: Iterable[QueuedItem]
    ) -> Iterator[WantedSlot]:
        for queued in waiting:
            route = self._route(queued)
            if route is not None:
                item_id = queued.spec.id
                service = choose_service(route, item_id)
                yield WantedSlot(
                    item_id,
                    service,
                    queued.slack,
                    queued.tokens_left,
                    self.run_table.wanted_version(item_id, service),
                    queued.entry.job.account or '',
                    len(queued.spec.body),
                )

    def _start_granted(self, item_id: str, lease: SlotLease) -> bool:
        """Start an item in the slot that it was granted, if it still waits."""
        queued = self._waiting.pop(item_id, None)
        if queued is None or self.stopping or not queued.entry.open:
            return False
        route = self._route(queued)
        service = route and choose_service(route, item_id)
        now = self._context.clock.now()
        usable = self._context.roster.usable_upstreams(service or '', now)
        if lease.upstream not in usable:
            if lease.upstream in self._context.roster.leaving:
                self._context.slots.report_leaving(lease)
            self.wake()
            return False
        self.run_table.start(queued, route, lease)
        return True

    def _route(self, queued: QueuedItem) -> Route | None:
        return self._context.router.match_job(queued.entry.job)

    def _owned_entries(self) -> Iterator[tuple[JobEntry, Route | None]]:
        """Yield the jobs to run here whose bodies and results are loaded."""
        found = self._context.index.open_entries()
        waiting = []
        for entry in self._takeovers.select_owned(found, self.owns):
            if not entry.results_loaded or not entry.has_bodies:
                waiting.append((entry, self._catch_up(entry)))
                continue
            yield entry, self._context.router.match_job(entry.job)
        self._waits.update(waiting)

    def _catch_up(self, entry: JobEntry) -> str:
        """Read a job's stored results and bodies; return what it waits for.

        It waits while there is no room for the bodies.
        """
        size = LARGE_JOB * (len(self._catching_up) + 1)
        if not entry.has_bodies and not self._room.find(entry, size):
            return NO_ROOM
        if entry.job.id not in self._catching_up:
            self._catching_up.add(entry.job.id)
            asyncio.create_task(self._load(entry))
        return BODILESS if entry.results_loaded else UNREAD

    async def _load(self, entry: JobEntry) -> None:
        try:
            await self._context.job_store.refresh(entry)
            if entry.open:
                await self._context.job_store.load_bodies(entry)
            if not entry.results_loaded:
                await asyncio.sleep(RETRY_DELAY)
        except Exception as exc:  # noqa: BLE001 (logged; read again)
            events.emit(
                events.STORE_CALL_FAILED, name=entry.job.id, error=repr(exc)
            )
            await asyncio.sleep(RETRY_DELAY)
        finally:
            self._catching_up.discard(entry.job.id)
        self.wake()
        if entry.complete:
            events.emit(events.JOB_FINISHED, job=entry.job.id, state='done')
            await self._context.job_store.mark_done(entry.job.id)

    def _retrying_later(self, now: float) -> set[str]:
        """Return the items whose retry delay is not over."""
        self._retry_times = {
            item_id: retry_time
            for item_id, retry_time in self._retry_times.items()
            if retry_time > now
        }
        return set(self._retry_times)

    def _note_outcome(
        self, progress: ItemProgress, outcome: RunOutcome
    ) -> None:
        item_id = progress.spec.id
        if outcome.result is None:
            self._retry_times[item_id] = self._context.clock.now() + RETRY_DELAY
            return
        self.run_table.forget(item_id)
        self._writer.add(progress.entry, outcome.result)
        self.wake()

    def _fail_abandoned(
        self, owned: list[tuple[JobEntry, Route | None]]
    ) -> None:
        """Fail items whose route was removed or whose retention is over."""
        wall = self._context.clock.wall()
        table = self._context.router.table
        for entry, route in owned:
            if route is None and table.unreadable:
                continue
            if is_abandoned(entry, route, table.version, wall):
                self._fail_items(entry)

    def _fail_items(self, entry: JobEntry) -> None:
        unwritten = self._writer.unwritten_ids()
        for spec in tuple(entry.unfinished_items()):
            if spec.id in self.run_table.ids():
                self.run_table.cancel(spec.id)
            if spec.id not in unwritten:
                progress = ItemProgress(entry, spec, 0)
                self._writer.add(
                    entry,
                    progress.fail('the route is removed or retention is over'),
                )
