"""The tool's options as data: one entry for each."""

from typing import NamedTuple


class CliOption(NamedTuple):
    """One option: its name, default, environment variable and help."""

    name: str
    default: str | int | float | bool
    text: str
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
        'Key of the account. Prefer the variable: other users of the machine '
        'can read flags.',
        'GENTIANTRESTLE_KEY',
    ),
    CliOption('json', False, 'Print JSON, a document a line.'),
    CliOption(
        'idempotency_key',
        '',
        'Name of a submission: sent twice, it is accepted once. Without it '
        'the content of the file is the name.',
    ),
    CliOption(
        'window',
        86400.0,
        'Time in seconds from acceptance to the deadline of a job.',
    ),
    CliOption('max_tokens', 64, 'Longest answer of "complete", in tokens.'),
    CliOption('yes', False, 'Apply without asking.'),
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
