"""The gateway of one instance, top to bottom."""

import asyncio
import random
import time
from collections.abc import Iterable

from gentiantrestle import events
from gentiantrestle.gateway.assembly import InstanceConfig, build_workplace
from gentiantrestle.gateway.batch.api import JobApi
from gentiantrestle.gateway.batch.context import Clock
from gentiantrestle.gateway.batch.records import JOB_KIND
from gentiantrestle.gateway.batch.result_reader import ResultReader
from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.follower import (
    Follower,
    StoreHandlers,
    WatchGate,
    WatchSpec,
)
from gentiantrestle.gateway.forward import Forwarder, Means
from gentiantrestle.gateway.gossip_messages import Identity
from gentiantrestle.gateway.http_server import HttpServer
from gentiantrestle.gateway.metrics import Metrics
from gentiantrestle.gateway.peering import Peering, PeeringParts
from gentiantrestle.gateway.peers import PeerList, run_name
from gentiantrestle.gateway.ports import Adapter, StoredObject
from gentiantrestle.gateway.request_handler import Entry
from gentiantrestle.gateway.state_copier import StateCopier
from gentiantrestle.gateway.zone_watcher import WatcherElection
from gentiantrestle.supervisor import Child, Supervisor

# Changes that come within this time are read with one call; the bound for
# configuration and leaving upstreams is 2.5 s after the store's answer.
CONFIG_REST = 0.2  # seconds
UPSTREAM_REST = 0.4  # seconds
JOB_REST = 1.5  # seconds
# The balancer asks once a second and drops an instance after two misses.
NOTICE_TIME = 2.6  # seconds
# The rest of the grace time is for the process's own end.
GRACE_SHARE = 0.9
STOP_STEP = 0.05  # seconds


