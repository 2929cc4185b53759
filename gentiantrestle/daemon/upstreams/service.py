"""Keep what is known of each upstream, and their connections."""

import asyncio
from typing import Any, TypedDict

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.daemon.configuration.mirror import Copied
from gentiantrestle.daemon.configuration.service import Configuration
from gentiantrestle.daemon.membership.rendezvous import owner
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.membership.view import Load
from gentiantrestle.daemon.upstreams.health import Health, compare
from gentiantrestle.daemon.upstreams.leaving import LeavingMarks
from gentiantrestle.daemon.upstreams.loads import (
    PUBLISH_PERIOD,
    Loads,
    OnlinePressure,
)
from gentiantrestle.daemon.upstreams.routing import Candidate, Snapshot
from gentiantrestle.http.client import ConnectionPool
from gentiantrestle.models import Address, DeploymentDoc, UpstreamDoc

CONNECT_TIMEOUT = 1.0  # seconds
POOL_SIZE = 512
LIVE = 'live/'


class Upstream:
    """One upstream: requests in flight, health and connections."""

    def __init__(self, name: str, address: Address) -> None:
        """Start idle."""
        self.name = name
        self.online = 0
        self.batch = 0
        self.health = Health()
        self.pool = ConnectionPool(address, POOL_SIZE, CONNECT_TIMEOUT)


class UpstreamStatus(TypedDict):
    """An upstream as operators see it."""

    upstream: str
    zone: str
    online: int
    batch: int
    usable: bool
    leaving: bool
    batch_owner: str | None


class UpstreamRegistry:
    """The child that knows all upstreams of the configuration."""

    def __init__(
        self,
        ctx: Context,
        configuration: Configuration,
        membership: Membership,
    ) -> None:
        """Follow the live lists."""
        self._ctx = ctx
        self._configuration = configuration
        self._view = membership.view
        self._upstreams: dict[str, Upstream] = {}
        self._regions: dict[str, str] = {}
        self.loads = Loads(ctx, membership)
        self.leaving = LeavingMarks()
        configuration.mirror.listen(LIVE, self._take_live)

    async def run(self) -> None:
        """Tell the owners of batch slots of the own load until cancelled."""
        while True:
            await self.loads.wait()
            now = self._ctx.now()
            in_use = [
                upstream
                for upstream in self._upstreams.values()
                if upstream.online or upstream.batch
            ]
            owners = {self.batch_owner(name, now) for name in self._upstreams}
            await self.loads.tell(
                tuple(Load(one.name, one.online, one.batch) for one in in_use),
                owners - {None, self._ctx.cfg.instance},
            )
            await asyncio.sleep(PUBLISH_PERIOD)

    def settings(self, name: str) -> UpstreamDoc | None:
        """Return the configuration's settings of an upstream."""
        return self._configuration.fleet['upstreams'].get(name)

    def find(self, name: str) -> Upstream:
        """Return the state of an upstream of the configuration."""
        address = Address.parse(self.settings(name)['address'])
        known = self._upstreams.get(name)
        if known is None or known.pool.address != address:
            known = Upstream(name, address)
            self._upstreams[name] = known
        return known

    def snapshot(
        self,
        deployment: DeploymentDoc,
        now: float,
        prompt: str,
        excluded: frozenset[str],
    ) -> Snapshot:
        """Gather what a routing policy needs for an online request."""
        others = self.loads.totals(now)
        paces = {
            name: self.find(name).health.fresh_pace(now)
            for name in deployment['upstreams']
        }
        candidates = [
            self._candidate(name, others, paces, now)
            for name in deployment['upstreams']
            if name not in excluded
        ]
        return Snapshot(
            candidates,
            self._ctx.cfg.zone,
            self._ctx.cfg.region,
            prompt,
            self._ctx.random.random(),
        )

    def total_slots(self, deployment: DeploymentDoc) -> int:
        """Add up the slots of a deployment's upstreams."""
        return sum(
            self.settings(name)['slots'] for name in deployment['upstreams']
        )

    def share(self, name: str, now: float) -> int:
        """Return the slots of an upstream that this instance may count on."""
        settings = self.settings(name)
        if settings['zone'] != self._ctx.cfg.zone:
            return 0
        names = self._view.names(now, settings['zone'])
        return settings['slots'] // max(1, len(names))

    def batch_owner(self, name: str, now: float) -> str | None:
        """Name the instance that alone may send batch work upstream."""
        settings = self.settings(name)
        if settings is None:
            return None
        names = self._view.names(now, settings['zone'])
        return owner(f'slots/{name}', names)

    def online_pressure(self, name: str, now: float) -> OnlinePressure:
        """Tell how online uses an upstream, seen by its batch owner."""
        told = self.loads.totals(now).get(name)
        others = told.online if told else 0
        own = self.find(name).online
        return OnlinePressure(own + others, self.loads.doubtful(now))

    def is_usable(self, name: str, now: float) -> bool:
        """Tell whether an upstream may get new work."""
        healthy = self.find(name).health.is_usable(now)
        return healthy and name not in self.leaving

    def mark_leaving(self, name: str, incarnation: int) -> None:
        """Give an upstream no new work until a newer incarnation comes."""
        if self.leaving.mark(name, incarnation):
            events.emit(events.UPSTREAM_LEAVING, upstream=name)

    def describe(self, now: float) -> list[UpstreamStatus]:
        """Show what is known of each upstream."""
        return [
            UpstreamStatus(
                upstream=name,
                zone=settings['zone'],
                online=self.find(name).online,
                batch=self.find(name).batch,
                usable=self.is_usable(name, now),
                leaving=name in self.leaving,
                batch_owner=self.batch_owner(name, now),
            )
            for name, settings in self._configuration.fleet['upstreams'].items()
        ]

    def _candidate(
        self,
        name: str,
        others: dict[str, Load],
        paces: dict[str, float | None],
        now: float,
    ) -> Candidate:
        settings = self.settings(name)
        upstream = self.find(name)
        told = others.get(name, Load(name, 0, 0))
        peers = [pace for peer, pace in paces.items() if peer != name]
        return Candidate(
            upstream=name,
            zone=settings['zone'],
            region=self._region_of(settings['zone']),
            slots=settings['slots'],
            own=upstream.online,
            others=told.online,
            batch=upstream.batch + told.batch,
            share=self.share(name, now),
            slowness=compare(paces[name], peers).slowness,
            usable=self.is_usable(name, now),
        )

    def _region_of(self, zone: str) -> str:
        """Learn a zone's region from the live list, else from members."""
        known = self._regions.get(zone)
        if known:
            return known
        return self._view.region_of(zone)

    def _take_live(self, copied: Copied) -> None:
        document: dict[str, Any] = copied.document or {}
        zone = copied.name.removeprefix(LIVE)
        self._regions[zone] = document.get('region', '')
        for name, entry in document.get('upstreams', {}).items():
            incarnation = entry.get('incarnation', 0)
            if entry['state'] == 'leaving':
                self.mark_leaving(name, incarnation)
            else:
                self.leaving.clear(name, incarnation)
