"""Entry point of the command-line tool."""

import os
import sys
from collections.abc import Iterator, Mapping, Sequence

from absl import flags

from gentiantrestle.cli import configuration, jobs, margins
from gentiantrestle.cli.options import OPTIONS, USAGE, CliOption
from gentiantrestle.cli.registry import COMMANDS, Session, find_command
from gentiantrestle.errors import CONFLICT, KEY_REUSED
from gentiantrestle.exit_status import ExitStatus
from gentiantrestle.library import Connection, Failure, UnreachableError
from gentiantrestle.output.printers import JsonPrinter, Printer, TextPrinter

COMMAND_MODULES = (configuration, jobs, margins)
CONFLICTS = frozenset((CONFLICT.name, KEY_REUSED.name))
NOT_RUN = 'not run'
HELP = 'help'
COLUMN_WIDTH = 28  # characters
FLAG_DEFINERS = {
    bool: flags.DEFINE_bool,
    int: flags.DEFINE_integer,
    float: flags.DEFINE_float,
    str: flags.DEFINE_string,
}


def main() -> None:
    """Run ``gentiantrestle`` and exit with its status."""
    sys.exit(run(sys.argv, os.environ))


def run(argv: Sequence[str], environ: Mapping[str, str]) -> ExitStatus:
    """Parse the command line and run its command."""
    options = flags.FlagValues()
    _define_flags(options, environ)
    try:
        words = options(argv)[1:]
    except flags.Error as exc:
        return _fail(ExitStatus.BAD_SETTINGS, str(exc))
    if options[HELP].value or not words:
        sys.stdout.write(_usage())
        return ExitStatus.SUCCESS
    found = find_command(words)
    if found is None:
        return _fail(
            ExitStatus.BAD_SETTINGS,
            'No such command, or the wrong number of arguments; '
            'see gentiantrestle --help.',
        )
    try:
        session = _open_session(options)
        found[0].action(session, *found[1])
    except Exception as exc:  # noqa: BLE001 (the exit status reports it)
        return _report_exception(exc)
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    return ExitStatus.SUCCESS


def _define_flags(
    options: flags.FlagValues, environ: Mapping[str, str]
) -> None:
    flags.DEFINE_bool(HELP, False, 'Print this help.', flag_values=options)
    for option in OPTIONS:
        define = FLAG_DEFINERS[type(option.default)]
        define(
            option.name,
            environ.get(option.env, option.default),
            option.help_text,
            flag_values=options,
        )
    options.set_gnu_getopt(True)


def _open_session(options: flags.FlagValues) -> Session:
    printer: Printer = TextPrinter(sys.stdout)
    if options['json'].value:
        printer = JsonPrinter(sys.stdout)
    try:
        conn = Connection(options['server'].value, options['key'].value)
    except ValueError as exc:
        raise configuration.InputError(
            'The server is not IP:PORT; correct --server.',
        ) from exc
    return Session(conn, printer, options)


def _report_exception(exc: Exception) -> ExitStatus:
    if isinstance(exc, configuration.InputError):
        return _fail(ExitStatus.BAD_SETTINGS, str(exc))
    if isinstance(exc, UnreachableError):
        return _fail(ExitStatus.UNREACHABLE, str(exc))
    if isinstance(exc, Failure):
        return _fail(_failure_status(exc), str(exc))
    if isinstance(exc, BrokenPipeError):
        return ExitStatus.ERROR
    return _fail(ExitStatus.ERROR, repr(exc))


def _failure_status(exc: Failure) -> ExitStatus:
    if exc.kind in CONFLICTS:
        return ExitStatus.CONFLICT
    if exc.run == NOT_RUN:
        return ExitStatus.REFUSED
    return ExitStatus.OUTCOME_UNKNOWN


def _fail(status: ExitStatus, message: str) -> ExitStatus:
    sys.stderr.write(f'gentiantrestle: {message}\n')
    return status


def _usage() -> str:
    return USAGE.format(
        commands='\n'.join(
            _format_rows((entry.usage, entry.help_text) for entry in COMMANDS)
        ),
        options='\n'.join(
            _format_rows(
                (f'--{entry.name}', _option_text(entry)) for entry in OPTIONS
            )
        ),
        statuses='\n'.join(
            _format_rows(
                (str(int(entry)), entry.name.lower().replace('_', ' '))
                for entry in ExitStatus
            )
        ),
    )


def _format_rows(rows: Iterator[tuple[str, str]]) -> Iterator[str]:
    for name, text in rows:
        yield f'  {name.ljust(COLUMN_WIDTH)}  {text}'


def _option_text(option: CliOption) -> str:
    env = f' Environment: {option.env}.' if option.env else ''
    return f'{option.help_text} Default: {option.default!r}.{env}'


if __name__ == '__main__':
    main()
