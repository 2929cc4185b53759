"""Which instance watches the store for its zone, and who copies; no I/O.

Answers the load of many instances: each change of the store costs a call for
every waiting watch, so one instance of an availability zone watches and the
others copy from it. Whoever falls behind copies from any zone.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle.gateway.peers import Peer

# An instance tells of itself at least every 0.4 s. Changes must be in force
# 2.5 s after the store has them, the time to notice a dead watcher included.
WATCHER_SILENCE = 1.0  # seconds until a silent watcher is replaced
# All instances start within 0.3 s of each other.
START_WAIT = 0.6  # seconds in which a new instance hears of the others
RANK_STEP = 0.4  # seconds by which the next in line waits longer
# Where these first in line fail, the store is likely away for all; the others
# try as well, but later, since each try is a call that the store counts.
QUICK_RANKS = 3
LATE_STEP = 1.5  # seconds
# How long the own zone's watcher may lag behind others: its pause between two
# calls for the same kind, and the way of the news.
URGENT_LAG = 0.8  # seconds, for the configuration and the upstreams
JOBS_LAG = 3.0  # seconds
NEVER = float('inf')


class Revisions(NamedTuple):
    """How new this instance's knowledge is; revisions are the store's."""

    config_version: int
    upstreams_revision: int
    jobs_revision: int
    upstreams_fingerprint: int = 0


class WatcherElection:
    """Whether this instance watches the store."""

    def __init__(self, instance: str, zone: str, began: float) -> None:
        """Watch nothing until others had time to be heard."""
        self._instance = instance
        self._zone = zone
        self._vacant_since = began + START_WAIT
        self.held = False

    def decide(
        self,
        peers: Iterable[Peer],
        now: float,
        *,
        connected: bool,
    ) -> bool:
        """Tell whether to watch; ``connected`` if the store is heard.

        Of two that hear the store the first by name goes on; where nobody
        does, one after the other tries as well.
        """
        near = [
            one
            for one in peers
            if one.zone == self._zone
            and not one.leaving
            and now - one.last_heard < WATCHER_SILENCE
        ]
        rivals = [one for one in near if one.store_reached]
        if self.held and connected:
            rivals = [one for one in rivals if one.instance < self._instance]
        if rivals:
            self._vacant_since = now
            self.held = False
        elif not self.held:
            rank = sum(one.instance < self._instance for one in near)
            step = RANK_STEP if rank < QUICK_RANKS else LATE_STEP
            self.held = now - self._vacant_since >= step * rank
        return self.held


class Goal:
    """A revision that others have, and since when it has been missed."""

    def __init__(self) -> None:
        """Miss nothing."""
        self._revision = 0
        self._since = NEVER

    def lag(self, own: int, ahead: int, now: float) -> float:
        """Return for how long what others had has been missed here, in s.

        Others may get ahead again and again; that is no lag as long as this
        instance reaches in time what they had when it fell behind.
        """
        if ahead <= own:
            self._since = NEVER
        elif self._since == NEVER or own >= self._revision:
            self._revision = ahead
            self._since = now
        return now - self._since


class CopySourceSelector:
    """From whom this instance copies what is newer than its own."""

    def __init__(self, zone: str, chance: Callable[[], float]) -> None:
        """Prefer the zone's own watcher; ``chance`` is from 0 to 1."""
        self._zone = zone
        self._chance = chance
        self._behind_since = NEVER
        self._jobs = Goal()

    def choose(
        self,
        known: Revisions,
        peers: Iterable[Peer],
        now: float,
    ) -> Peer | None:
        """Return whom to copy from now, if anybody is ahead."""
        every = list(peers)
        urgent = [one for one in every if _is_ahead(one, known)]
        jobs = [one for one in every if one.jobs_revision > known.jobs_revision]
        self._behind_since = min(self._behind_since, now) if urgent else NEVER
        if now - self._behind_since >= URGENT_LAG:
            return self._any(urgent)
        newest = max((one.jobs_revision for one in jobs), default=0)
        if self._jobs.lag(known.jobs_revision, newest, now) >= JOBS_LAG:
            return self._any(jobs)
        near = [one for one in urgent + jobs if self._is_watcher(one)]
        return min(near, key=lambda one: one.instance, default=None)

    def _is_watcher(self, peer: Peer) -> bool:
        return peer.zone == self._zone and peer.store_reached

    def _any(self, found: list[Peer]) -> Peer:
        return found[int(self._chance() * len(found))]


def _is_ahead(peer: Peer, known: Revisions) -> bool:
    if peer.config_version > known.config_version:
        return True
    newer = peer.upstreams_revision > known.upstreams_revision
    return newer and peer.upstreams_fingerprint != known.upstreams_fingerprint
