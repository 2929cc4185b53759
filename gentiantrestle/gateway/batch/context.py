"""Dependencies that the modules of batch work share."""

from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.memory.budget import MemoryBudget
from gentiantrestle.gateway.ports import Dialect
from gentiantrestle.gateway.reach.service import UpstreamReach
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.routing import Router
from gentiantrestle.gateway.slots.batch_asks import BatchAsks
from gentiantrestle.gateway.slots.client import SlotClient
from gentiantrestle.gateway.state.clocks import boottime
from gentiantrestle.gateway.upstream_runs import UpstreamRuns
from gentiantrestle.quarantine.guard import RequestGuard


class Clock(NamedTuple):
    """Monotonic time for intervals, wall-clock time for deadlines; in s.

    ``boot`` also counts while the machine is suspended.
    """

    now: Callable[[], float]
    wall: Callable[[], float]
    boot: Callable[[], float] = boottime


class BatchContext(NamedTuple):
    """Dependencies of batch work."""

    index: JobIndex
    job_store: JobStore
    router: Router
    roster: Roster
    slots: SlotClient
    asks: BatchAsks
    dialect: Dialect
    clock: Clock
    guard: RequestGuard
    runs: UpstreamRuns
    reach: UpstreamReach
    budget: MemoryBudget = MemoryBudget()
