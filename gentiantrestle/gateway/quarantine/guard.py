"""Decides which prompts may be sent to upstreams; no I/O.

A prompt that holds a culprit is refused. Since a conclusion can be wrong, one
instance lets a single request through after a long time without a crash: if
its answer is completed, the parts are sound again.
"""

from collections.abc import Callable, Iterable

from gentiantrestle import events
from gentiantrestle.gateway.quarantine.culprits import (
    MIN_CRASHES,
    Crash,
    Culprit,
    Prompt,
)
from gentiantrestle.gateway.quarantine.evidence import Evidence

# Time after the last crash until a prompt is tried again; longer by the same
# time for each further crash.
TRIAL_INTERVAL = 60  # seconds


class QuarantinedError(Exception):
    """The prompt has parts that crash upstreams; nothing was sent."""


class PromptGuard:
    """Knows which parts of prompts crash upstreams."""

    def __init__(
        self,
        evidence: Evidence,
        is_elected: Callable[[str], bool],
    ) -> None:
        """Decide from ``evidence``.

        ``is_elected`` returns whether this instance is the one that tries a
        prompt again.
        """
        self.evidence = evidence
        self._is_elected = is_elected
        self._trials: dict[Prompt, float] = {}
        evidence.on_crash = _log_crash

    def find_culprit(self, parts: Iterable[str], wall: float) -> Culprit | None:
        """Return what of a prompt crashes upstreams, or None.

        ``wall`` is a wall-clock time in s.
        """
        culprits = self.evidence.culprits(wall)
        if not culprits:
            return None
        prompt = frozenset(parts)
        for culprit in culprits:
            if culprit.parts <= prompt:
                return culprit
        return None

    def check(self, parts: Iterable[str], wall: float) -> None:
        """Raise ``QuarantinedError`` if a prompt must not be sent now."""
        culprit = self.find_culprit(parts, wall)
        if culprit is not None and not self._may_try(culprit, wall):
            raise QuarantinedError(describe(culprit))

    def find_refused(self, parts: Iterable[str], wall: float) -> Culprit | None:
        """Return the culprit for which a prompt is refused; None if it isn't.

        A request that is not refused may still be held back by ``check``.
        """
        culprit = self.find_culprit(parts, wall)
        if culprit is None or self._is_trial_due(culprit, wall):
            return None
        return culprit

    def _may_try(self, culprit: Culprit, wall: float) -> bool:
        if not self._is_trial_due(culprit, wall):
            return False
        current = {known.parts for known in self.evidence.culprits(wall)}
        self._trials = {
            parts: tried_at
            for parts, tried_at in self._trials.items()
            if parts in current
        }
        self._trials[culprit.parts] = wall
        events.emit(events.PROMPT_TRIED, prompt_parts=sorted(culprit.parts))
        return True

    def _is_trial_due(self, culprit: Culprit, wall: float) -> bool:
        """Return whether this instance is to try a prompt now."""
        interval = TRIAL_INTERVAL * (culprit.crashes - MIN_CRASHES + 1)
        tried_at = self._trials.get(culprit.parts, culprit.last)
        if wall - max(culprit.last, tried_at) < interval:
            return False
        return self._is_elected(' '.join(sorted(culprit.parts)))


def describe(culprit: Culprit) -> str:
    """Say why a prompt is refused."""
    parts = ' with '.join(sorted(culprit.parts))
    return f'{culprit.crashes} upstreams crashed on the prompt part {parts}'


def _log_crash(crash: Crash) -> None:
    events.emit(
        events.UPSTREAM_CRASHED,
        upstream=crash.upstream,
        prompt_parts=sorted(crash.parts),
    )
