"""Which upstream a request goes to; decisions only, no I/O.

Answers the load of the heaviest days: engines step at an even pace until
their slots are taken and queue in order of arrival after that, so a request
belongs on a free slot, near if there is one, and nowhere if there is none.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle.daemon.upstreams.health import Health
from gentiantrestle.gateway.loads import LoadBoard
from gentiantrestle.gateway.model import Upstream

# Extra load, as a share of an upstream's slots, that a nearer upstream may
# bear before a farther one is taken: links between zones and regions are paid.
ZONE_COST = 0.2
REGION_COST = 0.6
# Online requests that may queue at an upstream for batch to give way: the
# instance that runs the batch sees it within one datagram.
OVERBOOKING = 2
# Chance in a choice, as a share of slots: several instances with the same late
# news must not all take the same upstream. As large as the range of loads:
# tests/gateway/test_load.py plays it against none.
SPREAD = 1.0
# Failures after which an upstream rests: a refused connection is a sure sign.
FAILURES_TO_REST = 2
NONE_EXCLUDED: frozenset[str] = frozenset()
SLOT_WEIGHT = 0.001  # breaks ties between equally loaded upstreams


class Topology(NamedTuple):
    """Where this instance stands, and the region of each zone."""

    zone: str
    regions: dict[str, str]

    def distance_cost(self, zone: str) -> float:
        """Return what going to a zone costs, as a share of slots."""
        if zone == self.zone:
            return 0
        if self.regions.get(zone) == self.regions.get(self.zone):
            return ZONE_COST
        return REGION_COST


class Placement:
    """Chooses among a service's upstreams."""

    def __init__(
        self,
        site: Topology,
        board: LoadBoard,
        chance: Callable[[], float],
    ) -> None:
        """Read loads from ``board``; start with every upstream healthy.

        ``chance`` returns numbers from 0 to 1.
        """
        self._chance = chance
        self._site = site
        self._board = board
        self._health: dict[str, Health] = {}

    def health(self, upstream: str) -> Health:
        """Return the measurements of one upstream."""
        return self._health.setdefault(upstream, Health(FAILURES_TO_REST))

    def free_slots(self, upstream: Upstream, now: float) -> int:
        """Return how many slots of an upstream are free."""
        return upstream.slots - self._board.total_load(upstream.id, now).total

    def choose(
        self,
        upstreams: Iterable[Upstream],
        now: float,
        *,
        reserve: int = 0,
        excluded: frozenset[str] = NONE_EXCLUDED,
    ) -> Upstream | None:
        """Return the cheapest healthy upstream with over ``reserve`` free."""
        fit = [
            upstream
            for upstream in self.healthy(upstreams, now)
            if upstream.id not in excluded
            and self.free_slots(upstream, now) > reserve
        ]
        return min(fit, key=lambda one: self._cost(one, now), default=None)

    def choose_preemptible(
        self,
        upstreams: Iterable[Upstream],
        now: float,
        *,
        excluded: frozenset[str] = NONE_EXCLUDED,
    ) -> Upstream | None:
        """Return an upstream where batch will give way to a request."""
        fit = [
            upstream
            for upstream in self.healthy(upstreams, now)
            if upstream.id not in excluded and self._may_overbook(upstream, now)
        ]
        return min(fit, key=lambda one: self._cost(one, now), default=None)

    def healthy(
        self,
        upstreams: Iterable[Upstream],
        now: float,
    ) -> list[Upstream]:
        """Leave out upstreams at rest, unless all of them are."""
        every = list(upstreams)
        usable = [one for one in every if self.health(one.id).is_usable(now)]
        return usable or every

    def _may_overbook(self, upstream: Upstream, now: float) -> bool:
        load = self._board.total_load(upstream.id, now)
        over = load.total - upstream.slots
        return over < min(OVERBOOKING, load.batch)

    def _cost(self, upstream: Upstream, now: float) -> float:
        load = self._board.total_load(upstream.id, now).total
        share = load / max(1, upstream.slots)
        own = self._board.own_loads.get(upstream.id)
        own_share = own.total * SLOT_WEIGHT if own else 0
        spread = self._chance() * SPREAD
        distance = self._site.distance_cost(upstream.zone)
        return share + own_share + distance + spread
