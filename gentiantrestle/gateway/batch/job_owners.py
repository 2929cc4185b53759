"""Leaves the jobs of instances that reach no upstream to the others."""

from collections.abc import Callable

from gentiantrestle import events
from gentiantrestle.gateway.batch.stranded_runs import StrandedRuns
from gentiantrestle.gateway.membership.peers import PeerList
from gentiantrestle.gateway.reach.service import UpstreamReach


class JobOwners:
    """Tells the list of instances, and the runner, who runs no jobs now."""

    def __init__(
        self,
        run_name: str,
        peers: PeerList,
        reach: UpstreamReach,
        now: Callable[[], float],
    ) -> None:
        """Start with all instances running jobs; this run is ``run_name``."""
        self._run_name = run_name
        self._peers = peers
        self._reach = reach
        self._now = now
        self._stranded = StrandedRuns()

    @property
    def is_stranded(self) -> bool:
        """Return whether others run the jobs of this instance."""
        return self._run_name in self._stranded.runs

    def update(self) -> bool:
        """Look at all rows; return whether jobs change hands."""
        now = self._now()
        unreached = {
            peer.run: peer.cut_off
            for peer in self._peers.alive(now)
            if not peer.leaving
        }
        unreached[self._run_name] = self._reach.unreached
        in_doubt = any(unreached.values())
        services = self._reach.services() if in_doubt else ()
        was_stranded = self.is_stranded
        if not self._stranded.update(unreached, services, now):
            return False
        self._peers.stranded = self._stranded.runs
        if was_stranded != self.is_stranded:
            events.emit(events.JOBS_LEFT, left=self.is_stranded)
        return True
