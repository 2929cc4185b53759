"""The gateway of one instance, top to bottom."""

import asyncio
import random
import time
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from gentiantrestle.gateway.batch.book import Book
from gentiantrestle.gateway.batch.book import Entry as BatchEntry
from gentiantrestle.gateway.batch.desk import Desk
from gentiantrestle.gateway.batch.duty import runner_of
from gentiantrestle.gateway.batch.keeper import Keeper
from gentiantrestle.gateway.batch.records import JOB_KIND
from gentiantrestle.gateway.batch.runner import Clock, Parts, Runner
from gentiantrestle.gateway.callers import Callers
from gentiantrestle.gateway.entry import Entry
from gentiantrestle.gateway.fellows import Fellows, run_name
from gentiantrestle.gateway.follow import Follower, Sink
from gentiantrestle.gateway.forward import Forwarder
from gentiantrestle.gateway.gate import Gate
from gentiantrestle.gateway.gossip import Gossip, Heard, Identity, Own
from gentiantrestle.gateway.loads import LoadBoard
from gentiantrestle.gateway.placement import Placement, Site
from gentiantrestle.gateway.ports import (
    Dialect,
    Documents,
    ObjectStore,
    Stored,
)
from gentiantrestle.gateway.relay import Reach, Relay
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.routing import Router
from gentiantrestle.gateway.state import State
from gentiantrestle.models import Address
from gentiantrestle.store.client import StoreUnavailableError
from gentiantrestle.supervisor import Child, Supervisor

# Changes that come within this time are read with one call; the bound for
# configuration and leaving upstreams is 2.5 s after the store's answer.
CONFIG_REST = 0.2  # seconds
UPSTREAM_REST = 0.4  # seconds
JOB_REST = 1.5  # seconds
# The balancer asks once a second and drops an instance after two misses.
NOTICE_TIME = 2.6  # seconds
STOP_STEP = 0.05  # seconds
# Jobs ended here that the others are told of with each datagram.
ENDED_TOLD = 8


class Plan(NamedTuple):
    """Where one instance stands and listens; ``grace`` is in s."""

    instance: str
    site: Site
    host: str
    callers: Address
    peer_port: int
    seeds: tuple[str, ...]
    grace: float


class Kinds(NamedTuple):
    """Names of what others write into the store."""

    config: str
    config_name: str
    upstreams: str


class Adapter(NamedTuple):
    """All that ties the gateway to one platform."""

    store: ObjectStore
    documents: Documents
    dialect: Dialect
    kinds: Kinds


