"""Free slots of the other zones, as their coordinators sum them up; no I/O."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from gentiantrestle.gateway.slots.messages import ServiceSums, ZoneSums
from gentiantrestle.gateway.topology import Topology

# Sums are sent again within this time even if they are unchanged.
SUMS_LIFETIME = 1.5  # seconds


class Target(NamedTuple):
    """A service, and the zones that will do; all if ``zones`` is None."""

    service: str
    zones: frozenset[str] | None = None

    def allows(self, zone: str) -> bool:
        """Return whether a zone will do."""
        return self.zones is None or zone in self.zones


class RemoteZones:
    """The sums of all other zones.

    What is passed on to a zone counts there at once: its next sums arrive
    later.
    """

    def __init__(self, topology: Topology, rand: Callable[[], float]) -> None:
        """Know nothing yet; ``rand`` returns random numbers from 0 to 1."""
        self._topology = topology
        self._rand = rand
        self._sums: dict[str, dict[str, ServiceSums]] = {}
        self._received: dict[str, float] = {}

    def put(self, sums: ZoneSums, now: float) -> None:
        """Replace the sums of a zone."""
        if sums.zone == self._topology.zone:
            return
        self._sums[sums.zone] = {
            known.service: known for known in sums.services
        }
        self._received[sums.zone] = now

    def choose_free(
        self, target: Target, now: float, *, near: bool
    ) -> str | None:
        """Return a zone with free slots; None if there is none.

        ``near`` zones are those of the own region, all others are far.
        """
        return self._choose(target, now, near, lambda sums: sums.free)

    def choose_preemptible(
        self, target: Target, now: float, *, near: bool
    ) -> str | None:
        """Return a zone where batch items would yield; None without one."""
        return self._choose(target, now, near, lambda sums: sums.batch)

    def choose_for_batch(self, target: Target, now: float) -> str | None:
        """Return a zone with free slots in which nobody waits, or None."""
        return self._choose(
            target, now, near=True, weigh=_spare
        ) or self._choose(target, now, near=False, weigh=_spare)

    def choose_any(self, target: Target, now: float) -> str | None:
        """Return the zone with the shortest queue that has the service."""
        return min(
            (
                zone
                for near in (True, False)
                for zone, _ in self._fresh(target, now, near)
            ),
            key=lambda zone: self._sums[zone][target.service].waiting,
            default=None,
        )

    def note_passed(self, service: str, zone: str) -> None:
        """Note that a request was passed on to a zone."""
        sums = self._sums[zone][service]
        if sums.free > 0:
            sums = sums._replace(free=sums.free - 1, spare=sums.spare - 1)
        else:
            sums = sums._replace(batch=max(0, sums.batch - 1))
        self._sums[zone][service] = sums

    def _choose(
        self,
        target: Target,
        now: float,
        near: bool,
        weigh: Callable[[ServiceSums], int],
    ) -> str | None:
        """Return the zone that weighs most; None if all weigh nothing."""
        weights = {
            zone: weigh(sums) for zone, sums in self._fresh(target, now, near)
        }
        return max(
            (zone for zone, weight in weights.items() if weight > 0),
            key=lambda zone: (weights[zone], self._rand()),
            default=None,
        )

    def _fresh(
        self, target: Target, now: float, near: bool
    ) -> Iterator[tuple[str, ServiceSums]]:
        for zone, services in self._sums.items():
            fresh = now - self._received[zone] < SUMS_LIFETIME
            if (
                fresh
                and target.allows(zone)
                and target.service in services
                and self._topology.is_near(zone) == near
            ):
                yield zone, services[target.service]


def _spare(sums: ServiceSums) -> int:
    return 0 if sums.waiting else sums.spare
