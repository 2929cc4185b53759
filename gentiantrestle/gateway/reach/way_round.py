"""Decides for which services other instances are better placed; no I/O."""

from collections.abc import Collection, Iterable

from gentiantrestle.gateway.membership.peers import Peer

# Where all are cut off alike, one that has just started says nothing yet.
SETTLING_TIME = 1.0  # seconds


def reaching(peers: Iterable[Peer], service: str) -> list[Peer]:
    """List the instances that reach a service, as far as is known."""
    return [
        peer
        for peer in peers
        if not peer.leaving and service not in peer.cut_off
    ]


class WayRound:
    """The services that this instance doesn't reach, but others do."""

    def __init__(self) -> None:
        """Start with all services reached."""
        self.cut_off: frozenset[str] = frozenset()
        self._known: frozenset[str] = frozenset()
        # Since when others have reached a service again that none did, in s.
        self._found_at: dict[str, float] = {}

    def update(
        self, unreached: frozenset[str], peers: Collection[Peer], now: float
    ) -> None:
        """Note which services are not reached here, and the live peers."""
        self.cut_off = frozenset(
            service
            for service in unreached
            if self._has_way(service, peers, now)
        )
        self._known = unreached
        self._found_at = {
            service: found_at
            for service, found_at in self._found_at.items()
            if service in unreached
        }

    def _has_way(
        self, service: str, peers: Collection[Peer], now: float
    ) -> bool:
        if not reaching(peers, service):
            self._found_at.pop(service, None)
            return False
        if service in self.cut_off or service not in self._known:
            return True
        found_at = self._found_at.setdefault(service, now)
        return now - found_at >= SETTLING_TIME
