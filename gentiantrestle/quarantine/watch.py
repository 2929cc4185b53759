"""Follows one attempt on an upstream, for what it says about its request."""

from typing import Protocol

from gentiantrestle.quarantine.culprits import Traits
from gentiantrestle.quarantine.guard import RequestGuard

# An upstream that a request crashes ends while it begins the answer. Its first
# events, or the head of a plain answer, may still arrive.
OPENING_TIME = 0.3  # seconds after the first event, or the head
# A slow upstream may end later than that.
SOUND_AFTER = 2 * OPENING_TIME  # seconds after the first event
# Events may have waited here; those of a later read came from a live upstream.
STEADY_TIME = 0.1  # seconds


class Clock(Protocol):
    """Monotonic time for intervals, and wall-clock time; in s."""

    def now(self) -> float:
        """Return the monotonic time."""

    def wall(self) -> float:
        """Return the wall-clock time."""


class RequestWatch:
    """One attempt; all attempts pass ``check`` before they are sent."""

    def __init__(
        self,
        guard: RequestGuard,
        traits: tuple[str, ...],
        clock: Clock,
        *,
        owed: bool = False,
    ) -> None:
        """Watch a request, or an ``owed`` item of a job, with these traits."""
        self._guard = guard
        self._owed = owed
        self._traits = traits
        self._clock = clock
        self._began_at: float | None = None
        # When an event arrived after ``SOUND_AFTER``.
        self._outlasted_at: float | None = None
        self._sound = False
        # What this attempt tries again, until the upstream has run it.
        self._tried: Traits | None = None

    def check(self) -> None:
        """Raise ``QuarantinedError`` if the request must not be sent."""
        if self._traits:
            self._tried = self._guard.check(
                self._traits, self._clock.wall(), owed=self._owed
            )

    def note_run(self, *, was_run: bool = True) -> None:
        """Note whether the upstream runs the request, or may do so."""
        if self._tried is not None:
            self._guard.note_run(self._tried, was_run=was_run)

    def note_event(self) -> None:
        """Note that an event, or the head of a plain answer, has arrived."""
        self.note_run()
        now = self._clock.now()
        if self._began_at is None:
            self._began_at = now
        elif self._outlasted_at is None:
            if now - self._began_at >= SOUND_AFTER:
                self._outlasted_at = now
        elif now - self._outlasted_at >= STEADY_TIME:
            self.note_sound()

    def note_sound(self) -> None:
        """Note that the answer is complete, or past its beginning."""
        if not self._sound:
            self._sound = True
            self._guard.evidence.note_sound(self._traits, self._clock.wall())

    @property
    def is_opening(self) -> bool:
        """Return whether the answer was only just beginning."""
        if not self._traits or self._sound:
            return False
        if self._began_at is None:
            return True
        return self._clock.now() - self._began_at < OPENING_TIME

    def note_crash(self, upstream_run: str) -> None:
        """Note that a run of an upstream ended while the answer was beginning.

        All instances must give the run the same name.
        """
        self.note_run()
        self._guard.evidence.add_crash(
            upstream_run, frozenset(self._traits), self._clock.wall()
        )
