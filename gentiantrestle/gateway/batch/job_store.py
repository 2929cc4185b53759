"""Reads and writes batch jobs and their results in the store."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from gentiantrestle import events
from gentiantrestle.gateway.batch.job_index import JobEntry, JobIndex
from gentiantrestle.gateway.batch.records import (
    BODY_KIND,
    CANCELLED,
    DECODE_ERRORS,
    DONE,
    JOB_KIND,
    RESULT_KIND,
    bodies_to_content,
    chunk_name,
    job_from_stored,
    job_to_content,
    results_from_content,
    results_to_content,
    state_of,
    with_bodies,
)
from gentiantrestle.gateway.follower import Backoff
from gentiantrestle.gateway.model import ItemResult, Job
from gentiantrestle.gateway.ports import ObjectStore, StoredObject
from gentiantrestle.store.client import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

# Results that a client has read at any instance must be readable at all
# others within a second.
REFRESH_INTERVAL = 0.5  # seconds
Decoded = TypeVar('Decoded')


class _Refresh:
    """When a job's results were last read, and the lock to read them."""

    def __init__(self) -> None:
        self.lock = asyncio.Lock()
        self.started = float('-inf')


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
        self._result_store = result_store or store
        self._now = now
        self._refreshes: dict[str, _Refresh] = {}
        # Revisions of the objects that were logged as unreadable.
        self._unreadable: dict[str, int] = {}
        self._store = store
        self.index = index
        self._rng = rng

    def apply(self, stored: StoredObject) -> JobEntry | None:
        """Update the index with a job's object.

        Returns None if the job was deleted or can't be decoded.
        """
        if stored.deleted:
            self.index.entries.pop(stored.name, None)
            self._unreadable.pop(stored.name, None)
            return None
        try:
            return self.index.put(job_from_stored(stored))
        except DECODE_ERRORS as exc:
            self._log_unreadable(stored, exc)
            return None

    def apply_changes(
        self, found: Iterable[StoredObject], revision: int
    ) -> None:
        """Update the index with all jobs that changed up to ``revision``."""
        for stored in found:
            self.apply(stored)
        self.index.revision = max(self.index.revision, revision)

    async def accept(self, job: Job) -> bool:
        """Create a job; return False if it was accepted before.

        Raises ``StoreUnavailableError`` if it was not accepted, and
        ``StoreOutcomeUnknownError`` if it may have been.
        """
        bodies = bodies_to_content(job)
        content = job_to_content(job)
        await self._store.create(BODY_KIND, job.id, bodies)
        # The job is accepted once this second object exists; bodies alone
        # have no effect.
        new = await self._store.create(JOB_KIND, job.id, content)
        if new:
            entry = self.apply(StoredObject(job.id, 0, content))
            entry.load_bodies(job.items)
            entry.results_loaded = True
        else:
            await self._adopt(job)
        return new

    async def load_bodies(self, entry: JobEntry) -> None:
        """Read a job's bodies from the store unless they are in memory.

        Raises ``StoreUnavailableError``.
        """
        if entry.has_bodies:
            return
        stored = await self._store.get(BODY_KIND, entry.job.id)
        if stored is None:
            events.emit(
                events.ENTRY_UNREADABLE,
                name=entry.job.id,
                error='the bodies of the job are missing in the store',
            )
            return
        entry.load_bodies(
            _decode(stored, lambda content: with_bodies(entry.job, content))
        )

    async def relist(self) -> None:
        """Read all jobs, without bodies and results, into the index.

        Raises ``StoreUnavailableError``.
        """
        page = await self._store.list_page(JOB_KIND, '')
        found = list(page.entries)
        while page.more and page.entries:
            page = await self._store.list_page(JOB_KIND, found[-1].name)
            found.extend(page.entries)
        for stored in found:
            self.apply(stored)

    async def find(self, job_id: str) -> JobEntry | None:
        """Return a job, reading it from the store if the index lacks it.

        Returns None if it does not exist or can't be decoded. Raises
        ``StoreUnavailableError``.
        """
        known = self.index.entries.get(job_id)
        if known is not None:
            return known
        stored = await self._store.get(JOB_KIND, job_id)
        return None if stored is None else self.apply(stored)

    async def cancel(self, job_id: str) -> bool:
        """Cancel a job permanently; return False if there is no such job.

        Raises ``StoreUnavailableError`` and ``StoreOutcomeUnknownError``.
        """
        return await self._set_state(job_id, CANCELLED)

    async def mark_done(self, job_id: str) -> None:
        """Mark a job whose items all have results as done.

        Store failures are only logged: if the state is not stored, instances
        have to read the job's results again.
        """
        try:
            await self._set_state(job_id, DONE)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as exc:
            events.emit(events.STORE_CALL_FAILED, name=job_id, error=repr(exc))

    async def refresh(self, entry: JobEntry) -> None:
        """Read the chunks of a job's results that aren't known here.

        Calls that overlap, or follow within ``REFRESH_INTERVAL``, share one
        read. Raises ``StoreUnavailableError``.
        """
        last = self._refreshes.setdefault(entry.job.id, _Refresh())
        async with last.lock:
            if entry.complete or self._now() - last.started < REFRESH_INTERVAL:
                return
            started = self._now()
            await self._read_chunks(entry)
            last.started = started

    async def store_results(
        self,
        entry: JobEntry,
        results: tuple[ItemResult, ...],
    ) -> None:
        """Append results to those in the store, retrying until it succeeds.

        If another instance has written the next chunk first, that chunk is
        kept and results of the same items are dropped.
        """
        backoff = Backoff(self._rng)
        while True:
            new = tuple(
                result for result in results if not entry.has_result(result.id)
            )
            if not new:
                return
            try:
                await self._write_chunk(entry, new)
            except (StoreUnavailableError, StoreOutcomeUnknownError) as exc:
                events.emit(
                    events.RESULTS_UNSAVED, count=len(new), chunk=entry.job.id
                )
                events.emit(
                    events.STORE_CALL_FAILED, name=entry.job.id, error=repr(exc)
                )
                await asyncio.sleep(backoff.next_pause())

    def _log_unreadable(self, stored: StoredObject, exc: Exception) -> None:
        if self._unreadable.get(stored.name) != stored.revision:
            self._unreadable[stored.name] = stored.revision
            events.emit(
                events.ENTRY_UNREADABLE, name=stored.name, error=repr(exc)
            )

    async def _adopt(self, job: Job) -> None:
        """Keep the bodies if this process accepted the job before.

        That happens when the store's response to an earlier write was lost.
        """
        try:
            entry = await self.find(job.id)
        except StoreUnavailableError as exc:
            events.emit(events.STORE_CALL_FAILED, name=job.id, error=repr(exc))
            return
        if entry is not None and entry.job.acceptor == job.acceptor:
            entry.load_bodies(job.items)

    async def _read_chunks(self, entry: JobEntry) -> None:
        while not entry.complete:
            name = chunk_name(entry.job.id, entry.chunk_count)
            stored = await self._store.get(RESULT_KIND, name)
            # A write by this instance may have added the chunk meanwhile.
            if name != chunk_name(entry.job.id, entry.chunk_count):
                continue
            if stored is None:
                break
            entry.add_chunk(_decode(stored, results_from_content))
        entry.results_loaded = True

    async def _write_chunk(
        self,
        entry: JobEntry,
        results: tuple[ItemResult, ...],
    ) -> None:
        number = entry.chunk_count
        content = results_to_content(results)
        name = chunk_name(entry.job.id, number)
        if await self._result_store.create(RESULT_KIND, name, content):
            if entry.chunk_count == number:
                entry.add_chunk(results)
            return
        await self._read_chunks(entry)

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
        """Update the index; return whether the state is final or unreadable."""
        entry = self.apply(stored)
        return entry is None or entry.job.done or state_of(stored) == CANCELLED


def _decode(stored: StoredObject, decode: Callable[[Any], Decoded]) -> Decoded:
    """Decode a part of a job; raise ``StoreUnavailableError`` if unreadable."""
    try:
        return decode(stored.require_content())
    except DECODE_ERRORS as exc:
        events.emit(events.ENTRY_UNREADABLE, name=stored.name, error=repr(exc))
        raise StoreUnavailableError(f'{stored.name} is unreadable') from exc
