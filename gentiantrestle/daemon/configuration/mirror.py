"""A local copy of store objects that never goes back to older versions."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from gentiantrestle import events

Document = dict[str, Any]
# Raised by listeners for documents of another shape than they expect.
SHAPE_ERRORS = (LookupError, TypeError, ValueError, AttributeError)


class MirroredObject(NamedTuple):
    """A copy of a store object; without a document it is a tombstone."""

    name: str
    version: int
    document: Document | None


class Listener(NamedTuple):
    """A callback for changes of objects whose names have a prefix."""

    prefix: str
    callback: Callable[[MirroredObject], None]


class Mirror:
    """Objects by name; only a higher version replaces an object."""

    def __init__(self) -> None:
        """Start empty, at revision 0."""
        self.revision = 0
        self._copies: dict[str, MirroredObject] = {}
        self._listeners: list[Listener] = []

    def add_listener(
        self, prefix: str, callback: Callable[[MirroredObject], None]
    ) -> None:
        """Call ``callback`` for each change of an object with a prefix."""
        self._listeners.append(Listener(prefix, callback))

    def apply(self, changes: Iterable[MirroredObject], revision: int) -> None:
        """Store the changes that bring this mirror up to ``revision``."""
        for mirrored in changes:
            self.update(mirrored)
        self.revision = max(self.revision, revision)

    def update(self, mirrored: MirroredObject) -> bool:
        """Store an object and call the listeners.

        Returns False and changes nothing if the known version is not older.
        """
        known = self._copies.get(mirrored.name)
        if known is not None and known.version >= mirrored.version:
            return False
        self._copies[mirrored.name] = mirrored
        for listener in self._listeners:
            if mirrored.name.startswith(listener.prefix):
                _notify(listener, mirrored)
        return True

    def get(self, name: str) -> MirroredObject | None:
        """Return an object by name, or ``None`` if it is unknown or deleted."""
        mirrored = self._copies.get(name)
        if mirrored is None or mirrored.document is None:
            return None
        return mirrored

    def with_prefix(self, prefix: str) -> Iterator[MirroredObject]:
        """Yield the objects whose names start with a prefix."""
        for name, mirrored in tuple(self._copies.items()):
            if name.startswith(prefix) and mirrored.document is not None:
                yield mirrored

    def changed_after(self, revision: int) -> Iterator[MirroredObject]:
        """Yield the objects changed after a revision, including tombstones."""
        for mirrored in self._copies.values():
            if mirrored.version > revision:
                yield mirrored

    def drop_tombstones(self, prefix: str, before: int) -> None:
        """Drop tombstones with a prefix and a version lower than ``before``."""
        for name, mirrored in tuple(self._copies.items()):
            expired = mirrored.document is None and mirrored.version < before
            if expired and name.startswith(prefix):
                self._copies.pop(name)


def _notify(listener: Listener, mirrored: MirroredObject) -> None:
    try:
        listener.callback(mirrored)
    except SHAPE_ERRORS as exc:
        events.emit(
            events.ENTRY_UNREADABLE, name=mirrored.name, error=repr(exc)
        )
