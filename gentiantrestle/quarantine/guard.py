"""Decides which requests may be sent to upstreams; no I/O.

A request with all traits of a culprit is refused. Since a conclusion can be
wrong, one instance lets a single request through after a long time without a
crash: if its answer is completed, the traits are sound again. A blame that
concerns many different requests, and isn't proved, is tried once much sooner:
while all of them are refused, no answer can show that they are sound. Accepted
items are owed, so the instance that runs their job tries one sooner, too.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.quarantine.blames import Blames
from gentiantrestle.quarantine.culprits import (
    MIN_CRASHES,
    Crash,
    Culprit,
    Traits,
)
from gentiantrestle.quarantine.evidence import Evidence

# Time after the last crash until such a request is tried again; longer by the
# same time for each further crash.
TRIAL_INTERVAL = 60  # seconds
EARLY_INTERVAL = 4  # seconds from the last crash to an early trial
ANSWER_TIME = 2  # seconds until all instances know that a trial was answered
OWED_INTERVAL = 8  # seconds from the last crash or trial to that of an item


class QuarantinedError(Exception):
    """The request has traits that crash upstreams; nothing was sent."""


class Trial(NamedTuple):
    """The last trial of a culprit: its wall-clock time in s.

    ``was_run`` is set once the request was sent, unless the upstream says that
    it has not run it.
    """

    at: float
    was_run: bool = False


class RequestGuard:
    """Knows which requests crash upstreams."""

    def __init__(
        self,
        evidence: Evidence,
        is_elected: Callable[[str], bool],
    ) -> None:
        """Decide from ``evidence``.

        ``is_elected`` returns whether this instance is the one that tries
        requests with certain traits again.
        """
        self.evidence = evidence
        self._is_elected = is_elected
        self._trials: dict[Traits, Trial] = {}
        self._blames = Blames()
        evidence.on_crash = _log_crash

    def find_culprit(
        self, traits: Iterable[str], wall: float
    ) -> Culprit | None:
        """Return what of a request crashes upstreams, or None.

        ``wall`` is a wall-clock time in s.
        """
        culprits = self.evidence.culprits(wall)
        self._blames.update(culprits, wall)
        if not culprits:
            return None
        owned = frozenset(traits)
        for culprit in culprits:
            if culprit.traits <= owned:
                return culprit
        return None

    def check(
        self, traits: Iterable[str], wall: float, *, owed: bool = False
    ) -> Traits | None:
        """Raise ``QuarantinedError`` if a request must not be sent now.

        ``owed`` means that it is an item of an accepted job. Returns what the
        request is to try again, if it is a trial; ``note_run`` takes it.
        """
        culprit = self.find_culprit(traits, wall)
        if culprit is None:
            return None
        if not self._may_try(culprit, wall, owed):
            raise QuarantinedError(describe(culprit))
        return culprit.traits

    def note_run(self, tried: Traits, *, was_run: bool = True) -> None:
        """Note whether an upstream runs the request that tries a culprit."""
        trial = self._trials.get(tried)
        if trial is not None:
            self._trials[tried] = trial._replace(was_run=was_run)

    def find_refused(
        self, traits: Iterable[str], wall: float, *, owed: bool = False
    ) -> Culprit | None:
        """Return the culprit for which a request is refused; None if it isn't.

        A request that is not refused may still be held back by ``check``.
        """
        culprit = self.find_culprit(traits, wall)
        if culprit is None or self._is_trial_due(culprit, wall, owed):
            return None
        if not owed:
            self._blames.note_refused(culprit.traits, traits)
        return culprit

    def may_be_cleared(self, traits: Iterable[str], wall: float) -> bool:
        """Return whether a request is held back, but maybe not for long."""
        culprit = self.find_culprit(traits, wall)
        return culprit is not None and is_fresh(culprit, wall)

    def _may_try(self, culprit: Culprit, wall: float, owed: bool) -> bool:
        if not self._is_trial_due(culprit, wall, owed):
            return False
        current = {known.traits for known in self.evidence.culprits(wall)}
        self._trials = {
            traits: trial
            for traits, trial in self._trials.items()
            if traits in current
        }
        self._trials[culprit.traits] = Trial(wall)
        events.emit(events.QUARANTINED_TRIED, traits=sorted(culprit.traits))
        return True

    def _is_trial_due(self, culprit: Culprit, wall: float, owed: bool) -> bool:
        """Return whether this instance is to try a request now."""
        trial = self._trials.get(culprit.traits, Trial(culprit.last))
        waited = wall - max(culprit.last, trial.at)
        if owed:
            return waited >= OWED_INTERVAL
        if waited < self._trial_interval(culprit, trial):
            return False
        return self._is_elected(' '.join(sorted(culprit.traits)))

    def _trial_interval(self, culprit: Culprit, trial: Trial) -> int:
        """Return the time in s from the last crash or trial to the next.

        A trial that no upstream has run proves nothing and is made again.
        """
        if trial.at > culprit.last and not trial.was_run:
            return EARLY_INTERVAL
        is_untried = culprit.traits not in self._trials
        concerns_many = self._blames.concerns_many(culprit.traits)
        if concerns_many and is_untried and not culprit.is_proved:
            return EARLY_INTERVAL
        return TRIAL_INTERVAL * (culprit.crashes - MIN_CRASHES + 1)


def describe(culprit: Culprit) -> str:
    """Say why a request is refused."""
    traits = ' with '.join(sorted(culprit.traits))
    return f'{culprit.crashes} upstreams crashed on requests with {traits}'


def is_fresh(culprit: Culprit, wall: float) -> bool:
    """Return whether a blame may still end by an early trial."""
    age = wall - culprit.last
    return not culprit.is_proved and age < EARLY_INTERVAL + ANSWER_TIME


def retry_after(culprit: Culprit, wall: float) -> int:
    """Return the time in s after which to send a refused request again."""
    return EARLY_INTERVAL if is_fresh(culprit, wall) else TRIAL_INTERVAL


def _log_crash(crash: Crash) -> None:
    events.emit(
        events.UPSTREAM_CRASHED,
        upstream=crash.upstream,
        traits=sorted(crash.traits),
    )
