"""One zone's coordinator before uneven, noisy engines, in virtual time."""

import heapq
import random
from collections.abc import Callable, Iterable
from itertools import count
from typing import NamedTuple

from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.slots.coordinator import SlotCoordinator
from gentiantrestle.gateway.slots.messages import (
    ANSWER,
    YIELD,
    Answer,
    Ask,
    LeaseKey,
    Outgoing,
    Release,
    SlotOutcome,
    Verdict,
)
from gentiantrestle.gateway.slots.placing import CoordinatorScope
from gentiantrestle.gateway.slots.remote_zones import RemoteZones
from gentiantrestle.gateway.topology import Topology
from tests.gateway.samples import ENGINES, ZONES, make_upstream

SLOTS = 8
TARGET = 0.3  # seconds to the first event
GAP = 0.03  # seconds between events, at the pace of most
READING = 0.012  # seconds to read a prompt
REQUEST_EVENTS = 22
ITEM_EVENTS = 154
ITEM_DUE = 18.0  # seconds
NOISE = (0.15, 2.5, 0.6)  # share of the time, times slower, seconds at a time
TICK = 0.05  # seconds
REFRESH = 0.5  # seconds
SHAPE = ((3.8, 0.377), (2.8, 1.84))  # seconds, times the mean load


class Load(NamedTuple):
    """What is asked for; loads are shares of all slots."""

    online: float = 0.49
    batch: float = 0.4
    seconds: float = 30.0
    seed: int = 1


class Engine:
    """An upstream; until it is warm, what it runs shares the speed of one."""

    def __init__(
        self, upstream: Upstream, speed: float, warm_at: float
    ) -> None:
        """Take ``speed`` times as long as most; warm from then on."""
        self.upstream = upstream
        self.speed = speed
        self.warm_at = warm_at
        self.running = 0

    def slowness(self, now: float) -> float:
        """Return how many times longer than most it takes now."""
        share, times, seconds = NOISE
        luck = random.Random(f'{self.upstream.id} {int(now / seconds)}')
        noise = times if luck.random() < share else 1
        is_cold = now < self.warm_at
        sharing = max(1, self.running) if is_cold else 1
        return self.speed * noise * sharing


class Work(NamedTuple):
    """A request, or an item with ``events`` left of all of its events."""

    number: int
    asked_at: float
    events: int
    batch: bool = False


