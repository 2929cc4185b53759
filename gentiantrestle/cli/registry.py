"""Registry of the tool's commands, filled by a decorator."""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, TypeAlias

from absl import flags

from gentiantrestle.library import Connection
from gentiantrestle.output.printers import Printer


class Session(NamedTuple):
    """The connection, printer and options of one command."""

    conn: Connection
    printer: Printer
    options: flags.FlagValues

    def option(self, name: str) -> Any:
        """Return the value of an option."""
        return self.options[name].value


Action: TypeAlias = Callable[..., None]


class Command(NamedTuple):
    """A command: its words, argument names, help text and function."""

    words: tuple[str, ...]
    arguments: tuple[str, ...]
    help_text: str
    action: Action

    @property
    def usage(self) -> str:
        """The words and argument names, as a line of text."""
        return ' '.join((*self.words, *self.arguments))


COMMANDS: list[Command] = []


def command(usage: str, help_text: str) -> Callable[[Action], Action]:
    """Return a decorator that registers a command.

    Words of ``usage`` in capitals name its arguments.
    """
    words = tuple(word for word in usage.split() if not word.isupper())
    arguments = tuple(word for word in usage.split() if word.isupper())

    def register(action: Action) -> Action:
        COMMANDS.append(Command(words, arguments, help_text, action))
        return action

    return register


def find_command(
    command_line: Sequence[str],
) -> tuple[Command, Sequence[str]] | None:
    """Return the command of a command line and its arguments.

    Return ``None`` if no command has these words and number of arguments.
    """
    for known in COMMANDS:
        word_count = len(known.words)
        arguments = tuple(command_line[word_count:])
        if tuple(command_line[:word_count]) != known.words:
            continue
        if len(arguments) == len(known.arguments):
            return known, arguments
    return None
