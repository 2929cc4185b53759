"""This instance among the others of its fleet."""

from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle.daemon.membership.rendezvous import owner
from gentiantrestle.gateway.accounts.model import AllowanceTerms
from gentiantrestle.gateway.batch.context import Clock
from gentiantrestle.gateway.datagrams import DatagramPort
from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.membership.membership import Membership
from gentiantrestle.gateway.membership.messages import (
    Identity,
    InstanceStatus,
)
from gentiantrestle.gateway.membership.peers import PeerList, run_name
from gentiantrestle.gateway.topology import Topology
from gentiantrestle.models import Address
from gentiantrestle.quarantine.evidence import Evidence
from gentiantrestle.quarantine.guard import RequestGuard


class InstanceConfig(NamedTuple):
    """Identity, location and addresses of an instance.

    ``http_address`` is where callers connect, ``grace`` the time in s that a
    stop may take, ``drain_time`` the one that a leaving upstream serves for,
    and ``seeds`` are hosts of other instances. Requests that these pass on
    arrive at ``passing_port``, the same on all hosts; None if none may.

    A key that was taken away must serve no request sent ``revocation_time`` s
    later, in or out of touch; 0 sets no bound. ``allowance_terms`` are those of
    the accounts' allowances, and ``memory`` is what the process may use, in
    bytes; 0 sets no budget. With ``weighs_pace`` work is placed by the pace of
    the upstreams.
    """

    instance: str
    topology: Topology
    host: str
    http_address: Address
    peer_port: int
    seeds: tuple[str, ...]
    grace: float
    drain_time: float
    passing_port: int | None = None
    revocation_time: float = 0
    allowance_terms: AllowanceTerms = AllowanceTerms()
    memory: int = 0
    weighs_pace: bool = False


class FleetContext(NamedTuple):
    """This instance among the others, and what it knows of the fleet."""

    identity: Identity
    topology: Topology
    peers: PeerList
    port: DatagramPort
    membership: Membership
    state: FleetState
    clock: Clock

    @classmethod
    def from_config(
        cls,
        cfg: InstanceConfig,
        incarnation: int,
        state: FleetState,
        clock: Clock,
        read_status: Callable[[], InstanceStatus],
    ) -> 'FleetContext':
        """Build the parts that join the fleet; nothing is sent yet.

        ``incarnation`` grows with each start, and ``read_status`` returns what
        this instance says about itself.
        """
        zone = cfg.topology.zone
        identity = Identity(
            cfg.instance, incarnation, cfg.host, zone, cfg.peer_port
        )
        peers = PeerList(cfg.instance, cfg.host, zone, cfg.seeds)
        port = DatagramPort(Address(cfg.host, cfg.peer_port))
        membership = Membership(identity, peers, port, read_status, clock.now)
        return cls(
            identity, cfg.topology, peers, port, membership, state, clock
        )

    @property
    def run_name(self) -> str:
        """Name this run of the instance."""
        return run_name(self.identity.instance, self.identity.incarnation)

    def build_guard(self) -> RequestGuard:
        """Build the guard; one of the live instances tries a prompt again."""
        instance = self.identity.instance

        def is_elected(key: str) -> bool:
            alive = self.peers.alive(self.clock.now())
            names = {peer.instance for peer in alive}
            return owner(key, names | {instance}) == instance

        return RequestGuard(Evidence(), is_elected)
