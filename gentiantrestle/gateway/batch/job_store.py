"""Jobs and results in the store: each write is settled before it counts."""

import asyncio
import random
from collections.abc import Callable, Iterable

import msgspec

from gentiantrestle import events
from gentiantrestle.gateway.batch.job_index import JobEntry, JobIndex
from gentiantrestle.gateway.batch.records import (
    BODY_KIND,
    DONE,
    ENDED,
    JOB_KIND,
    RESULT_KIND,
    bodies_to_content,
    chunk_name,
    job_from_stored,
    job_to_content,
    results_from_content,
    results_to_content,
    with_bodies,
)
from gentiantrestle.gateway.follower import Backoff
from gentiantrestle.gateway.model import ItemResult, Job
from gentiantrestle.gateway.ports import ObjectStore, StoredObject
from gentiantrestle.store.client import (
    StoreUnavailableError,
    StoreUnsureError,
)

# Results that were read anywhere must be seen here a second later.
LOOK_AGE = 0.5  # seconds
UNREADABLE = (LookupError, TypeError, ValueError)


class _Look:
    """The last look at a job's results, and who looks now."""

    def __init__(self) -> None:
        self.lock = asyncio.Lock()
        self.at = float('-inf')


class JobStore:
    """Reads and writes jobs; the index holds what the store has."""

    def __init__(
        self,
        store: ObjectStore,
        index: JobIndex,
        rng: random.Random,
        now: Callable[[], float],
        plain: ObjectStore | None = None,
    ) -> None:
        """Write through ``store``; note in ``index`` what was settled.

        Results are listed through ``plain``, if given: that is tried anew as
        long as it takes, so that it need not be settled at once.
        """
        self._plain = plain or store
        self._now = now
        self._looks: dict[str, _Look] = {}
        self._store = store
        self.index = index
        self._rng = rng

    def note(self, stored: StoredObject) -> JobEntry | None:
        """Take in a job's object; nothing where it can't be read."""
        if stored.deleted:
            self.index.entries.pop(stored.name, None)
            return None
        try:
            return self.index.put(job_from_stored(stored))
        except UNREADABLE as exc:
            events.emit(
                events.ENTRY_UNREADABLE, name=stored.name, error=repr(exc)
            )
            return None

    def apply_changes(
        self, found: Iterable[StoredObject], revision: int
    ) -> None:
        """Take in jobs that are new as of a revision of the store."""
        for stored in found:
            self.note(stored)
        self.index.revision = max(self.index.revision, revision)

    async def accept(self, job: Job) -> bool:
        """Create a job once; False where it was accepted before.

        Raises ``StoreUnavailableError`` if it was not accepted, and
        ``StoreUnsureError`` if it may have been.
        """
        bodies = bodies_to_content(job)
        content = job_to_content(job)
        await self._store.create(BODY_KIND, job.id, bodies)
        # The index is what accepts the job: without it the bodies are nothing.
        new = await self._store.create(JOB_KIND, job.id, content)
        if new:
            entry = self.note(StoredObject(job.id, 0, content))
            entry.load(job.items)
            entry.learned = True
            entry.sole = True
        else:
            await self._adopt(job)
        return new

    async def load(self, entry: JobEntry) -> None:
        """Read a job's bodies, if they aren't known here."""
        if entry.has_bodies:
            return
        stored = await self._store.get(BODY_KIND, entry.job.id)
        if stored is None:
            events.emit(
                events.ENTRY_UNREADABLE,
                name=entry.job.id,
                error='the job has no bodies',
            )
            return
        entry.load(with_bodies(entry.job, stored.content))

    async def relist(self) -> None:
        """Read every job's index; raise ``StoreUnavailableError``."""
        page = await self._store.list_page(JOB_KIND, '')
        found = list(page.entries)
        while page.more and page.entries:
            page = await self._store.list_page(JOB_KIND, found[-1].name)
            found.extend(page.entries)
        for stored in found:
            self.note(stored)

    async def find(self, job: str) -> JobEntry | None:
        """Return a job, from the store where it isn't known yet."""
        known = self.index.entries.get(job)
        if known is not None:
            return known
        stored = await self._store.get(JOB_KIND, job)
        return None if stored is None else self.note(stored)

    async def end(self, job: str) -> bool:
        """End a job for good; False where no such job exists.

        Raises ``StoreUnavailableError`` and ``StoreUnsureError``.
        """
        return await self._set_state(job, ENDED)

    async def finish(self, job: str) -> None:
        """Note that every item is listed; a failure costs reads only."""
        try:
            await self._set_state(job, DONE)
        except (StoreUnavailableError, StoreUnsureError) as exc:
            events.emit(events.STORE_CALL_FAILED, name=job, error=repr(exc))

    async def refresh(self, entry: JobEntry) -> None:
        """Read the parts of a job's results that are new.

        Looks that come together, or soon after one another, are one.
        """
        look = self._looks.setdefault(entry.job.id, _Look())
        async with look.lock:
            if entry.complete or self._now() - look.at < LOOK_AGE:
                return
            at = self._now()
            await self._read_chunks(entry)
            look.at = at

    async def list_results(
        self,
        entry: JobEntry,
        results: tuple[ItemResult, ...],
    ) -> None:
        """Give results the next positions, whatever it takes.

        A part that another instance wrote first is read and kept; results
        that it lists already are dropped.
        """
        backoff = Backoff(self._rng)
        while True:
            new = tuple(one for one in results if not entry.is_listed(one.id))
            if not new:
                return
            try:
                await self._write_chunk(entry, new)
            except (StoreUnavailableError, StoreUnsureError) as exc:
                events.emit(
                    events.RESULTS_UNSAVED, count=len(new), chunk=entry.job.id
                )
                events.emit(
                    events.STORE_CALL_FAILED, name=entry.job.id, error=repr(exc)
                )
                await asyncio.sleep(backoff.next_pause())

    async def _adopt(self, job: Job) -> None:
        """Take a job in that this very run accepted with a lost answer."""
        try:
            entry = await self.find(job.id)
        except StoreUnavailableError as exc:
            events.emit(events.STORE_CALL_FAILED, name=job.id, error=repr(exc))
            return
        if entry is not None and entry.job.acceptor == job.acceptor:
            entry.load(job.items)

    async def _read_chunks(self, entry: JobEntry) -> None:
        while not entry.complete:
            name = chunk_name(entry.job.id, entry.chunk_count)
            stored = await self._store.get(RESULT_KIND, name)
            # The own listing may have taken the same part in meanwhile.
            if name != chunk_name(entry.job.id, entry.chunk_count):
                continue
            if stored is None:
                break
            entry.append(results_from_content(stored.content))
        entry.learned = True

    async def _write_chunk(
        self,
        entry: JobEntry,
        results: tuple[ItemResult, ...],
    ) -> None:
        number = entry.chunk_count
        content = results_to_content(results)
        name = chunk_name(entry.job.id, number)
        if await self._plain.create(RESULT_KIND, name, content):
            if entry.chunk_count == number:
                entry.append(results)
            return
        await self._read_chunks(entry)

    async def _set_state(self, job: str, state: str) -> bool:
        """Write a state under the job's revision, until it stands."""
        stored = await self._store.get(JOB_KIND, job)
        while stored is not None and not self._has_ended(stored):
            status = {'state': state}
            if await self._store.put_status(JOB_KIND, stored, status):
                break
            stored = await self._store.get(JOB_KIND, job)
        if stored is not None and state == ENDED:
            self.index.end(job)
        return stored is not None

    def _has_ended(self, stored: StoredObject) -> bool:
        """Take a job in; tell whether its state is final."""
        entry = self.note(stored)
        return entry is None or entry.job.done or _state_of(stored) == ENDED


def _state_of(stored: StoredObject) -> str:
    return (stored.status or {}).get('state', '')


def encoded_size(job: Job) -> int:
    """Return the bytes that a job's object takes."""
    return len(msgspec.json.encode(bodies_to_content(job)))
