"""The supervised child that tracks the state of all upstreams."""

import asyncio
from typing import Any, TypedDict

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.daemon.configuration.mirror import MirroredObject
from gentiantrestle.daemon.configuration.service import Configuration
from gentiantrestle.daemon.membership.rendezvous import owner
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.membership.view import Load
from gentiantrestle.daemon.upstreams.health import Health, compare_pace
from gentiantrestle.daemon.upstreams.leaving import LeavingUpstreams
from gentiantrestle.daemon.upstreams.loads import (
    PUBLISH_PERIOD,
    LoadExchange,
    OnlinePressure,
)
from gentiantrestle.daemon.upstreams.routing import Candidate, Snapshot
from gentiantrestle.http.pool import ConnectionPool
from gentiantrestle.models import Address, DeploymentDoc, UpstreamDoc

CONNECT_TIMEOUT = 1.0  # seconds
POOL_SIZE = 512  # connections
LIVE_PREFIX = 'live/'


class Upstream:
    """An upstream's health, connections, and load from this instance.

    ``online`` and ``batch`` count requests in flight.
    """

    def __init__(self, name: str, address: Address) -> None:
        """Start idle and healthy; connections are opened when needed."""
        self.name = name
        self.online = 0
        self.batch = 0
        self.health = Health()
        self.pool = ConnectionPool(address, POOL_SIZE, CONNECT_TIMEOUT)


class UpstreamStatus(TypedDict):
    """An upstream's state as shown to operators."""

    upstream: str
    zone: str
    online: int
    batch: int
    usable: bool
    leaving: bool
    batch_owner: str | None


class UpstreamRegistry:
    """Tracks the state of all upstreams of the configuration."""

    def __init__(
        self,
        ctx: Context,
        configuration: Configuration,
        membership: Membership,
    ) -> None:
        """Start without state; follow the zones' lists of live upstreams."""
        self._ctx = ctx
        self._configuration = configuration
        self._view = membership.view
        self._upstreams: dict[str, Upstream] = {}
        self._regions: dict[str, str] = {}
        self.loads = LoadExchange(ctx, membership)
        self.leaving = LeavingUpstreams()
        configuration.mirror.add_listener(LIVE_PREFIX, self._apply_live_list)

    async def run(self) -> None:
        """Publish this instance's loads on each change until cancelled."""
        while True:
            await self.loads.wait_for_change()
            now = self._ctx.now()
            active = [
                upstream
                for upstream in self._upstreams.values()
                if upstream.online or upstream.batch
            ]
            owners = {self.batch_owner(name, now) for name in self._upstreams}
            await self.loads.publish(
                tuple(
                    Load(busy.name, busy.online, busy.batch) for busy in active
                ),
                owners - {None, self._ctx.cfg.instance},
            )
            await asyncio.sleep(PUBLISH_PERIOD)

    def settings(self, name: str) -> UpstreamDoc | None:
        """Return an upstream's settings, or None if it is not configured."""
        return self._configuration.fleet['upstreams'].get(name)

    def find(self, name: str) -> Upstream:
        """Return the state of a configured upstream.

        The state starts afresh when the address in the configuration changes.
        """
        address = Address.parse(self.settings(name)['address'])
        upstream = self._upstreams.get(name)
        if upstream is None or upstream.pool.address != address:
            upstream = Upstream(name, address)
            self._upstreams[name] = upstream
        return upstream

    def snapshot(
        self,
        deployment: DeploymentDoc,
        now: float,
        prompt: str,
        excluded: frozenset[str],
    ) -> Snapshot:
        """Collect what a routing policy needs to route an online request.

        ``excluded`` names the upstreams that are left out.
        """
        remote_loads = self.loads.remote_totals(now)
        paces = {
            name: self.find(name).health.recent_pace(now)
            for name in deployment['upstreams']
        }
        candidates = [
            self._build_candidate(name, remote_loads, paces, now)
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

    def local_share(self, name: str, now: float) -> int:
        """Return how many slots of an upstream this instance may always use.

        The live instances of the upstream's zone share them evenly; those of
        other zones get none.
        """
        settings = self.settings(name)
        if settings['zone'] != self._ctx.cfg.zone:
            return 0
        names = self._view.live_names(now, settings['zone'])
        return settings['slots'] // max(1, len(names))

    def batch_owner(self, name: str, now: float) -> str | None:
        """Return the one instance that may send batch work to an upstream.

        Return None if the upstream is not configured or its zone has no live
        instance.
        """
        settings = self.settings(name)
        if settings is None:
            return None
        names = self._view.live_names(now, settings['zone'])
        return owner(f'slots/{name}', names)

    def online_pressure(self, name: str, now: float) -> OnlinePressure:
        """Return the online load of an upstream, for its batch owner."""
        remote = self.loads.remote_totals(now).get(name)
        remote_online = remote.online if remote else 0
        local_online = self.find(name).online
        return OnlinePressure(
            local_online + remote_online, self.loads.uncertain_instances(now)
        )

    def is_usable(self, name: str, now: float) -> bool:
        """Tell whether an upstream may get new work."""
        healthy = self.find(name).health.is_usable(now)
        return healthy and name not in self.leaving

    def others(self, name: str, deployment: DeploymentDoc) -> list[Address]:
        """Return the addresses of a deployment's other usable upstreams."""
        now = self._ctx.now()
        return [
            self.find(other).pool.address
            for other in deployment['upstreams']
            if other != name and self.is_usable(other, now)
        ]

    def mark_leaving(self, name: str, incarnation: int) -> None:
        """Give an upstream no new work until a newer incarnation is live."""
        if self.leaving.add(name, incarnation):
            events.emit(events.UPSTREAM_LEAVING, upstream=name)

    def describe(self, now: float) -> list[UpstreamStatus]:
        """Return the status of each configured upstream, for operators."""
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

    def _build_candidate(
        self,
        name: str,
        remote_loads: dict[str, Load],
        paces: dict[str, float | None],
        now: float,
    ) -> Candidate:
        settings = self.settings(name)
        upstream = self.find(name)
        remote = remote_loads.get(name, Load(name, 0, 0))
        peers = [pace for peer, pace in paces.items() if peer != name]
        return Candidate(
            upstream=name,
            zone=settings['zone'],
            region=self._region_of(settings['zone']),
            slots=settings['slots'],
            local_online=upstream.online,
            remote_online=remote.online,
            batch=upstream.batch + remote.batch,
            share=self.local_share(name, now),
            slowness=compare_pace(paces[name], peers).slowness,
            usable=self.is_usable(name, now),
        )

    def _region_of(self, zone: str) -> str:
        """Return a zone's region by its live list, else by its members."""
        region = self._regions.get(zone)
        if region:
            return region
        return self._view.region_of(zone)

    def _apply_live_list(self, mirrored: MirroredObject) -> None:
        document: dict[str, Any] = mirrored.document or {}
        zone = mirrored.name.removeprefix(LIVE_PREFIX)
        self._regions[zone] = document.get('region', '')
        for name, entry in document.get('upstreams', {}).items():
            incarnation = entry.get('incarnation', 0)
            if entry['state'] == 'leaving':
                self.mark_leaving(name, incarnation)
            else:
                self.leaving.clear_if_newer(name, incarnation)
