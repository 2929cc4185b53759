"""The root supervisor and its children, in the order they are started."""

import asyncio

from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.service import Batch
from gentiantrestle.daemon.configuration.admin import Admin
from gentiantrestle.daemon.configuration.service import Configuration
from gentiantrestle.daemon.entry import administration, callers, jobs, reports
from gentiantrestle.daemon.entry.service import Components, Entry
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.membership.view import State
from gentiantrestle.daemon.online.service import OnlineService
from gentiantrestle.daemon.report.service import Reporter
from gentiantrestle.daemon.upstreams.service import UpstreamRegistry
from gentiantrestle.store.client import StoreClient
from gentiantrestle.supervisor import Child, Supervisor

ROUTE_MODULES = (administration, callers, jobs, reports)
NOTICE_TIME = 1.0  # seconds


class SupervisionTree:
    """The children of the daemon and their root supervisor."""

    def __init__(self, components: Components) -> None:
        """Create a supervisor child for each component that runs."""
        self.components = components
        self._entry = Entry(components)
        self._supervisor = Supervisor(
            (
                Child('membership', components.membership.run),
                Child('configuration', components.configuration.run),
                Child('upstreams', components.upstreams.run),
                Child('online', components.online.run),
                Child('batch', components.batch.run),
                Child('report', components.reporter.run),
                Child('entry', self._entry.run),
            ),
            components.ctx.now,
        )
        grace = components.ctx.cfg.grace
        self._supervisor.before_end = lambda: self.stop(grace)
        self._stop_task: asyncio.Task[int] | None = None

    @classmethod
    def from_config(cls, ctx: Context) -> 'SupervisionTree':
        """Build the components and connect them to each other."""
        store = StoreClient(ctx)
        membership = Membership.from_config(ctx)
        configuration = Configuration(ctx, store, membership)
        upstreams = UpstreamRegistry(ctx, configuration, membership)
        batch = Batch(ctx, store, configuration, membership, upstreams)
        reporter = Reporter(ctx, membership, configuration, batch.client_jobs)
        return cls(
            Components(
                ctx=ctx,
                store=store,
                membership=membership,
                configuration=configuration,
                admin=Admin(ctx, store, configuration),
                upstreams=upstreams,
                online=OnlineService(
                    ctx, store, membership, upstreams, reporter
                ),
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
        """Announce leaving, hand over batch work and finish open requests.

        ``grace`` in s bounds each wait for requests in flight; returns how many
        of them were cut off. A second call waits for the end of the first one.
        """
        if self._stop_task is None:
            self._stop_task = asyncio.create_task(self._stop(grace))
        return await asyncio.shield(self._stop_task)

    async def _stop(self, grace: float) -> int:
        view = self.components.membership.view
        view.update_local(state=State.LEAVING)
        self._entry.stopping = True
        await self.components.membership.announce()
        await self.components.batch.stop()
        cut = await self._entry.stop(grace)
        self.components.membership.close()
        self.components.store.close()
        return cut

    async def _serve_when_loaded(self) -> None:
        await self.components.configuration.loaded.wait()
        self.components.membership.view.update_local(state=State.SERVING)
