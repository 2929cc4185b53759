"""How much each instance has in flight, told between instances at once."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle.context import Context
from gentiantrestle.daemon.membership.peers import PeerError
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.membership.view import Load, Member
from gentiantrestle.wire.peer.ttypes import Envelope, LoadReport
from gentiantrestle.wire.peer.ttypes import Load as WireLoad

PUBLISH_PERIOD = 0.01  # seconds
QUIET_BEATS = 3


class OnlinePressure(NamedTuple):
    """Online requests on an upstream, and instances in doubt."""

    online: int
    uncertain_instances: int


class Report(NamedTuple):
    """Loads that an instance told of itself, and when they came, in s."""

    at: float
    loads: tuple[Load, ...]


class Loads:
    """The loads of the other instances, and the own one to tell."""

    def __init__(self, ctx: Context, membership: Membership) -> None:
        """Take reports from peers."""
        self._ctx = ctx
        self._membership = membership
        self._reports: dict[str, Report] = {}
        self._changed = asyncio.Event()
        self._listeners: list[Callable[[str], None]] = []
        membership.answer('load_report', self._take_report)

    def add_listener(self, heed: Callable[[str], None]) -> None:
        """Call ``heed`` with each upstream whose load has changed."""
        self._listeners.append(heed)

    def note(self, upstream: str) -> None:
        """Note that the online load on an upstream has changed."""
        self._changed.set()
        for heed in self._listeners:
            heed(upstream)

    async def wait(self) -> None:
        """Wait for the next change of the own load."""
        await self._changed.wait()
        self._changed.clear()

    async def tell(self, loads: tuple[Load, ...], owners: set[str]) -> None:
        """Tell the own load to all by heartbeat, to the owners at once."""
        self._membership.view.say(loads=loads)
        if not owners:
            return
        report = LoadReport(
            instance=self._ctx.cfg.instance,
            loads=[WireLoad(*load) for load in loads],
        )
        await asyncio.gather(*(self._send(name, report) for name in owners))

    def totals(self, now: float) -> dict[str, Load]:
        """Add up the loads that the other live instances told of."""
        totals: dict[str, Load] = {}
        for member in self._membership.view.alive(now):
            if member.instance != self._ctx.cfg.instance:
                for load in self._loads_of(member, now):
                    _add(totals, load)
        return totals

    def doubtful(self, now: float) -> int:
        """Count the instances of the zone that may have unseen load."""
        return self._membership.view.doubtful(
            now,
            self._ctx.cfg.zone,
            QUIET_BEATS * self._ctx.cfg.heartbeat,
        )

    def _loads_of(self, member: Member, now: float) -> tuple[Load, ...]:
        """Prefer what the member itself told lately over its heartbeat."""
        report = self._reports.get(member.instance)
        if report is not None and now - report.at < self._ctx.cfg.heartbeat:
            return report.loads
        return member.loads

    async def _send(self, name: str, report: LoadReport) -> None:
        member = self._membership.view.find(name)
        if member is None:
            return
        envelope = Envelope(load_report=report)
        try:
            await self._membership.call(member, envelope)
        except PeerError:
            await asyncio.sleep(PUBLISH_PERIOD)
            self._changed.set()

    async def _take_report(self, envelope: Envelope) -> Envelope:
        report = envelope.load_report
        loads = tuple(
            Load(load.upstream, load.online, load.batch)
            for load in report.loads
        )
        self._reports[report.instance] = Report(self._ctx.now(), loads)
        for load in loads:
            for heed in self._listeners:
                heed(load.upstream)
        return Envelope(load_report=LoadReport(instance='', loads=[]))


def _add(totals: dict[str, Load], load: Load) -> None:
    total = totals.get(load.upstream, Load(load.upstream, 0, 0))
    totals[load.upstream] = Load(
        load.upstream,
        total.online + load.online,
        total.batch + load.batch,
    )
