"""Decides which instance runs a job and which item runs next; no I/O.

This is for overload, when not every item can meet its completion target. An
instance starts the items with the fewest tokens left first, so that most are
in time. Among instances, the one whose first item has the least slack goes
first. Items that can't be in time any more go last.

An item's slack is the time in s between its expected completion and its
deadline, negative if it would be late.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle.daemon.membership.rendezvous import owner
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.model import ItemSpec, Route
from gentiantrestle.gateway.peers import SILENCE_TIMEOUT

# An item with less slack than this is not preempted: the request would hold
# the slot for about as long.
MIN_PREEMPTION_SLACK = 1.0  # seconds
# One in this many slots is kept free of batch: about as many requests arrive
# at all upstreams while a preempted item is being cancelled.
SLOTS_PER_RESERVED_SLOT = 24
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


def start_budget(free: int, slots: int, ahead: int) -> int:
    """Return how many items an instance may start on a service's free slots.

    ``slots`` is the number of all slots of the service. ``ahead`` is the number
    of items at other instances that have priority: they go first, so that
    instances don't take the same free slot at once.
    """
    return max(0, free - slots // SLOTS_PER_RESERVED_SLOT - ahead)


def is_preemptible(slack: float) -> bool:
    """Return whether a running item may be preempted by a request.

    A late item loses nothing by it; one with enough slack can be resumed on
    another upstream in time.
    """
    return slack < 0 or slack > MIN_PREEMPTION_SLACK


def preemption_key(slack: float) -> tuple[bool, float]:
    """Sort key for preemption: the item with the highest key goes first."""
    return slack < 0, slack


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
