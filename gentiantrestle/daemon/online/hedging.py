"""When a slow start of an answer is worth a second attempt; no I/O."""

SMOOTHING = 0.1
HEDGE_FACTOR = 3.0
MIN_DELAY = 0.03  # seconds
FIRST_DELAY = 1.0  # seconds
SHORT_PROMPT = 4000  # characters


class HedgeRule:
    """Learns how long answers usually take to begin."""

    def __init__(self) -> None:
        """Start careful, until something is learnt."""
        self._usual: float | None = None

    def note_start(self, seconds: float) -> None:
        """Take in the time to the first part of a good answer."""
        if self._usual is None:
            self._usual = seconds
        self._usual += SMOOTHING * (seconds - self._usual)

    def delay(self, prompt: str, *, repeatable: bool) -> float | None:
        """Return when to try a second upstream, in s, or never."""
        if not repeatable or len(prompt) > SHORT_PROMPT:
            return None
        if self._usual is None:
            return FIRST_DELAY
        return max(MIN_DELAY, HEDGE_FACTOR * self._usual)
