"""Watches the store while this instance has the role for its zone."""

import random
from collections.abc import Iterable, Iterator

from gentiantrestle import events
from gentiantrestle.gateway.batch.records import JOB_KIND
from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.follower import (
    Follower,
    StoreHandlers,
    WatchGate,
    WatchSpec,
)
from gentiantrestle.gateway.membership.peers import Peer
from gentiantrestle.gateway.ports import Adapter
from gentiantrestle.gateway.zone_watcher import WatcherElection
from gentiantrestle.supervisor import Child

# Pauses after a watch has returned changes, so that one call reads a series
# of them. Configuration and leaving upstreams must take effect within 2.5 s
# of the store's answer.
CONFIG_WATCH_PAUSE = 0.2  # seconds
UPSTREAM_WATCH_PAUSE = 0.4  # seconds
JOB_WATCH_PAUSE = 1.5  # seconds


class StoreWatching:
    """The followers of an instance, and the role that opens their gates.

    Every watcher follows the configuration and the upstreams; jobs, which may
    be late, are followed by the first watcher of the zone only.
    """

    def __init__(
        self,
        adapter: Adapter,
        state: FleetState,
        jobs: StoreHandlers,
        rng: random.Random,
        election: WatcherElection,
    ) -> None:
        """Follow nothing until a role is taken; ``jobs`` handles jobs."""
        kinds = adapter.kinds
        self._election = election
        self._gate = WatchGate()
        self._jobs_gate = WatchGate()
        followed = (
            (
                WatchSpec(kinds.config, CONFIG_WATCH_PAUSE, read_at_start=True),
                state.config_handlers(),
                self._gate,
            ),
            (
                WatchSpec(
                    kinds.upstreams, UPSTREAM_WATCH_PAUSE, read_at_start=True
                ),
                state.upstream_handlers(),
                self._gate,
            ),
            (WatchSpec(JOB_KIND, JOB_WATCH_PAUSE), jobs, self._jobs_gate),
        )
        self._followers = {
            spec.kind: Follower(adapter.store, spec, handlers, rng, gate)
            for spec, handlers, gate in followed
        }

    @property
    def is_connected(self) -> bool:
        """Return whether this instance watches the store and reaches it."""
        return self._gate.is_set() and all(
            follower.connected
            for follower in self._followers.values()
            if follower.is_open
        )

    def children(self) -> Iterator[Child]:
        """Yield the tasks that the supervisor runs."""
        for kind, follower in self._followers.items():
            yield Child(f'follow {kind}', follower.run)

    def update_role(self, peers: Iterable[Peer], now: float) -> None:
        """Start or stop watching the store on behalf of the zone."""
        held = self._election.decide(peers, now, connected=self.is_connected)
        if held != self._gate.is_set():
            events.emit(events.WATCHER_ROLE_CHANGED, held=held)
        self._gate.switch(is_open=held)
        self._jobs_gate.switch(is_open=self._election.is_first)
