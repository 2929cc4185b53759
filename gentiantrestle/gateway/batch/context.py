"""What the parts that run batch work share."""

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
    """Steady time for pauses, wall-clock time for what is due."""

    now: Callable[[], float]
    wall: Callable[[], float]


class BatchContext(NamedTuple):
    """What batch work is run with."""

    index: JobIndex
    job_store: JobStore
    router: Router
    roster: Roster
    board: LoadBoard
    placement: Placement
    dialect: Dialect
    clock: Clock
