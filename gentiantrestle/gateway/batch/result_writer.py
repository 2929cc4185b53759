"""Writes results to the store, several in one chunk."""

import asyncio

from gentiantrestle import events
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.model import ItemResult

# Results that come within this time are written in one chunk.
WRITE_DELAY = 0.4  # seconds
STOP_TIMEOUT = 2.0  # seconds a planned stop leaves for the last writes
# Results that the store has refused alone are written again after this.
REFUSED_PAUSE = 5.0  # seconds


class ResultWriter:
    """Results that are not in the store yet, by job."""

    def __init__(self, job_store: JobStore) -> None:
        """Write to ``job_store``."""
        self._job_store = job_store
        self._unwritten: dict[str, list[ItemResult]] = {}
        # When to write a refused result again, by item.
        self._refused_until: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._stopping = False

    def add(self, entry: JobEntry, result: ItemResult) -> None:
        """Schedule a result to be written, with others that come soon.

        An item whose result waits already keeps that one.
        """
        job_id = entry.job.id
        waiting = self._unwritten.setdefault(job_id, [])
        if result.id not in {known.id for known in waiting}:
            waiting.append(result)
        if job_id not in self._tasks:
            self._tasks[job_id] = asyncio.create_task(self._write_job(entry))

    def unwritten_ids(self) -> set[str]:
        """Return the ids of items whose results are not written yet."""
        return {
            result.id
            for results in self._unwritten.values()
            for result in results
        }

    async def stop(self) -> None:
        """Write the remaining results, for up to ``STOP_TIMEOUT``."""
        self._stopping = True
        if self._tasks:
            await asyncio.wait(
                tuple(self._tasks.values()), timeout=STOP_TIMEOUT
            )

    async def _write_job(self, entry: JobEntry) -> None:
        job_id = entry.job.id
        try:
            await self._flush(entry)
        finally:
            self._tasks.pop(job_id, None)
        self._unwritten.pop(job_id, None)
        if entry.complete:
            events.emit(events.JOB_FINISHED, job=job_id, state='done')
            entry.drop_bodies()
            await self._job_store.mark_done(job_id)

    async def _flush(self, entry: JobEntry) -> None:
        job_id = entry.job.id
        while self._unwritten[job_id]:
            if not self._stopping:
                await asyncio.sleep(WRITE_DELAY)
            due = self._due_results(self._unwritten[job_id])
            if due:
                written = await self._store(entry, due)
                self._unwritten[job_id] = [
                    result
                    for result in self._unwritten[job_id]
                    if result.id not in written
                ]
            elif self._stopping:
                return

    def _due_results(
        self, unwritten: list[ItemResult]
    ) -> tuple[ItemResult, ...]:
        now = asyncio.get_running_loop().time()
        return tuple(
            result
            for result in unwritten
            if self._refused_until.get(result.id, now) <= now
        )

    async def _store(
        self, entry: JobEntry, results: tuple[ItemResult, ...]
    ) -> set[str]:
        """Store results; return the items that needn't be written any more."""
        try:
            refused = await self._job_store.store_results(entry, results)
        except Exception as exc:  # noqa: BLE001 (logged; written again)
            events.emit(
                events.BATCH_STEP_FAILED,
                step='writing',
                subject=entry.job.id,
                error=repr(exc),
            )
            await asyncio.sleep(WRITE_DELAY)
            return set()
        written = {result.id for result in results}
        written.difference_update(held_up.id for held_up in refused)
        for item_id in written:
            self._refused_until.pop(item_id, None)
        again_at = asyncio.get_running_loop().time() + REFUSED_PAUSE
        for held_up in refused:
            self._refused_until[held_up.id] = again_at
        return written
