"""Notes what is blamed for crashes, and which requests that concerns."""

from collections.abc import Iterable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.quarantine.culprits import Culprit, Traits

# So many different requests show that a blame holds back more than a few.
MANY = 8


class Blame(NamedTuple):
    """Since when (wall-clock time in s), and requests refused for it.

    ``kinds`` are the other traits of the first different ones.
    """

    since: float
    refused: int = 0
    kinds: frozenset[Traits] = frozenset()


class Blames:
    """What this instance blames; logs where that begins and ends."""

    def __init__(self) -> None:
        """Blame nothing yet."""
        self._blames: dict[Traits, Blame] = {}

    def update(self, culprits: Iterable[Culprit], wall: float) -> None:
        """Log which blames have begun and which have ended."""
        current = {culprit.traits: culprit for culprit in culprits}
        for ended in tuple(self._blames.keys() - current.keys()):
            blame = self._blames.pop(ended)
            events.emit(
                events.BLAME_ENDED,
                traits=sorted(ended),
                refused=blame.refused,
                held_s=round(wall - blame.since, 1),
            )
        for begun in current.keys() - self._blames.keys():
            self._blames[begun] = Blame(wall)
            events.emit(
                events.BLAME_BEGUN,
                traits=sorted(begun),
                crashes=current[begun].crashes,
            )

    def note_refused(self, blamed: Traits, traits: Iterable[str]) -> None:
        """Note that a request was refused for the ``blamed`` ones of traits."""
        blame = self._blames[blamed]
        kinds = blame.kinds
        if len(kinds) < MANY:
            kinds |= {frozenset(traits) - blamed}
        self._blames[blamed] = Blame(blame.since, blame.refused + 1, kinds)

    def concerns_many(self, blamed: Traits) -> bool:
        """Return whether many different requests were refused for a blame."""
        known = self._blames.get(blamed)
        return known is not None and len(known.kinds) >= MANY
