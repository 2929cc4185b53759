"""Splits a stream of server-sent events and reads their ids and data."""

from collections.abc import Iterable
from typing import NamedTuple

EVENT_END = b'\n\n'
ID_FIELD = b'id:'
DATA_FIELD = b'data:'
MAX_EVENT = 1048576  # bytes
# Lines that may stand in a stream without an event.
HARMLESS = (b':', b'retry:')


class EventStreamError(Exception):
    """The bytes are no genuine stream of events."""


class EventOrderError(EventStreamError):
    """An event's id is not higher than that of the event before it."""


class ForeignEventError(EventStreamError):
    """Something else than events with ids stands where a stream goes on."""


class EventTooLongError(EventStreamError):
    """An event has no end within the longest size."""


class ServerSentEvent(NamedTuple):
    """A complete event: its bytes, its id (0 if none) and its data."""

    raw: bytes
    event_id: int
    data: str


class EventSplitter:
    """Collects bytes into events; ``last_id`` is the id of the last one."""

    def __init__(self, last_id: int) -> None:
        """Start after the event with the id ``last_id``."""
        self.last_id = last_id
        self._goes_on = last_id > 0
        self._partial = b''

    @property
    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._partial

    def feed(self, part: bytes) -> list[ServerSentEvent]:
        """Return the events that ``part`` completes.

        Raises an ``EventStreamError``; then none of them counts in
        ``last_id``. Where a stream goes on, every event must have an id.
        """
        pieces = (self._partial + part).split(EVENT_END)
        self._partial = pieces.pop()
        if len(self._partial) > MAX_EVENT:
            raise EventTooLongError(f'no end of an event in {MAX_EVENT} bytes')
        parsed = [parse_event(piece) for piece in pieces]
        if self._goes_on:
            _check_ids(parsed)
        self.last_id = _last_id(parsed, self.last_id)
        return parsed


def _last_id(found: Iterable[ServerSentEvent], before: int) -> int:
    """Return the id of the last event; ids rise from event to event."""
    last_id = before
    for event in found:
        if event.event_id and event.event_id <= last_id:
            raise EventOrderError(f'event {event.event_id} after {last_id}')
        last_id = event.event_id or last_id
    return last_id


def _check_ids(found: Iterable[ServerSentEvent]) -> None:
    for event in found:
        lines = event.raw.split(b'\n')
        if event.event_id or not any(map(_is_content, lines)):
            continue
        raise ForeignEventError('an event without id')


def _is_content(line: bytes) -> bool:
    return bool(line) and not line.startswith(HARMLESS)


def parse_event(raw: bytes) -> ServerSentEvent:
    """Parse an event without its final blank line; ignore other fields."""
    event_id = 0
    lines = []
    for line in raw.split(b'\n'):
        if line.startswith(ID_FIELD):
            raw_id = line[len(ID_FIELD) :].strip()
            event_id = int(raw_id) if raw_id.isdigit() else 0
        elif line.startswith(DATA_FIELD):
            lines.append(line[len(DATA_FIELD) :].removeprefix(b' '))
    data = b'\n'.join(lines).decode(errors='replace')
    return ServerSentEvent(raw + EVENT_END, event_id, data)
