"""The pace of each upstream against its peers, from what answers show; no I/O.

Answers upstreams of one service that differ in speed, are slow for parts of a
second, or have just started. The pace of a run is the median of its last
answers, so that a slow moment moves it little, against the median of its peers:
the runs of the same service and version. Until enough answers have shown a
difference, all upstreams count as even.
"""

import math
from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from statistics import median
from types import MappingProxyType
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.daemon.upstreams.health import compare_pace
from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.slots.ledger import Lease
from gentiantrestle.gateway.slots.messages import Release, SlotOutcome
from gentiantrestle.gateway.slots.start_window import StartWindow

EVEN_PACE = 1.0
# Differences below this are those of chance, and change nothing for callers.
DEAD_BAND = 1.15
SAMPLES = 24  # answers of a run that count
MIN_SAMPLES = 8
SAMPLE_LIFETIME = 15.0  # seconds; a slow run is tried again after that
REFERENCE_SAMPLES = 64  # answers of a service that one is compared with
# A run that was away for longer, as when it was suspended, counts as started.
ABSENCE = 0.4  # seconds
FORGET_AFTER = 30.0  # seconds
LOG_INTERVAL = 5.0  # seconds between changes of one run that are logged


class PaceView(NamedTuple):
    """What placement has to know of a pool's upstreams, by their ids.

    ``ratios`` are the paces that are not even: times that of the peers, above
    1 for slow ones. ``windows`` are the slots that upstreams may use which have
    just started.
    """

    ratios: Mapping[str, float] = MappingProxyType({})
    windows: Mapping[str, int] = MappingProxyType({})

    def ratio(self, upstream: str) -> float:
        """Return the pace of an upstream against its peers."""
        return self.ratios.get(upstream, EVEN_PACE)


EVEN = PaceView()


class _Kind(NamedTuple):
    """Answers that can be compared with each other."""

    service: str
    version: str
    batch: bool
    has_gap: bool


class _Sample(NamedTuple):
    slowness: float
    at: float


class _Run:
    """One run of an upstream, as its answers have shown it."""

    def __init__(self, upstream: Upstream, now: float) -> None:
        self.upstream = upstream
        self.since = now
        self.seen_at = now
        self.window: StartWindow | None = None
        self.ratio = EVEN_PACE
        self.logged = 'usual'
        self.logged_at = float('-inf')
        self._samples: deque[_Sample] = deque(maxlen=SAMPLES)

    @property
    def group(self) -> tuple[str, str]:
        """The service and version whose runs are its peers."""
        return self.upstream.service, self.upstream.version

    def add(self, slowness: float, now: float) -> None:
        """Add an answer, as a multiple of the service's usual one."""
        self._samples.append(_Sample(slowness, now))

    def level(self, now: float) -> float | None:
        """Return the median of the last answers; None if there are few."""
        samples = self._samples
        while samples and now - samples[0].at > SAMPLE_LIFETIME:
            samples.popleft()
        if len(samples) < MIN_SAMPLES:
            return None
        return median(sample.slowness for sample in samples)


