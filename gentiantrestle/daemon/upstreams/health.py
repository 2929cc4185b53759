"""Own measurements of one upstream; decisions only, no I/O."""

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

SMOOTHING = 0.2
MAX_BACKOFF = 20.0  # seconds
FIRST_BACKOFF = 0.5  # seconds
FAILURES_TO_OPEN = 3
SLOW_FACTOR = 2.5
SAMPLES_TO_JUDGE = 4
FORGET_PACE_AFTER = 5.0  # seconds


class Health:
    """Failures in a row and the smoothed pace of an upstream."""

    def __init__(self, failures_to_open: int = FAILURES_TO_OPEN) -> None:
        """Start as healthy, without measurements."""
        self._failures_to_open = failures_to_open
        self.failures = 0
        self.closed_until = float(0)
        self.pace: float | None = None
        self.samples = 0
        self.measured_at = float(0)

    def record_success(self) -> None:
        """Note a whole answer."""
        self.failures = 0
        self.closed_until = 0

    def record_failure(self, now: float, jitter: float) -> None:
        """Note a failure; after some in a row the upstream rests."""
        self.failures += 1
        over = self.failures - self._failures_to_open
        if over >= 0:
            rest = min(MAX_BACKOFF, FIRST_BACKOFF * 2**over)
            self.closed_until = now + rest * (1 + jitter)

    def measure(self, seconds: float, now: float) -> None:
        """Take in the time that one part of an answer took."""
        if self.pace is None or now - self.measured_at > FORGET_PACE_AFTER:
            self.pace = seconds
            self.samples = 0
        self.pace += SMOOTHING * (seconds - self.pace)
        self.samples += 1
        self.measured_at = now

    def is_usable(self, now: float) -> bool:
        """Tell whether the upstream may be tried."""
        return now >= self.closed_until

    def fresh_pace(self, now: float) -> float | None:
        """Return the smoothed pace in s, if it is recent and well-founded."""
        if self.pace is None or now - self.measured_at > FORGET_PACE_AFTER:
            return None
        if self.samples < SAMPLES_TO_JUDGE:
            return None
        return self.pace


class Standing(NamedTuple):
    """How an upstream's pace compares with that of its peers."""

    slowness: float

    @property
    def is_slow(self) -> bool:
        """Tell whether it is an outlier among its peers."""
        return self.slowness > SLOW_FACTOR


def compare(pace: float | None, peer_paces: Iterable[float | None]) -> Standing:
    """Compare one pace with those of the peers; unknown is ordinary."""
    known = [one for one in peer_paces if one is not None]
    if pace is None or not known:
        return Standing(1.0)
    usual = median(known)
    if usual <= 0:
        return Standing(1.0)
    return Standing(pace / usual)
