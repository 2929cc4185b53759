"""Assembles, runs and stops the gateway of one instance."""

import asyncio
import random
import time
from collections.abc import Iterable

from gentiantrestle.daemon.membership.seats import count_seats
from gentiantrestle.gateway.accounts.service import AccountService
from gentiantrestle.gateway.assembly import build_components
from gentiantrestle.gateway.batch.api import JobApi
from gentiantrestle.gateway.batch.context import Clock
from gentiantrestle.gateway.batch.result_reader import ResultReader
from gentiantrestle.gateway.fleet_context import FleetContext, InstanceConfig
from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.follower import StoreHandlers
from gentiantrestle.gateway.forward import Forwarder
from gentiantrestle.gateway.gauges import GaugeSources, build_metrics
from gentiantrestle.gateway.membership.messages import InstanceStatus
from gentiantrestle.gateway.peering import Peering, PeeringParts
from gentiantrestle.gateway.ports import Adapter, StoredObject
from gentiantrestle.gateway.request_handler import RequestHandler
from gentiantrestle.gateway.serving import (
    Servers,
    build_context,
    build_servers,
)
from gentiantrestle.gateway.state_copier import StateCopier
from gentiantrestle.gateway.store_watching import StoreWatching
from gentiantrestle.gateway.zone_watcher import WatcherElection
from gentiantrestle.supervisor import Child, Supervisor

# The balancer checks readiness once a second and drops an instance after two
# failed checks.
BALANCER_DRAIN_TIME = 2.6  # seconds
# Requests that are passed on after a stop began are over by then, what is left
# is ended later, and the process needs the rest of the grace time to exit.
DEADLINE_GRACE_SHARE = 0.85
DRAIN_GRACE_SHARE = 0.9
STOP_POLL_INTERVAL = 0.05  # seconds


