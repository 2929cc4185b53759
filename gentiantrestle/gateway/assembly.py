"""Builds the components of an instance that place and run work."""

import random
from typing import NamedTuple

from gentiantrestle.gateway.batch.context import BatchContext
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_owners import JobOwners
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.runner import Runner
from gentiantrestle.gateway.fleet_context import FleetContext
from gentiantrestle.gateway.memory.budget import MemoryBudget
from gentiantrestle.gateway.ports import Adapter
from gentiantrestle.gateway.reach.service import UpstreamReach
from gentiantrestle.gateway.reach.store_reach import StoreContact
from gentiantrestle.gateway.retrying_store import RetryingStore
from gentiantrestle.gateway.slots.admission import Admission
from gentiantrestle.gateway.slots.batch_asks import BatchAsks
from gentiantrestle.gateway.slots.client import SlotClient
from gentiantrestle.gateway.slots.coordinator import SlotCoordinator
from gentiantrestle.gateway.slots.directory import SlotDirectory
from gentiantrestle.gateway.slots.fair_use import AllowanceRates
from gentiantrestle.gateway.slots.placing import CoordinatorScope
from gentiantrestle.gateway.slots.remote_zones import RemoteZones
from gentiantrestle.gateway.slots.service import (
    SlotParts,
    SlotSender,
    SlotService,
)
from gentiantrestle.gateway.streams.service import StreamOrigins
from gentiantrestle.gateway.upstream_runs import UpstreamRuns


class WorkComponents(NamedTuple):
    """The components that place and run requests and batch items."""

    batch_context: BatchContext
    admission: Admission
    runner: Runner
    slots: SlotService
    streams: StreamOrigins
    owners: JobOwners
    store_contact: StoreContact


def build_slots(fleet: FleetContext, rng: random.Random) -> SlotService:
    """Build the slot coordinator and the client of this instance."""
    identity, roster = fleet.identity, fleet.state.roster
    directory = SlotDirectory(
        identity.zone, fleet.peers, roster, fleet.membership.coordinators
    )
    remote = RemoteZones(fleet.topology, rng.random)
    scope = CoordinatorScope(
        identity.instance,
        identity.host,
        identity.zone,
        directory.zones,
        directory.find_host,
        fleet.peers.has_ended,
    )
    sender = SlotSender(fleet.port)
    client = SlotClient(
        fleet.run_name, identity.host, directory, sender.send, fleet.clock.now
    )
    client.mark_leaving = roster.leaving.add
    parts = SlotParts(
        SlotCoordinator(
            scope,
            roster,
            remote,
            rng.random,
            AllowanceRates(lambda: fleet.state.router.table.accounts).find,
        ),
        client,
        BatchAsks(identity.zone, client, roster.find, fleet.clock.now),
        remote,
        directory,
    )
    return SlotService(identity.instance, parts, sender, fleet.clock.now)


def build_components(
    fleet: FleetContext, adapter: Adapter, memory: int
) -> WorkComponents:
    """Build the components without starting them.

    ``memory`` is what the process may use, in bytes; 0 sets no budget.
    """
    rng = random.Random(fleet.run_name)
    slots = build_slots(fleet, rng)
    reach = UpstreamReach(
        fleet.state.roster,
        fleet.clock.now,
        lambda: fleet.peers.alive(fleet.clock.now()),
    )
    slots.parts.client.is_path_suspect = lambda: reach.is_suspect

    def forget_contacts(upstream: str) -> None:
        slots.forget_health(upstream)
        reach.forget(upstream)

    fleet.state.on_start = forget_contacts
    contact = StoreContact.from_store(
        adapter.store,
        fleet.clock.now,
        lambda: fleet.peers.alive(fleet.clock.now()),
    )
    index = JobIndex()
    batch_context = BatchContext(
        index,
        JobStore(
            RetryingStore(contact.store, fleet.clock.now),
            index,
            rng,
            fleet.clock.now,
            contact.store,
        ),
        fleet.state.router,
        fleet.state.roster,
        slots.parts.client,
        slots.parts.batch_asks,
        adapter.dialect,
        fleet.clock,
        fleet.build_guard(),
        UpstreamRuns(adapter.dialect),
        reach,
        MemoryBudget.from_memory(memory),
    )
    batch_context.job_store.budget = batch_context.budget
    batch_context.budget.read_items = lambda: index.body_bytes
    runner = Runner(batch_context, fleet.run_name)
    owners = JobOwners(
        fleet.run_name, fleet.peers, reach, fleet.state.router, contact.reach
    )
    runner.find_stranded = owners.find_stranded
    slots.preempt = runner.run_table.preempt
    return WorkComponents(
        batch_context,
        Admission(
            fleet.topology,
            fleet.state.roster,
            slots.parts.client,
            rng.random,
            fleet.clock.now,
        ),
        runner,
        slots,
        StreamOrigins(fleet, slots.parts.directory, adapter),
        owners,
        contact,
    )
