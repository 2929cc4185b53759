"""Reads the chunks of jobs' results, side by side while the store is slow."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeAlias

from gentiantrestle import events
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.records import chunk_name
from gentiantrestle.gateway.model import ItemResult

# Results that a client has read at any instance must be readable at all
# others within a second.
REFRESH_INTERVAL = 0.5  # seconds
SLOW_READ = 0.05  # seconds
# Calls of the store are priced: fewer where most chunks are known.
GROWTH = 4
GROWTH_OF_UNREAD = 8
MAX_WIDTH = 16  # chunks of a job that are read side by side
MAX_SIDE_READS = 16  # of all jobs, beside the first one of each
Chunk: TypeAlias = tuple[ItemResult, ...]
# Returns a chunk by its name, or None if the store has none.
ReadChunk: TypeAlias = Callable[[str], Awaitable[Chunk | None]]


class StoreReads:
    """Reads of results by this instance, and how fast the store answers."""

    def __init__(self, read_chunk: ReadChunk, now: Callable[[], float]) -> None:
        """Start as if the store were fast; ``now`` is in s."""
        self.now = now
        self.is_slow = False
        self._read_chunk = read_chunk
        self._side_reads = asyncio.Semaphore(MAX_SIDE_READS)

    async def read(self, name: str) -> Chunk | None:
        """Return a chunk, or None if the store has none of this name.

        Raises ``StoreUnavailableError``.
        """
        began = self.now()
        chunk = await self._read_chunk(name)
        self.is_slow = self.now() - began >= SLOW_READ
        return chunk

    async def read_aside(self, name: str) -> Chunk | None:
        """Return a chunk as ``read``, once few others are being read."""
        async with self._side_reads:
            return await self.read(name)


class ChunkReads:
    """Reads of one job's chunks, which calls that overlap share.

    They go on when their callers leave, so that the next try finds what was
    read.
    """

    def __init__(self, reads: StoreReads, entry: JobEntry) -> None:
        """Start with nothing read."""
        self._reads = reads
        self.entry = entry
        # Chunks by number that follow one that isn't known yet.
        self._ahead: dict[int, Chunk] = {}
        self._task: asyncio.Task[None] | None = None
        self._started = float('-inf')
        self._waiting = 0

    async def refresh(self) -> None:
        """Read what the store has, unless it was read lately.

        Raises ``StoreUnavailableError``.
        """
        asked = self._reads.now()
        while not (self.entry.complete or self._is_fresh(asked)):
            if self._task is None:
                self._task = asyncio.create_task(self._run(self._reads.now()))
                self._task.add_done_callback(self._end)
            self._waiting += 1
            try:
                await asyncio.shield(self._task)
            finally:
                self._waiting -= 1

    async def read(self) -> None:
        """Read all chunks that the store has; as ``refresh`` otherwise."""
        is_slow = self._reads.is_slow or self.entry.found_slowly
        is_unread = not self.entry.results_loaded
        width = GROWTH_OF_UNREAD if is_slow and is_unread else 1
        while not self.entry.complete:
            if not await self._read_next(min(width, self.entry.missing)):
                break
            width = self._next_width(width)
        self.entry.results_loaded = True

    def _is_fresh(self, asked: float) -> bool:
        return asked - self._started < REFRESH_INTERVAL

    async def _run(self, started: float) -> None:
        await self.read()
        self._started = started

    def _end(self, task: asyncio.Task[None]) -> None:
        self._task = None
        if task.cancelled() or task.exception() is None or self._waiting:
            return
        events.emit(
            events.STORE_CALL_FAILED,
            name=self.entry.job.id,
            error=repr(task.exception()),
        )

    @property
    def _growth(self) -> int:
        return GROWTH if self.entry.results_loaded else GROWTH_OF_UNREAD

    def _next_width(self, width: int) -> int:
        if not self._reads.is_slow:
            return 1
        return min(width * self._growth, MAX_WIDTH)

    async def _read_next(self, width: int) -> bool:
        """Read the next chunks; return False if there are no more.

        Raises ``StoreUnavailableError`` if the first unknown one failed.
        """
        self._give()
        if self.entry.complete:
            return False
        first = self.entry.chunk_count
        numbers = [
            number
            for number in range(first, first + width)
            if number not in self._ahead
        ]
        found = await asyncio.gather(
            *(self._read_one(number, first) for number in numbers),
            return_exceptions=True,
        )
        return _is_there(
            dict(zip(numbers, found, strict=True)), self.entry.chunk_count
        )

    async def _read_one(self, number: int, first: int) -> bool:
        read = self._reads.read if number == first else self._reads.read_aside
        chunk = await read(chunk_name(self.entry.job.id, number))
        if chunk is None:
            return False
        self._ahead[number] = chunk
        self._give()
        return True

    def _give(self) -> None:
        """Add the chunks that follow the known ones.

        A write by this instance, or another instance's answer, may have added
        some meanwhile.
        """
        while self.entry.chunk_count in self._ahead:
            self.entry.add_chunk(self._ahead.pop(self.entry.chunk_count))
        for number in sorted(self._ahead):
            if number < self.entry.chunk_count:
                self._ahead.pop(number)


def _is_there(found: Mapping[int, bool | BaseException], number: int) -> bool:
    """Tell whether chunks may follow; raise if the next one failed."""
    outcome = found.get(number, True)
    if isinstance(outcome, BaseException):
        raise outcome
    return outcome
