"""Keep what is known of each upstream, and their connections."""

import asyncio
import random
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.daemon.configuration.mirror import Copied
from gentiantrestle.daemon.configuration.service import Configuration
from gentiantrestle.daemon.membership.peers import PeerError
from gentiantrestle.daemon.membership.rendezvous import owner
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.membership.view import Load, Member
from gentiantrestle.daemon.upstreams.health import Health, compare
from gentiantrestle.daemon.upstreams.routing import Candidate, Snapshot
from gentiantrestle.http.client import Pool
from gentiantrestle.models import Address, DeploymentDoc
from gentiantrestle.wire.peer.ttypes import Envelope, LoadReport
from gentiantrestle.wire.peer.ttypes import Load as WireLoad

CONNECT_TIMEOUT = 1.0  # seconds
POOL_SIZE = 512
LEAVING = 'leaving'
PUBLISH_PERIOD = 0.01  # seconds
QUIET_BEATS = 3


class Pressure(NamedTuple):
    """Online requests on an upstream, and instances in doubt."""

    online: int
    silent: int


class Report(NamedTuple):
    """Loads that an instance told of itself, and when they came, in s."""

    at: float
    loads: tuple[Load, ...]


class Leaving(NamedTuple):
    """An upstream's incarnation that was said to be leaving."""

    incarnation: int


class Upstream:
    """One upstream: requests in flight, health and connections."""

    def __init__(self, name: str, address: Address) -> None:
        """Start idle."""
        self.name = name
        self.online = 0
        self.batch = 0
        self.health = Health()
        self.pool = Pool(address, POOL_SIZE, CONNECT_TIMEOUT)


