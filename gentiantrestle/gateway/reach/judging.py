"""Decides which services this instance doesn't reach; no I/O.

Upstreams end, and so do all of a zone at times: neither is a fault of the path
from here. A service counts as not reached once a round of probes has confirmed
that none of its upstreams is reached, in no zone.
"""

from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.reach.table import MIN_UNREACHED

# A round of probes that took longer tells of a pause of this process.
MAX_ROUND_TIME = 0.5  # seconds
GOOD_ROUNDS = 2  # in a row, until a service counts as reached again
MAX_GOOD_ROUNDS = 8
# A service that is lost again within this time needs twice as many.
RELAPSE_TIME = 10.0  # seconds
FULL_MARK = 2
# One of several upstreams tells less: the others may be out of reach.
PARTIAL_MARK = 1
NEVER = float('-inf')

Usable = Mapping[str, Collection[Upstream]]


class Probed(NamedTuple):
    """An upstream that was probed, and whether it was reached."""

    upstream: Upstream
    reached: bool


class ProbeRound(NamedTuple):
    """Probes that were made at once; times are in s.

    ``passed_on`` are the services that other instances serve meanwhile.
    """

    started: float
    ended: float
    probed: tuple[Probed, ...]
    passed_on: frozenset[str] = frozenset()

    @property
    def is_valid(self) -> bool:
        """Return whether this process ran all the time."""
        return self.ended - self.started <= MAX_ROUND_TIME

    def by_service(self) -> dict[str, list[Probed]]:
        """Return the probes of each service."""
        found: dict[str, list[Probed]] = {}
        for probe in self.probed:
            found.setdefault(probe.upstream.service, []).append(probe)
        return found


class ReachChange(NamedTuple):
    """A service that isn't reached any more, or is again.

    ``since`` is the time in s of the first failure, ``tried`` names upstreams.
    """

    service: str
    lost: bool
    since: float
    tried: tuple[str, ...] = ()
    usable: int = 0


class ServiceReach:
    """What is known of the path to the upstreams of one service."""

    def __init__(self) -> None:
        """Start without contacts."""
        self.lost = False
        self.since = NEVER
        # Not reached since the last upstream was, with their zones.
        self.failed: dict[str, str] = {}
        self.reached_at = NEVER
        self._marks = 0
        self._needed = GOOD_ROUNDS
        self._back_at = NEVER

    def note(self, upstream: Upstream, now: float, *, reached: bool) -> None:
        """Note a contact; one success ends a row of failures."""
        if reached:
            self.failed = {}
            self.reached_at = now
            return
        if not self.failed and not self.lost:
            self.since = now
        self.failed[upstream.id] = upstream.zone

    def lose(self, now: float) -> None:
        """Count the service as not reached."""
        relapsed = now - self._back_at < RELAPSE_TIME
        doubled = min(2 * self._needed, MAX_GOOD_ROUNDS)
        self._needed = doubled if relapsed else GOOD_ROUNDS
        self.lost = True
        self._marks = 0

    def note_round(
        self, probed: Collection[Probed], now: float, *, has_way: bool
    ) -> bool:
        """Note a round while lost; return whether the service is back.

        Relapses count only if there is another way, ``has_way``: without one,
        requests are tried here anyway.
        """
        self._marks += _mark(probed)
        if not any(probe.reached for probe in probed):
            self._marks = 0
        needed = self._needed if has_way else GOOD_ROUNDS
        if self._marks < FULL_MARK * needed:
            return False
        self.lost = False
        self._back_at = now
        return True


