"""Follows one attempt on an upstream, for what it says about its prompt."""

from gentiantrestle.gateway.batch.context import Clock
from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.quarantine.guard import PromptGuard

# An upstream that a prompt crashes ends while it begins the answer. Its first
# events may still arrive.
OPENING_TIME = 0.3  # seconds after the first event
SOUND_AFTER = 1.0  # seconds after the first event


class PromptWatch:
    """One attempt; all attempts pass ``check`` before they are sent."""

    def __init__(
        self, guard: PromptGuard, parts: tuple[str, ...], clock: Clock
    ) -> None:
        """Watch a request whose prompt has these shared parts."""
        self._guard = guard
        self._parts = parts
        self._clock = clock
        self._began_at: float | None = None
        self._sound = False

    def check(self) -> None:
        """Raise ``QuarantinedError`` if the request must not be sent."""
        if self._parts:
            self._guard.check(self._parts, self._clock.wall())

    def note_event(self) -> None:
        """Note that an event of the answer has arrived."""
        now = self._clock.now()
        if self._began_at is None:
            self._began_at = now
        elif now - self._began_at > SOUND_AFTER:
            self.note_sound()

    def note_sound(self) -> None:
        """Note that the answer is complete, or well under way."""
        if not self._sound:
            self._sound = True
            self._guard.evidence.note_sound(self._parts, self._clock.wall())

    @property
    def is_opening(self) -> bool:
        """Return whether the answer was only just beginning."""
        if not self._parts or self._sound:
            return False
        if self._began_at is None:
            return True
        return self._clock.now() - self._began_at < OPENING_TIME

    def note_crash(self, upstream: Upstream) -> None:
        """Note that the upstream ended while the answer was beginning."""
        self._guard.evidence.add_crash(
            f'{upstream.id}/{upstream.incarnation}',
            frozenset(self._parts),
            self._clock.wall(),
        )
