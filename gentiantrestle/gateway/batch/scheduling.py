"""Decides which instance runs a job and which item runs next; no I/O.

This is for overload, when not every item can meet its completion target. An
instance asks for slots for the items with the fewest tokens left first, so
that most are in time. Items that can't be in time any more go last.

An item's slack is the time in s between its expected completion and its
deadline, negative if it would be late.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle.daemon.membership.rendezvous import owner
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.membership.peers import SILENCE_TIMEOUT
from gentiantrestle.gateway.model import ItemSpec, Route

# Wall clocks may step by seconds; retention must not end early for that.
CLOCK_TOLERANCE = 5.0  # seconds
SMOOTHING = 0.1  # weight of a new sample in the moving average
INITIAL_PACE = 0.003  # seconds a token, assumed until an item has finished


class QueuedItem(NamedTuple):
    """An item that waits for a slot; ``slack`` is in s."""

    tokens_left: int
    slack: float
    entry: JobEntry
    spec: ItemSpec

    @property
    def priority_key(self) -> tuple[bool, int]:
        """Sort key: items that can be in time first, then by tokens left."""
        return self.slack < 0, self.tokens_left


class Estimate(NamedTuple):
    """Tokens that an item still has to generate, and its slack in s."""

    tokens_left: int
    slack: float


class Pace:
    """Exponentially smoothed time a token takes, in s."""

    def __init__(self) -> None:
        """Start from ``INITIAL_PACE``."""
        self.mean = INITIAL_PACE

    def add_sample(self, seconds: float, tokens: int) -> None:
        """Add the run time and the tokens of a finished item."""
        if tokens:
            self.mean += SMOOTHING * (seconds / tokens - self.mean)

    def slack(self, deadline: float, wall: float, tokens_left: float) -> float:
        """Return an item's slack in s; both times are on the wall clock."""
        return deadline - wall - tokens_left * self.mean

    def tokens_left(self, tokens: int, run_time: float) -> int:
        """Estimate how many tokens are left after ``run_time`` s."""
        return max(0, int(tokens - run_time / self.mean))


def job_owner(entry: JobEntry, names: Iterable[str]) -> str | None:
    """Return which of the live ``names`` runs a job; None if there are none.

    A name stands for one run of an instance. The owner is the acceptor while
    it lives, then one chosen by rendezvous hashing. If two instances see
    different owners, items may run twice; results are still stored once.
    """
    alive = set(names)
    if entry.job.acceptor in alive:
        return entry.job.acceptor
    return owner(entry.job.id, alive)


def owns_job(
    entry: JobEntry,
    run_name: str,
    alive: Iterable[str],
    uptime: float,
) -> bool:
    """Return whether this instance, started ``uptime`` s ago, runs a job.

    ``run_name`` names its run, and ``alive`` holds those of the others.
    An instance that has just started may not have received datagrams from the
    others yet, so it must not take their jobs over.
    """
    if entry.job.acceptor == run_name:
        return True
    if uptime < SILENCE_TIMEOUT:
        return False
    return job_owner(entry, (*alive, run_name)) == run_name


def is_abandoned(
    entry: JobEntry,
    route: Route | None,
    version: int,
    wall: float,
) -> bool:
    """Return whether a job's unfinished items need not be run any more.

    That is so if its route is missing in a configuration at least as new as
    the one it was accepted under, or if its retention is over on the clock of
    every instance.
    """
    if route is None:
        return 0 < entry.job.version <= version
    if not route.retention:
        return False
    return wall > entry.job.submitted + route.retention + CLOCK_TOLERANCE


def queued_items(
    entries: Iterable[tuple[JobEntry, Route | None]],
    busy: set[str],
    estimate: Callable[[JobEntry, Route, ItemSpec], Estimate],
) -> list[QueuedItem]:
    """List the items that wait for a slot, the first to start first.

    Items whose ids are in ``busy`` and jobs without a route are left out.
    """
    found = [
        QueuedItem(*estimate(entry, route, spec), entry, spec)
        for entry, route in entries
        if route is not None
        for spec in entry.unfinished_items()
        if spec.id not in busy
    ]
    return sorted(found, key=lambda queued: queued.priority_key)
