"""Print documents for a person, or as JSON for a program."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any, Protocol, TextIO

import msgspec
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

ADDED = 'green'
REMOVED = 'red'


class Printer(Protocol):
    """What a command can show."""

    def document(self, document: Any) -> None:
        """Show one document."""

    def table(self, rows: Sequence[Mapping[str, Any]]) -> None:
        """Show documents of one shape."""

    def progress(self, statuses: Iterable[dict[str, Any]]) -> None:
        """Show a job until it ends."""

    def difference(self, lines: Iterable[str]) -> None:
        """Show what a draft changes."""


class JsonPrinter:
    """One JSON document a line."""

    def __init__(self, stream: TextIO) -> None:
        """Write to a text stream."""
        self._stream = stream

    def document(self, document: Any) -> None:
        """Write one document."""
        self._stream.write(msgspec.json.encode(document).decode())
        self._stream.write('\n')
        self._stream.flush()

    def table(self, rows: Sequence[Mapping[str, Any]]) -> None:
        """Write a document for each row."""
        for row in rows:
            self.document(row)

    def progress(self, statuses: Iterable[dict[str, Any]]) -> None:
        """Write each status as it comes."""
        for status in statuses:
            self.document(status)

    def difference(self, lines: Iterable[str]) -> None:
        """Write the lines as one list."""
        self.document(list(lines))


class HumanPrinter:
    """Tables and bars; colour only on a terminal."""

    def __init__(self, stream: TextIO) -> None:
        """Write to a text stream."""
        self._console = Console(file=stream, soft_wrap=True, highlight=False)

    def document(self, document: Any) -> None:
        """Print one document, indented."""
        text = msgspec.json.format(msgspec.json.encode(document), indent=2)
        if self._console.is_terminal:
            self._console.print_json(text.decode())
            return
        self._console.print(text.decode(), markup=False)

    def table(self, rows: Sequence[Mapping[str, Any]]) -> None:
        """Print a table, a column for each field."""
        if not rows:
            self._console.print('Nothing to show.')
            return
        shown = Table(*rows[0], box=None)
        for row in rows:
            shown.add_row(*map(_cell, row.values()))
        self._console.print(shown)

    def progress(self, statuses: Iterable[dict[str, Any]]) -> None:
        """Draw a bar until the job ends, then print its state."""
        shown: dict[str, Any] = {}
        with Progress(console=self._console, transient=True) as progress:
            task = progress.add_task('items', total=None)
            for status in statuses:
                shown = status
                counts = status['request_counts']
                progress.update(
                    task,
                    total=counts['total'],
                    completed=counts['completed'] + counts['failed'],
                )
        self.document(shown)

    def difference(self, lines: Iterable[str]) -> None:
        """Print added lines green and removed ones red."""
        for line in _or_nothing(lines):
            style = {'+': ADDED, '-': REMOVED}.get(line[0])
            self._console.print(line, style=style, markup=False)


def _cell(shown: Any) -> str:
    if isinstance(shown, str):
        return shown
    return msgspec.json.encode(shown).decode()


def _or_nothing(lines: Iterable[str]) -> Iterator[str]:
    empty = True
    for line in lines:
        empty = False
        yield line
    if empty:
        yield 'No difference.'
