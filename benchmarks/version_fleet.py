"""A simulated fleet before upstreams of two versions, in virtual time.

Streams break off at random or with their instance and are taken up again at
another one. An arm decides which versions a stream may run at.
"""

import random
from collections import Counter
from collections.abc import Iterator
from itertools import islice

from benchmarks.version_world import (
    NEW,
    OLD,
    Arm,
    Clock,
    Engine,
    Instance,
    Plan,
    Stream,
    Weights,
)

FIRST_EVENT = 0.06  # seconds
RUN_TIME = 0.65  # seconds of a stream
MAX_WAIT = 0.18  # seconds for a slot
POLL_TIME = 0.02  # seconds
REACTION_TIME = 0.05  # seconds until a caller takes a stream up
BREAK_SHARE = 0.1  # of the streams break off by themselves
MIN_LAG, MAX_LAG = 0.05, 0.5  # seconds until an instance knows a change
DURABLE_TIME = 0.08  # seconds until the store has it
DOWN_TIME = 1.5  # seconds until an instance that ended is back
DETECTION_TIME = 2.0  # seconds until the others know that it is gone
RELEASE_AT = 6.0  # seconds
KNOWN_AGE = 0.5  # seconds
FINISH_TIME = 5.0  # seconds for streams that have begun
SMALL_UPSTREAMS = 2  # of the version with a tenth of the slots


