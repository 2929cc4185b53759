"""Splits a stream into whole events and reads their ids and data."""

from typing import NamedTuple

EVENT_END = b'\n\n'
ID_FIELD = b'id:'
DATA_FIELD = b'data:'


class OrderError(Exception):
    """A stream went back: an event's id is not above the last one."""


class Event(NamedTuple):
    """One whole event: its bytes, its id (0 if none) and its data."""

    raw: bytes
    number: int
    data: str


class EventSplitter:
    """Collects bytes until events are whole; ``last`` is the last id."""

    def __init__(self, last: int) -> None:
        """Start after the event with the id ``last``."""
        self.last = last
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """Return what came after the last whole event."""
        return self._rest

    def feed(self, part: bytes) -> list[Event]:
        """Return the events that are now whole; raise ``OrderError``."""
        pieces = (self._rest + part).split(EVENT_END)
        self._rest = pieces.pop()
        found = [parse_event(piece) for piece in pieces]
        for event in found:
            self._check(event)
        return found

    def _check(self, event: Event) -> None:
        if not event.number:
            return
        if event.number <= self.last:
            raise OrderError(f'event {event.number} after {self.last}')
        self.last = event.number


def parse_event(piece: bytes) -> Event:
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
    return Event(piece + EVENT_END, number, data)
