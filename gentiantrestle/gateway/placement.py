"""Chooses an upstream for a request; decisions only, no I/O.

Engines run at an even speed until all slots are taken, and queue requests in
order of arrival after that. So a request goes to a free slot, preferably a
near one, and to no upstream if none is free. Only an upstream that runs batch
work may be overbooked: ``choose_preemptible`` returns one.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle.daemon.upstreams.health import Health
from gentiantrestle.gateway.loads import LoadBoard
from gentiantrestle.gateway.model import Upstream

# Cost of leaving the zone or the region, as a share of an upstream's slots:
# traffic over these links is billed.
ZONE_COST = 0.2
REGION_COST = 0.6
# Online requests that may exceed an upstream's slots until batch work there
# is preempted. The instance that runs the batch work learns of it from the
# next gossip datagram.
MAX_OVERBOOKING = 2
# Largest random part of an upstream's cost, as a share of its slots. It is as
# large as the range of loads, and keeps instances with the same stale loads
# from all choosing the same upstream. tests/gateway/test_load.py compares it
# with 0.
COST_JITTER = 1.0
# Consecutive failures after which an upstream is suspended. Low, because a
# refused connection is a reliable sign.
FAILURES_TO_OPEN = 2
NONE_EXCLUDED: frozenset[str] = frozenset()
OWN_LOAD_WEIGHT = 0.001  # per own request; breaks ties between equal loads


class Topology(NamedTuple):
    """The zone of this instance, and the region of each zone."""

    zone: str
    regions: dict[str, str]

    def distance_cost(self, zone: str) -> float:
        """Return the cost of using ``zone``, as a share of slots."""
        if zone == self.zone:
            return 0
        if self.regions.get(zone) == self.regions.get(self.zone):
            return ZONE_COST
        return REGION_COST


class Placement:
    """Chooses among the upstreams of a service by load and distance."""

    def __init__(
        self,
        topology: Topology,
        board: LoadBoard,
        rand: Callable[[], float],
    ) -> None:
        """Read loads from ``board``; start with every upstream healthy.

        ``rand`` returns random numbers from 0 to 1.
        """
        self._rand = rand
        self._topology = topology
        self._board = board
        self._health: dict[str, Health] = {}

    def health(self, upstream: str) -> Health:
        """Return the health record of an upstream, by its id."""
        return self._health.setdefault(upstream, Health(FAILURES_TO_OPEN))

    def free_slots(self, upstream: Upstream, now: float) -> int:
        """Return the number of free slots; negative if overbooked."""
        return upstream.slots - self._board.total_load(upstream.id, now).total

    def choose(
        self,
        upstreams: Iterable[Upstream],
        now: float,
        *,
        reserve: int = 0,
        excluded: frozenset[str] = NONE_EXCLUDED,
    ) -> Upstream | None:
        """Return the cheapest usable upstream with a free slot, or None.

        More than ``reserve`` of its slots are free.
        """
        candidates = [
            upstream
            for upstream in self.healthy(upstreams, now)
            if upstream.id not in excluded
            and self.free_slots(upstream, now) > reserve
        ]
        return min(
            candidates,
            key=lambda candidate: self._cost(candidate, now),
            default=None,
        )

    def choose_preemptible(
        self,
        upstreams: Iterable[Upstream],
        now: float,
        *,
        excluded: frozenset[str] = NONE_EXCLUDED,
    ) -> Upstream | None:
        """Return the cheapest upstream where batch work will yield, or None.

        The requests beyond its slots are fewer than ``MAX_OVERBOOKING`` and
        fewer than the batch items there.
        """
        candidates = [
            upstream
            for upstream in self.healthy(upstreams, now)
            if upstream.id not in excluded and self._may_overbook(upstream, now)
        ]
        return min(
            candidates,
            key=lambda candidate: self._cost(candidate, now),
            default=None,
        )

    def healthy(
        self,
        upstreams: Iterable[Upstream],
        now: float,
    ) -> list[Upstream]:
        """Leave out suspended upstreams, unless all are suspended."""
        listed = list(upstreams)
        usable = [
            upstream
            for upstream in listed
            if self.health(upstream.id).is_usable(now)
        ]
        return usable or listed

    def _may_overbook(self, upstream: Upstream, now: float) -> bool:
        load = self._board.total_load(upstream.id, now)
        excess = load.total - upstream.slots
        return excess < min(MAX_OVERBOOKING, load.batch)

    def _cost(self, upstream: Upstream, now: float) -> float:
        load = self._board.total_load(upstream.id, now).total
        load_cost = load / max(1, upstream.slots)
        own_load = self._board.own_loads.get(upstream.id)
        own_cost = own_load.total * OWN_LOAD_WEIGHT if own_load else 0
        jitter = self._rand() * COST_JITTER
        distance = self._topology.distance_cost(upstream.zone)
        return load_cost + own_cost + distance + jitter
