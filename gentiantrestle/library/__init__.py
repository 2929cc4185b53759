"""The library that operators and callers use: read, check, then apply."""

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
