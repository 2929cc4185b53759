"""Decides which instances run no jobs, as they reach no upstream; no I/O."""

from collections.abc import Collection, Mapping

from gentiantrestle.gateway.model import Job

# Jobs change hands at a cost: what their items have written is made again.
LEAVE_AFTER = 2.0  # seconds without an upstream
RETURN_AFTER = 5.0  # seconds with one


class StrandedRuns:
    """The runs of instances that have reached no upstream for a while."""

    def __init__(self) -> None:
        """Start with none."""
        # Those whose jobs are run by others; empty if there are no others.
        self.runs: frozenset[str] = frozenset()
        self._stranded: set[str] = set()
        # Since when a run has been in its state, if it is to change; in s.
        self._since: dict[str, float] = {}

    @property
    def is_idle(self) -> bool:
        """Return whether no run is stranded, or about to be."""
        return not (self._stranded or self._since)

    def update(
        self,
        unreached: Mapping[str, Collection[str]],
        services: Collection[str],
        now: float,
    ) -> bool:
        """Note the services that each live run doesn't reach, own one included.

        ``services`` are all that there are. Returns whether jobs change hands.
        """
        lost = {
            run
            for run, missing in unreached.items()
            if _is_all(missing, services)
        }
        if lost == unreached.keys():
            # Nobody is better placed; the time counts from when somebody is.
            self._stranded.clear()
            self._since.clear()
        else:
            self._note(lost, set(unreached), now)
        before = self.runs
        can_leave = bool(unreached.keys() - self._stranded)
        self.runs = frozenset(self._stranded if can_leave else ())
        return self.runs != before

    def _note(self, lost: set[str], live: set[str], now: float) -> None:
        self._stranded &= live
        changing = lost ^ self._stranded
        self._since = {run: self._since.get(run, now) for run in changing}
        for run, since in tuple(self._since.items()):
            limit = RETURN_AFTER if run in self._stranded else LEAVE_AFTER
            if now - since >= limit:
                self._stranded ^= {run}
                self._since.pop(run)


def _is_all(unreached: Collection[str], services: Collection[str]) -> bool:
    return bool(services) and set(services) <= set(unreached)


def find_nobody(job: Job) -> frozenset[str]:
    """Return no run; the default until it is known what instances reach."""
    return frozenset()
