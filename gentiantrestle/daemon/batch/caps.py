"""How many batch items an upstream may have; decisions only, no I/O."""

from gentiantrestle.daemon.upstreams.loads import OnlinePressure

MIXED_SHARE = 0.125
CALM_BEFORE_GROWTH = 0.2  # seconds
GROWTH = 0.25
BUSY_SHARE = 0.5


class BatchCap:
    """The cap on one upstream's batch items, kept by their one owner.

    The cap falls at once and grows back in steps after some calm, so that
    short gaps between online requests don't make it flap.
    """

    def __init__(self, slots: int) -> None:
        """Start at nothing and grow from there."""
        self._slots = slots
        self.current = 0
        self._calm_since: float | None = None

    def update(self, pressure: OnlinePressure, now: float) -> int:
        """Return the cap that holds from now on."""
        target = target_cap(self._slots, pressure)
        if target <= self.current:
            self.current = target
            self._calm_since = now
            return self.current
        if self._calm_since is None:
            self._calm_since = now - CALM_BEFORE_GROWTH
        if now - self._calm_since >= CALM_BEFORE_GROWTH:
            step = max(1, int(self._slots * GROWTH))
            self.current = min(target, self.current + step)
            self._calm_since = now - CALM_BEFORE_GROWTH / 2
        return self.current


def target_cap(slots: int, pressure: OnlinePressure) -> int:
    """Return what online leaves; silence reads as busy.

    Every running item slows the others of its engine, so an engine that
    serves online keeps a small share of batch, and only idle ones are full.
    """
    if not pressure.online and not pressure.uncertain_instances:
        return slots
    feared = int(slots * BUSY_SHARE) * pressure.uncertain_instances
    left = slots - pressure.online - feared
    return max(0, min(left, int(slots * MIXED_SHARE)))
