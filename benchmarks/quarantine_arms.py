"""Plays requests that crash upstreams in virtual time, with and without a rule.

What crashes is a part that prompts share, or one request that comes again
beside sound ones with the same parts. Arms: without a rule each request is sent
on and repeated once. With the rule instances quarantine what their findings
show, of parts only or of parts and whole requests; findings are exchanged with
a delay. With perfect knowledge the crashing ones are refused from the start.
"""

import random
from collections import Counter
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

from loguru import logger

from gentiantrestle.gateway.retry_policy import MAX_CRASHES
from gentiantrestle.quarantine.evidence import Evidence, Findings
from gentiantrestle.quarantine.guard import (
    QuarantinedError,
    RequestGuard,
)
from gentiantrestle.quarantine.traits import is_fingerprint
from gentiantrestle.quarantine.watch import OPENING_TIME

TICK = 0.01  # seconds
WALL = 1_700_000_000  # wall-clock time in s at the start
GOSSIP_DELAY = 0.4  # seconds until findings reach the other instances
HEARTBEAT_TICKS = 50  # between two times that an instance tells its findings
BEGIN_TIME = 0.1  # seconds until an answer begins, or its upstream ends
RUN_TIME = 0.65  # seconds
SESSIONS = 60  # parts that some requests share
DOWN_TIME = 4.0  # seconds until an upstream that ended is back
CRASHING_PART = 'crashing'
CRASHING_REQUEST = 'path:crashing'
# Crashes before the rule binds, by what crashes.
FREE_CRASHES = MappingProxyType({CRASHING_PART: 5, CRASHING_REQUEST: 3})
CONTACT_TIME = 4.0  # seconds after the last free crash
ARMS = ('no rule', 'parts only', 'rule', 'perfect')


class Plan(NamedTuple):
    """What is played; rates are in requests a second.

    ``culprit`` is the trait that crashes upstreams. Prompts begin with one of
    ``families`` first parts. At ``restart_at`` s all instances forget what
    they know. At ``ends_at`` s all upstreams end by themselves.
    """

    arm: str = 'rule'
    culprit: str = CRASHING_PART
    instances: int = 9
    upstreams: int = 6
    seconds: float = 30
    sound_rate: float = 28
    crashing_rate: float = 2
    families: int = 4
    restart_at: float = float('inf')
    ends_at: float = float('inf')
    seed: int = 1


class Run(NamedTuple):
    """A request on an upstream; times are in s."""

    traits: tuple[str, ...]
    instance: int
    upstream: int
    started: float
    crashes: int = 0

    @property
    def is_crashing(self) -> bool:
        """Return whether the upstream ends when the answer begins."""
        return _is_crashing(self.traits)


