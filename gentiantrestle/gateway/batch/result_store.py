"""Reads and writes the results of batch jobs in the store, in chunks."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, TypeVar

from gentiantrestle import events
from gentiantrestle.gateway.batch.chunk_reads import ChunkReads, StoreReads
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.records import (
    DECODE_ERRORS,
    RESULT_KIND,
    chunk_name,
    results_from_content,
    results_to_content,
)
from gentiantrestle.gateway.batch.result_chunks import (
    first_chunk,
    result_size,
    without_output,
)
from gentiantrestle.gateway.follower import Backoff
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.ports import ObjectStore, StoredObject
from gentiantrestle.store.client import (
    ObjectTooLargeError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
)

Decoded = TypeVar('Decoded')


class _Unwritten:
    """Results of a job that have to be written, and how many fit together."""

    def __init__(
        self,
        entry: JobEntry,
        results: tuple[ItemResult, ...],
        max_size: int,
    ) -> None:
        self._entry = entry
        self._results = results
        self._max_size = max_size
        self._limit = max_size
        # Those that the store has refused one by one.
        self.refused: list[ItemResult] = []
        self._refused_ids: set[str] = set()

    @property
    def results(self) -> tuple[ItemResult, ...]:
        """Those that the store doesn't hold, and hasn't refused."""
        return tuple(
            result
            for result in self._results
            if not self._entry.has_result(result.id)
            and result.id not in self._refused_ids
        )

    def next_chunk(self) -> tuple[ItemResult, ...]:
        return first_chunk(self.results, self._max_size)

    def adapt(self, exc: Exception) -> bool:
        """Return whether the next chunk may be written at once."""
        if not isinstance(exc, StoreRejectedError):
            return False
        chunk = self.next_chunk()
        if not chunk:
            return True
        if len(chunk) > 1:
            self._max_size = sum(map(result_size, chunk)) // 2
            return True
        if isinstance(exc, ObjectTooLargeError) and chunk[0].completed:
            self._fail(chunk[0])
            return True
        self.refused.extend(chunk)
        self._refused_ids.add(chunk[0].id)
        return False

    def note_written(self) -> None:
        """Let the next chunk be larger again than one that was refused."""
        self._max_size = min(self._limit, self._max_size * 2)

    def log(self, exc: Exception) -> None:
        job_id = self._entry.job.id
        events.emit(
            events.RESULTS_UNSAVED, count=len(self.results), chunk=job_id
        )
        events.emit(events.STORE_CALL_FAILED, name=job_id, error=repr(exc))

    def _fail(self, large: ItemResult) -> None:
        events.emit(
            events.RESULT_TOO_LARGE, item=large.id, size=result_size(large)
        )
        self._results = tuple(
            without_output(result) if result == large else result
            for result in self._results
        )


class ResultStore:
    """The results of jobs in the store, mirrored in the jobs' entries.

    An entry is updated only with what the store is known to hold.
    """

    def __init__(
        self,
        write_store: ObjectStore,
        read_store: ObjectStore,
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        """Write to ``write_store``, which need not repeat a lost write."""
        self._write_store = write_store
        self._read_store = read_store
        self._rng = rng
        self._reads = StoreReads(self._read_chunk, now)
        self._jobs: dict[str, ChunkReads] = {}

    async def refresh(self, entry: JobEntry) -> None:
        """Read the chunks of a job's results that aren't known here.

        Calls that overlap, or follow within ``REFRESH_INTERVAL``, share one
        read, which goes on if they are cancelled. Raises
        ``StoreUnavailableError``.
        """
        await self._reads_of(entry).refresh()

    async def append(
        self,
        entry: JobEntry,
        results: tuple[ItemResult, ...],
    ) -> tuple[ItemResult, ...]:
        """Append results to those in the store, retrying until it succeeds.

        They are written in as few chunks as the store takes. One that is too
        large by itself is stored as failed. Returns those that the store
        refuses for another reason. If another instance has written the next
        chunk first, that chunk is kept and results of the same items are
        dropped.
        """
        backoff = Backoff(self._rng)
        unwritten = _Unwritten(
            entry, results, self._write_store.max_content_size
        )
        while unwritten.results:
            try:
                await self._write_chunk(entry, unwritten.next_chunk())
                unwritten.note_written()
                backoff.reset()
            except (StoreUnavailableError, StoreOutcomeUnknownError) as exc:
                unwritten.log(exc)
                if not unwritten.adapt(exc):
                    await asyncio.sleep(backoff.next_pause())
        return tuple(unwritten.refused)

    def _reads_of(self, entry: JobEntry) -> ChunkReads:
        job_id = entry.job.id
        known = self._jobs.get(job_id)
        if known is None or known.entry is not entry:
            known = ChunkReads(self._reads, entry)
            self._jobs[job_id] = known
        return known

    async def _read_chunk(self, name: str) -> tuple[ItemResult, ...] | None:
        stored = await self._read_store.get(RESULT_KIND, name)
        if stored is None:
            return None
        return decode_part(stored, results_from_content)

    async def _write_chunk(
        self,
        entry: JobEntry,
        results: tuple[ItemResult, ...],
    ) -> None:
        number = entry.chunk_count
        content = results_to_content(results)
        name = chunk_name(entry.job.id, number)
        if await self._write_store.create(RESULT_KIND, name, content):
            if entry.chunk_count == number:
                entry.add_chunk(results)
            return
        await self._reads_of(entry).read()


def decode_part(
    stored: StoredObject, decode: Callable[[Any], Decoded]
) -> Decoded:
    """Decode a part of a job; raise ``StoreUnavailableError`` if unreadable."""
    try:
        return decode(stored.require_content())
    except DECODE_ERRORS as exc:
        events.emit(events.ENTRY_UNREADABLE, name=stored.name, error=repr(exc))
        raise StoreUnavailableError(f'{stored.name} is unreadable') from exc
