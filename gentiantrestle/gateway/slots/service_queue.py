"""What waits for the slots of one service, and for how long; no I/O.

The wait is judged for the account that asks: only those count as ahead that
are served before it. So a light account is queued while one that is over its
share is refused at once, with the time after which it can be served.
"""

from collections.abc import Iterator
from typing import NamedTuple

from gentiantrestle.gateway.slots.fair_use import ServiceUses
from gentiantrestle.gateway.slots.messages import Ask, ServiceSums
from gentiantrestle.gateway.slots.pool import (
    RELAXED_SLACK,
    URGENT_SLACK,
    Pool,
)
from gentiantrestle.gateway.slots.queueing import (
    MIN_CAPACITY,
    AskQueue,
    HoldTime,
    WaitingAsk,
)

# Refusals while a service has no upstream; about the time between two
# discovery updates.
NO_UPSTREAM_WAIT = 0.5  # seconds
# Part of the slots that an account over its share can expect at least.
MIN_PART = 0.25


class Capacity(NamedTuple):
    """Slots that can be in use: those that will do for an ask, and all."""

    usable: float
    whole: float


class ServiceQueue:
    """The queue of one service, its accounts' use and its hold time."""

    def __init__(self, service: str, uses: ServiceUses) -> None:
        """Start with an empty queue."""
        self._service = service
        self.use = uses.find(service, batch=False)
        self.asks = AskQueue(self.use, uses.find(service, batch=True))
        self.hold_time = HoldTime()

    def expected_wait(
        self, waiting: WaitingAsk, capacity: Capacity, now: float
    ) -> float:
        """Estimate the wait in s of a request for a slot."""
        ask, ahead = waiting
        before: float = ahead.total()
        if ask.version:
            # Those that may go anywhere take their share of these upstreams.
            known = max(*capacity, MIN_CAPACITY)
            before = ahead[ask.version] + ahead[''] * (capacity.usable / known)
        slots = capacity.usable * self._left_part(ask, capacity, now)
        return self.hold_time.expected_wait(before, slots)

    def sums(self, pool: Pool) -> ServiceSums:
        """Sum up the slots of ``pool``, and who waits."""
        asks = self.asks
        return ServiceSums(
            self._service,
            max(0, pool.free_for_batch(URGENT_SLACK) - asks.online),
            sum(1 for _ in pool.preemptible()),
            asks.online + asks.batch,
            max(0, pool.free_for_batch(RELAXED_SLACK) - asks.online),
        )

    def _left_part(self, ask: Ask, capacity: Capacity, now: float) -> float:
        """Return the part of the slots that others leave an account."""
        standings = self.use.standings(now)
        if ask.account not in standings.levels:
            return 1
        used = standings.within / max(capacity.whole, MIN_CAPACITY)
        return max(MIN_PART, 1 - used)


class ServiceQueues:
    """The queues of all services."""

    def __init__(self, uses: ServiceUses) -> None:
        """Start without queues; ``uses`` tell what accounts hold."""
        self._uses = uses
        self._queues: dict[str, ServiceQueue] = {}

    def __iter__(self) -> Iterator[ServiceQueue]:
        """Iterate over the queues."""
        return iter(self._queues.values())

    def find(self, service: str) -> ServiceQueue:
        """Return the queue of a service; a new one if there is none."""
        if service not in self._queues:
            self._queues[service] = ServiceQueue(service, self._uses)
        return self._queues[service]

    def accounts_over_share(self, now: float) -> int:
        """Count the accounts over their share, for each service anew."""
        return self._uses.accounts_over_share(now)
