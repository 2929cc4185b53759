"""Client library for operators and callers of a fleet."""

from gentiantrestle.library.connection import (
    Connection,
    Failure,
    UnreachableError,
)
from gentiantrestle.library.draft import Draft
from gentiantrestle.library.jobs import Jobs
from gentiantrestle.library.operator import Operator

__all__ = (
    'Connection',
    'Draft',
    'Failure',
    'Jobs',
    'Operator',
    'UnreachableError',
)
