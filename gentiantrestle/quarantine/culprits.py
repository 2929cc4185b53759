"""Finds the traits of requests that crash upstreams; no I/O.

Several requests run on an upstream when it ends, and all but one are victims.
The cause is among those whose answers had hardly begun, and it is the trait
that recurs from one crash to the next. Traits of answers that were completed
elsewhere are sound and don't count.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from typing import NamedTuple, TypeAlias

# The traits of one request.
Traits: TypeAlias = frozenset[str]

# A request is sent to two upstreams at the most that end under it, so that it
# becomes no culprit by its own attempts.
MIN_CRASHES = 3
# What had been sent before a blame was known ends upstreams for this long.
SETTLING_TIME = 2  # seconds


class Crash(NamedTuple):
    """The end of an upstream under requests whose answers had hardly begun.

    ``upstream`` names one run of it, ``at`` is a wall-clock time in whole s.
    ``suspects`` are the traits of these requests.
    """

    upstream: str
    at: int
    suspects: frozenset[Traits]

    @property
    def traits(self) -> Traits:
        """Return the traits of all suspects together."""
        return frozenset().union(*self.suspects)

    def without(self, sound: Collection[str]) -> 'Crash':
        """Return the crash without the traits that are known to be sound."""
        stripped = {
            frozenset(trait for trait in suspect if trait not in sound)
            for suspect in self.suspects
        }
        return self._replace(suspects=frozenset(stripped - {frozenset()}))

    def involves(self, traits: Traits) -> bool:
        """Return whether one of the suspects has all these traits."""
        return any(traits <= suspect for suspect in self.suspects)


class Culprit(NamedTuple):
    """Traits that crash upstreams when one request has them all.

    ``last`` is the wall-clock time in s of the last of the ``crashes``, and
    ``blamed_at`` that of the one that made these traits a culprit.
    """

    traits: Traits
    crashes: int
    last: int
    blamed_at: int = 0

    @property
    def is_proved(self) -> bool:
        """Return whether they ended an upstream while they were blamed."""
        return self.last > self.blamed_at + SETTLING_TIME


def find_culprits(crashes: Iterable[Crash]) -> Iterator[Culprit]:
    """Yield what explains the crashes, the most frequent cause first.

    Traits known to be sound must have been left out.
    """
    unexplained = list(crashes)
    while True:
        traits = _most_frequent(unexplained)
        if traits is None:
            return
        explained = [crash for crash in unexplained if crash.involves(traits)]
        times = sorted(crash.at for crash in explained)
        blamed_at = times[MIN_CRASHES - 1]
        yield Culprit(traits, len(explained), times[-1], blamed_at)
        unexplained = [
            crash for crash in unexplained if not crash.involves(traits)
        ]


def _most_frequent(crashes: list[Crash]) -> Traits | None:
    counts = Counter(trait for crash in crashes for trait in crash.traits)
    most = max(counts.values(), default=0)
    if most < MIN_CRASHES:
        return None
    hypotheses = {
        _companions(trait, crashes)
        for trait, times in counts.items()
        if times == most
    }
    # Of equal hypotheses the most specific one concerns the fewest requests;
    # if it is wrong, the next crash tells.
    return max(hypotheses, key=lambda traits: (len(traits), sorted(traits)))


def _companions(trait: str, crashes: Iterable[Crash]) -> Traits:
    """Return the traits of all suspects with ``trait``, itself included."""
    suspects = [
        suspect
        for crash in crashes
        for suspect in crash.suspects
        if trait in suspect
    ]
    return frozenset.intersection(*suspects)
