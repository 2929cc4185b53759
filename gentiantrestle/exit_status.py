"""Exit statuses of the daemon and of the command-line tool."""

from enum import IntEnum, unique


@unique
class ExitStatus(IntEnum):
    """Exit status of the daemon or the command-line tool.

    ``REFUSED`` means that a call was not run, ``OUTCOME_UNKNOWN`` that it may
    have been run.
    """

    SUCCESS = 0
    ERROR = 1
    BAD_SETTINGS = 2
    REFUSED = 3
    OUTCOME_UNKNOWN = 4
    CONFLICT = 5
    UNREACHABLE = 6
    CUT_REQUESTS = 7
    CHILD_FAILED = 8
    INTERRUPTED = 130