class ReachJudge:
    """Judges each service by contacts and rounds of probes."""

    def __init__(self) -> None:
        """Start with all services reached."""
        self._services: dict[str, ServiceReach] = {}

    @property
    def unreached(self) -> frozenset[str]:
        """Name the services none of whose upstreams are reached."""
        return self._select(lambda reach: reach.lost)

    @property
    def suspects(self) -> frozenset[str]:
        """Name the services that are to be probed."""
        return self._select(lambda reach: reach.lost or bool(reach.failed))

    def undecided_since(self) -> float | None:
        """Return since when a service has been undecided; None without one."""
        found = [
            reach.since
            for reach in self._services.values()
            if reach.failed and not reach.lost
        ]
        return max(found, default=None)

    def note(self, upstream: Upstream, now: float, *, reached: bool) -> None:
        """Note whether a connection to an upstream could be made."""
        known = self._services.setdefault(upstream.service, ServiceReach())
        known.note(upstream, now, reached=reached)

    def forget(self, upstream: str) -> None:
        """Drop the failures of an upstream, which has started again."""
        for reach in self._services.values():
            reach.failed.pop(upstream, None)

    def finish_round(
        self, done: ProbeRound, usable: Usable, now: float
    ) -> list[ReachChange]:
        """Judge the services after a round; return what has changed.

        Its contacts have been noted. ``usable`` lists the upstreams of each
        service; one without any is nothing to be cut off from.
        """
        changes = [
            ReachChange(service, False, reach.since)
            for service, reach in self._services.items()
            if reach.lost and not usable.get(service)
        ]
        self._keep(usable)
        for service, probed in done.by_service().items():
            if service in self._services:
                upstreams = usable[service]
                changes += self._judge(service, probed, upstreams, done, now)
        return changes

    def _judge(
        self,
        service: str,
        probed: Collection[Probed],
        upstreams: Collection[Upstream],
        done: ProbeRound,
        now: float,
    ) -> Iterator[ReachChange]:
        reach = self._services[service]
        if reach.lost:
            has_way = service in done.passed_on
            if reach.note_round(probed, now, has_way=has_way):
                count = len(upstreams)
                yield ReachChange(service, False, reach.since, usable=count)
        elif self._is_lost(reach, done, upstreams):
            reach.lose(now)
            tried = tuple(sorted(reach.failed))
            yield ReachChange(service, True, reach.since, tried)

    def _is_lost(
        self, reach: ServiceReach, done: ProbeRound, usable: Iterable[Upstream]
    ) -> bool:
        """Return whether a round confirms that a service is not reached."""
        if reach.reached_at >= done.started:
            return False
        known = {upstream.id: upstream.zone for upstream in usable}
        failed = known.keys() & reach.failed
        if len(known) == 1:
            return bool(failed) and self._reaches_nothing(reach, done)
        zones = {known[upstream] for upstream in failed}
        wanted = min(MIN_UNREACHED, len(set(known.values())))
        return len(failed) >= MIN_UNREACHED and len(zones) >= wanted

    def _reaches_nothing(self, reach: ServiceReach, done: ProbeRound) -> bool:
        """Return whether nothing at all was reached since ``reach.since``."""
        reached_at = max(known.reached_at for known in self._services.values())
        tried = {probe.upstream.id for probe in done.probed}
        return reached_at < reach.since and len(tried) >= MIN_UNREACHED

    def _keep(self, usable: Usable) -> None:
        """Drop what is known of upstreams that may not be used any more."""
        for service, reach in tuple(self._services.items()):
            ids = {upstream.id for upstream in usable.get(service, ())}
            if not ids:
                self._services.pop(service)
            reach.failed = {
                upstream: zone
                for upstream, zone in reach.failed.items()
                if upstream in ids
            }

    def _select(
        self, is_chosen: Callable[[ServiceReach], bool]
    ) -> frozenset[str]:
        return frozenset(
            service
            for service, reach in self._services.items()
            if is_chosen(reach)
        )


def _mark(probed: Collection[Probed]) -> int:
    """Return what a round says for a service that was lost."""
    reached = sum(probe.reached for probe in probed)
    if reached >= min(MIN_UNREACHED, len(probed)):
        return FULL_MARK if reached else 0
    return PARTIAL_MARK if reached else 0
