"""Builds the parts of one instance that place and run work."""

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
    """Where one instance stands and listens; ``grace`` is in s."""

    instance: str
    topology: Topology
    host: str
    http_address: Address
    peer_port: int
    seeds: tuple[str, ...]
    grace: float


class WorkComponents(NamedTuple):
    """What requests and items are placed and run with."""

    parts: BatchContext
    admission: Admission
    runner: Runner


def build_components(
    site: Topology,
    adapter: Adapter,
    state: FleetState,
    clock: Clock,
    run: str,
) -> WorkComponents:
    """Build the parts of the run of an instance; nothing runs yet."""
    rng = random.Random(run)
    board = LoadBoard()
    index = JobIndex()
    store = RetryingStore(adapter.store, clock.now)
    parts = BatchContext(
        index,
        JobStore(store, index, rng, clock.now, adapter.store),
        state.router,
        state.roster,
        board,
        Placement(site, board, rng.random),
        adapter.dialect,
        clock,
    )
    admission = Admission(state.roster, board, parts.placement, clock.now)
    runner = Runner(parts, run)
    admission.preempt = runner.run_table.preempt
    return WorkComponents(parts, admission, runner)
