"""Logs what is blamed for crashes, and how many requests that concerns."""

from collections.abc import Iterable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.quarantine.culprits import Culprit, Traits


class Blame(NamedTuple):
    """Since when (wall-clock time in s), and requests refused for it."""

    since: float
    refused: int = 0


class BlameLog:
    """What this instance blames, as far as it has been logged."""

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

    def note_refused(self, traits: Traits) -> None:
        """Note that a request was refused for these blamed traits."""
        blame = self._blames[traits]
        self._blames[traits] = blame._replace(refused=blame.refused + 1)
