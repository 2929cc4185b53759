"""Decides when held slots are reported; no I/O."""

REPORT_INTERVAL = 1.0  # seconds between two reports to the same coordinators


class ReportSchedule:
    """When each set of coordinators was last told of the slots held there."""

    def __init__(self) -> None:
        """Make every first report due at once."""
        self._reported_at: dict[tuple[str, ...], float] = {}

    def make_due(self) -> None:
        """Let all be told at once: slots are held that nobody has granted."""
        self._reported_at.clear()

    def is_due(self, told: tuple[str, ...], now: float) -> bool:
        """Return whether the hosts ``told`` are due; if so, note it."""
        reported_at = self._reported_at.get(told, float('-inf'))
        if now - reported_at < REPORT_INTERVAL:
            return False
        self._reported_at[told] = now
        return True
