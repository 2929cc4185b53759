"""How long a request may wait for a slot, and who goes first; no I/O.

Answers the load of bursts above all slots: a caller that can't be served in
time is told so at once and comes back later, and one that came back goes
before those that are new, since its next refusal would be its last.
"""

import heapq
from itertools import count
from typing import NamedTuple

from gentiantrestle.gateway.model import Request, Route

# Part of a route's latency target that may pass before a request is sent:
# the rest is what an upstream needs for its first event.
WAIT_SHARE = 0.6
# Callers leave a stream without a first event after two seconds.
RETURNED_WAIT = 1.6  # seconds
# What a caller waits at least before it comes back.
MIN_RETRY_AFTER = 0.25  # seconds
# Callers follow Retry-After up to this part of the time that they have left.
RETRY_SHARE = 0.3
SMOOTHING = 0.1
FIRST_HOLD = 0.5  # seconds a slot is assumed to be held before any was


class WaitRule(NamedTuple):
    """How long one request may wait, and whether it came back."""

    seconds: float
    returned: bool


def wait_rule(call: Request, route: Route, now: float) -> WaitRule:
    """Return how long a request may wait for a slot, in s."""
    left = call.deadline - now
    if call.is_retry:
        return WaitRule(max(0, min(RETURNED_WAIT, left / 2)), returned=True)
    waited = now - call.received
    own = route.latency_target * WAIT_SHARE - waited
    return WaitRule(max(0, min(own, left / 2)), returned=False)


def retry_after(expected: float, call: Request, now: float) -> float:
    """Return when a refused caller should come back, in s."""
    left = max(0, call.deadline - now)
    return round(min(max(MIN_RETRY_AFTER, expected), left * RETRY_SHARE), 2)


class HoldTime:
    """Smoothed time that a request holds its slot, in s."""

    def __init__(self) -> None:
        """Start from an assumption."""
        self.mean = FIRST_HOLD

    def note(self, seconds: float) -> None:
        """Take in one request's time."""
        self.mean += SMOOTHING * (seconds - self.mean)

    def expected_wait(self, ahead: int, slots: int) -> float:
        """Estimate the wait behind ``ahead`` others before some slots."""
        return (ahead + 1) * self.mean / max(1, slots)


class Ticket(NamedTuple):
    """A waiting request; ``order`` decides who goes first."""

    order: tuple[int, int, int]
    call: Request
    give_up: float


class AdmissionQueue:
    """Requests that wait for one service, first those that came back."""

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[Ticket] = []
        self._numbers = count()
        self._left: set[str] = set()

    def __len__(self) -> int:
        """Count the requests that wait."""
        return len(self._heap) - len(self._left)

    def add(
        self, call: Request, rule: WaitRule, priority: int, now: float
    ) -> Ticket:
        """Queue a request behind those of its rank."""
        order = (int(not rule.returned), priority, next(self._numbers))
        ticket = Ticket(order, call, now + rule.seconds)
        heapq.heappush(self._heap, ticket)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Take out a request that waits no longer."""
        if ticket in self._heap:
            self._left.add(ticket.call.id)
            self._drop_left()

    def peek(self) -> Ticket | None:
        """Return the request that goes next, without taking it."""
        self._drop_left()
        return self._heap[0] if self._heap else None

    def pop(self) -> Ticket | None:
        """Take the request that goes next."""
        self._drop_left()
        return heapq.heappop(self._heap) if self._heap else None

    def _drop_left(self) -> None:
        while self._heap and self._heap[0].call.id in self._left:
            self._left.discard(heapq.heappop(self._heap).call.id)
