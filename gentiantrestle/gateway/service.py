"""The gateway of one instance, top to bottom."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.batch.book import Book
from gentiantrestle.gateway.batch.desk import Desk
from gentiantrestle.gateway.batch.duty import runs_here
from gentiantrestle.gateway.batch.keeper import Keeper
from gentiantrestle.gateway.batch.records import JOB_KIND
from gentiantrestle.gateway.batch.runner import Clock, Parts, Runner
from gentiantrestle.gateway.callers import Callers
from gentiantrestle.gateway.entry import Entry
from gentiantrestle.gateway.follow import Follower, Sink
from gentiantrestle.gateway.forward import Forwarder
from gentiantrestle.gateway.gate import Gate
from gentiantrestle.gateway.loads import LoadBoard
from gentiantrestle.gateway.placement import Placement, Site
from gentiantrestle.gateway.ports import (
    Dialect,
    Documents,
    ObjectStore,
    Stored,
)
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.routing import Router
from gentiantrestle.gateway.state import State
from gentiantrestle.models import Address
from gentiantrestle.supervisor import Child, Supervisor

# Changes that come within this time are read with one call; the bound for
# configuration and leaving upstreams is 2.5 s after the store's answer.
CONFIG_REST = 0.2  # seconds
UPSTREAM_REST = 0.4  # seconds
JOB_REST = 0.8  # seconds
# The balancer asks once a second and drops an instance after two misses.
NOTICE_TIME = 2.6  # seconds
STOP_STEP = 0.05  # seconds


class Plan(NamedTuple):
    """Where one instance stands and listens; ``grace`` is in s."""

    instance: str
    site: Site
    callers: Address
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
        self._rng = random.Random(time.time_ns())
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
        placement = Placement(plan.site, self.board)
        self.gate = Gate(
            self.roster, self.board, placement, self._clock.now
        )
        self.book = Book()
        self.keeper = Keeper(adapter.store, self.book, self._rng)
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
            plan.instance,
        )
        self.gate.preempt = self.runner.preempt
        self.state.on_change = self._wake
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
        await self.runner.stop()
        await self._until(began + NOTICE_TIME, idle=False)
        self.callers.close_idle()
        await self._until(began + self._plan.grace * 0.9, idle=True)
        return self.callers.active

    def is_runner(self, entry: object) -> bool:
        """Tell whether this instance runs a job."""
        return runs_here(entry, self._plan.instance, self.runner.alive())

    async def _until(self, end: float, *, idle: bool) -> None:
        while self._clock.now() < end:
            if idle and not self.callers.active:
                return
            await asyncio.sleep(STOP_STEP)

    def _children(self) -> Iterable[Child]:
        kinds = self._adapter.kinds
        sinks = (
            (kinds.config, self.state.config_sink(), CONFIG_REST),
            (kinds.upstreams, self.state.upstream_sink(), UPSTREAM_REST),
            (JOB_KIND, Sink(self._take_jobs, self._take_jobs, _pass), JOB_REST),
        )
        for kind, sink, rest in sinks:
            follower = Follower(
                self._adapter.store, kind, sink, self._rng, rest=rest
            )
            yield Child(f'follow {kind}', follower.run)
        yield Child('batch', self.runner.run)

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
            self._plan.instance,
        )
        desk.is_runner = self.is_runner
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


