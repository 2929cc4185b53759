"""Print the results of commands as text or as JSON."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any, Protocol, TextIO

import msgspec
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

ADDED_COLOUR = 'green'
REMOVED_COLOUR = 'red'


class Printer(Protocol):
    """Output of a command."""

    def print_document(self, document: Any) -> None:
        """Print one document."""

    def print_table(self, rows: Sequence[Mapping[str, Any]]) -> None:
        """Print rows that have the same fields."""

    def print_progress(self, statuses: Iterable[dict[str, Any]]) -> None:
        """Print the statuses of a job until it ends."""

    def print_difference(self, lines: Iterable[str]) -> None:
        """Print the changes of a draft."""


class JsonPrinter:
    """Prints one JSON document per line."""

    def __init__(self, stream: TextIO) -> None:
        """Write to a text stream."""
        self._stream = stream

    def print_document(self, document: Any) -> None:
        """Write one document as a line."""
        self._stream.write(msgspec.json.encode(document).decode())
        self._stream.write('\n')
        self._stream.flush()

    def print_table(self, rows: Sequence[Mapping[str, Any]]) -> None:
        """Write each row as a document."""
        for row in rows:
            self.print_document(row)

    def print_progress(self, statuses: Iterable[dict[str, Any]]) -> None:
        """Write each status as it arrives."""
        for status in statuses:
            self.print_document(status)

    def print_difference(self, lines: Iterable[str]) -> None:
        """Write all lines as one list."""
        self.print_document(list(lines))


class TextPrinter:
    """Prints text, tables and progress bars; in colour on a terminal."""

    def __init__(self, stream: TextIO) -> None:
        """Write to a text stream."""
        self._console = Console(file=stream, soft_wrap=True, highlight=False)

    def print_document(self, document: Any) -> None:
        """Print one document as indented JSON."""
        text = msgspec.json.format(msgspec.json.encode(document), indent=2)
        if self._console.is_terminal:
            self._console.print_json(text.decode())
            return
        self._console.print(text.decode(), markup=False)

    def print_table(self, rows: Sequence[Mapping[str, Any]]) -> None:
        """Print a table with a column for each field."""
        if not rows:
            self._console.print('Nothing to show.')
            return
        table = Table(*rows[0], box=None)
        for row in rows:
            table.add_row(*map(_format_cell, row.values()))
        self._console.print(table)

    def print_progress(self, statuses: Iterable[dict[str, Any]]) -> None:
        """Draw a progress bar until the job ends, then print its status."""
        last_status: dict[str, Any] = {}
        with Progress(console=self._console, transient=True) as progress:
            task = progress.add_task('items', total=None)
            for status in statuses:
                last_status = status
                counts = status['request_counts']
                progress.update(
                    task,
                    total=counts['total'],
                    completed=counts['completed'] + counts['failed'],
                )
        self.print_document(last_status)

    def print_difference(self, lines: Iterable[str]) -> None:
        """Print added lines in green and removed lines in red."""
        for line in _or_no_difference(lines):
            style = {'+': ADDED_COLOUR, '-': REMOVED_COLOUR}.get(line[0])
            self._console.print(line, style=style, markup=False)


def _format_cell(field: Any) -> str:
    if isinstance(field, str):
        return field
    return msgspec.json.encode(field).decode()


def _or_no_difference(lines: Iterable[str]) -> Iterator[str]:
    empty = True
    for line in lines:
        empty = False
        yield line
    if empty:
        yield 'No difference.'
