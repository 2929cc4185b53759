"""Which changes a kind's watches should have told, but have not; no I/O."""

from collections.abc import Iterable, Iterator

from gentiantrestle.gateway.ports import StoredObject


class SilentRange:
    """The revisions that watches of one kind have passed without changes."""

    def __init__(self) -> None:
        """Start before the first answer."""
        self.watched = 0
        self.answered = 0

    def begin(self, told: int) -> None:
        """Start over: the store has told all up to the revision ``told``."""
        self.watched = told
        self.answered = told

    def extend(self, answered: int) -> None:
        """Note an answer without changes up to the revision ``answered``."""
        self.answered = max(self.answered, answered)

    def unheard(self, found: Iterable[StoredObject]) -> Iterator[StoredObject]:
        """Yield the objects of which these watches should have told."""
        for stored in found:
            if self.watched < stored.revision <= self.answered:
                yield stored
