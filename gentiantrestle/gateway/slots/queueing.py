"""Who waits for a slot, how long and in which order; no I/O.

Made for bursts that exceed all slots. A request that can't be served in time
is refused at once, and its caller retries later. Retries go before new
requests, because a caller that is refused again gives up. Batch items take
what requests leave: those that can just be in time go first, then those that
can wait, then those that are late; of each the one with the fewest tokens left
goes first, so that most are in time.
"""

import heapq
from collections import Counter
from collections.abc import Iterator
from itertools import count
from typing import NamedTuple

from gentiantrestle.gateway.model import Request, Route
from gentiantrestle.gateway.slots.messages import Ask, LeaseKey
from gentiantrestle.gateway.slots.pool import URGENT_SLACK

# Share of the route's latency target that a request may wait. The upstream
# needs the rest to produce the first event.
MAX_WAIT_SHARE = 0.6
# Callers abandon a stream that has sent no event after 2 s.
MAX_RETRY_WAIT = 1.6  # seconds
MIN_RETRY_AFTER = 0.25  # seconds
# Callers ignore a Retry-After above this share of their remaining time.
RETRY_AFTER_SHARE = 0.3
SMOOTHING = 0.1  # weight of a new sample in the moving average
INITIAL_HOLD_TIME = 0.5  # seconds; used before the first sample
MIN_CAPACITY = 0.1  # slots
# A queued request whose holder does not ask again is dropped: it has another
# slot, or its holder is gone.
ASK_LIFETIME = 3.0  # seconds


class WaitLimit(NamedTuple):
    """How long a request may wait, in s, and whether it is a retry."""

    seconds: float
    is_retry: bool


def wait_limit(req: Request, route: Route, now: float) -> WaitLimit:
    """Return how long ``req`` may wait for a slot.

    It is at most half of the time until the deadline.
    """
    left = req.deadline - now
    if req.is_retry:
        return WaitLimit(max(0, min(MAX_RETRY_WAIT, left / 2)), is_retry=True)
    waited = now - req.received
    allowed = route.latency_target * MAX_WAIT_SHARE - waited
    return WaitLimit(max(0, min(allowed, left / 2)), is_retry=False)


def retry_after_seconds(expected: float, req: Request, now: float) -> float:
    """Return the Retry-After for a refused request, in s."""
    left = max(0, req.deadline - now)
    return round(
        min(max(MIN_RETRY_AFTER, expected), left * RETRY_AFTER_SHARE), 2
    )


class HoldTime:
    """Moving average of the time that requests hold a slot, in s."""

    def __init__(self) -> None:
        """Start from ``INITIAL_HOLD_TIME``."""
        self.mean = INITIAL_HOLD_TIME

    def record(self, seconds: float) -> None:
        """Add the hold time of one request."""
        self.mean += SMOOTHING * (seconds - self.mean)

    def expected_wait(self, ahead: float, slots: float) -> float:
        """Estimate the wait in s behind ``ahead`` requests for ``slots``."""
        return (ahead + 1) * self.mean / max(MIN_CAPACITY, slots)


class QueuedAsk(NamedTuple):
    """A request that waits for a slot; times are monotonic, in s.

    ``number`` grows with each arrival, and ``slack_until`` is the time at
    which a batch item has no slack left.
    """

    ask: Ask
    number: int
    asked_at: float
    slack_until: float

    def sort_key(self, now: float) -> tuple[int, ...]:
        """Return the place in the queue; the lowest is served first."""
        ask = self.ask
        if ask.batch:
            slack = self.slack_until - now
            late = int(slack < 0)
            relaxed = int(slack > URGENT_SLACK)
            return (1, late, relaxed, ask.tokens_left, self.number)
        return (0, int(not ask.retry), ask.priority, self.number)


class Group(NamedTuple):
    """The requests, or the batch items, that are bound to one version."""

    version: str
    batch: bool


class AskQueue:
    """Requests and batch items that wait for a slot of one service.

    An ask that is bound to a version holds up only those bound to it.
    """

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._queued: dict[LeaseKey, QueuedAsk] = {}
        self._numbers = count()
        self._waiting: Counter[Group] = Counter()

    def __contains__(self, key: LeaseKey) -> bool:
        """Return whether a request waits."""
        return key in self._queued

    @property
    def is_busy(self) -> bool:
        """Return whether anything waits."""
        return bool(self._queued)

    @property
    def online(self) -> int:
        """Count the waiting requests."""
        return sum(
            waiting
            for group, waiting in self._waiting.items()
            if not group.batch
        )

    @property
    def batch(self) -> int:
        """Count the waiting batch items."""
        return len(self._queued) - self.online

    def waiting_for(self, version: str) -> int:
        """Count the waiting requests that are bound to a version, or none."""
        return self._waiting[Group(version, batch=False)]

    def is_ahead(self, ask: Ask) -> bool:
        """Return whether anything waits that holds up a new request."""
        return any(
            waiting
            for group, waiting in self._waiting.items()
            if group.version in {'', ask.version}
            and (ask.batch or not group.batch)
        )

    def put(self, ask: Ask, now: float) -> None:
        """Add a request; one that waits already keeps its place.

        It may be granted any upstream then: those that had failed it, or were
        suspended, may serve it by its turn.
        """
        ask = ask._replace(excluded=frozenset())
        known = self._queued.get(ask.key)
        number = next(self._numbers) if known is None else known.number
        self.remove(ask.key)
        self._waiting[Group(ask.version, ask.batch)] += 1
        self._queued[ask.key] = QueuedAsk(ask, number, now, now + ask.slack)

    def remove(self, key: LeaseKey) -> None:
        """Remove a request, if it waits."""
        queued = self._queued.pop(key, None)
        if queued is not None:
            self._waiting[Group(queued.ask.version, queued.ask.batch)] -= 1

    def in_order(self, now: float) -> Iterator[Ask]:
        """Yield the requests that wait now, the next one to serve first."""
        waiting = [
            (queued.sort_key(now), queued) for queued in self._queued.values()
        ]
        heapq.heapify(waiting)
        while waiting:
            _, queued = heapq.heappop(waiting)
            yield queued.ask._replace(slack=queued.slack_until - now)

    def versions(self) -> set[str]:
        """Return the versions that anything waits for; '' for any."""
        return {
            group.version for group, waiting in self._waiting.items() if waiting
        }

    def remove_expired(self, now: float) -> None:
        """Drop the requests whose holders have stopped asking."""
        for key, queued in tuple(self._queued.items()):
            if now - queued.asked_at > ASK_LIFETIME:
                self.remove(key)
