"""The root supervisor and its children, in the order of their needs."""

import asyncio

from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.service import Batch
from gentiantrestle.daemon.configuration.admin import Admin
from gentiantrestle.daemon.configuration.service import Configuration
from gentiantrestle.daemon.entry import administration, callers, jobs, reports
from gentiantrestle.daemon.entry.service import Entry, Parts
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.membership.view import State
from gentiantrestle.daemon.online.service import OnlineService
from gentiantrestle.daemon.report.service import Reporter
from gentiantrestle.daemon.upstreams.service import UpstreamRegistry
from gentiantrestle.store.client import StoreClient
from gentiantrestle.supervisor import Child, Supervisor

ROUTE_MODULES = (administration, callers, jobs, reports)
NOTICE_TIME = 1.0  # seconds


class Tree:
    """All children of the daemon."""

    def __init__(self, parts: Parts) -> None:
        """Supervise the parts; each is a folder beside this module."""
        self.parts = parts
        self._entry = Entry(parts)
        self._supervisor = Supervisor(
            (
                Child('membership', parts.membership.run),
                Child('configuration', parts.configuration.run),
                Child('upstreams', parts.fleet.run),
                Child('online', parts.online.run),
                Child('batch', parts.batch.run),
                Child('report', parts.reporter.run),
                Child('entry', self._entry.run),
            ),
            parts.ctx.now,
        )

    @classmethod
    def from_config(cls, ctx: Context) -> 'Tree':
        """Build the children, each with what it needs of the others."""
        store = StoreClient(ctx)
        membership = Membership.from_config(ctx)
        configuration = Configuration(ctx, store, membership)
        fleet = UpstreamRegistry(ctx, configuration, membership)
        batch = Batch(ctx, store, configuration, membership, fleet)
        reporter = Reporter(ctx, membership, configuration, batch.client_jobs)
        return cls(
            Parts(
                ctx=ctx,
                store=store,
                membership=membership,
                configuration=configuration,
                admin=Admin(ctx, store, configuration),
                fleet=fleet,
                online=OnlineService(ctx, store, membership, fleet, reporter),
                batch=batch,
                reporter=reporter,
            )
        )

    async def run(self) -> None:
        """Run all children until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._supervisor.run())
            group.create_task(self._serve_when_loaded())

    async def stop(self, grace: float) -> int:
        """Leave, hand batch work over, finish requests; count the cut."""
        view = self.parts.membership.view
        view.say(state=State.LEAVING)
        self._entry.stopping = True
        await self.parts.membership.announce()
        await self.parts.batch.stop()
        cut = await self._entry.stop(grace)
        self.parts.membership.peers.close()
        self.parts.store.close()
        return cut

    async def _serve_when_loaded(self) -> None:
        await self.parts.configuration.loaded.wait()
        self.parts.membership.view.say(state=State.SERVING)
