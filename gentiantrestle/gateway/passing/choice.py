"""Chooses the instance that a request is passed on to; no I/O."""

from collections import Counter
from collections.abc import Callable, Iterable

from gentiantrestle.gateway.membership.peers import Peer
from gentiantrestle.gateway.topology import Topology

# Rows tell of a loss or a cut within about this time.
AVOID_TIME = 1.5  # seconds


class PeerChoice:
    """Knows what instances have to do for this one, and which failed."""

    def __init__(self, topology: Topology, rand: Callable[[], float]) -> None:
        """Prefer near instances; ``rand`` returns numbers below 1."""
        self._topology = topology
        self._rand = rand
        self._loads: Counter[str] = Counter()
        self._avoided_until: dict[str, float] = {}
        self._doubted_until: dict[str, float] = {}

    def begin(self, instance: str) -> None:
        """Note that a request is passed on to an instance."""
        self._loads[instance] += 1

    def end(self, instance: str) -> None:
        """Note that an instance has no more to do with a request."""
        self._loads[instance] -= 1
        if self._loads[instance] <= 0:
            self._loads.pop(instance)

    def avoid(self, instance: str, now: float) -> None:
        """Ask others for a while: this one can't be reached, or can't serve."""
        self._avoided_until[instance] = now + AVOID_TIME

    def doubt(self, instance: str, now: float) -> None:
        """Prefer others for a while: an answer through this one broke off.

        Its upstream may have ended as well as the instance.
        """
        self._doubted_until[instance] = now + AVOID_TIME

    def choose(
        self,
        service: str,
        alive: Iterable[Peer],
        now: float,
        excluded: str = '',
    ) -> Peer | None:
        """Return an instance that reaches a service, or None.

        ``alive`` are the other instances; ``excluded`` names one of them.
        """
        self._forget(now)
        alive = tuple(alive)
        able = [
            peer
            for peer in alive
            if peer.instance != excluded and self._is_able(peer, service)
        ]
        staying = [peer for peer in able if not peer.leaving] or able
        sound = [
            peer for peer in staying if peer.instance not in self._doubted_until
        ]
        return self._choose_idler(
            self._preferred(sound or staying, alive, service)
        )

    def _preferred(
        self, able: list[Peer], alive: Iterable[Peer], service: str
    ) -> list[Peer]:
        """Leave out those that lie further away than needed."""
        own_zone = self._topology.zone
        local = [peer for peer in able if peer.zone == own_zone]
        cut_off = sum(
            peer.zone == own_zone and service in peer.cut_off for peer in alive
        )
        # This instance is cut off, too.
        if len(local) > cut_off:
            return local
        near = [peer for peer in able if self._topology.is_near(peer.zone)]
        return near or able

    def _choose_idler(self, peers: list[Peer]) -> Peer | None:
        """Return the one of two random instances that has less to do."""
        if not peers:
            return None
        chosen = (peers[int(self._rand() * len(peers))] for _ in range(2))
        return min(chosen, key=lambda peer: self._loads[peer.instance])

    def _is_able(self, peer: Peer, service: str) -> bool:
        return not (
            peer.starting
            or service in peer.cut_off
            or peer.instance in self._avoided_until
        )

    def _forget(self, now: float) -> None:
        self._avoided_until = _still(self._avoided_until, now)
        self._doubted_until = _still(self._doubted_until, now)


def _still(until: dict[str, float], now: float) -> dict[str, float]:
    """Leave out the instances whose time is over."""
    return {name: end for name, end in until.items() if now < end}
