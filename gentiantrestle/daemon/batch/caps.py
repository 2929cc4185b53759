"""Cap the batch items on an upstream by its online load; no I/O."""

from gentiantrestle.daemon.upstreams.loads import OnlinePressure

MIXED_LOAD_SHARE = 0.125  # of the slots
CALM_BEFORE_GROWTH = 0.2  # seconds
GROWTH_SHARE = 0.25  # of the slots
UNCERTAIN_SHARE = 0.5  # of the slots, per uncertain instance


class BatchCap:
    """Cap on the batch items of one upstream, kept by its batch owner.

    The cap drops at once. It grows back in steps after a calm period, so that
    short gaps between online requests don't make it flap.
    """

    def __init__(self, slots: int) -> None:
        """Start with a cap of 0."""
        self._slots = slots
        self.current = 0
        self._calm_since: float | None = None

    def update(self, pressure: OnlinePressure, now: float) -> int:
        """Update the cap for the online load at ``now`` and return it."""
        target = target_cap(self._slots, pressure)
        if target <= self.current:
            self.current = target
            self._calm_since = now
            return self.current
        if self._calm_since is None:
            self._calm_since = now - CALM_BEFORE_GROWTH
        if now - self._calm_since >= CALM_BEFORE_GROWTH:
            step = max(1, int(self._slots * GROWTH_SHARE))
            self.current = min(target, self.current + step)
            self._calm_since = now - CALM_BEFORE_GROWTH / 2
        return self.current


def target_cap(slots: int, pressure: OnlinePressure) -> int:
    """Return how many batch items the online load leaves room for.

    Each uncertain instance counts as ``UNCERTAIN_SHARE`` of the slots. Every
    running item slows the others of its engine, so an engine that serves online
    requests takes only a small share of batch items; an idle one takes them in
    all of its slots.
    """
    if not pressure.online and not pressure.uncertain_instances:
        return slots
    reserved = int(slots * UNCERTAIN_SHARE) * pressure.uncertain_instances
    left = slots - pressure.online - reserved
    return max(0, min(left, int(slots * MIXED_LOAD_SHARE)))
