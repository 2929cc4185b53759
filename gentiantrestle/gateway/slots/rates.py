"""Requests a second that upstreams take, and those that were granted; no I/O.

An upstream in need names the most requests a second that it takes. Grants are
counted for all upstreams, so that those made before the limit was known count
as well.
"""

import math
from collections import deque
from collections.abc import Iterable

WINDOW = 4.0  # seconds over which grants are counted
# Within this time a limit that is named and one that is lifted may cross.
CROSSING_TIME = 0.5  # seconds
MAX_UPSTREAMS = 4096  # beyond this, idle upstreams are forgotten


class RateLimits:
    """The limits of one coordinator's upstreams, and its grants."""

    def __init__(self) -> None:
        """Start without limits."""
        self._limits: dict[str, float] = {}
        self._named_at: dict[str, float] = {}
        self._grants: dict[str, deque[float]] = {}

    def name(self, upstream: str, limit: float, now: float) -> None:
        """Note the limit that an upstream names; 0 lifts it."""
        if limit:
            self._limits[upstream] = limit
            self._named_at[upstream] = now
        elif now - self._named_at.get(upstream, now) > CROSSING_TIME:
            self._limits.pop(upstream, None)
            self._named_at.pop(upstream, None)

    def limit(self, upstream: str) -> float:
        """Return an upstream's limit in requests a second; 0 for none."""
        return self._limits.get(upstream, 0)

    def record(self, upstream: str, now: float) -> None:
        """Count a grant."""
        times = self._grants.setdefault(upstream, deque())
        times.append(now)
        _forget_old(times, now)
        if len(self._grants) > MAX_UPSTREAMS:
            self._drop_idle(now)

    def allowances(
        self, upstreams: Iterable[str], now: float
    ) -> dict[str, int]:
        """Return how many requests the limited ones may be sent now."""
        return {
            upstream: self._allowance(upstream, now)
            for upstream in upstreams
            if upstream in self._limits
        }

    def may_send_alone(self, upstream: str, now: float) -> bool:
        """Return whether an instance may use an upstream without a grant.

        It doesn't know what others send to a limited one.
        """
        if upstream not in self._limits:
            return True
        times = self._grants.get(upstream, deque())
        _forget_old(times, now)
        return not times

    def _drop_idle(self, now: float) -> None:
        """Forget the upstreams that were granted nothing lately."""
        self._grants = {
            upstream: times
            for upstream, times in self._grants.items()
            if times and now - times[-1] < WINDOW
        }
        for upstream in set(self._limits) - set(self._grants):
            self._limits.pop(upstream)
            self._named_at.pop(upstream)

    def _allowance(self, upstream: str, now: float) -> int:
        limit = self._limits[upstream]
        times = self._grants.get(upstream, deque())
        _forget_old(times, now)
        lately = sum(1 for at in times if now - at < 1)
        return max(
            0,
            min(
                max(1, int(limit * WINDOW)) - len(times),
                max(1, math.ceil(limit)) - lately,
            ),
        )


def _forget_old(times: deque[float], now: float) -> None:
    while times and now - times[0] >= WINDOW:
        times.popleft()
