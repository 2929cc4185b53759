"""Which instance runs a job, and which item is next; no I/O.

Answers the load of more jobs than can be in time: of an instance's items the
one with the least left to do goes first, so that most are in time; of several
instances the one whose first item has the least time to spare; items that
can't be in time any more go last.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle.daemon.membership.rendezvous import owner
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.model import ItemSpec, Route
from gentiantrestle.gateway.peers import SILENCE_TIMEOUT

# An item with less time to spare than this is not cut for a request: the
# request would take about as long as the item has left.
YIELD_SPARE = 1.0  # seconds
# One slot in so many stays free of batch: about what comes to all upstreams
# while an item that gives way is cut.
SLOTS_FOR_RESERVE = 24
# Wall clocks may step by seconds; nothing is given up early for that.
CLOCK_SLACK = 5.0  # seconds
SMOOTHING = 0.1
FIRST_PACE = 0.003  # seconds a token is assumed to take before any was made


class Due(NamedTuple):
    """An item that waits for a slot, with its time to spare in s."""

    left: int
    spare: float
    entry: JobEntry
    spec: ItemSpec

    @property
    def rank(self) -> tuple[bool, int]:
        """Order items: those that can be in time, the shortest first."""
        return self.spare < 0, self.left


class Need(NamedTuple):
    """Tokens that an item still has to make, and its time to spare in s."""

    left: int
    spare: float


class Pace:
    """Smoothed time that a run takes for each token, in s."""

    def __init__(self) -> None:
        """Start from an assumption."""
        self.mean = FIRST_PACE

    def note(self, seconds: float, tokens: int) -> None:
        """Take in one finished item."""
        if tokens:
            self.mean += SMOOTHING * (seconds / tokens - self.mean)

    def spare(self, due: float, wall: float, left: float) -> float:
        """Return the time to spare before an item is due, in s.

        ``left`` is how many tokens the item still has to make.
        """
        return due - wall - left * self.mean

    def left(self, tokens: int, spent: float) -> int:
        """Return how many tokens are left after ``spent`` s of running."""
        return max(0, int(tokens - spent / self.mean))


def runner_of(entry: JobEntry, names: Iterable[str]) -> str | None:
    """Name the instance that runs a job.

    The acceptor does while it lives; after it any instance may be chosen.
    Two that disagree cost work, not correctness.
    """
    alive = set(names)
    if entry.job.acceptor in alive:
        return entry.job.acceptor
    return owner(entry.job.id, alive)


def runs_here(
    entry: JobEntry,
    instance: str,
    alive: Iterable[str],
    age: float,
) -> bool:
    """Tell whether this instance, started ``age`` s ago, runs a job.

    One that has just started has not heard of the others yet, and takes none
    of their jobs for abandoned.
    """
    if entry.job.acceptor == instance:
        return True
    if age < SILENCE_TIMEOUT:
        return False
    return runner_of(entry, (*alive, instance)) == instance


def start_budget(free: int, slots: int, ahead: int) -> int:
    """Return how many items an instance may start on a service's free slots.

    Items of other instances that have less time to spare go ``ahead``, so
    that all of them don't take the same free slot at once.
    """
    return max(0, free - slots // SLOTS_FOR_RESERVE - ahead)


def may_yield(spare: float) -> bool:
    """Tell whether an item is cut for a request.

    One that can't be in time loses nothing by it; one with time to spare can
    go on elsewhere.
    """
    return spare < 0 or spare > YIELD_SPARE


def yield_rank(spare: float) -> tuple[bool, float]:
    """Order items for yielding, the first to yield last."""
    return spare < 0, spare


def is_abandoned(
    entry: JobEntry,
    route: Route | None,
    version: int,
    wall: float,
) -> bool:
    """Tell whether nobody waits for a job's items any more.

    That is so when its route is gone from a configuration at least as new as
    the one it was accepted under, or when its retention is over on every
    instance's clock.
    """
    if route is None:
        return 0 < entry.job.version <= version
    if not route.retention:
        return False
    return wall > entry.job.submitted + route.retention + CLOCK_SLACK


def due_items(
    entries: Iterable[tuple[JobEntry, Route | None]],
    busy: set[str],
    need: Callable[[JobEntry, Route, ItemSpec], Need],
) -> list[Due]:
    """List the items that wait, in the order in which they are started."""
    found = [
        Due(*need(entry, route, spec), entry, spec)
        for entry, route in entries
        if route is not None
        for spec in entry.unlisted()
        if spec.id not in busy
    ]
    return sorted(found, key=lambda due: due.rank)
