"""Notes which jobs come here from other instances."""

from collections import deque
from collections.abc import Callable, Iterable, Iterator

from gentiantrestle import events
from gentiantrestle.gateway.batch.job_index import JobEntry

MAX_LOGGED_TAKEOVERS = 64  # runs


class Takeovers:
    """The jobs that others ran as of the last look, and those taken over."""

    def __init__(self, run_name: str) -> None:
        """Start without any; ``run_name`` is this instance's run."""
        self._run_name = run_name
        self._run_elsewhere: set[str] = set()
        # Acceptors whose jobs this instance took over last; each is logged.
        self._taken_over: deque[str] = deque(maxlen=MAX_LOGGED_TAKEOVERS)

    def select_owned(
        self, entries: Iterable[JobEntry], owns: Callable[[JobEntry], bool]
    ) -> Iterator[JobEntry]:
        """Yield the jobs that are run here now.

        The results of those that others have run are to be read again.
        """
        run_elsewhere = self._run_elsewhere
        self._run_elsewhere = set()
        for entry in entries:
            if not owns(entry):
                self._run_elsewhere.add(entry.job.id)
                continue
            if entry.job.id in run_elsewhere:
                entry.results_loaded = False
            self._log(entry.job.acceptor)
            yield entry

    def _log(self, acceptor: str) -> None:
        if acceptor != self._run_name and acceptor not in self._taken_over:
            events.emit(events.JOBS_TAKEN_OVER, run=acceptor)
            self._taken_over.append(acceptor)