class Fleet:
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
        self._membership = membership
        self._upstreams: dict[str, Upstream] = {}
        self._leaving: dict[str, Leaving] = {}
        self._regions: dict[str, str] = {}
        self.random = random.Random(ctx.incarnation)
        self._reports: dict[str, Report] = {}
        self._dirty: set[str] = set()
        self._changed = asyncio.Event()
        self.on_change: Callable[[str], None] = _ignore
        membership.answer('load_report', self._take_report)
        configuration.mirror.listen('live/', self._take_live)

    async def run(self) -> None:
        """Tell the owners of batch slots of the own load until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            self._publish()
            dirty, self._dirty = self._dirty, set()
            await self._report(dirty)
            await asyncio.sleep(PUBLISH_PERIOD)

    def note_online(self, name: str) -> None:
        """Note that the online requests on an upstream have changed."""
        self._dirty.add(name)
        self._changed.set()
        self.on_change(name)

    def batch_owner(self, name: str, now: float) -> str | None:
        """Name the instance that alone may send batch work upstream."""
        settings = self._configuration.fleet['upstreams'].get(name)
        if settings is None:
            return None
        names = self._membership.view.names(now, settings['zone'])
        return owner(f'slots/{name}', names)

    def pressure(self, name: str, now: float) -> Pressure:
        """Tell how online uses an upstream, seen by its batch owner."""
        told = self.told_loads(now).get(name)
        others = told.online if told else 0
        doubtful = self._membership.view.doubtful(
            now,
            self._ctx.cfg.zone,
            QUIET_BEATS * self._ctx.cfg.heartbeat,
        )
        return Pressure(self.find(name).online + others, doubtful)

    def find(self, name: str) -> Upstream:
        """Return the state of an upstream of the configuration."""
        settings = self._configuration.fleet['upstreams'][name]
        address = Address.parse(settings['address'])
        known = self._upstreams.get(name)
        if known is None or known.pool.address != address:
            known = Upstream(name, address)
            self._upstreams[name] = known
        return known

    def snapshot(
        self,
        deployment: DeploymentDoc,
        now: float,
        *,
        prompt: str = '',
        excluded: frozenset[str] = frozenset(),
        online_only: bool = True,
    ) -> Snapshot:
        """Gather what a routing policy needs."""
        others = self.told_loads(now)
        paces = {
            name: self.find(name).health.fresh_pace(now)
            for name in deployment['upstreams']
        }
        candidates = [
            self._candidate(name, others, paces, now, online_only=online_only)
            for name in deployment['upstreams']
            if name not in excluded
        ]
        return Snapshot(
            candidates,
            self._ctx.cfg.zone,
            self._ctx.cfg.region,
            prompt,
            self.random.random(),
        )

    def total_slots(self, deployment: DeploymentDoc) -> int:
        """Add up the slots of a deployment's upstreams."""
        settings = self._configuration.fleet['upstreams']
        return sum(
            settings[name]['slots'] for name in deployment['upstreams']
        )

    def told_loads(self, now: float) -> dict[str, Load]:
        """Add up the loads that the other live instances told of."""
        totals: dict[str, Load] = {}
        for member in self._membership.view.alive(now):
            if member.instance == self._ctx.cfg.instance:
                continue
            for load in self._loads_of(member, now):
                total = totals.get(load.upstream, Load(load.upstream, 0, 0))
                totals[load.upstream] = Load(
                    load.upstream,
                    total.online + load.online,
                    total.batch + load.batch,
                )
        return totals

    def zone_of(self, name: str) -> str:
        """Name the availability zone of an upstream."""
        return self._configuration.fleet['upstreams'][name]['zone']

    def slots_of(self, name: str) -> int:
        """Return how many requests an upstream works on at a time."""
        return self._configuration.fleet['upstreams'][name]['slots']

    def is_usable(self, name: str, now: float) -> bool:
        """Tell whether an upstream may get new work."""
        healthy = self.find(name).health.usable(now)
        return healthy and not self.is_leaving(name)

    def is_leaving(self, name: str) -> bool:
        """Tell whether an upstream gets no new work."""
        return name in self._leaving

    def mark_leaving(self, name: str, incarnation: int) -> None:
        """Give an upstream no new work until a newer incarnation comes."""
        known = self._leaving.get(name)
        if known is None:
            events.emit(events.UPSTREAM_LEAVING, upstream=name)
        if known is None or known.incarnation < incarnation:
            self._leaving[name] = Leaving(incarnation)

    def describe(self, now: float) -> list[dict[str, object]]:
        """Show what is known of each upstream."""
        return [
            {
                'upstream': name,
                'zone': settings['zone'],
                'online': self.find(name).online,
                'batch': self.find(name).batch,
                'usable': self.is_usable(name, now),
                'leaving': self.is_leaving(name),
                'batch_owner': self.batch_owner(name, now),
            }
            for name, settings in self._configuration.fleet[
                'upstreams'
            ].items()
        ]

    def in_use(self) -> Iterator[Upstream]:
        """Yield the upstreams with requests in flight."""
        for upstream in self._upstreams.values():
            if upstream.online or upstream.batch:
                yield upstream

    def _candidate(
        self,
        name: str,
        others: dict[str, Load],
        paces: dict[str, float | None],
        now: float,
        *,
        online_only: bool,
    ) -> Candidate:
        settings = self._configuration.fleet['upstreams'][name]
        upstream = self.find(name)
        told = others.get(name, Load(name, 0, 0))
        peers = [pace for peer, pace in paces.items() if peer != name]
        own, other = upstream.online, told.online
        if not online_only:
            own, other = own + upstream.batch, other + told.batch
        return Candidate(
            name,
            settings['zone'],
            self._regions.get(settings['zone'], ''),
            settings['slots'],
            own,
            other,
            compare(paces[name], peers).slowness,
            self.is_usable(name, now),
        )

    def _loads_of(self, member: Member, now: float) -> tuple[Load, ...]:
        """Prefer what the member itself told lately over its heartbeat."""
        report = self._reports.get(member.instance)
        if report is not None and now - report.at < self._ctx.cfg.heartbeat:
            return report.loads
        return member.loads

    async def _report(self, dirty: set[str]) -> None:
        now = self._ctx.now()
        owners = {self.batch_owner(name, now) for name in dirty}
        owners -= {None, self._ctx.cfg.instance}
        if not owners:
            return
        loads = [WireLoad(*load) for load in self._membership.view.me.loads]
        report = LoadReport(instance=self._ctx.cfg.instance, loads=loads)
        await asyncio.gather(*(
            self._send_report(name, report) for name in owners
        ))

    async def _send_report(self, name: str, report: LoadReport) -> None:
        member = self._membership.view.find(name)
        if member is None:
            return
        try:
            await self._membership.call(member, Envelope(load_report=report))
        except PeerError:
            self._changed.set()

    async def _take_report(self, envelope: Envelope) -> Envelope:
        report = envelope.load_report
        loads = tuple(
            Load(load.upstream, load.online, load.batch)
            for load in report.loads
        )
        self._reports[report.instance] = Report(self._ctx.now(), loads)
        for load in loads:
            self.on_change(load.upstream)
        return Envelope(load_report=LoadReport(instance='', loads=[]))

    def _publish(self) -> None:
        loads = tuple(
            Load(upstream.name, upstream.online, upstream.batch)
            for upstream in self.in_use()
        )
        self._membership.view.say(loads=loads)

    def _take_live(self, copied: Copied) -> None:
        document: dict[str, Any] = copied.document or {}
        zone = copied.name.removeprefix('live/')
        self._regions[zone] = document.get('region', '')
        for name, entry in document.get('upstreams', {}).items():
            incarnation = entry.get('incarnation', 0)
            known = self._leaving.get(name)
            if entry['state'] == LEAVING:
                self.mark_leaving(name, incarnation)
            elif known is not None and incarnation > known.incarnation:
                self._leaving.pop(name)


def _ignore(name: str) -> None:
    """Heed no change."""
