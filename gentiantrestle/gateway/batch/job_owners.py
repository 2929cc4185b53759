"""Leaves jobs to other instances while they can't be finished here.

That takes the services of their routes, and the store for their results.
"""

from collections.abc import Collection, Mapping

from gentiantrestle import events
from gentiantrestle.gateway.batch.stranded_runs import StrandedRuns
from gentiantrestle.gateway.membership.peers import PeerList
from gentiantrestle.gateway.model import Job
from gentiantrestle.gateway.reach.service import UpstreamReach
from gentiantrestle.gateway.reach.store_reach import STORE, StoreReach
from gentiantrestle.gateway.routing import Router

NOBODY: frozenset[str] = frozenset()


class JobOwners:
    """Tells the runner which runs leave which jobs to the others now.

    An instance may reach the upstreams of one service and not those of another.
    """

    def __init__(
        self,
        run_name: str,
        peers: PeerList,
        reach: UpstreamReach,
        router: Router,
        store_reach: StoreReach,
    ) -> None:
        """Start with all instances running jobs; this run is ``run_name``."""
        self._run_name = run_name
        self._peers = peers
        self._reach = reach
        self._router = router
        self._store_reach = store_reach
        self._by_service: dict[str, StrandedRuns] = {}
        self._live = NOBODY

    def read_unreached(self) -> frozenset[str]:
        """Name the services not reached from here, and ``STORE`` if so."""
        lost = (STORE,) if self._store_reach.is_lost else ()
        return self._reach.unreached.union(lost)

    @property
    def services_left(self) -> list[str]:
        """Name the services whose jobs here are run by others."""
        return sorted(
            service
            for service, known in self._by_service.items()
            if self._run_name in known.runs
        )

    def find_stranded(self, job: Job) -> frozenset[str]:
        """Return the runs that leave a job to others.

        Those that don't reach all services of its route, or not the store; none
        if no run reaches them all.
        """
        if not any(known.runs for known in self._by_service.values()):
            return NOBODY
        route = self._router.match_job(job)
        shares = route.shares if route else ()
        needed = {STORE}.union(known.service for known in shares)
        services = self._by_service.keys() & needed
        found = NOBODY.union(
            *(self._by_service[name].runs for name in services)
        )
        return found if self._live - found else NOBODY

    def update(self, now: float) -> bool:
        """Look at all rows; return whether jobs change hands."""
        alive = self._peers.alive(now)
        unreached = {
            peer.run: peer.cut_off for peer in alive if not peer.leaving
        }
        unreached[self._run_name] = self.read_unreached()
        self._live = frozenset(unreached)
        in_doubt = any(unreached.values())
        services = set(self._reach.services()) if in_doubt else set()
        # A store that answers nobody is out for all: no job moves.
        if in_doubt and self._store_reach.answers_some(alive):
            services.add(STORE)
        left = self.services_left
        changes = [
            self._update_service(service, unreached, services, now)
            for service in services | self._by_service.keys()
        ]
        self._log_left(left)
        return any(changes)

    def _update_service(
        self,
        service: str,
        unreached: Mapping[str, Collection[str]],
        services: Collection[str],
        now: float,
    ) -> bool:
        stranded = self._by_service.setdefault(service, StrandedRuns())
        is_known = service in services
        judged = (service,) if is_known else ()
        changed = stranded.update(unreached, judged, now)
        if not is_known and stranded.is_idle:
            self._by_service.pop(service)
        return changed

    def _log_left(self, before: list[str]) -> None:
        left = self.services_left
        if left != before:
            events.emit(events.JOBS_LEFT, left=bool(left), services=left)
