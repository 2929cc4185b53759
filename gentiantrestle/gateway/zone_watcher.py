"""Which instances of a zone watch the store, and who copies; no I/O.

Each change in the store costs one call for every waiting watch, so with many
instances only some of each availability zone watch, and the others copy from
them. An instance that falls behind copies from any zone.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle.daemon.membership.sources import SourceStates
from gentiantrestle.gateway.membership.peers import Peer

# An instance sends to its own zone at least every 0.4 s. Changes must be in
# force 2.5 s after the store has them, including the time to notice a dead
# watcher.
WATCHER_SILENCE = 1.0  # seconds until a silent watcher is replaced
# All instances start within 0.3 s of each other.
START_WAIT = 0.6  # seconds for a new instance to receive datagrams
RANK_STEP = 0.4  # seconds that each next candidate waits longer
# If the first candidates fail, the store is likely down for all. The others
# try as well, but later, since each try is a call that the store counts.
QUICK_RANKS = 3
LATE_STEP = 1.5  # seconds that each later candidate waits longer
# How long the zone's own watcher may be behind other instances: its pause
# between two calls for the same kind, plus the time that datagrams take.
URGENT_LAG = 0.8  # seconds, for the configuration and the upstreams
JOBS_LAG = 3.0  # seconds
NEVER = float('inf')


class Revisions(NamedTuple):
    """How new an instance's state is; revisions are the store's.

    Equal fingerprints mean equal upstream entries.
    """

    config_version: int
    upstreams_revision: int
    jobs_revision: int
    upstreams_fingerprint: int = 0


class WatcherElection:
    """Decides whether this instance watches the store for its zone."""

    def __init__(
        self, instance: str, zone: str, started_at: float, seats: int = 1
    ) -> None:
        """Don't watch for ``START_WAIT``, so that datagrams arrive first.

        ``seats`` instances of the zone watch.
        """
        self._instance = instance
        self._zone = zone
        self._seats = seats
        self._vacant_since = started_at + START_WAIT
        self.is_watcher = False
        # Whether no watcher of the zone that reaches the store goes before.
        self.is_first = False

    def decide(
        self,
        peers: Iterable[Peer],
        now: float,
        *,
        connected: bool,
    ) -> bool:
        """Return whether to watch.

        ``connected``: this instance watches the store and reaches it.

        Of the watchers that reach the store the first by name go on. Where
        there are too few, the instances start to watch one after the other,
        by name.
        """
        candidates = [
            peer
            for peer in peers
            if peer.zone == self._zone
            and not peer.leaving
            and now - peer.received_at < WATCHER_SILENCE
        ]
        watchers = [peer for peer in candidates if peer.store_reached]
        earlier = [peer for peer in watchers if peer.instance < self._instance]
        others = earlier if self.is_watcher and connected else watchers
        if len(others) >= self._seats:
            self._vacant_since = now
            self.is_watcher = False
        elif not self.is_watcher:
            rank = sum(peer.instance < self._instance for peer in candidates)
            step = RANK_STEP if rank < QUICK_RANKS else LATE_STEP
            self.is_watcher = now - self._vacant_since >= step * rank
        self.is_first = self.is_watcher and not earlier
        return self.is_watcher


class LagTracker:
    """Measures for how long a revision that others have is missing here."""

    def __init__(self) -> None:
        """Start with no lag."""
        self._target = 0
        self._behind_since = NEVER

    def lag(self, known: int, newest: int, now: float) -> float:
        """Return for how long this instance has been behind, in s.

        ``known`` is its own revision, ``newest`` the newest of the others.

        It is negative infinity while nothing is missing. Others may get ahead
        again and again: only the revision that they had when this instance
        fell behind has to be reached.
        """
        if newest <= known:
            self._behind_since = NEVER
        elif self._behind_since == NEVER or known >= self._target:
            self._target = newest
            self._behind_since = now
        return now - self._behind_since


class CopySourceSelector:
    """Chooses the instance from which newer state is copied."""

    def __init__(self, zone: str, rand: Callable[[], float]) -> None:
        """Prefer the watcher of ``zone``.

        ``rand`` returns random numbers from 0 up to but not including 1.
        """
        self._zone = zone
        self._rand = rand
        self._behind_since = NEVER
        self._jobs_lag = LagTracker()

    def choose(
        self,
        known: Revisions,
        peers: Iterable[Peer],
        states: SourceStates,
        now: float,
    ) -> Peer | None:
        """Return the instance to copy from now, or None.

        That is the zone's watcher if it is ahead of ``known``, or another
        instance that is ahead if the watcher is silent, or if this instance
        has been behind for too long.
        """
        all_peers = list(peers)
        urgent = [peer for peer in all_peers if _is_ahead(peer, known)]
        jobs = [
            peer
            for peer in all_peers
            if peer.jobs_revision > known.jobs_revision
        ]
        if self._must_not_wait(urgent, states, now):
            return self._pick(urgent, states)
        newest = max((peer.jobs_revision for peer in jobs), default=0)
        if self._jobs_lag.lag(known.jobs_revision, newest, now) >= JOBS_LAG:
            return self._pick(jobs, states)
        watchers = states.usable(filter(self._is_watcher, urgent + jobs))
        return min(watchers, key=lambda peer: peer.instance, default=None)

    def _must_not_wait(
        self, urgent: list[Peer], states: SourceStates, now: float
    ) -> bool:
        """Return whether to copy what is ``urgent`` from anybody."""
        self._behind_since = min(self._behind_since, now) if urgent else NEVER
        if now - self._behind_since >= URGENT_LAG:
            return True
        watchers = list(filter(self._is_watcher, urgent))
        return bool(watchers) and all(
            states.is_silent(peer.instance) for peer in watchers
        )

    def _is_watcher(self, peer: Peer) -> bool:
        return peer.zone == self._zone and peer.store_reached

    def _pick(
        self, candidates: list[Peer], states: SourceStates
    ) -> Peer | None:
        """Choose by lot: of the own zone, or of zones with nobody silent."""
        usable = states.usable(candidates)
        if not usable:
            return None
        silent_zones = {
            peer.zone for peer in candidates if states.is_silent(peer.instance)
        }
        near = [peer for peer in usable if peer.zone == self._zone]
        sound = [peer for peer in usable if peer.zone not in silent_zones]
        best = near or sound or usable
        return best[int(self._rand() * len(best))]


def _is_ahead(peer: Peer, known: Revisions) -> bool:
    """Return whether a peer has a newer configuration or other upstreams."""
    if peer.config_version > known.config_version:
        return True
    newer = peer.upstreams_revision > known.upstreams_revision
    return newer and peer.upstreams_fingerprint != known.upstreams_fingerprint
