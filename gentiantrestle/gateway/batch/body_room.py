"""Finds room for the bodies of the jobs that an instance runs; no I/O."""

from collections.abc import Callable

from gentiantrestle import events
from gentiantrestle.gateway.batch.context import BatchContext
from gentiantrestle.gateway.batch.job_index import JobEntry


class BodyRoom:
    """The memory for bodies of jobs; the store keeps all of them."""

    def __init__(
        self, context: BatchContext, owns: Callable[[JobEntry], bool]
    ) -> None:
        """Prefer the jobs that this instance ``owns``, which it runs."""
        self._context = context
        self._owns = owns
        # Jobs without room that have been logged since there was some.
        self._logged: set[str] = set()

    def find(self, entry: JobEntry, size: int) -> bool:
        """Return whether there is room for ``size`` bytes of a job's bodies.

        Bodies of jobs that others run are dropped for it.
        """
        budget = self._context.budget
        if not budget.has_room_for_items(size):
            self._drop_unowned()
        if budget.has_room_for_items(size):
            self._logged.clear()
            return True
        if entry.job.id not in self._logged:
            self._logged.add(entry.job.id)
            events.emit(
                events.JOB_WITHOUT_ROOM,
                job=entry.job.id,
                held=budget.held,
                limit=budget.limit,
            )
        return False

    def _drop_unowned(self) -> None:
        for other in self._context.index.open_entries():
            if other.has_bodies and not self._owns(other):
                other.drop_bodies()
