"""Decides for which services other instances are better placed; no I/O."""

from collections.abc import Collection, Iterable

from gentiantrestle.gateway.membership.peers import Peer


def reaching(peers: Iterable[Peer], service: str) -> list[Peer]:
    """List the instances that reach a service, as far as is known.

    Those that are leaving serve until they stop listening; they are listed only
    where there are no others.
    """
    able = [peer for peer in peers if service not in peer.cut_off]
    return [peer for peer in able if not peer.leaving] or able


class WayRound:
    """The services that this instance doesn't reach, but others do.

    A row without a service isn't enough: an instance that doesn't use it hasn't
    noticed that its upstreams have ended.
    """

    def __init__(self) -> None:
        """Start with all services reached."""
        self.cut_off: frozenset[str] = frozenset()
        # Services that another instance has connected to when asked.
        self._confirmed: frozenset[str] = frozenset()

    def confirm(self, service: str) -> None:
        """Note that another instance reaches a service, as it found now."""
        self._confirmed |= {service}

    def unconfirmed(self, unreached: frozenset[str]) -> frozenset[str]:
        """Return the services of which others are to be asked."""
        return unreached - self._confirmed

    def update(
        self, unreached: frozenset[str], peers: Collection[Peer]
    ) -> None:
        """Note which services are not reached here, and the live peers."""
        self._confirmed = frozenset(
            service
            for service in self._confirmed & unreached
            if reaching(peers, service)
        )
        self.cut_off = self._confirmed
