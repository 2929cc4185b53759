"""Health of the upstreams as shown by the use of their slots; no I/O."""

from collections.abc import Iterable

from gentiantrestle.daemon.upstreams.health import Health
from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.slots.messages import SlotOutcome

# Consecutive failures after which an upstream is suspended. Low, because a
# refused connection is a reliable sign.
FAILURES_TO_OPEN = 2


class HealthTable:
    """The circuit breakers of all upstreams."""

    def __init__(self) -> None:
        """Start with every upstream healthy."""
        self._health: dict[str, Health] = {}

    def record(self, upstream: str, outcome: SlotOutcome, now: float) -> None:
        """Note how the use of an upstream ended."""
        if outcome is SlotOutcome.UNKNOWN:
            return
        health = self._health.setdefault(upstream, Health(FAILURES_TO_OPEN))
        if outcome is SlotOutcome.SERVED:
            health.record_success()
        else:
            health.record_failure(now, 0)

    def forget(self, upstream: str) -> None:
        """Drop what is known of an upstream, which has started again."""
        self._health.pop(upstream, None)

    def suspended(self, now: float) -> frozenset[str]:
        """Return the upstreams that must not be used at present."""
        return frozenset(
            upstream
            for upstream, health in self._health.items()
            if not health.is_usable(now)
        )

    def usable(
        self, upstreams: Iterable[Upstream], now: float
    ) -> list[Upstream]:
        """Leave out suspended upstreams, unless all are suspended."""
        listed = list(upstreams)
        suspended = self.suspended(now)
        usable = [
            upstream for upstream in listed if upstream.id not in suspended
        ]
        return usable or listed
