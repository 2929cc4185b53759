"""What forwarding a request depends on."""

from typing import NamedTuple

from gentiantrestle.gateway.batch.context import Clock
from gentiantrestle.gateway.memory.budget import MemoryBudget
from gentiantrestle.gateway.passing.origin import PeerPassing
from gentiantrestle.gateway.ports import Dialect
from gentiantrestle.gateway.reach.service import UpstreamReach
from gentiantrestle.gateway.slots.admission import Admission
from gentiantrestle.gateway.streams.service import StreamOrigins
from gentiantrestle.gateway.upstream_runs import UpstreamRuns
from gentiantrestle.quarantine.guard import RequestGuard


class ForwardingContext(NamedTuple):
    """Dependencies of a forwarder; without ``passing``, none is passed on."""

    admission: Admission
    dialect: Dialect
    clock: Clock
    guard: RequestGuard
    streams: StreamOrigins
    runs: UpstreamRuns
    reach: UpstreamReach
    passing: PeerPassing | None = None
    budget: MemoryBudget = MemoryBudget()
