"""Definitions of the command-line tool's options."""

from typing import NamedTuple


class CliOption(NamedTuple):
    """An option: its name, default, help text and environment variable."""

    name: str
    default: str | int | float | bool
    help_text: str
    env: str = ''


OPTIONS = (
    CliOption(
        'server',
        '127.0.0.1:8080',
        'Address of an entry instance, IP:PORT.',
        'GENTIANTRESTLE_SERVER',
    ),
    CliOption(
        'key',
        '',
        'Key of the client account. Prefer the environment variable: other '
        'users of the machine can read flags.',
        'GENTIANTRESTLE_KEY',
    ),
    CliOption('json', False, 'Print JSON, one document per line.'),
    CliOption(
        'idempotency_key',
        '',
        'Idempotency key of a submission: submissions with the same key are '
        'accepted once. If it is empty, the SHA-256 of the file is the key.',
    ),
    CliOption(
        'window',
        86400.0,
        'Time from the acceptance of a job to its deadline, in seconds.',
    ),
    CliOption('max_tokens', 64, 'Longest answer of "complete", in tokens.'),
    CliOption(
        'settle',
        1.0,
        'Time in which instances learn of a job, for "margins", in seconds.',
    ),
    CliOption('grace', 30.0, 'Grace time, for "margins", in seconds.'),
    CliOption(
        'apply',
        2.5,
        'Time to apply a configuration, for "margins", in seconds.',
    ),
    CliOption('yes', False, 'Apply without confirmation.'),
)
USAGE = """\
usage: gentiantrestle [OPTIONS] COMMAND [ARGUMENT ...]

Commands:
{commands}

Options:
{options}

Exit statuses:
{statuses}
"""
