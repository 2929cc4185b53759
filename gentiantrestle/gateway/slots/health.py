"""Health of the upstreams as shown by the use of their slots; no I/O."""

from collections.abc import Callable, Iterable

from gentiantrestle import events
from gentiantrestle.daemon.upstreams.health import Health
from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.slots.ledger import Lease
from gentiantrestle.gateway.slots.messages import SlotOutcome

# Consecutive failures after which an upstream is suspended. Low, because a
# refused connection is a reliable sign.
FAILURES_TO_OPEN = 2
# A use that has not failed by then has reached its upstream.
TRIAL_TIME = 0.5  # seconds


class HealthTable:
    """The circuit breakers of all upstreams."""

    def __init__(self) -> None:
        """Start with every upstream healthy."""
        self._health: dict[str, Health] = {}

    def record(
        self, upstream: str, outcome: SlotOutcome, started: float, now: float
    ) -> None:
        """Note how the use of an upstream that was ``started`` then ended."""
        if outcome is SlotOutcome.UNKNOWN:
            return
        health = self._health.setdefault(upstream, Health(FAILURES_TO_OPEN))
        if outcome is SlotOutcome.SERVED:
            health.record_success()
        else:
            health.record_failure(now, 0, started)

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
        withheld = self._withheld(now)
        usable = [
            upstream for upstream in listed if upstream.id not in withheld
        ]
        return usable or listed

    def _withheld(self, now: float) -> frozenset[str]:
        return self.suspended(now)


class SharedHealth(HealthTable):
    """The circuit breakers of a coordinator; it logs what they do.

    A failure may be that of the path between its witness and the upstream, so
    the breaker opens on the word of several. After a suspension one use tries
    the upstream before it gets more.
    """

    def __init__(
        self, first_use_since: Callable[[str, float], float | None]
    ) -> None:
        """Start with every upstream healthy.

        ``first_use_since`` tells when the oldest use since then began.
        """
        super().__init__()
        self._first_use_since = first_use_since
        # Holders whose uses have failed since the last one that was served, or
        # since several of them had the upstream suspended.
        self._witnesses: dict[str, set[str]] = {}
        self._suspended: set[str] = set()

    def record_use(
        self, lease: Lease, outcome: SlotOutcome, now: float
    ) -> None:
        """Note how the use of a slot ended."""
        upstream, holder = lease.upstream, lease.key.holder
        if outcome is SlotOutcome.SERVED:
            self.record(upstream, outcome, lease.granted_at, now)
            self._note_usable(upstream, 'served')
            self._witnesses.pop(upstream, None)
        elif outcome is SlotOutcome.FAILED:
            witnesses = self._witnesses.setdefault(upstream, set())
            is_new = holder not in witnesses
            witnesses.add(holder)
            named = tuple(witnesses)
            self._count_failure(lease, len(named), now, is_new=is_new)
            self._note_suspended(upstream, named, now)

    def forget(self, upstream: str) -> None:
        """Drop what is known of an upstream, which has started again."""
        super().forget(upstream)
        self._witnesses.pop(upstream, None)
        self._note_usable(upstream, 'started')

    def note_lapsed(self, now: float) -> None:
        """Log the upstreams whose suspension is over."""
        for upstream in self._suspended - self.suspended(now):
            self._note_usable(upstream, 'waited')

    def _count_failure(
        self, lease: Lease, witnesses: int, now: float, *, is_new: bool
    ) -> None:
        """Count a failure; one witness alone lengthens no suspension."""
        upstream, started = lease.upstream, lease.granted_at
        health = self._health.get(upstream)
        if witnesses > 1:
            self.record(upstream, SlotOutcome.FAILED, started, now)
            if upstream in self.suspended(now):
                self._witnesses[upstream].clear()
        elif health is not None and health.open_until:
            health.repeat_backoff(now, started)
        elif is_new:
            # Further failures of one witness are no further evidence.
            self.record(upstream, SlotOutcome.FAILED, started, now)

    def _withheld(self, now: float) -> frozenset[str]:
        on_trial = (
            upstream
            for upstream, health in self._health.items()
            if health.open_until
            and self._is_on_trial(upstream, health.open_until, now)
        )
        return self.suspended(now).union(on_trial)

    def _is_on_trial(self, upstream: str, since: float, now: float) -> bool:
        began = self._first_use_since(upstream, since)
        return began is not None and now - began < TRIAL_TIME

    def _note_suspended(
        self, upstream: str, witnesses: Iterable[str], now: float
    ) -> None:
        if upstream in self._suspended or upstream not in self.suspended(now):
            return
        health = self._health[upstream]
        self._suspended.add(upstream)
        events.emit(
            events.UPSTREAM_SUSPENDED,
            upstream=upstream,
            witnesses=', '.join(sorted(witnesses)),
            for_ms=round((health.open_until - now) * 1000),
        )

    def _note_usable(self, upstream: str, reason: str) -> None:
        if upstream in self._suspended:
            self._suspended.remove(upstream)
            events.emit(
                events.UPSTREAM_USABLE, upstream=upstream, reason=reason
            )