class VersionFleet:
    """Instances, upstreams and streams; ``counts`` is what was seen.

    ``epochs`` are the slots of each version since a time in s, as the store
    has them.
    """

    def __init__(self, plan: Plan) -> None:
        """Start with the versions before the release."""
        self.plan = plan
        self.clock = Clock()
        self.rng = random.Random(plan.seed)
        self.counts: Counter[str] = Counter()
        self.engines = list(_first_engines(plan))
        self.instances = [
            Instance(number % plan.load.zones, list(self.engines))
            for number in range(plan.load.instances)
        ]
        self.epochs: list[tuple[float, Weights]] = [(0, self._weights())]
        self.arm: Arm
        self._live: list[Stream] = []

    def members(self, zone: int) -> list[Instance]:
        """Return the instances of a zone that the others count as live."""
        now = self.clock.now
        return [
            one
            for one in self.instances
            if one.zone == zone
            and (one.up or now - one.gone_at < DETECTION_TIME)
        ]

    def run(self, arm: Arm) -> None:
        """Play the plan to its end."""
        self.arm = arm
        plan = self.plan
        self.clock.after(0, self._arrive)
        upstreams = plan.load.upstreams
        if plan.release == 'quick':
            self.clock.after(RELEASE_AT, lambda: self._replace(upstreams))
        elif plan.release == 'gradual':
            for number in range(upstreams):
                self.clock.after(RELEASE_AT + number, lambda: self._replace(1))
        if plan.killed:
            self.clock.after(plan.kill_at, self._kill)
        self.clock.run(plan.seconds + FINISH_TIME)

    def _arrive(self) -> None:
        if self.clock.now > self.plan.seconds:
            return
        pause = self.rng.expovariate(self.plan.load.rate)
        self.clock.after(pause, self._arrive)
        live = [one for one in self.instances if one.up]
        if live:
            self.counts['streams'] += 1
            stream = Stream(f'{self.plan.seed}/{self.counts["streams"]}')
            instance = self.rng.choice(live)
            wanted = self.arm.choose(instance, stream.name)
            self._place(stream, instance, wanted, self.clock.now)

    def _place(
        self,
        stream: Stream,
        instance: Instance,
        wanted: tuple[str, ...],
        since: float,
    ) -> None:
        """Run a stream at the first of some versions with a free slot."""
        if not instance.up:
            return
        for version in wanted:
            free = [
                engine
                for engine in instance.engines
                if engine.running < engine.slots
                and version in {'', engine.version}
            ]
            if free:
                least = min(free, key=lambda one: one.running / one.slots)
                self._start(stream, instance, least)
                return
        if self.clock.now - since > MAX_WAIT:
            kind = 'take-ups' if stream.version else f'streams {wanted[0]}'
            self.counts[f'{kind} without a slot'] += 1
            return
        self.clock.after(
            POLL_TIME, lambda: self._place(stream, instance, wanted, since)
        )

    def _start(
        self, stream: Stream, instance: Instance, engine: Engine
    ) -> None:
        stream.engine = engine
        stream.instance = instance
        stream.runs += 1
        run = stream.runs
        stream.running = True
        engine.running += 1
        self._live.append(stream)
        if stream.version:
            joined = engine.version != stream.version
            self.counts['joined' if joined else f'went on {stream.kind}'] += 1
        broken = self.rng.random() < BREAK_SHARE
        duration = RUN_TIME
        if broken:
            duration = self.rng.uniform(FIRST_EVENT, RUN_TIME)
        self.clock.after(FIRST_EVENT, lambda: self._begin(stream, run))
        self.clock.after(duration, lambda: self._finish(stream, run, broken))

    def _begin(self, stream: Stream, run: int) -> None:
        if stream.running and stream.runs == run:
            if not stream.version:
                stream.version = stream.engine.version
                stream.begun_at = self.clock.now
                self.counts[f'begun {stream.version}'] += 1
            self.arm.note_begun(stream.instance, stream)

    def _finish(self, stream: Stream, run: int, broken: bool) -> None:
        if stream.running and stream.runs == run:
            self._end(stream)
            if broken:
                self._break(stream, 'calm')

    def _end(self, stream: Stream) -> None:
        stream.running = False
        stream.engine.running -= 1
        self._live.remove(stream)

    def _break(self, stream: Stream, kind: str) -> None:
        if stream.version:
            stream.kind = kind
            self.clock.after(REACTION_TIME, lambda: self._take_up(stream))

    def _take_up(self, stream: Stream) -> None:
        live = [one for one in self.instances if one.up]
        if not live:
            self.clock.after(REACTION_TIME, lambda: self._take_up(stream))
            return
        serving = [one for one in self.engines if one.version == stream.version]
        if len(serving) < 2:
            stream.kind = 'not owed'
        self.counts[f'taken up {stream.kind}'] += 1
        instance = self.rng.choice(live)

        def place(version: str | None) -> None:
            if version is not None:
                self._place(stream, instance, (version,), self.clock.now)

        self.arm.resolve(instance, stream.name, place)

    def _kill(self) -> None:
        now = self.clock.now
        ended = list(islice(self.instances, self.plan.killed))
        for instance in ended:
            instance.gone_at = now
            instance.records.clear()
            instance.began.clear()
            instance.unwritten.clear()
        lost = [one for one in self._live if not one.instance.up]
        for stream in lost:
            self._end(stream)
            is_old = now - stream.begun_at > KNOWN_AGE
            self._break(stream, 'old' if is_old else 'young')
        self.clock.after(DOWN_TIME, lambda: self._restart(ended))

    def _restart(self, ended: list[Instance]) -> None:
        for instance in ended:
            instance.gone_at = None
            instance.epoch = len(self.epochs) - 1
            instance.engines = list(self.engines)

    def _replace(self, count: int) -> None:
        """Replace the first upstreams of the old version by new ones."""
        slots = self.plan.load.slots
        new = [Engine(NEW, slots) for _ in range(count)]
        self.engines = [*islice(self.engines, count, None), *new]
        weights = self._weights()
        engines = list(self.engines)

        def publish() -> None:
            self.epochs.append((self.clock.now, weights))
            epoch = len(self.epochs) - 1
            for instance in self.instances:
                lag = self.rng.uniform(MIN_LAG, MAX_LAG)
                self.clock.after(
                    lag,
                    lambda one=instance: self._learn(one, epoch, engines),
                )

        self.clock.after(DURABLE_TIME, publish)

    def _learn(
        self, instance: Instance, epoch: int, engines: list[Engine]
    ) -> None:
        if instance.up and epoch > instance.epoch:
            instance.epoch = epoch
            instance.engines = list(engines)
            self.arm.note_change(instance)

    def _weights(self) -> Weights:
        slots = Counter[str]()
        for engine in self.engines:
            slots[engine.version] += engine.slots
        return slots


def _first_engines(plan: Plan) -> Iterator[Engine]:
    load = plan.load
    if plan.release != 'small':
        for _ in range(load.upstreams):
            yield Engine(OLD, load.slots)
        return
    small = load.upstreams * load.slots // (10 * SMALL_UPSTREAMS)
    rest = load.upstreams - SMALL_UPSTREAMS
    for _ in range(rest):
        yield Engine(OLD, round(9 * SMALL_UPSTREAMS * small / rest))
    for _ in range(SMALL_UPSTREAMS):
        yield Engine(NEW, small)