class PaceTable:
    """The runs of one coordinator's upstreams."""

    def __init__(self) -> None:
        """Start without samples, and measure nothing until ``is_active``."""
        self.is_active = False
        self._runs: dict[str, _Run] = {}
        self._references: dict[_Kind, deque[float]] = {}

    def count_slow(self, now: float) -> int:
        """Count the upstreams that are slower than their peers."""
        return sum(run.ratio > EVEN_PACE for run in self._used(now))

    def count_starting(self, now: float) -> int:
        """Count the upstreams with a window."""
        return sum(run.window is not None for run in self._used(now))

    def view(self, upstreams: Iterable[Upstream], now: float) -> PaceView:
        """Return the paces and windows of the upstreams that are usable now."""
        if not self.is_active:
            return EVEN
        runs = self._note_seen(upstreams, now)
        self._compare(runs, now)
        return PaceView(
            {
                run.upstream.id: run.ratio
                for run in runs
                if run.ratio != EVEN_PACE
            },
            {
                run.upstream.id: run.window.size
                for run in runs
                if run.window is not None
            },
        )

    def note_use(self, lease: Lease, release: Release, now: float) -> None:
        """Note what the use of a slot has shown."""
        run = self._runs.get(lease.upstream)
        if not self.is_active or run is None or lease.granted_at < run.since:
            return
        slowness = self._compare_answer(run, lease.batch, release)
        if slowness is not None:
            run.add(slowness, now)
        if run.window is None:
            return
        if release.outcome is SlotOutcome.FAILED:
            run.window.note_failure()
        elif release.outcome is SlotOutcome.SERVED:
            # Older builds don't say how fast the answer was.
            run.window.note_answer(slowness or EVEN_PACE)

    def _compare_answer(
        self, run: _Run, batch: bool, release: Release
    ) -> float | None:
        """Return an answer's time as a multiple of the usual one."""
        seconds = release.event_gap or release.first_event
        if not seconds:
            return None
        kind = _Kind(*run.group, batch, release.event_gap > 0)
        known = self._references.setdefault(
            kind, deque(maxlen=REFERENCE_SAMPLES)
        )
        known.append(seconds)
        return seconds / median(known)

    def _note_seen(
        self, upstreams: Iterable[Upstream], now: float
    ) -> list[_Run]:
        """Return the runs; those that were not there before get a window."""
        runs = []
        started = []
        for upstream in upstreams:
            run = self._runs.get(upstream.id)
            is_same = run is not None and run.upstream.run == upstream.run
            if not is_same:
                run = _Run(upstream, now)
                self._runs[upstream.id] = run
            if not is_same or now - run.seen_at > ABSENCE:
                started.append(run)
            run.seen_at = now
            runs.append(run)
        for run in started:
            self._open_window(run, started, now)
        if started:
            self._forget_absent(now)
        for run in runs:
            _close_window(run, now)
        return runs

    def _open_window(
        self, run: _Run, started: Iterable[_Run], now: float
    ) -> None:
        """Open a window unless all upstreams like it have just been met."""
        if not any(
            peer.level(now) is not None
            and peer.upstream.service == run.upstream.service
            and peer.upstream.zone == run.upstream.zone
            and now - peer.seen_at <= ABSENCE
            for peer in self._runs.values()
            if peer not in started
        ):
            return
        run.window = StartWindow(run.upstream.slots, now)
        events.emit(
            events.START_WINDOW_OPENED,
            upstream=run.upstream.id,
            slots=run.window.size,
            incarnation=run.upstream.incarnation,
        )

    def _used(self, now: float) -> Iterator[_Run]:
        """Yield the runs that are usable and counted here now."""
        return (
            run for run in self._runs.values() if now - run.seen_at <= ABSENCE
        )

    def _compare(self, runs: Iterable[_Run], now: float) -> None:
        """Set the pace of each run; even where it differs little."""
        levels = [(run, run.level(now)) for run in runs]
        for run, level in levels:
            peers = (known for peer, known in levels if peer.group == run.group)
            ratio = compare_pace(level, peers).slowness
            if abs(math.log(ratio)) <= math.log(DEAD_BAND):
                ratio = EVEN_PACE
            run.ratio = ratio
            _log_pace(run, now)

    def _forget_absent(self, now: float) -> None:
        for name, run in tuple(self._runs.items()):
            if now - run.seen_at > FORGET_AFTER:
                self._runs.pop(name)
        groups = {known.group for known in self._runs.values()}
        self._references = {
            kind: seconds
            for kind, seconds in self._references.items()
            if (kind.service, kind.version) in groups
        }


def _close_window(run: _Run, now: float) -> None:
    if run.window is not None and run.window.is_over(now):
        events.emit(
            events.START_WINDOW_CLOSED,
            upstream=run.upstream.id,
            answers=run.window.answers,
        )
        run.window = None


def _log_pace(run: _Run, now: float) -> None:
    name = 'usual'
    if run.ratio != EVEN_PACE:
        name = 'slow' if run.ratio > EVEN_PACE else 'fast'
    if name == run.logged or now - run.logged_at < LOG_INTERVAL:
        return
    run.logged = name
    run.logged_at = now
    events.emit(
        events.UPSTREAM_PACE,
        upstream=run.upstream.id,
        pace=name,
        ratio=round(run.ratio, 2),
    )