class Gateway:
    """Children of the root supervisor, and their planned stop."""

    def __init__(self, plan: InstanceConfig, adapter: Adapter) -> None:
        """Build the parts; nothing runs yet."""
        self._plan = plan
        self._adapter = adapter
        self._clock = Clock(time.monotonic, time.time)
        incarnation = time.time_ns()
        self._rng = random.Random(incarnation)
        self._identity = Identity(
            plan.instance,
            incarnation,
            plan.host,
            plan.topology.zone,
            plan.peer_port,
        )
        self._state = FleetState(
            adapter.documents, adapter.kinds.config_name, self._clock.now
        )
        self._state.on_change = self._wake
        workplace = build_workplace(
            plan.topology, adapter, self._state, self._clock, self._run_name
        )
        self._parts = workplace.parts
        self._admission = workplace.admission
        self._runner = workplace.runner
        self._peers = PeerList(
            plan.instance, plan.host, plan.topology.zone, plan.seeds
        )
        self._duty = WatcherElection(
            plan.instance, plan.topology.zone, self._clock.now()
        )
        self._gate = WatchGate()
        self._followers = dict(self._build_followers())
        self._peering = self._build_peering()
        self.metrics = self._build_measures()
        self.callers = self._build_callers()

    @property
    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self._state.router.known and not self._runner.stopping

    async def run(self) -> None:
        """Run all children until cancelled."""
        callers = self._plan.http_address
        await self.callers.start(callers.host, callers.port)
        await Supervisor(tuple(self._children()), self._clock.now).run()

    async def stop(self) -> int:
        """Leave the rotation, hand batch over, finish; count the cut."""
        began = self._clock.now()
        self.callers.stopping = True
        self._peering.leave()
        await self._runner.stop()
        await self._until(began + NOTICE_TIME, idle=False)
        self.callers.close_idle()
        await self._until(began + self._plan.grace * GRACE_SHARE, idle=True)
        return self.callers.active

    @property
    def _run_name(self) -> str:
        return run_name(self._identity.instance, self._identity.incarnation)

    async def _until(self, end: float, *, idle: bool) -> None:
        while self._clock.now() < end:
            if idle and not self.callers.active:
                return
            await asyncio.sleep(STOP_STEP)

    def _children(self) -> Iterable[Child]:
        yield from self._peering.children()
        for kind, follower in self._followers.items():
            yield Child(f'follow {kind}', follower.run)
        yield Child('batch', self._runner.run)

    def _build_followers(self) -> Iterable[tuple[str, Follower]]:
        kinds = self._adapter.kinds
        config = self._state.config_handlers()
        upstreams = self._state.upstream_handlers()
        jobs = StoreHandlers(
            self._take_jobs,
            self._take_jobs,
            _pass,
            lambda: self._parts.index.revision,
        )
        sinks = (
            (WatchSpec(kinds.config, CONFIG_REST, read_at_start=True), config),
            (
                WatchSpec(kinds.upstreams, UPSTREAM_REST, read_at_start=True),
                upstreams,
            ),
            (WatchSpec(JOB_KIND, JOB_REST), jobs),
        )
        for subject, sink in sinks:
            yield (
                subject.kind,
                Follower(
                    self._adapter.store,
                    subject,
                    sink,
                    self._rng,
                    self._gate,
                ),
            )

    def _build_peering(self) -> Peering:
        peers = self._peers
        self._runner.live_instances = lambda: peers.working_runs(
            self._clock.now()
        )
        reader = ResultReader(
            self._parts.job_store, self._runner, peers, self._clock.now
        )
        self._reader = reader
        work = PeeringParts(
            StateCopier(self._state, self._parts.job_store, self._clock.now),
            self._parts.board,
            self._admission,
            self._parts.index,
            self._runner,
            reader,
        )
        peering = Peering(
            self._identity, peers, work, self._is_connected, self._clock.now
        )
        peering.before_sync = self._decide_duty
        return peering

    def _is_connected(self) -> bool:
        """Tell whether this instance watches the store, and hears it."""
        return all(one.connected for one in self._followers.values())

    def _decide_duty(self) -> None:
        """Watch the store, or leave it to another instance of the zone."""
        now = self._clock.now()
        duty = self._duty.decide(
            self._peers.alive(now), now, connected=self._is_connected()
        )
        if duty == self._gate.is_set():
            return
        events.emit(events.WATCHER_ROLE_CHANGED, held=duty)
        if duty:
            self._gate.set()
        else:
            self._gate.clear()

    def _build_callers(self) -> HttpServer:
        dialect = self._adapter.dialect
        means = Means(
            self._admission, self._parts.placement, dialect, self._clock.now
        )
        api = JobApi(self._parts, self._runner, self._reader, self._run_name)
        api.on_end = self._peering.announce_ended_job
        entry = Entry(
            self._state.router, Forwarder(means), api, dialect, self._clock
        )
        entry.measure = self.metrics.note_answer
        return HttpServer(
            entry.handle,
            dialect.write_refusal,
            lambda: self._state.router.table.limits,
        )

    def _build_measures(self) -> Metrics:
        measures = Metrics(self._plan.instance, self._plan.topology.zone)
        for name, text, read in (
            ('active', 'Requests being answered.', self._count_active),
            ('waiting', 'Requests that wait for a slot.', self._count_waiting),
            ('config_version', 'Configuration in force.', self._tell_version),
            ('store_connected', 'One if the store is heard.', self._tell_store),
        ):
            measures.watch(name, text, read)
        return measures

    def _count_active(self) -> int:
        return self.callers.active

    def _count_waiting(self) -> int:
        return self._admission.waiting

    def _tell_version(self) -> int:
        return self._state.config_version

    def _tell_store(self) -> int:
        return int(self._is_connected())

    def _take_jobs(self, found: Iterable[StoredObject], revision: int) -> None:
        self._parts.job_store.apply_changes(found, revision)
        self._runner.wake()

    def _wake(self) -> None:
        self._admission.dispatch()
        self._runner.wake()


def _pass() -> None:
    """Jobs are kept as they are while the store is away."""
