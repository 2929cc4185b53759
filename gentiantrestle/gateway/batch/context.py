"""Dependencies that the modules of batch work share."""

from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.loads import LoadBoard
from gentiantrestle.gateway.placement import Placement
from gentiantrestle.gateway.ports import Dialect
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.routing import Router


class Clock(NamedTuple):
    """Monotonic time for intervals, wall-clock time for deadlines; in s."""

    now: Callable[[], float]
    wall: Callable[[], float]


class BatchContext(NamedTuple):
    """Dependencies of batch work."""

    index: JobIndex
    job_store: JobStore
    router: Router
    roster: Roster
    board: LoadBoard
    placement: Placement
    dialect: Dialect
    clock: Clock
