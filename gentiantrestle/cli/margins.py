"""Command that compares the logs of instances with their promises."""

import sys
from collections.abc import Iterator
from itertools import chain
from pathlib import Path
from typing import Any

from gentiantrestle import events
from gentiantrestle.cli.configuration import InputError
from gentiantrestle.cli.registry import Session, command
from gentiantrestle.margins import answers, jobs, reads, stops, streams
from gentiantrestle.margins.records import LogReader, Record
from gentiantrestle.margins.registry import Bounds, Margin, measure

METER_MODULES = (answers, stops, jobs, reads, streams)
STANDARD_INPUT = '-'


@command(
    'margins FILE', 'Show how near logs came to the bounds; - is the input.'
)
def show_margins(session: Session, path: str) -> None:
    """Print one figure a promise, over a log or a directory of logs."""
    reader = LogReader()
    records = list(chain.from_iterable(_read_logs(reader, path)))
    if not records:
        raise InputError(f'{path} holds no event; {reader.unread} lines read.')
    bounds = Bounds(
        settle=session.option('settle'),
        grace=session.option('grace'),
        apply=session.option('apply'),
    )
    margins = list(measure(records, bounds))
    session.printer.print_table([_row(margin) for margin in margins])
    session.printer.print_document(
        {
            'details': {margin.promise: margin.details for margin in margins},
            'events': len(records),
            'lines_without_event': reader.unread,
            'lines_dropped_by_instances': _dropped(records),
        }
    )


def _read_logs(reader: LogReader, path: str) -> Iterator[Iterator[Record]]:
    if path == STANDARD_INPUT:
        yield reader.read(sys.stdin, STANDARD_INPUT)
        return
    try:
        for log in _logs(Path(path)):
            with log.open(errors='replace') as lines:
                yield reader.read(lines, log.stem)
    except OSError as exc:
        raise InputError(f'{path} is not readable: {exc}.') from exc


def _logs(path: Path) -> list[Path]:
    if path.is_dir():
        return sorted(entry for entry in path.iterdir() if entry.is_file())
    return [path]


def _row(margin: Margin) -> dict[str, Any]:
    relation = 'at least' if margin.is_least else 'at most'
    return {
        'promise': margin.promise,
        'figure': margin.figure,
        'bound': margin.bound,
        'relation': '' if margin.bound is None else relation,
        'kept': margin.is_kept,
        'nearest': margin.nearest,
    }


def _dropped(records: list[Record]) -> int:
    return sum(
        int(rec.fields['count'])
        for rec in records
        if rec.is_a(events.LINES_DROPPED)
    )
