"""Who waits for a slot, how long and in which order; no I/O.

Made for bursts that exceed all slots. A request that can't be served in time
is refused at once, and its caller retries later. Streams that go on go first,
as their callers have the beginning, then the other retries, because a caller
that is refused again gives up, then new requests. Batch items take
what requests leave: those that can just be in time go first, then those that
can wait, then those that are late; of each the one with the fewest tokens left
goes first, so that most are in time.

An account that has used more than its share of slots comes after the others,
the further the more it has used, and its retries aren't preferred: else one
account would fill the queue, and its refused callers would go before all others
when they return.
"""

import heapq
import math
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from itertools import count
from typing import NamedTuple

from gentiantrestle.gateway.model import Request, Route
from gentiantrestle.gateway.slots.fair_use import FairUse
from gentiantrestle.gateway.slots.messages import (
    Ask,
    LeaseKey,
    find_ended,
)
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
# Expected waits vary by about this factor.
HOPELESS_FACTOR = 1.5
# A queued request whose holder does not ask again is dropped: it has another
# slot, or its holder is gone.
ASK_LIFETIME = 3.0  # seconds
SortKey = tuple[float, ...]


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

    ``number`` grows with each arrival, ``queued_at`` is the time of the first
    ask, and ``slack_until`` that at which a batch item has no slack left.
    """

    ask: Ask
    number: float
    asked_at: float
    slack_until: float
    queued_at: float

    def sort_key(self, now: float, level: int) -> SortKey:
        """Return the place in the queue; the lowest is served first.

        ``level`` is that of the account: 0 within its share.
        """
        ask = self.ask
        if ask.batch:
            slack = self.slack_until - now
            urgency = 2 if slack < 0 else int(slack > URGENT_SLACK)
            return (1, urgency, level, ask.tokens_left, self.number)
        rank = 2 if level else 2 - int(ask.retry) - int(goes_on(ask))
        # Among its own requests an account's retries still go first.
        turn = 2 * level + int(not ask.retry)
        return (0, rank, ask.priority, turn, self.number)

    def is_hopeless(self, wait: float, now: float) -> bool:
        """Return whether ``wait`` s more are clearly over the wait limit."""
        left = self.queued_at + self.ask.wait - now
        return wait > max(0, left) * HOPELESS_FACTOR


def goes_on(ask: Ask) -> bool:
    """Return whether a stream is to go on whose caller has its beginning."""
    return ask.retry and not ask.batch and bool(ask.version)


class Group(NamedTuple):
    """The requests, or the batch items, that are bound to one version."""

    version: str
    batch: bool
    goes_on: bool

    @classmethod
    def from_ask(cls, ask: Ask) -> 'Group':
        """Return the group that an ask counts in."""
        return cls(ask.version, ask.batch, goes_on(ask))


class WaitingAsk(NamedTuple):
    """A request, and how many of each version are served before it."""

    ask: Ask
    ahead: Counter[str]


class AskQueue:
    """Requests and batch items that wait for a slot of one service.

    An ask that is bound to a version holds up only those bound to it.
    """

    def __init__(self, online_use: FairUse, batch_use: FairUse) -> None:
        """Start with an empty queue; the uses are those of the service."""
        self._uses = {False: online_use, True: batch_use}
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
        queued_at = now if known is None else known.queued_at
        self.remove(ask.key)
        self._waiting[Group.from_ask(ask)] += 1
        self._queued[ask.key] = QueuedAsk(
            ask, number, now, now + ask.slack, queued_at
        )

    def remove(self, key: LeaseKey) -> Ask | None:
        """Remove and return a request; None if it doesn't wait."""
        queued = self._queued.pop(key, None)
        if queued is None:
            return None
        self._waiting[Group.from_ask(queued.ask)] -= 1
        return queued.ask

    def judge(self, ask: Ask, now: float) -> WaitingAsk:
        """Count the requests that are served before a new one.

        Without accounts these are all that wait, and for a stream that goes on
        those that do, too.
        """
        if not ask.account and not self._uses[False].has_accounts:
            ahead: Counter[str] = Counter()
            for group, waiting in self._waiting.items():
                if not group.batch and group.goes_on >= goes_on(ask):
                    ahead[group.version] += waiting
            return WaitingAsk(ask, ahead)
        level = self._levels(now)[ask.batch].get(ask.account, 0)
        place = QueuedAsk(ask, math.inf, now, now, now).sort_key(now, level)
        before = (
            queued.ask.version
            for key, queued in self._keyed(now)
            if key < place and not queued.ask.batch
        )
        return WaitingAsk(ask, Counter(before))

    def overtaken(self, now: float) -> Iterator[tuple[QueuedAsk, WaitingAsk]]:
        """Yield what waits behind others for an account over its share."""
        levels = self._levels(now)[False] if self._queued else {}
        if not levels:
            return
        ahead: Counter[str] = Counter()
        for _, queued in sorted(self._keyed(now)):
            ask = queued.ask
            if ask.batch:
                return
            if ask.account in levels and ahead:
                yield queued, WaitingAsk(ask, ahead)
            if ask.key in self:
                ahead[ask.version] += 1

    def in_order(self, now: float) -> Iterator[Ask]:
        """Yield the requests that wait now, the next one to serve first."""
        waiting = list(self._keyed(now))
        heapq.heapify(waiting)
        while waiting:
            _, queued = heapq.heappop(waiting)
            yield queued.ask._replace(slack=queued.slack_until - now)

    def versions(self) -> set[str]:
        """Return the versions that anything waits for; '' for any."""
        return {
            group.version for group, waiting in self._waiting.items() if waiting
        }

    def remove_expired(
        self, now: float, has_ended: Callable[[str], bool]
    ) -> None:
        """Drop the requests whose holders ended or have stopped asking."""
        ended = find_ended(self._queued, has_ended)
        for key, queued in tuple(self._queued.items()):
            if now - queued.asked_at > ASK_LIFETIME or key.holder in ended:
                self.remove(key)

    def _keyed(self, now: float) -> Iterator[tuple[SortKey, QueuedAsk]]:
        """Yield all that wait with their places."""
        if not self._queued:
            return
        levels = self._levels(now)
        for queued in self._queued.values():
            ask = queued.ask
            level = levels[ask.batch].get(ask.account, 0)
            yield queued.sort_key(now, level), queued

    def _levels(self, now: float) -> dict[bool, Mapping[str, int]]:
        """Return the levels of accounts for requests and for batch items."""
        return {
            batch: use.standings(now).levels
            for batch, use in self._uses.items()
        }
