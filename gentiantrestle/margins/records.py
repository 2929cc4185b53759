"""Log records of several instances, read from lines of text."""

from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any, NamedTuple

import msgspec

from gentiantrestle import events
from gentiantrestle.event_kinds import Event


class Record(NamedTuple):
    """One event of an instance; times are in seconds."""

    at: float
    instance: str
    code: int
    fields: dict[str, Any]

    def is_a(self, *kinds: Event) -> bool:
        """Tell whether the record is an event of one of these kinds."""
        return any(self.code == kind.code for kind in kinds)

    def field(self, name: str) -> str:
        """Return a field as text; it is empty if the event lacks it."""
        return str(self.fields.get(name, ''))


class Run(NamedTuple):
    """The records of one run of an instance, from its start to its end.

    ``is_over`` is false for a run that goes on at the end of the log.
    """

    instance: str
    records: list[Record]
    is_over: bool

    def first(self, kind: Event) -> Record | None:
        """Return the first event of a kind."""
        return next((rec for rec in self.records if rec.is_a(kind)), None)


class LogReader:
    """Decodes lines and counts those that hold no event."""

    def __init__(self) -> None:
        """Start with no line read."""
        self.unread = 0
        self._names: dict[str, str] = {}

    def read(self, lines: Iterable[str], origin: str) -> Iterator[Record]:
        """Return the events of one log.

        A log collector may have put the time and the name of the instance
        before the JSON object. Without them the event's own time counts,
        and the name of the last start in this log, else ``origin``.
        """
        for line in lines:
            prefix, brace, rest = line.partition('{')
            fields = _decode(brace + rest)
            if fields is None:
                self.unread += 1
                continue
            yield self._record(prefix.split(), fields, origin)

    def _record(
        self, prefix: list[str], fields: dict[str, Any], origin: str
    ) -> Record:
        code = fields['code']
        if code == events.STARTED.code:
            self._names[origin] = str(fields.get('instance', origin))
        at = float(fields['time'])
        name = self._names.get(origin, origin)
        for word in prefix:
            seconds = _seconds(word)
            if seconds is None:
                name = word
            else:
                at = seconds
        return Record(at, name, code, fields)


def split_runs(records: Iterable[Record]) -> list[Run]:
    """Return the runs of all instances in the order of their starts."""
    runs: list[Run] = []
    latest: dict[str, int] = {}
    for rec in records:
        position = latest.get(rec.instance)
        if position is not None and rec.is_a(events.STARTED):
            runs[position] = runs[position]._replace(is_over=True)
            position = None
        if position is None:
            position = len(runs)
            latest[rec.instance] = position
            runs.append(Run(rec.instance, [], is_over=False))
        runs[position].records.append(rec)
    return runs


def _decode(text: str) -> dict[str, Any] | None:
    try:
        fields = msgspec.json.decode(text, type=dict[str, Any])
    except msgspec.DecodeError:
        return None
    is_event = isinstance(fields.get('code'), int)
    return fields if is_event and _is_time(fields.get('time')) else None


def _is_time(time: Any) -> bool:
    return isinstance(time, int | float)


def _seconds(word: str) -> float | None:
    try:
        return float(word)
    except ValueError:
        return _timestamp(word)


def _timestamp(word: str) -> float | None:
    try:
        return datetime.fromisoformat(word).timestamp()
    except ValueError:
        return None