class World:
    """Requests and items that ask one coordinator for slots."""

    def __init__(self, load: Load, *, auto: bool) -> None:
        """Start without engines."""
        self.load = load
        self.rng = random.Random(load.seed)
        self.roster = Roster()
        self.coordinator = SlotCoordinator(
            CoordinatorScope(
                'me',
                'here',
                'a1',
                lambda now: frozenset(('a1',)),
                lambda zone, now: None,
                lambda run: False,
            ),
            self.roster,
            RemoteZones(Topology('a1', ZONES), self.rng.random),
            self.rng.random,
        )
        self.coordinator.pace.is_active = auto
        self.engines: dict[str, Engine] = {}
        self.now = float(0)
        # The upstream of each request, and the time in s to its first event.
        self.firsts: list[tuple[str, float]] = []
        self.cuts = 0
        self.items_done: list[float] = []
        self._agenda: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._waiting: dict[int, Work] = {}
        self._runs: dict[int, _Run] = {}

    def start(self, name: str, speed: float = 1, cold: float = 0) -> None:
        """Add an upstream; it is warm after ``cold`` s."""
        upstream = make_upstream(name, slots=SLOTS)
        self.engines[name] = Engine(upstream, speed, self.now + cold)
        self.roster.put(upstream)

    def at(self, time: float, act: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self._agenda, (time, next(self._numbers), act))

    def play(self) -> None:
        """Play the load to its end."""
        slots = SLOTS * len(self.engines)
        mean = sum(engine.speed for engine in self.engines.values())
        mean *= GAP / len(self.engines)
        self._plan_online(slots * self.load.online / (REQUEST_EVENTS * mean))
        self._plan_batch(slots * self.load.batch / (ITEM_EVENTS * mean))
        self.at(0, self._tick)
        self.at(0, self._refresh)
        while self._agenda:
            self.now, _, act = heapq.heappop(self._agenda)
            if self.now > self.load.seconds:
                return
            act()

    def late(self, name: str = '') -> int:
        """Count the requests that began late or never; of some upstreams."""
        return sum(
            span > TARGET
            for upstream, span in self.firsts
            if upstream.startswith(name)
        )

    def request(self) -> None:
        """Let a caller ask."""
        self._ask(Work(next(self._numbers), self.now, REQUEST_EVENTS))

    def item(self) -> None:
        """Let an item ask."""
        work = Work(next(self._numbers), self.now, ITEM_EVENTS, batch=True)
        self._ask(work)

    def finish(self, run: '_Run') -> None:
        """Note that a run has ended by itself."""
        self._runs.pop(run.work.number)
        run.end(SlotOutcome.SERVED)
        if run.work.batch:
            self.items_done.append(self.now - run.work.asked_at)

    def release(self, release: Release) -> None:
        """Give a slot back."""
        self._send(self.coordinator.release(release, self.now))

    def _plan_online(self, rate: float) -> None:
        time = float(0)
        cycle = sum(seconds for seconds, _ in SHAPE)
        while time < self.load.seconds:
            _, share = SHAPE[time % cycle >= SHAPE[0][0]]
            time += self.rng.expovariate(rate * share)
            self.at(time, self.request)

    def _plan_batch(self, rate: float) -> None:
        time = float(0)
        while rate and time < self.load.seconds:
            time += self.rng.expovariate(rate)
            self.at(time, self.item)

    def _tick(self) -> None:
        self._send(self.coordinator.tick(self.now, leading=True))
        self.coordinator.sums(self.now)
        self.at(self.now + TICK, self._tick)

    def _refresh(self) -> None:
        for work in tuple(self._waiting.values()):
            ask = self._describe(work)
            self._send(self.coordinator.ask(ask, self.now))
        self.at(self.now + REFRESH, self._refresh)

    def _describe(self, work: Work) -> Ask:
        key = LeaseKey('run', work.number)
        if not work.batch:
            wait = max(0, TARGET * 0.6 - (self.now - work.asked_at))
            return Ask(key, 'there', ENGINES, wait=wait)
        left = work.events * GAP
        slack = work.asked_at + ITEM_DUE - self.now - left
        tokens = int(left / 0.003)
        return Ask(
            key, 'there', ENGINES, batch=True, slack=slack, tokens_left=tokens
        )

    def _ask(self, work: Work) -> None:
        self._waiting[work.number] = work
        self._send(self.coordinator.ask(self._describe(work), self.now))

    def _send(self, messages: Iterable[Outgoing]) -> None:
        for sent in tuple(messages):
            if sent.kind == YIELD:
                self._cut(sent.message.number)
            elif sent.kind == ANSWER:
                self._receive(sent.message)

    def _receive(self, answer: Answer) -> None:
        work = self._waiting.get(answer.key.number)
        if work is None or answer.verdict is Verdict.QUEUED:
            return
        if answer.verdict is Verdict.GRANTED:
            self._waiting.pop(work.number)
            run = _Run(self, work, self.engines[answer.upstream])
            self._runs[work.number] = run
            run.begin()
        elif not work.batch:
            self._waiting.pop(work.number)
            self.firsts.append(('', float('inf')))

    def _cut(self, number: int) -> None:
        run = self._runs.pop(number, None)
        if run is None:
            return
        self.cuts += 1
        run.end(SlotOutcome.UNKNOWN)
        again = run.work._replace(
            number=next(self._numbers), events=run.events_left
        )
        self.at(self.now, lambda: self._ask(again))


class _Run:
    def __init__(self, world: World, work: Work, engine: Engine) -> None:
        self.world = world
        self.work = work
        self.engine = engine
        self.events_left = work.events
        self.began_at = world.now
        self.first_at = float(0)
        self.last_at = float(0)
        self.ended = False

    def begin(self) -> None:
        self.engine.running += 1
        slowness = self.engine.slowness(self.world.now)
        self.world.at(self.world.now + (READING + GAP) * slowness, self.event)

    def event(self) -> None:
        if self.ended:
            return
        now = self.world.now
        self.events_left -= 1
        self.last_at = now
        if not self.first_at:
            self.first_at = now
            if not self.work.batch:
                name = self.engine.upstream.id
                span = now - self.work.asked_at
                self.world.firsts.append((name, span))
        if self.events_left <= 0:
            self.world.finish(self)
            return
        slowness = self.engine.slowness(now)
        self.world.at(now + GAP * slowness, self.event)

    def end(self, outcome: SlotOutcome) -> None:
        self.ended = True
        self.engine.running -= 1
        seen = self.work.events - self.events_left
        gap = (self.last_at - self.first_at) / (seen - 1) if seen > 1 else 0
        first = self.first_at and self.first_at - self.began_at
        key = LeaseKey('run', self.work.number)
        self.world.release(Release(key, outcome, first, gap))
