"""Commands by their words, in a registry that decorators fill."""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, TypeAlias

from absl import flags

from gentiantrestle.library import Connection
from gentiantrestle.output.printers import Printer


class Session(NamedTuple):
    """What a command works with."""

    conn: Connection
    printer: Printer
    options: flags.FlagValues

    def option(self, name: str) -> Any:
        """Return an option's setting."""
        return self.options[name].value


Action: TypeAlias = Callable[..., None]


class Command(NamedTuple):
    """A command: its words, the arguments it takes, and what it does."""

    words: tuple[str, ...]
    arguments: tuple[str, ...]
    text: str
    act: Action

    @property
    def usage(self) -> str:
        """Show words and arguments."""
        return ' '.join((*self.words, *self.arguments))


COMMANDS: list[Command] = []


def command(line: str, text: str) -> Callable[[Action], Action]:
    """Register a command; words in capitals are its arguments."""
    words = tuple(word for word in line.split() if not word.isupper())
    arguments = tuple(word for word in line.split() if word.isupper())

    def register(act: Action) -> Action:
        COMMANDS.append(Command(words, arguments, text, act))
        return act

    return register


def find(given: Sequence[str]) -> tuple[Command, Sequence[str]] | None:
    """Find the command that the words start with, and its arguments."""
    for one in COMMANDS:
        size = len(one.words)
        rest = tuple(given[size:])
        if tuple(given[:size]) != one.words:
            continue
        if len(rest) == len(one.arguments):
            return one, rest
    return None
