"""Splits a stream into whole events and reads their ids and data."""

from typing import NamedTuple

EVENT_END = b'\n\n'
ID_FIELD = b'id:'
DATA_FIELD = b'data:'


class EventOrderError(Exception):
    """A stream went back: an event's id is not above the last one."""


class ServerSentEvent(NamedTuple):
    """One whole event: its bytes, its id (0 if none) and its data."""

    raw: bytes
    event_id: int
    data: str


class EventSplitter:
    """Collects bytes until events are whole; ``last`` is the last id."""

    def __init__(self, last: int) -> None:
        """Start after the event with the id ``last``."""
        self.last_id = last
        self._partial = b''

    @property
    def remainder(self) -> bytes:
        """Return what came after the last whole event."""
        return self._partial

    def feed(self, part: bytes) -> list[ServerSentEvent]:
        """Return the events that are now whole; raise ``EventOrderError``."""
        pieces = (self._partial + part).split(EVENT_END)
        self._partial = pieces.pop()
        found = [parse_event(piece) for piece in pieces]
        for event in found:
            self._check(event)
        return found

    def _check(self, event: ServerSentEvent) -> None:
        if not event.event_id:
            return
        if event.event_id <= self.last_id:
            raise EventOrderError(
                f'event {event.event_id} after {self.last_id}'
            )
        self.last_id = event.event_id


def parse_event(piece: bytes) -> ServerSentEvent:
    """Read one event's lines; lines of other fields are passed over."""
    number = 0
    texts = []
    for line in piece.split(b'\n'):
        if line.startswith(ID_FIELD):
            told = line[len(ID_FIELD) :].strip()
            number = int(told) if told.isdigit() else 0
        elif line.startswith(DATA_FIELD):
            texts.append(line[len(DATA_FIELD) :].removeprefix(b' '))
    data = b'\n'.join(texts).decode(errors='replace')
    return ServerSentEvent(piece + EVENT_END, number, data)
