"""A copy of store objects that never goes back; decisions only."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

Document = dict[str, Any]


class MirroredObject(NamedTuple):
    """One copied object; no document means that it was deleted."""

    name: str
    version: int
    document: Document | None


class Listener(NamedTuple):
    """Who is called for changes below a prefix."""

    prefix: str
    heed: Callable[[MirroredObject], None]


class Mirror:
    """Objects by name; only a higher version replaces one."""

    def __init__(self) -> None:
        """Start empty, at revision 0."""
        self.revision = 0
        self._copies: dict[str, MirroredObject] = {}
        self._listeners: list[Listener] = []

    def add_listener(
        self, prefix: str, heed: Callable[[MirroredObject], None]
    ) -> None:
        """Call ``heed`` for each change below a prefix."""
        self._listeners.append(Listener(prefix, heed))

    def apply(self, changes: Iterable[MirroredObject], revision: int) -> None:
        """Take in changes that bring the copy up to ``revision``."""
        for copied in changes:
            self.update(copied)
        self.revision = max(self.revision, revision)

    def update(self, copied: MirroredObject) -> bool:
        """Take in one object, unless as new a one is known."""
        known = self._copies.get(copied.name)
        if known is not None and known.version >= copied.version:
            return False
        self._copies[copied.name] = copied
        for listener in self._listeners:
            if copied.name.startswith(listener.prefix):
                listener.heed(copied)
        return True

    def get(self, name: str) -> MirroredObject | None:
        """Look one object up; a deleted one is not found."""
        copied = self._copies.get(name)
        if copied is None or copied.document is None:
            return None
        return copied

    def with_prefix(self, prefix: str) -> Iterator[MirroredObject]:
        """Yield the objects below a prefix."""
        for name, copied in tuple(self._copies.items()):
            if name.startswith(prefix) and copied.document is not None:
                yield copied

    def since(self, after: int) -> Iterator[MirroredObject]:
        """Yield what has changed after a revision, deletions too."""
        for copied in self._copies.values():
            if copied.version > after:
                yield copied

    def forget(self, prefix: str, before: int) -> None:
        """Drop marks of deletions below a prefix that are old enough."""
        for name, copied in tuple(self._copies.items()):
            gone = copied.document is None and copied.version < before
            if gone and name.startswith(prefix):
                self._copies.pop(name)
