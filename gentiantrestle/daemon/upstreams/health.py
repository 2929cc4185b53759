"""Health of an upstream as this instance measures it; no I/O."""

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

SMOOTHING = 0.2  # weight of a new sample
MAX_BACKOFF = 20.0  # seconds
FIRST_BACKOFF = 0.5  # seconds
FAILURES_TO_OPEN = 3
SLOW_FACTOR = 2.5  # times the median pace of the peers
MIN_PACE_SAMPLES = 4
MAX_PACE_AGE = 5.0  # seconds


class Health:
    """Circuit breaker and smoothed pace of one upstream.

    The pace is in seconds per token. Times are of one monotonic clock, in
    seconds.
    """

    def __init__(self, failures_to_open: int = FAILURES_TO_OPEN) -> None:
        """Start healthy; ``failures_to_open`` in a row open the breaker."""
        self._failures_to_open = failures_to_open
        self.failures = 0
        self.open_until = float(0)
        self._opened_at = float('-inf')
        self.pace: float | None = None
        self.samples = 0
        self.measured_at = float(0)

    def record_success(self) -> None:
        """Record a complete answer: the upstream is usable again."""
        self.failures = 0
        self.open_until = 0
        self._opened_at = float('-inf')

    def record_failure(self, now: float, jitter: float, started: float) -> None:
        """Record that what was ``started`` then failed, e.g. an attempt.

        Enough failures in a row start a backoff, which doubles with each
        further one; ``jitter``, from 0 to 1, is the share of it that is added.
        What had started before the backoff failed of the same cause.
        """
        if started < self._opened_at:
            return
        self.failures += 1
        excess = self.failures - self._failures_to_open
        if excess >= 0:
            backoff = min(MAX_BACKOFF, FIRST_BACKOFF * 2**excess)
            self.open_until = now + backoff * (1 + jitter)
            self._opened_at = now

    def repeat_backoff(self, now: float, started: float) -> None:
        """Start the first backoff again, after one failure in a trial."""
        if started >= self._opened_at:
            self.open_until = now + FIRST_BACKOFF
            self._opened_at = now

    def record_pace(self, seconds: float, now: float) -> None:
        """Record how many seconds one token took; drop an outdated pace."""
        if self.pace is None or now - self.measured_at > MAX_PACE_AGE:
            self.pace = seconds
            self.samples = 0
        self.pace += SMOOTHING * (seconds - self.pace)
        self.samples += 1
        self.measured_at = now

    def is_usable(self, now: float) -> bool:
        """Tell whether the upstream may be tried, i.e. is not backing off."""
        return now >= self.open_until

    def recent_pace(self, now: float) -> float | None:
        """Return the smoothed pace, in seconds per token.

        Return None if the last sample is too old or there are too few.
        """
        if self.pace is None or now - self.measured_at > MAX_PACE_AGE:
            return None
        if self.samples < MIN_PACE_SAMPLES:
            return None
        return self.pace


class RelativePace(NamedTuple):
    """An upstream's pace, as a multiple of the median of its peers."""

    slowness: float

    @property
    def is_slow(self) -> bool:
        """Tell whether the upstream is an outlier among its peers."""
        return self.slowness > SLOW_FACTOR


def compare_pace(
    pace: float | None, peer_paces: Iterable[float | None]
) -> RelativePace:
    """Compare a pace with those of the peers.

    Unknown peers don't count; if the pace or all peers are unknown, the
    upstream counts as ordinary (1.0).
    """
    known = [peer_pace for peer_pace in peer_paces if peer_pace is not None]
    if pace is None or not known:
        return RelativePace(1.0)
    median_pace = median(known)
    if median_pace <= 0:
        return RelativePace(1.0)
    return RelativePace(pace / median_pace)
