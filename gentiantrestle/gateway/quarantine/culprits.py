"""Finds the prompt parts that crash upstreams; no I/O.

Several requests run on an upstream when it ends, and all but one are victims.
The cause is among those that were beginning their answers, and it is the part
that recurs from one crash to the next. Parts of answers that were completed
elsewhere are sound and don't count.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from typing import NamedTuple, TypeAlias

Prompt: TypeAlias = frozenset[str]

# A request is sent to two upstreams at the most that end under it, so that one
# request alone never makes its parts suspicious.
MIN_CRASHES = 3


class Crash(NamedTuple):
    """The end of an upstream under requests that began their answers.

    ``upstream`` names one run of it, ``at`` is a wall-clock time in whole s.
    ``prompts`` are the parts of these requests.
    """

    upstream: str
    at: int
    prompts: frozenset[Prompt]

    @property
    def parts(self) -> Prompt:
        """Return the parts of all prompts together."""
        return frozenset().union(*self.prompts)

    def without(self, sound: Collection[str]) -> 'Crash':
        """Return the crash without the parts that are known to be sound."""
        stripped = {
            frozenset(part for part in prompt if part not in sound)
            for prompt in self.prompts
        }
        return self._replace(prompts=frozenset(stripped - {frozenset()}))

    def involves(self, parts: Prompt) -> bool:
        """Return whether one of the prompts holds all these parts."""
        return any(parts <= prompt for prompt in self.prompts)


class Culprit(NamedTuple):
    """Parts that crash upstreams when one prompt holds them all.

    ``last`` is the wall-clock time in s of the last of the ``crashes``.
    """

    parts: Prompt
    crashes: int
    last: int


def find_culprits(crashes: Iterable[Crash]) -> Iterator[Culprit]:
    """Yield what explains the crashes, the most frequent cause first.

    Parts known to be sound must have been left out.
    """
    unexplained = list(crashes)
    while True:
        parts = _most_frequent(unexplained)
        if parts is None:
            return
        explained = [crash for crash in unexplained if crash.involves(parts)]
        last = max(crash.at for crash in explained)
        yield Culprit(parts, len(explained), last)
        unexplained = [
            crash for crash in unexplained if not crash.involves(parts)
        ]


def _most_frequent(crashes: list[Crash]) -> Prompt | None:
    counts = Counter(part for crash in crashes for part in crash.parts)
    most = max(counts.values(), default=0)
    if most < MIN_CRASHES:
        return None
    suspects = {
        _companions(part, crashes)
        for part, times in counts.items()
        if times == most
    }
    # Of equal hypotheses the most specific one concerns the fewest requests;
    # if it is wrong, the next crash tells.
    return max(suspects, key=lambda parts: (len(parts), sorted(parts)))


def _companions(part: str, crashes: Iterable[Crash]) -> Prompt:
    """Return the parts of all prompts with ``part``, itself included."""
    prompts = [
        prompt
        for crash in crashes
        for prompt in crash.prompts
        if part in prompt
    ]
    return frozenset.intersection(*prompts)
