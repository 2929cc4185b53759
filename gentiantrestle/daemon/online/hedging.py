"""Hedging: when to start a second attempt for a slow request; no I/O."""

SMOOTHING = 0.1  # weight of a new sample
HEDGE_FACTOR = 3.0  # times the smoothed start
MIN_DELAY = 0.03  # seconds
INITIAL_DELAY = 1.0  # seconds
MAX_HEDGED_PROMPT = 4000  # characters


class HedgeRule:
    """Derives the hedging delay from how long streams take to start."""

    def __init__(self) -> None:
        """Use ``INITIAL_DELAY`` until a start has been recorded."""
        self._smoothed_start: float | None = None

    def record_start(self, seconds: float) -> None:
        """Record the seconds until the first part of a stream came."""
        if self._smoothed_start is None:
            self._smoothed_start = seconds
        self._smoothed_start += SMOOTHING * (seconds - self._smoothed_start)

    def delay(self, prompt: str, *, repeatable: bool) -> float | None:
        """Return the seconds after which to try a second upstream.

        Return None for a request that must not be hedged: one that is not
        repeatable, or whose prompt is long.
        """
        if not repeatable or len(prompt) > MAX_HEDGED_PROMPT:
            return None
        if self._smoothed_start is None:
            return INITIAL_DELAY
        return max(MIN_DELAY, HEDGE_FACTOR * self._smoothed_start)
