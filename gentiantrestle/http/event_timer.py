"""Notices streams that bring bytes but no events; no I/O."""


class StalledError(TimeoutError):
    """A stream has brought no whole event for too long."""


class EventTimer:
    """Measures how long a stream has brought no whole event."""

    def __init__(self, timeout: float | None, now: float) -> None:
        """Start now; ``timeout`` is the longest pause between events in s.

        None allows any pause.
        """
        self.timeout = timeout
        self._last_event = now

    def note_part(self, now: float, *, has_event: bool) -> None:
        """Note a part of the stream, and whether it completed an event.

        Raises ``StalledError`` if no event was completed for too long.
        """
        pause = now - self._last_event
        if has_event:
            self._last_event = now
        elif self.timeout is not None and pause > self.timeout:
            raise StalledError('bytes without the end of an event')
