"""How fast an upstream answers one request; no I/O."""

from typing import NamedTuple

# A reader that holds an answer up for longer stretches the gap that follows.
MAX_HOLD_UP = 0.01  # seconds


class AnswerTiming(NamedTuple):
    """What an answer showed of its upstream's pace, in s; 0 if not known.

    ``first_event`` is the time from the request to the first event, or to the
    whole of a plain answer; ``event_gap`` the mean time between events.
    """

    first_event: float = 0
    event_gap: float = 0


NO_TIMING = AnswerTiming()


class AnswerTimer:
    """Measures the events of one answer; times are monotonic, in s."""

    def __init__(self) -> None:
        """Start before the request is sent."""
        self._sent_at: float | None = None
        self._first_event = float(0)
        self._event_at = float(0)
        self._events = 0
        self._span = float(0)
        self._is_held_up = False

    @property
    def timing(self) -> AnswerTiming:
        """Return what has been measured so far."""
        gap = self._span / self._events if self._events else 0
        return AnswerTiming(self._first_event, gap)

    def note_sent(self, now: float) -> None:
        """Note that the request is sent; only the first call counts."""
        if self._sent_at is None:
            self._sent_at = now

    def note_events(self, now: float, count: int = 1) -> None:
        """Note that events have arrived together, or a whole plain answer."""
        if self._sent_at is None:
            return
        if not self._first_event:
            self._first_event = now - self._sent_at
        elif not self._is_held_up:
            self._span += now - self._event_at
            self._events += count
        self._event_at = now
        self._is_held_up = False

    def note_read(self, now: float) -> None:
        """Note that the caller has taken what has arrived."""
        self._is_held_up = now - self._event_at > MAX_HOLD_UP
