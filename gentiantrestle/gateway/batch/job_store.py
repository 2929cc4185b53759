"""Reads and writes batch jobs and their results in the store."""

import asyncio
import random
from collections.abc import Callable, Iterable
from functools import partial

from gentiantrestle import events
from gentiantrestle.gateway.batch.access import is_submitted_by
from gentiantrestle.gateway.batch.body_store import BodyStore
from gentiantrestle.gateway.batch.job_index import JobEntry, JobIndex
from gentiantrestle.gateway.batch.records import (
    CANCELLED,
    DECODE_ERRORS,
    DONE,
    JOB_KIND,
    JobTakenError,
    is_same_upload,
    job_from_stored,
    job_to_content,
    state_of,
)
from gentiantrestle.gateway.batch.result_store import ResultStore
from gentiantrestle.gateway.batch.shared_call import SharedCall
from gentiantrestle.gateway.memory.budget import MemoryBudget
from gentiantrestle.gateway.model import ItemResult, Job
from gentiantrestle.gateway.ports import ObjectStore, StoredObject
from gentiantrestle.store.client import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

MARK_INTERVAL = 3.0  # seconds between tries to mark a job as done


class JobStore:
    """Jobs and their results in the store, mirrored in a ``JobIndex``.

    The index is updated only with what the store is known to hold.
    """

    def __init__(
        self,
        store: ObjectStore,
        index: JobIndex,
        rng: random.Random,
        now: Callable[[], float],
        result_store: ObjectStore | None = None,
    ) -> None:
        """Write jobs to ``store`` and results to ``result_store``, if given.

        ``store`` should repeat writes whose responses were lost, as
        ``RetryingStore`` does. ``result_store`` need not: ``store_results``
        retries until it succeeds.
        """
        self._results = ResultStore(result_store or store, store, rng, now)
        self._bodies = BodyStore(store)
        # Revisions of the objects that were logged as unreadable.
        self._unreadable: dict[str, int] = {}
        self._store = store
        self._listing = SharedCall(partial(_list_jobs, store, self.apply))
        self._rng = rng
        self.index = index
        self.budget = MemoryBudget()

    def apply(self, stored: StoredObject) -> JobEntry | None:
        """Update the index with a job's object.

        Returns None if the job was deleted or can't be decoded.
        """
        if stored.deleted:
            self.index.entries.pop(stored.name, None)
            self._unreadable.pop(stored.name, None)
            return None
        try:
            record = job_from_stored(stored)
        except DECODE_ERRORS as exc:
            self._log_unreadable(stored, exc)
            return None
        if self.index.should_have(stored):
            events.emit(
                events.JOB_UNHEARD,
                job=stored.name,
                revision=stored.revision,
                known=self.index.revision,
            )
        return self.index.put(record)

    def apply_changes(
        self, found: Iterable[StoredObject], revision: int
    ) -> None:
        """Update the index with all jobs that changed up to ``revision``."""
        for stored in found:
            self.apply(stored)
        self.index.revision = max(self.index.revision, revision)

    async def accept(self, job: Job) -> bool:
        """Create a job; return False if it was accepted before.

        Raises ``StoreUnavailableError`` if it was not accepted, as
        ``ObjectTooLargeError`` if the store can't take it,
        ``StoreOutcomeUnknownError`` if it may have been, and ``JobTakenError``
        if another account has a job of this id.
        """
        known = self.index.entries.get(job.id)
        if known is not None:
            _check_submitter(known, job)
            return False
        job = await self._bodies.write(job)
        content = job_to_content(job)
        # The job is accepted once this last object exists; bodies alone have
        # no effect.
        new = await self._store.create(JOB_KIND, job.id, content)
        if new:
            entry = self.apply(StoredObject(job.id, 0, content))
            self._keep_bodies(entry, job)
            entry.results_loaded = True
        else:
            await self._adopt(job)
        return new

    async def load_bodies(self, entry: JobEntry) -> None:
        """Read an open job's bodies into memory unless they are there.

        Raises ``StoreUnavailableError``.
        """
        if not entry.has_bodies:
            entry.load_bodies(await self._bodies.read(entry.job))

    async def read_body(self, entry: JobEntry, item_id: str) -> bytes:
        """Return the body of an item; one that is read isn't kept in memory.

        Raises ``StoreUnavailableError``.
        """
        body = entry.body(item_id)
        if body is not None:
            return body
        specs = await self._bodies.read(entry.job)
        found = [spec.body for spec in specs if spec.id == item_id]
        if not found:
            raise StoreUnavailableError(f'no item {item_id} in the bodies')
        return found[0]

    async def relist(self) -> None:
        """Read all jobs, without bodies and results, into the index.

        Calls that wait share one listing. Raises ``StoreUnavailableError``.
        """
        await self._listing.run()

    async def find(self, job_id: str) -> JobEntry | None:
        """Return a job, reading it from the store if the index lacks it.

        Returns None if it does not exist. Raises ``StoreUnavailableError``,
        also if it can't be decoded: another instance may be able to.
        """
        known = self.index.entries.get(job_id)
        return await self.read(job_id) if known is None else known

    async def read(self, job_id: str) -> JobEntry | None:
        """Return a job as the store has it now; as ``find`` otherwise."""
        stored = await self._store.get(JOB_KIND, job_id)
        return None if stored is None else self._apply_readable(stored)

    async def cancel(self, job_id: str) -> bool:
        """Cancel a job permanently; return False if there is no such job.

        Raises ``StoreUnavailableError`` and ``StoreOutcomeUnknownError``.
        """
        return await self._set_state(job_id, CANCELLED)

    async def mark_done(self, job_id: str) -> None:
        """Mark a job whose items all have results as done.

        Repeated until the store has it: for the other instances the job is open
        until then, and its bodies stay in their memory.
        """
        while not await self._try_mark_done(job_id):
            await asyncio.sleep(MARK_INTERVAL * (0.5 + self._rng.random()))

    async def refresh(self, entry: JobEntry) -> None:
        """Read what the store has of a job's results, as ``ResultStore``."""
        await self._results.refresh(entry)

    async def store_results(
        self, entry: JobEntry, results: tuple[ItemResult, ...]
    ) -> tuple[ItemResult, ...]:
        """Append results to those in the store, as ``ResultStore``."""
        return await self._results.append(entry, results)

    def _apply_readable(self, stored: StoredObject) -> JobEntry | None:
        """Apply a job's object; return None if the job was deleted."""
        entry = self.apply(stored)
        if entry is None and not stored.deleted:
            raise StoreUnavailableError(f'job {stored.name} is unreadable')
        return entry

    def _keep_bodies(self, entry: JobEntry, job: Job) -> None:
        """Keep the bodies of a new job if there is room; they are stored."""
        size = sum(len(spec.body) for spec in job.items)
        if self.budget.has_room_for_items(size):
            entry.load_bodies(job.items)
            return
        events.emit(
            events.ITEMS_KEPT_OUT,
            job=job.id,
            held=self.budget.held,
            limit=self.budget.limit,
        )

    def _log_unreadable(self, stored: StoredObject, exc: Exception) -> None:
        if self._unreadable.get(stored.name) != stored.revision:
            self._unreadable[stored.name] = stored.revision
            events.emit(
                events.ENTRY_UNREADABLE, name=stored.name, error=repr(exc)
            )

    async def _adopt(self, job: Job) -> None:
        """Keep the bodies if this process accepted the same job before.

        That happens when the store's response to an earlier write was lost.
        Raises as ``accept`` does if it isn't sure whose job it is.
        """
        try:
            entry = await self.find(job.id)
        except StoreUnavailableError as exc:
            events.emit(events.STORE_CALL_FAILED, name=job.id, error=repr(exc))
            if job.account is not None:
                raise StoreOutcomeUnknownError(repr(exc)) from exc
            return
        if entry is None:
            raise StoreOutcomeUnknownError('the job was there and is gone')
        _check_submitter(entry, job)
        if entry.job.acceptor == job.acceptor and is_same_upload(
            entry.job, job
        ):
            self._keep_bodies(entry, job)

    async def _try_mark_done(self, job_id: str) -> bool:
        try:
            await self._set_state(job_id, DONE)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as exc:
            events.emit(events.STORE_CALL_FAILED, name=job_id, error=repr(exc))
            return False
        return True

    async def _set_state(self, job_id: str, state: str) -> bool:
        """Write a job's state; retry while the job changes concurrently.

        Returns False if there is no such job. A final state is not replaced.
        """
        stored = await self._store.get(JOB_KIND, job_id)
        while stored is not None and not self._is_final(stored):
            status = {'state': state}
            if await self._store.put_status(JOB_KIND, stored, status):
                break
            stored = await self._store.get(JOB_KIND, job_id)
        if stored is not None and state == CANCELLED:
            self.index.cancel(job_id)
        return stored is not None

    def _is_final(self, stored: StoredObject) -> bool:
        """Update the index; return whether the state is final."""
        entry = self._apply_readable(stored)
        return entry is None or entry.job.done or state_of(stored) == CANCELLED


def _check_submitter(entry: JobEntry, job: Job) -> None:
    if not is_submitted_by(entry.job, job.account):
        raise JobTakenError(job.id)


async def _list_jobs(
    store: ObjectStore, apply: Callable[[StoredObject], object]
) -> None:
    """Read all jobs, then apply each."""
    page = await store.list_page(JOB_KIND, '')
    found = list(page.entries)
    while page.more and page.entries:
        page = await store.list_page(JOB_KIND, found[-1].name)
        found.extend(page.entries)
    for stored in found:
        apply(stored)
