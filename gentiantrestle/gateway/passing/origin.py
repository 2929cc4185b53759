"""Passes requests on to instances that reach the upstreams of a service."""

from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.membership.messages import Identity
from gentiantrestle.gateway.membership.peers import Peer, PeerList
from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.passing.choice import PeerChoice
from gentiantrestle.gateway.passing.messages import PassedRequest
from gentiantrestle.gateway.reach.service import UpstreamReach
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.slots.client import SlotLease
from gentiantrestle.models import Address


class PassingParts(NamedTuple):
    """What passing on depends on."""

    identity: Identity
    peers: PeerList
    reach: UpstreamReach
    roster: Roster
    choice: PeerChoice


class PeerPassing:
    """Finds instances to pass requests on to, and learns from their answers."""

    def __init__(
        self, parts: PassingParts, port: int, now: Callable[[], float]
    ) -> None:
        """Reach the other instances at ``port``."""
        self._parts = parts
        self._port = port
        self.now = now
        # Called with the outcome of each attempt through a peer.
        self.record: Callable[[str], None] = _record_nothing

    @property
    def instance(self) -> str:
        """Return the name of this instance."""
        return self._parts.identity.instance

    def find(
        self, service: str, version: str, excluded: str = ''
    ) -> SlotLease | None:
        """Return a stand-in for a slot; None if upstreams are to be tried.

        That is so while this instance reaches some of ``service``, and if no
        other one does.
        """
        if not self._parts.reach.is_cut_off(service):
            return None
        now = self.now()
        alive = self._parts.peers.alive(now)
        peer = self._parts.choice.choose(service, alive, now, excluded)
        if peer is None:
            return None
        self._parts.choice.begin(peer.instance)
        upstream = self._as_upstream(peer, service, version)
        return SlotLease(0, upstream, '', now, via=peer.instance)

    def release(self, lease: SlotLease) -> None:
        """Note that the peer of a lease has nothing more to do for it."""
        self._parts.choice.end(lease.via)

    def avoid(self, lease: SlotLease) -> None:
        """Pass nothing on to the peer of a lease for a while."""
        self._parts.choice.avoid(lease.via, self.now())

    def doubt(self, lease: SlotLease) -> None:
        """Prefer other peers for a while to that of a lease."""
        self._parts.choice.doubt(lease.via, self.now())

    def note_leaving(self, upstream: Upstream) -> None:
        """Note that the upstream of an answer is leaving."""
        self._parts.roster.leaving.add(*upstream.run, self.now())

    def log(self, passed: PassedRequest, lease: SlotLease) -> None:
        """Log that a request is passed on."""
        events.emit(
            events.REQUEST_PASSED_ON,
            request=passed.req.id,
            instance=lease.via,
            zone=lease.upstream.zone,
            service=passed.service,
            runs=passed.route.max_attempts - passed.runs,
        )

    def _as_upstream(self, peer: Peer, service: str, version: str) -> Upstream:
        return Upstream(
            peer.instance,
            service,
            Address(peer.host, self._port),
            peer.zone,
            0,
            draining=False,
            incarnation=peer.incarnation,
            version=version,
        )


def _record_nothing(outcome: str) -> None:
    """Record nothing; the default until metrics are set up."""