class Gateway:
    """The gateway of one instance: its children and its graceful stop."""

    def __init__(self, cfg: InstanceConfig, adapter: Adapter) -> None:
        """Build the components; nothing runs yet."""
        self._cfg = cfg
        self._adapter = adapter
        self._clock = Clock(time.monotonic, time.time)
        incarnation = time.time_ns()
        self._rng = random.Random(incarnation)
        self._state = FleetState(
            adapter.decoder,
            adapter.kinds.config_name,
            self._clock.now,
            cfg.drain_time,
        )
        self._state.on_change = self._dispatch_work
        self._fleet = FleetContext.from_config(
            cfg, incarnation, self._state, self._clock, self._read_status
        )
        self._peers = self._fleet.peers
        self._accounts = AccountService(
            cfg, self._fleet, adapter, self._read_status
        )
        self._components = build_components(self._fleet, adapter, cfg.memory)
        self._pace = self._components.slots.parts.coordinator.pace
        self._pace.is_active = cfg.weighs_pace
        self._batch_context = self._components.batch_context
        self._runner = self._components.runner
        self._watching = self._build_watching()
        self._accounts.confirming.is_watching = self._is_watching
        self._components.store_contact.reach.is_watching = self._is_watching
        self._peering = self._build_peering()
        self.metrics = build_metrics(
            cfg.instance,
            cfg.topology.zone,
            self._gauge_sources(),
            lambda: self._runner.item_states,
        )
        self._servers = self._build_servers()
        self._stop_task: asyncio.Task[int] | None = None

    @property
    def ready(self) -> bool:
        """Return whether the balancer may send callers to this instance."""
        return self._is_prepared() and not self._runner.stopping

    async def run(self) -> None:
        """Run all children until cancelled."""
        await self._servers.start()
        supervisor = Supervisor(tuple(self._children()), self._clock.now)
        supervisor.before_end = self.stop
        await supervisor.run()

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Look for other instances at these hosts from now on."""
        self._peers.replace_seeds(seeds)

    async def stop(self) -> int:
        """Drain this instance and return the number of requests cut off.

        Announces the stop, hands batch work over, waits for the balancer and
        then for requests in flight, within the grace time. A second call waits
        for the end of the first one.
        """
        if self._stop_task is None:
            self._stop_task = asyncio.create_task(self._stop())
        return await asyncio.shield(self._stop_task)

    async def _stop(self) -> int:
        started = self._clock.now()
        grace = self._cfg.grace
        self._ending.plan(
            started + grace * DEADLINE_GRACE_SHARE,
            started + BALANCER_DRAIN_TIME,
        )
        self._servers.begin_stop()
        self._peering.leave()
        await self._runner.stop()
        await self._wait_until(started + BALANCER_DRAIN_TIME, idle=False)
        self._servers.close_idle()
        await self._wait_until(started + grace * DRAIN_GRACE_SHARE, idle=True)
        cut = self._servers.in_flight
        await self._servers.end_requests()
        return cut

    def _read_status(self) -> InstanceStatus:
        return self._peering.read_status()

    async def _wait_until(self, deadline: float, *, idle: bool) -> None:
        while self._clock.now() < deadline:
            if idle and self._servers.is_drained:
                return
            await asyncio.sleep(STOP_POLL_INTERVAL)

    def _children(self) -> Iterable[Child]:
        yield Child('datagrams', self._fleet.port.run)
        yield Child('slots', self._components.slots.run)
        yield from self._components.streams.children()
        yield from self._peering.children()
        yield from self._batch_context.reach.children()
        yield from self._components.store_contact.prober.children()
        yield from self._watching.children()
        yield from self._accounts.children()
        yield Child('batch', self._runner.run)

    def _build_watching(self) -> StoreWatching:
        topology = self._cfg.topology
        election = WatcherElection(
            self._cfg.instance,
            topology.zone,
            self._clock.now(),
            count_seats(len(topology.regions) or 1),
        )
        jobs = StoreHandlers(
            self._apply_jobs,
            self._apply_jobs,
            _keep_jobs,
            lambda: self._batch_context.index.revision,
        )
        return StoreWatching(
            self._adapter, self._state, jobs, self._rng, election
        )

    def _build_peering(self) -> Peering:
        peers = self._peers
        self._runner.live_runs = lambda: peers.working_runs(self._clock.now())
        reader = ResultReader(
            self._batch_context.job_store, self._runner, peers, self._clock.now
        )
        self._reader = reader
        parts = PeeringParts(
            StateCopier(
                self._state, self._batch_context.job_store, self._clock.now
            ),
            self._fleet.membership,
            self._batch_context.index,
            self._runner,
            reader,
            self._batch_context.guard.evidence,
        )
        peering = Peering(
            self._fleet.identity,
            peers,
            parts,
            self._is_watching,
            self._clock,
        )
        peering.update_role = self._update_role
        peering.connect_reach(
            self._batch_context.reach, self._components.owners.read_unreached
        )
        peering.connect_streams(self._components.streams)
        return peering

    def _is_prepared(self) -> bool:
        """Return whether this instance knows enough to serve callers."""
        return self._state.router.has_config and self._peering.is_informed

    def _is_watching(self) -> bool:
        """Return whether this instance watches the store and reaches it."""
        return self._watching.is_connected

    def _is_behind(self) -> bool:
        """Return whether another instance has a newer configuration."""
        return self._peering.is_behind

    def _build_servers(self) -> Servers:
        dialect = self._adapter.dialect
        context = build_context(
            self._cfg, self._fleet, self._components, dialect
        )
        if context.passing is not None:
            context.passing.record = self.metrics.record_passed_on
        api = JobApi(
            self._batch_context,
            self._runner,
            self._reader,
            self._fleet.run_name,
        )
        api.on_cancel = self._peering.announce_cancelled_job
        forwarder = Forwarder(context)
        forwarder.record_attempt = self.metrics.record_attempt
        request_handler = RequestHandler(
            self._state.router,
            forwarder,
            api,
            dialect,
            self._clock,
        )
        self._ending = request_handler.ending
        request_handler.is_prepared = self._is_prepared
        request_handler.record_request = self.metrics.record_request
        request_handler.authenticator.is_behind = self._is_behind
        self._accounts.connect(request_handler, self.metrics)
        return build_servers(
            self._cfg, request_handler, context, self._state.router
        )

    def _gauge_sources(self) -> GaugeSources:
        evidence = self._batch_context.guard.evidence
        queues = self._components.slots.parts.coordinator.queues
        return GaugeSources(
            active=lambda: self._servers.in_flight,
            waiting=lambda: self._components.admission.waiting,
            quarantined_requests=lambda: len(
                evidence.culprits(self._clock.wall())
            ),
            config_version=lambda: self._state.config_version,
            config_lag_seconds=lambda: self._peering.config_lag,
            config_confirmation_age_seconds=lambda: (
                self._accounts.confirming.age
            ),
            store_connected=lambda: int(self._watching.is_connected),
            services_cut_off=lambda: len(self._batch_context.reach.unreached),
            jobs_open=lambda: len(self._batch_context.index.open_entries()),
            memory_held=lambda: self._batch_context.budget.held,
            accounts_over_share=lambda: queues.accounts_over_share(
                self._clock.now()
            ),
            upstreams_slow=lambda: self._pace.count_slow(self._clock.now()),
            upstreams_starting=lambda: self._pace.count_starting(
                self._clock.now()
            ),
        )

    def _update_role(self) -> None:
        now = self._clock.now()
        self._watching.update_role(self._peers.alive(now), now)
        if self._components.owners.update(now):
            self._runner.wake()

    def _apply_jobs(
        self, stored: Iterable[StoredObject], revision: int
    ) -> None:
        self._batch_context.job_store.apply_changes(stored, revision)
        self._runner.wake()

    def _dispatch_work(self) -> None:
        self._components.streams.note_upstreams()
        self._runner.wake()


def _keep_jobs() -> None:
    """Keep the known jobs while the store is unreachable."""
