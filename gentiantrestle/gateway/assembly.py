"""Builds the components of an instance that place and run work."""

import random
from typing import NamedTuple

from gentiantrestle.gateway.admission import Admission
from gentiantrestle.gateway.batch.context import BatchContext, Clock
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.runner import Runner
from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.loads import LoadBoard
from gentiantrestle.gateway.placement import Placement, Topology
from gentiantrestle.gateway.ports import Adapter
from gentiantrestle.gateway.retrying_store import RetryingStore
from gentiantrestle.models import Address


class InstanceConfig(NamedTuple):
    """Identity, location and addresses of an instance.

    ``http_address`` is where callers connect, ``grace`` the time in s that a
    stop may take, ``seeds`` are hosts of other instances.
    """

    instance: str
    topology: Topology
    host: str
    http_address: Address
    peer_port: int
    seeds: tuple[str, ...]
    grace: float


class WorkComponents(NamedTuple):
    """The components that place and run requests and batch items."""

    batch_context: BatchContext
    admission: Admission
    runner: Runner


def build_components(
    topology: Topology,
    adapter: Adapter,
    state: FleetState,
    clock: Clock,
    run_name: str,
) -> WorkComponents:
    """Build the components without starting them.

    ``run_name`` names this process run of the instance.
    """
    rng = random.Random(run_name)
    board = LoadBoard()
    index = JobIndex()
    store = RetryingStore(adapter.store, clock.now)
    batch_context = BatchContext(
        index,
        JobStore(store, index, rng, clock.now, adapter.store),
        state.router,
        state.roster,
        board,
        Placement(topology, board, rng.random),
        adapter.dialect,
        clock,
    )
    admission = Admission(
        state.roster, board, batch_context.placement, clock.now
    )
    runner = Runner(batch_context, run_name)
    admission.preempt = runner.run_table.preempt
    return WorkComponents(batch_context, admission, runner)
