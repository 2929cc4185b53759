"""Where streams began, as far as an instance knows; no I/O.

Two software versions of a service may write different texts, so a stream goes
on only at the version that wrote its first event.
"""

from collections.abc import Iterator
from typing import NamedTuple

# Callers take a broken stream up again within their deadline, which is shorter.
RETENTION = 12.0  # seconds that a stream is remembered after its end
MAX_STREAMS = 20000  # streams that an instance remembers
NEVER = float('inf')
# Of a stream that has not begun.
ANY_VERSION = ''


class StreamOrigin(NamedTuple):
    """The attempt that brought a stream's first event, and who wrote it."""

    attempt_id: str
    service: str
    version: str


class _Entry(NamedTuple):
    """A stream, and the monotonic time in s at which it is forgotten."""

    origin: StreamOrigin
    expires_at: float


class OriginLog:
    """The streams that were begun lately, by attempt id.

    ``changes`` grows whenever a stream is added.
    """

    def __init__(self) -> None:
        """Start without any streams."""
        self.changes = 0
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        """Count the streams, those that have expired included."""
        return len(self._entries)

    def open(self, origin: StreamOrigin) -> None:
        """Remember a stream until it is closed, and ``RETENTION`` longer."""
        self._put(_Entry(origin, NEVER))

    def close(self, attempt_id: str, now: float) -> None:
        """Note that a stream has ended here; its caller may take it up."""
        entry = self._entries.get(attempt_id)
        if entry is not None:
            expires_at = now + RETENTION
            self._entries[attempt_id] = entry._replace(expires_at=expires_at)

    def add(self, origin: StreamOrigin, now: float) -> None:
        """Remember a stream of another instance for ``RETENTION``."""
        self._put(_Entry(origin, now + RETENTION))

    def find(self, attempt_id: str) -> StreamOrigin | None:
        """Return where a stream began; None if that isn't known."""
        entry = self._entries.get(attempt_id)
        return entry and entry.origin

    def is_open(self, attempt_id: str) -> bool:
        """Return whether a stream is running here."""
        entry = self._entries.get(attempt_id)
        return entry is not None and entry.expires_at == NEVER

    def recent(self, now: float) -> Iterator[StreamOrigin]:
        """Yield the streams that are remembered."""
        self.expire(now)
        return (entry.origin for entry in self._entries.values())

    def expire(self, now: float) -> None:
        """Forget what is over."""
        for attempt_id, entry in tuple(self._entries.items()):
            if entry.expires_at <= now:
                self._entries.pop(attempt_id)

    def _put(self, entry: _Entry) -> None:
        attempt_id = entry.origin.attempt_id
        if attempt_id not in self._entries:
            self.changes += 1
            if len(self._entries) >= MAX_STREAMS:
                self._entries.pop(next(iter(self._entries)))
        self._entries[attempt_id] = entry
