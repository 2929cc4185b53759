"""The other instances: which are alive and what they know; no I/O.

Handles instances that are killed, paused, cut off or restarted: one that is
silent for too long on this instance's monotonic clock counts as gone, and a
restart shows by a new incarnation. Rows arrive from the instances themselves
or from relays, which say how old each row is.
"""

from collections.abc import Iterable
from typing import NamedTuple

from gentiantrestle.daemon.membership.rendezvous import rank

# Rows of the own zone are passed on several times within this time, also while
# another instance becomes the relay.
SILENCE_TIMEOUT = 2.0  # seconds until an instance of the own zone is gone
# Rows of other zones pass two relays and are sent less often.
REMOTE_SILENCE_TIMEOUT = 5.0  # seconds
# Rows of the own zone come each 0.25 s, those of other zones each second.
TOUCH_TIME = 1.5  # seconds
# Hosts of lost instances still get heartbeats, so that both sides find each
# other after a network partition. Seeds are never forgotten.
FORGET_AFTER = 60.0  # seconds
HEX = 16


class Peer(NamedTuple):
    """What another instance last sent about itself.

    ``received_at`` is when that was sent or arrived at a relay, at the latest,
    on this instance's clock, in s. One that is starting knows of little yet.
    ``cut_off`` are the services whose upstreams it doesn't reach, and ``STORE``
    if it doesn't reach the store. Those that watch the store and reach it set
    ``store_reached``.
    """

    instance: str
    incarnation: int
    sequence: int
    host: str
    zone: str
    leaving: bool
    config_version: int
    store_reached: bool
    received_at: float
    upstreams_revision: int = 0
    jobs_revision: int = 0
    upstreams_fingerprint: int = 0
    starting: bool = False
    cut_off: frozenset[str] = frozenset()

    @property
    def run(self) -> str:
        """Name of this run of the instance; a restart has another one."""
        return run_name(self.instance, self.incarnation)

    def is_alive(self, now: float, silence: float = SILENCE_TIMEOUT) -> bool:
        """Return whether a row arrived in the last ``silence`` s."""
        return now - self.received_at < silence


class KnownHost(NamedTuple):
    """A host that an instance was heard of at, and when, in s."""

    zone: str
    heard_at: float


class PeerList:
    """The other instances by name, and the hosts they run on."""

    def __init__(
        self,
        instance: str,
        host: str,
        zone: str,
        seeds: Iterable[str],
    ) -> None:
        """Start with the hosts in ``seeds`` and no known instances."""
        self._instance = instance
        self._zone = zone
        self._own_host = host
        self._by_name: dict[str, Peer] = {}
        self.seeds: frozenset[str] = frozenset()
        self.replace_seeds(seeds)
        self._hosts: dict[str, KnownHost] = {}

    def replace_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the hosts at which other instances are looked for."""
        self.seeds = frozenset(seeds) - {self._own_host}

    def unheard_seeds(self, now: float) -> list[str]:
        """List the seeds from which no live instance was heard."""
        heard = {peer.host for peer in self.alive(now)}
        return sorted(self.seeds - heard)

    def update(self, peer: Peer) -> bool:
        """Apply a row; return whether this run of the instance is new.

        Rows that are repeated or arrive out of order are ignored.
        """
        if peer.instance == self._instance:
            return False
        known = self._by_name.get(peer.instance)
        if known is not None and peer[1:3] <= known[1:3]:
            return False
        self._by_name[peer.instance] = peer
        self._hosts[peer.host] = KnownHost(peer.zone, peer.received_at)
        return known is None or known.incarnation != peer.incarnation

    def known_hosts(self, zone: str, now: float) -> list[str]:
        """List the hosts of a zone, those of lost instances included."""
        self._hosts = {
            host: known
            for host, known in self._hosts.items()
            if now - known.heard_at <= FORGET_AFTER
        }
        return sorted(
            host for host, known in self._hosts.items() if known.zone == zone
        )

    def known_zones(self) -> set[str]:
        """Return the other zones in which instances were heard of."""
        zones = {known.zone for known in self._hosts.values()}
        return zones - {self._zone}

    def remove_silent(self, now: float) -> list[Peer]:
        """Remove and return the instances that are gone."""
        silent = [
            peer
            for peer in self._by_name.values()
            if not self._is_alive(peer, now)
        ]
        for peer in silent:
            self._by_name.pop(peer.instance)
        return silent

    def working_runs(self, now: float) -> tuple[str, ...]:
        """Name the runs of live instances that run jobs."""
        return tuple(peer.run for peer in self.alive(now) if not peer.leaving)

    def find_run(self, run: str) -> Peer | None:
        """Return the instance of a run, or None if it is not known."""
        return next(
            (peer for peer in self._by_name.values() if peer.run == run), None
        )

    def has_ended(self, run: str) -> bool:
        """Return whether a later run of the same instance was heard of."""
        instance, _, incarnation = run.rpartition('/')
        known = self._by_name.get(instance)
        return known is not None and known.incarnation > int(incarnation, HEX)

    def alive(self, now: float) -> list[Peer]:
        """List the instances that are alive."""
        return [
            peer for peer in self._by_name.values() if self._is_alive(peer, now)
        ]

    def alive_in(self, zone: str, now: float) -> list[Peer]:
        """List the instances of a zone that are alive."""
        return [peer for peer in self.alive(now) if peer.zone == zone]

    def _is_alive(self, peer: Peer, now: float) -> bool:
        local = peer.zone == self._zone
        return peer.is_alive(
            now, SILENCE_TIMEOUT if local else REMOTE_SILENCE_TIMEOUT
        )


def run_name(instance: str, incarnation: int) -> str:
    """Name one run of an instance."""
    return f'{instance}/{incarnation:x}'


def rank_zone(zone: str, peers: Iterable[Peer]) -> list[Peer]:
    """Order the instances of a zone; those that leave are left out.

    All instances that know the same rows return the same order.
    """
    by_name = {peer.instance: peer for peer in peers if not peer.leaving}
    return [by_name[name] for name in rank(zone, by_name)]