class Gateway:
    """Children of the root supervisor, and their planned stop."""

    def __init__(self, plan: Plan, adapter: Adapter) -> None:
        """Build the parts; nothing runs yet."""
        self._plan = plan
        self._adapter = adapter
        self._incarnation = time.time_ns()
        self._rng = random.Random(self._incarnation)
        run = run_name(plan.instance, self._incarnation)
        self._clock = Clock(time.monotonic, time.time)
        self.router = Router()
        self.roster = Roster()
        self.board = LoadBoard()
        self.state = State(
            self.router,
            self.roster,
            adapter.documents,
            adapter.kinds.config_name,
            self._clock.now,
        )
        placement = Placement(plan.site, self.board, self._rng.random)
        self.gate = Gate(self.roster, self.board, placement, self._clock.now)
        self.book = Book()
        self.keeper = Keeper(
            adapter.store, self.book, self._rng, self._clock.now
        )
        self.runner = Runner(
            Parts(
                self.book,
                self.keeper,
                self.router,
                self.roster,
                self.board,
                placement,
                adapter.dialect,
                self._clock,
            ),
            run,
        )
        self.gate.preempt = self.runner.preempt
        self.state.on_change = self._wake
        self._followers: dict[str, Follower] = dict(self._build_followers())
        self.fellows = Fellows(plan.instance, plan.host, plan.seeds)
        self._gossip = self._build_gossip()
        self._relay = self._build_relay()
        self.runner.alive = lambda: self.fellows.workers(self._clock.now())
        self._ended: deque[str] = deque(maxlen=ENDED_TOLD)
        self.callers = self._build_callers(placement)
        self.stopping = False

    @property
    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.router.known and not self.stopping

    async def run(self) -> None:
        """Run all children until cancelled."""
        callers = self._plan.callers
        await self.callers.start(callers.host, callers.port)
        await Supervisor(tuple(self._children()), self._clock.now).run()

    async def stop(self) -> int:
        """Leave the rotation, hand batch over, finish; count the cut."""
        began = self._clock.now()
        self.stopping = True
        self.callers.stopping = True
        self._gossip.announce()
        await self.runner.stop()
        await self._until(began + NOTICE_TIME, idle=False)
        self.callers.close_idle()
        await self._until(began + self._plan.grace * 0.9, idle=True)
        return self.callers.active

    def is_sure(self, entry: BatchEntry) -> bool:
        """Tell whether this process knows all results without the store.

        It does for jobs that it accepted itself, unless another instance may
        have taken them over without being heard.
        """
        settled = self.fellows.settled(self._clock.now())
        return entry.sole and settled and not self.stopping

    async def make_sure(self, entry: BatchEntry) -> bool:
        """Have a job's results known here, if this process runs it."""
        if self.is_sure(entry):
            return True
        if self.stopping or not self.runner.is_own(entry):
            return False
        try:
            await self.keeper.refresh(entry)
        except StoreUnavailableError:
            return False
        return True

    async def ask_runner(self, entry: BatchEntry) -> bool:
        """Read a job's results from its runner; False if it can't say."""
        now = self._clock.now()
        name = runner_of(entry, self.fellows.workers(now))
        fellow = self.fellows.find(name) if name else None
        if fellow is None:
            return False
        return await self._relay.results(fellow, entry)

    async def _until(self, end: float, *, idle: bool) -> None:
        while self._clock.now() < end:
            if idle and not self.callers.active:
                return
            await asyncio.sleep(STOP_STEP)

    def _children(self) -> Iterable[Child]:
        yield Child('gossip', self._gossip.run)
        yield Child('peers', lambda: self._relay.serve(self._plan.host))
        yield Child('relay', lambda: self._relay.run(self._clock.now))
        for kind, follower in self._followers.items():
            yield Child(f'follow {kind}', follower.run)
        yield Child('batch', self.runner.run)

    def _build_followers(self) -> Iterable[tuple[str, Follower]]:
        kinds = self._adapter.kinds
        sinks = (
            (kinds.config, self.state.config_sink(), CONFIG_REST),
            (kinds.upstreams, self.state.upstream_sink(), UPSTREAM_REST),
            (JOB_KIND, Sink(self._take_jobs, self._take_jobs, _pass), JOB_REST),
        )
        for kind, sink, rest in sinks:
            yield (
                kind,
                Follower(self._adapter.store, kind, sink, self._rng, rest=rest),
            )

    def _build_gossip(self) -> Gossip:
        plan = self._plan
        identity = Identity(
            plan.instance,
            self._incarnation,
            plan.host,
            plan.site.zone,
            plan.peer_port,
        )
        gossip = Gossip(
            identity, self.fellows, self.board, self._own, self._clock.now
        )
        gossip.on_heard = self._hear
        return gossip

    def _build_relay(self) -> Relay:
        reach = Reach(
            lambda: self.router.table.version,
            lambda: self.roster.revision,
            lambda: self._connected,
        )
        relay = Relay(
            self.state, self.fellows, self.book, reach, self._plan.peer_port
        )
        relay.make_sure = self.make_sure
        return relay

    @property
    def _connected(self) -> bool:
        return all(one.connected for one in self._followers.values())

    def _own(self) -> Own:
        return Own(
            self.stopping,
            self.router.table.version,
            self._connected,
            self.gate.waiting,
            tuple(self._ended),
            tuple(self.runner.taken),
            self.runner.waiting,
        )

    def _hear(self, heard: Heard) -> None:
        for run in heard.taken:
            self.book.share(run)
        for job in heard.ended:
            entry = self.book.entries.get(job)
            if entry is not None:
                entry.end()
        self.runner.yield_overload()
        self.gate.dispatch()

    def _build_callers(self, placement: Placement) -> Callers:
        adapter = self._adapter
        forwarder = Forwarder(
            self.gate, placement, adapter.dialect, self._clock.now
        )
        desk = Desk(
            self.book,
            self.keeper,
            self.runner,
            adapter.dialect,
            run_name(self._plan.instance, self._incarnation),
        )
        desk.is_runner = self.is_sure
        desk.ask_runner = self.ask_runner
        desk.on_end = self._ended.append
        entry = Entry(
            self.router, forwarder, desk, adapter.dialect, self._clock
        )
        return Callers(
            entry.handle,
            adapter.dialect.write_refusal,
            lambda: self.router.table.limits,
        )

    def _take_jobs(self, found: Iterable[Stored], revision: int) -> None:
        for stored in found:
            self.keeper.note(stored)
        self.runner.wake()

    def _wake(self) -> None:
        self.gate.dispatch()
        self.runner.wake()


def _pass() -> None:
    """Jobs are kept as they are while the store is away."""
