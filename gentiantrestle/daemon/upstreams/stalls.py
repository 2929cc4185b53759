"""Notices streams that bring bytes but no events; no I/O."""


class EventTimer:
    """Measures how long a stream has brought no whole event."""

    def __init__(self, timeout: float, now: float) -> None:
        """Start now; ``timeout`` is the longest pause between events in s."""
        self.timeout = timeout
        self._last_event = now

    def note_part(self, now: float, *, has_event: bool) -> None:
        """Note a part of the stream, and whether it completed an event.

        Raises ``TimeoutError`` if no event was completed for too long.
        """
        if has_event:
            self._last_event = now
        elif now - self._last_event > self.timeout:
            raise TimeoutError('bytes without the end of an event')
