"""Which chunk an instance works on next; decisions only, no I/O."""

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
    """A chunk of a job."""

    job: str
    index: int


class Seen(NamedTuple):
    """A chunk's record, and when this version was first seen, in s."""

    version: int
    record: ChunkRecord
    since: float


class ChunkBook:
    """What one instance knows of the chunks of running jobs."""

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._seen: dict[ChunkKey, Seen] = {}

    def note(
        self,
        key: ChunkKey,
        version: int,
        record: ChunkRecord,
        now: float,
    ) -> None:
        """Note a record that was read or written."""
        known = self._seen.get(key)
        if known is None or known.version < version:
            self._seen[key] = Seen(version, record, now)

    def find(self, key: ChunkKey) -> Seen | None:
        """Return what is known of a chunk."""
        return self._seen.get(key)

    def forget(self, jobs: Iterable[str]) -> None:
        """Drop the chunks of jobs that have ended."""
        ended = set(jobs)
        for key in tuple(self._seen):
            if key.job in ended:
                self._seen.pop(key)

    def is_done(self, key: ChunkKey) -> bool:
        """Tell whether a chunk is known to be done."""
        seen = self._seen.get(key)
        return seen is not None and seen.record['state'] == DONE


class Lease(NamedTuple):
    """A holder's lease as read, and since when it is unchanged, in s."""

    version: int
    since: float


class LeaseBook:
    """Judges holders by their leases, on the local clock only."""

    def __init__(self, term: float) -> None:
        """A lease unchanged for ``term`` s has lapsed."""
        self._term = term
        self._leases: dict[str, Lease] = {}

    def note(self, instance: str, version: int, now: float) -> None:
        """Note the version that an instance's lease was read at."""
        known = self._leases.get(instance)
        if known is None or known.version != version:
            self._leases[instance] = Lease(version, now)

    def has_lapsed(self, instance: str, now: float) -> bool:
        """Tell whether an instance's lease was unchanged for a term."""
        known = self._leases.get(instance)
        return known is not None and now - known.since >= self._term


def order_jobs(jobs: Iterable[JobRecord]) -> list[JobRecord]:
    """Order running jobs by deadline; the earliest goes first."""
    running = [job for job in jobs if job['state'] == RUNNING]
    return sorted(running, key=lambda job: (job['deadline'], job['id']))


def open_chunks(job: JobRecord, book: ChunkBook) -> Iterator[ChunkKey]:
    """Yield the chunks of a job that aren't known to be done or held."""
    for index in range(job['chunks']):
        key = ChunkKey(job['id'], index)
        seen = book.find(key)
        if seen is None or seen.record['state'] not in {DONE, HELD}:
            yield key


def next_own(
    jobs: Iterable[JobRecord],
    book: ChunkBook,
    me: str,
    workers: Callable[[JobRecord], list[str]],
) -> ChunkKey | None:
    """Return the most urgent open chunk that falls to this instance."""
    for job in order_jobs(jobs):
        names = workers(job)
        for key in open_chunks(job, book):
            if owner(f'{key.job}/{key.index}', names) == me:
                return key
    return None


def next_any(
    jobs: Iterable[JobRecord],
    book: ChunkBook,
    draw: float,
) -> ChunkKey | None:
    """Return an open chunk of the most urgent job that has one left."""
    for job in order_jobs(jobs):
        left = list(open_chunks(job, book))
        if left:
            return left[int(draw * len(left))]
    return None
