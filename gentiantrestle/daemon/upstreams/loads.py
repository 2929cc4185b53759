"""Exchange of load reports: what each instance has in flight."""

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
UNCERTAIN_AFTER_BEATS = 3


class OnlinePressure(NamedTuple):
    """Online load of an upstream, and how uncertain it is.

    ``online`` counts requests in flight; ``uncertain_instances`` those
    instances whose load may not be included.
    """

    online: int
    uncertain_instances: int


class ReceivedReport(NamedTuple):
    """The loads that a peer reported, and the local time of receipt in s."""

    received_at: float
    loads: tuple[Load, ...]


class LoadExchange:
    """Publishes this instance's loads and collects those of the others."""

    def __init__(self, ctx: Context, membership: Membership) -> None:
        """Register for the load reports of peers."""
        self._ctx = ctx
        self._membership = membership
        self._reports: dict[str, ReceivedReport] = {}
        self._changed = asyncio.Event()
        self._listeners: list[Callable[[str], None]] = []
        membership.register_handler('load_report', self._receive_report)

    def add_listener(self, callback: Callable[[str], None]) -> None:
        """Call ``callback`` with the upstream's name on each load change."""
        self._listeners.append(callback)

    def notify_change(self, upstream: str) -> None:
        """Signal that this instance's online load on an upstream changed."""
        self._changed.set()
        for callback in self._listeners:
            callback(upstream)

    async def wait_for_change(self) -> None:
        """Wait until this instance's load has changed."""
        await self._changed.wait()
        self._changed.clear()

    async def publish(self, loads: tuple[Load, ...], owners: set[str]) -> None:
        """Publish this instance's loads.

        All instances get them with the next heartbeat, and the owners of
        batch slots, which preempt on online load, also at once.
        """
        self._membership.view.update_local(loads=loads)
        if not owners:
            return
        report = LoadReport(
            instance=self._ctx.cfg.instance,
            loads=[WireLoad(*load) for load in loads],
        )
        await asyncio.gather(*(self._send(name, report) for name in owners))

    def remote_totals(self, now: float) -> dict[str, Load]:
        """Add up the loads of the other live instances, by upstream."""
        totals: dict[str, Load] = {}
        for member in self._membership.view.live_members(now):
            if member.instance != self._ctx.cfg.instance:
                for load in self._latest_loads(member, now):
                    _add(totals, load)
        return totals

    def uncertain_instances(self, now: float) -> int:
        """Count the instances of the zone whose load may be out of date.

        These have been silent for several heartbeats, and not for so long
        that they can be taken to be gone.
        """
        return self._membership.view.count_suspects(
            now,
            self._ctx.cfg.zone,
            UNCERTAIN_AFTER_BEATS * self._ctx.cfg.heartbeat,
        )

    def _latest_loads(self, member: Member, now: float) -> tuple[Load, ...]:
        """Prefer a member's recent load report over its heartbeat."""
        report = self._reports.get(member.instance)
        if (
            report is not None
            and now - report.received_at < self._ctx.cfg.heartbeat
        ):
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

    async def _receive_report(self, envelope: Envelope) -> Envelope:
        report = envelope.load_report
        loads = tuple(
            Load(load.upstream, load.online, load.batch)
            for load in report.loads
        )
        self._reports[report.instance] = ReceivedReport(self._ctx.now(), loads)
        for load in loads:
            for callback in self._listeners:
                callback(load.upstream)
        return Envelope(load_report=LoadReport(instance='', loads=[]))


def _add(totals: dict[str, Load], load: Load) -> None:
    total = totals.get(load.upstream, Load(load.upstream, 0, 0))
    totals[load.upstream] = Load(
        load.upstream,
        total.online + load.online,
        total.batch + load.batch,
    )
