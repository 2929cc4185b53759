"""What owned jobs wait for before their items are queued; no I/O."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.batch.job_index import JobEntry

UNREAD = 'unread'  # results that the store has
BODILESS = 'bodiless'  # bodies, which are in the store
NO_ROOM = 'no_room'  # memory for the bodies


class JobWait(NamedTuple):
    """What a job waits for, and how many items it has."""

    cause: str
    items: int


class JobWaits:
    """The jobs that waited as of the last look."""

    def __init__(self) -> None:
        """Start with none."""
        self._waits: dict[str, JobWait] = {}
        self._items: Counter[str] = Counter()

    def update(self, found: Iterable[tuple[JobEntry, str]]) -> None:
        """Replace the jobs that wait; log each that waits for something new."""
        known = self._waits
        self._waits = {
            entry.job.id: JobWait(cause, len(entry.job.items))
            for entry, cause in found
        }
        self._items.clear()
        for job_id, wait in self._waits.items():
            self._items[wait.cause] += wait.items
            if known.get(job_id) != wait:
                events.emit(
                    events.JOB_WAITS,
                    job=job_id,
                    items=wait.items,
                    cause=wait.cause,
                )

    def count(self, cause: str) -> int:
        """Return how many items wait for something."""
        return self._items[cause]
