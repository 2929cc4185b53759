"""Who coordinates the slots of which zone; no I/O.

A zone is coordinated by its own instances. Upstreams of a zone without live
instances belong to another zone, which all instances choose alike.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from gentiantrestle.daemon.membership.rendezvous import owner
from gentiantrestle.gateway.membership.peers import Peer, PeerList
from gentiantrestle.gateway.roster import Roster

SCOPE_LIFETIME = 0.1  # seconds that a set of zones is kept


class Directory(Protocol):
    """Who coordinates which upstreams."""

    def coordinators(self, zone: str, now: float) -> tuple[Peer, ...]:
        """Order the instances that coordinate a zone's upstreams."""


class ZoneScope(NamedTuple):
    """The zones whose upstreams count in the own zone, as of a time in s."""

    zones: frozenset[str]
    found_at: float


class SlotDirectory:
    """Finds the coordinators of a zone's upstreams."""

    def __init__(
        self,
        zone: str,
        peers: PeerList,
        roster: Roster,
        rank: Callable[[str, float], tuple[Peer, ...]],
    ) -> None:
        """Let ``rank`` order the live instances of a zone."""
        self._zone = zone
        self._peers = peers
        self._roster = roster
        self._rank = rank
        self._scope = ZoneScope(frozenset((zone,)), float('-inf'))

    def coordinators(self, zone: str, now: float) -> tuple[Peer, ...]:
        """Order the instances that coordinate a zone's upstreams."""
        ranked = self._rank(zone, now)
        if ranked:
            return ranked
        adopter = owner(zone, self._live_zones(now))
        return self._rank(adopter or self._zone, now)

    def find_host(self, zone: str, now: float) -> str | None:
        """Return the host of a zone's first coordinator, or None."""
        ranked = self._rank(zone, now)
        return ranked[0].host if ranked else None

    def zones(self, now: float) -> frozenset[str]:
        """Return the zones whose upstreams the own zone coordinates."""
        if now - self._scope.found_at > SCOPE_LIFETIME:
            live = self._live_zones(now)
            adopted = {
                zone
                for zone in self._roster.zones() - live
                if owner(zone, live) == self._zone
            }
            self._scope = ZoneScope(frozenset(adopted | {self._zone}), now)
        return self._scope.zones

    def remote_hosts(self, now: float) -> tuple[str, ...]:
        """List the hosts of the other zones' first coordinators."""
        zones = sorted(self._live_zones(now) - {self._zone})
        found = (self.find_host(zone, now) for zone in zones)
        return tuple(host for host in found if host)

    def _live_zones(self, now: float) -> set[str]:
        alive = self._peers.alive(now)
        return {peer.zone for peer in alive if not peer.leaving} | {self._zone}
