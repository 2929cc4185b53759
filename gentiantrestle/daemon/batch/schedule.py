"""Choose the next chunk to claim, from cached records; no I/O."""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from gentiantrestle.daemon.batch.records import (
    DONE,
    HELD,
    RUNNING,
    ChunkRecord,
    JobRecord,
)
from gentiantrestle.daemon.membership.rendezvous import owner


class ChunkKey(NamedTuple):
    """A chunk's job and its index in the job."""

    job_id: str
    index: int


class CachedChunk(NamedTuple):
    """A chunk record; ``cached_at`` is in seconds of the local clock."""

    version: int
    record: ChunkRecord
    cached_at: float


class ChunkCache:
    """The latest known records of the chunks of running jobs."""

    def __init__(self) -> None:
        """Start empty."""
        self._chunks: dict[ChunkKey, CachedChunk] = {}

    def update(
        self,
        key: ChunkKey,
        version: int,
        record: ChunkRecord,
        now: float,
    ) -> None:
        """Cache a record that was read or written, unless it is stale."""
        known = self._chunks.get(key)
        if known is None or known.version < version:
            self._chunks[key] = CachedChunk(version, record, now)

    def find(self, key: ChunkKey) -> CachedChunk | None:
        """Return the cached record of a chunk, or ``None``."""
        return self._chunks.get(key)

    def forget_jobs(self, job_ids: Iterable[str]) -> None:
        """Drop all chunks of the given jobs."""
        ended = set(job_ids)
        for key in tuple(self._chunks):
            if key.job_id in ended:
                self._chunks.pop(key)

    def is_done(self, key: ChunkKey) -> bool:
        """Tell whether the cached record of a chunk is done."""
        cached = self._chunks.get(key)
        return cached is not None and cached.record['state'] == DONE


class ObservedLease(NamedTuple):
    """A version of a lease, and when it was first read.

    ``first_read_at`` is in seconds of the local clock.
    """

    version: int
    first_read_at: float


class LeaseTracker:
    """Detects expired leases of instances.

    Only the local clock is used: a lease has expired if its version stayed
    the same for ``duration`` seconds.
    """

    def __init__(self, duration: float) -> None:
        """Start with no lease read; ``duration`` is in seconds."""
        self._duration = duration
        self._leases: dict[str, ObservedLease] = {}

    def observe(self, instance: str, version: int, now: float) -> None:
        """Record the version at which an instance's lease was read."""
        known = self._leases.get(instance)
        if known is None or known.version != version:
            self._leases[instance] = ObservedLease(version, now)

    def has_expired(self, instance: str, now: float) -> bool:
        """Tell whether an instance's lease has expired; False if never read."""
        known = self._leases.get(instance)
        return known is not None and now - known.first_read_at >= self._duration


def order_jobs(jobs: Iterable[JobRecord]) -> list[JobRecord]:
    """Return the running jobs, the earliest deadline first."""
    running = [job for job in jobs if job['state'] == RUNNING]
    return sorted(running, key=lambda job: (job['deadline'], job['id']))


def open_chunks(job: JobRecord, cache: ChunkCache) -> Iterator[ChunkKey]:
    """Yield the chunks of a job that are not known to be done or held."""
    for index in range(job['chunks']):
        key = ChunkKey(job['id'], index)
        cached = cache.find(key)
        if cached is None or cached.record['state'] not in {DONE, HELD}:
            yield key


def next_assigned_chunk(
    jobs: Iterable[JobRecord],
    cache: ChunkCache,
    instance: str,
    workers: Callable[[JobRecord], list[str]],
) -> ChunkKey | None:
    """Return the first open chunk that is assigned to this instance.

    Jobs with an earlier deadline go first. ``workers`` returns the instances
    among which rendezvous hashing assigns the chunks of a job.
    """
    for job in order_jobs(jobs):
        owners = workers(job)
        for key in open_chunks(job, cache):
            if owner(f'{key.job_id}/{key.index}', owners) == instance:
                return key
    return None


def random_open_chunk(
    jobs: Iterable[JobRecord],
    cache: ChunkCache,
    draw: float,
) -> ChunkKey | None:
    """Return a random open chunk of the earliest job that has one.

    ``draw`` is a random number from 0 to below 1.
    """
    for job in order_jobs(jobs):
        left = list(open_chunks(job, cache))
        if left:
            return left[int(draw * len(left))]
    return None