class Play:
    """One play: what is counted, and when crashing requests were sent."""

    def __init__(self, plan: Plan) -> None:
        """Start with all upstreams up and nothing known."""
        self.plan = plan
        self.counts: Counter[str] = Counter()
        self.crashes: list[float] = []
        self.sent: list[float] = []
        self._rng = random.Random(plan.seed)
        self._guards = [_new_guard(0) for _ in range(plan.instances)]
        self._down_until = [float(0) for _ in range(plan.upstreams)]
        self._incarnations = Counter[int]()
        self._runs: list[Run] = []
        self._gossip: list[tuple[float, Findings]] = []
        self._now = float(0)

    @property
    def late(self) -> int:
        """Count crashing requests sent after the contact time."""
        free = FREE_CRASHES[self.plan.culprit]
        if len(self.crashes) < free:
            return 0
        since = self.crashes[free - 1] + CONTACT_TIME
        return sum(1 for at in self.sent if at > since)

    def run(self) -> 'Play':
        """Play to the end."""
        plan = self.plan
        ticks = int(plan.seconds / TICK)
        for tick in range(ticks):
            self._now = tick * TICK
            if abs(self._now - plan.restart_at) < TICK / 2:
                self._guards = [_new_guard(0) for _ in self._guards]
                self._gossip.clear()
            if abs(self._now - plan.ends_at) < TICK / 2:
                for upstream in range(plan.upstreams):
                    self._crash(upstream)
            if not tick % HEARTBEAT_TICKS:
                self._tell()
            self._exchange()
            self._arrive()
            self._advance()
        return self

    def _arrive(self) -> None:
        if self._rng.random() < self.plan.sound_rate * TICK:
            self.counts['sound'] += 1
            self._send(self._sound_traits(), 0)
        if self._rng.random() < self.plan.crashing_rate * TICK:
            self._send(self._crashing_traits(), 0)

    def _sound_traits(self) -> tuple[str, ...]:
        family = int(self._rng.random() * self.plan.families)
        return (
            f'family{family}',
            f'session{int(self._rng.random() * SESSIONS)}',
            f'path:{self._rng.random()}',
        )

    def _crashing_traits(self) -> tuple[str, ...]:
        if self.plan.culprit == CRASHING_REQUEST:
            return 'family0', 'session0', CRASHING_REQUEST
        return (*self._sound_traits(), CRASHING_PART)

    def _send(self, traits: tuple[str, ...], crashes: int) -> None:
        crashing = _is_crashing(traits)
        if crashing and self.plan.arm == 'perfect':
            return
        instance = int(self._rng.random() * self.plan.instances)
        if self._is_refused(instance, traits):
            self.counts['crashing refused' if crashing else 'refused'] += 1
            return
        up = [
            number
            for number, until in enumerate(self._down_until)
            if until <= self._now
        ]
        if not up:
            self.counts['no upstream'] += 1
            return
        if not self._may_send(instance, traits):
            self.counts['crashing refused' if crashing else 'refused'] += 1
            return
        if crashing:
            self.sent.append(self._now)
        upstream = self._rng.choice(up)
        self._runs.append(Run(traits, instance, upstream, self._now, crashes))

    def _is_refused(self, instance: int, traits: tuple[str, ...]) -> bool:
        """Return whether a request is refused on its arrival."""
        if self.plan.arm not in {'parts only', 'rule'}:
            return False
        known = self._known_traits(traits)
        guard = self._guards[instance]
        return guard.find_refused(known, WALL + self._now) is not None

    def _may_send(self, instance: int, traits: tuple[str, ...]) -> bool:
        if self.plan.arm not in {'parts only', 'rule'}:
            return True
        known = self._known_traits(traits)
        guard = self._guards[instance]
        try:
            tried = guard.check(known, WALL + self._now)
        except QuarantinedError:
            return False
        if tried is not None:
            guard.note_run(tried)
        return True

    def _known_traits(self, traits: tuple[str, ...]) -> tuple[str, ...]:
        """Return the traits that the arm looks at."""
        if self.plan.arm != 'parts only':
            return traits
        return tuple(trait for trait in traits if not is_fingerprint(trait))

    def _advance(self) -> None:
        for run in tuple(self._runs):
            age = self._now - run.started
            if run.is_crashing and age >= BEGIN_TIME:
                self._crash(run.upstream)
            elif age >= RUN_TIME and run in self._runs:
                self._runs.remove(run)
                self.counts['served'] += 1
                guard = self._guards[run.instance]
                known = self._known_traits(run.traits)
                guard.evidence.note_sound(known, WALL + self._now)

    def _crash(self, upstream: int) -> None:
        lost = [run for run in self._runs if run.upstream == upstream]
        if not lost:
            return
        self.crashes.append(self._now)
        self._down_until[upstream] = self._now + DOWN_TIME
        self._incarnations[upstream] += 1
        self._runs = [run for run in self._runs if run.upstream != upstream]
        for run in lost:
            self._lose(run)

    def _lose(self, run: Run) -> None:
        crashes = run.crashes
        if self._now - run.started < BEGIN_TIME + OPENING_TIME:
            crashes += 1
            evidence = self._guards[run.instance].evidence
            name = f'{run.upstream}/{self._incarnations[run.upstream]}'
            wall = WALL + self._now
            suspect = frozenset(self._known_traits(run.traits))
            evidence.add_crash(name, suspect, wall)
            due = self._now + GOSSIP_DELAY
            self._gossip.append((due, evidence.findings(wall)))
        if crashes < MAX_CRASHES:
            self._send(run.traits, crashes)

    def _tell(self) -> None:
        due = self._now + GOSSIP_DELAY
        for guard in self._guards:
            findings = guard.evidence.findings(WALL + self._now)
            self._gossip.append((due, findings))

    def _exchange(self) -> None:
        for due, findings in tuple(self._gossip):
            if due <= self._now:
                self._gossip.remove((due, findings))
                for guard in self._guards:
                    guard.evidence.merge(findings, WALL + self._now)


def _new_guard(instance: int) -> RequestGuard:
    return RequestGuard(Evidence(), lambda key: not instance)


def _is_crashing(traits: tuple[str, ...]) -> bool:
    return not FREE_CRASHES.keys().isdisjoint(traits)


def play(plan: Plan) -> Play:
    """Play a plan without its log lines."""
    logger.disable('gentiantrestle')
    try:
        return Play(plan).run()
    finally:
        logger.enable('gentiantrestle')


async def measure_arms(folder: Path) -> list[str]:
    """Return a line for each arm and each kind of culprit."""
    return [
        describe(f'{culprit}, {arm}', play(Plan(arm, culprit)))
        for culprit in FREE_CRASHES
        for arm in ARMS
    ]


def describe(arm: str, played: Play) -> str:
    """Return what callers and upstreams saw in a play."""
    counts = played.counts
    return (
        f'{arm}: {len(played.crashes)} upstreams ended, {played.late} crashing '
        f'requests sent later than {CONTACT_TIME:.0f} s after the last free '
        f'one, '
        f'{counts["served"]} of {counts["sound"]} sound ones served, '
        f'{counts["refused"]} refused'
    )
