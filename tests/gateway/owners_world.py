"""Runners of several instances, one of which reaches no upstream at times."""

import asyncio
import random
from collections.abc import Iterable
from types import SimpleNamespace

from gentiantrestle.gateway.batch.context import BatchContext, Clock
from gentiantrestle.gateway.batch.item_progress import ItemProgress, RunOutcome
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_owners import JobOwners
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import (
    RESULT_KIND,
    results_from_content,
)
from gentiantrestle.gateway.batch.runner import Runner
from gentiantrestle.gateway.membership.peers import Peer, PeerList, run_name
from gentiantrestle.gateway.memory.budget import MemoryBudget
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.reach.store_reach import StoreContact
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.routing import Router
from gentiantrestle.gateway.slots.batch_asks import WantedSlot
from gentiantrestle.gateway.slots.client import SlotLease
from gentiantrestle.quarantine.evidence import Evidence
from tests.gateway.memory import MemoryStore, StorePath
from tests.gateway.reach_world import make_peer
from tests.gateway.samples import (
    ENGINES,
    make_batch_route,
    make_job,
    make_table,
    make_upstream,
)
from tests.utils.virtual_time import virtual_now

ONE = frozenset((ENGINES,))
OTHER = frozenset(('others',))
NONE: frozenset[str] = frozenset()
NAMES = ('one', 'two', 'three')
CONNECT_TIMEOUT = 0.3  # seconds
ITEM_TIME = 0.5  # seconds
ROW_INTERVAL = 0.25  # seconds
SLOTS = 2  # items that an instance runs at once
ITEMS = 60


class GrantingAsks:
    """Grants each instance some slots at once."""

    def __init__(self, runner: Runner | None = None) -> None:
        self.start = None
        self.runner = runner
        self.number = 0

    def want(self, wanted: Iterable[WantedSlot]) -> None:
        """Start the first items in the slots that are free."""
        for slot in tuple(wanted):
            if len(self.runner.run_table.ids()) >= SLOTS:
                return
            self.number += 1
            upstream = make_upstream('up')
            lease = SlotLease(self.number, upstream, '', virtual_now())
            self.start(slot.item_id, lease)


class OwnersInstance:
    """One instance's runner, with its own view of the fleet."""

    def __init__(
        self, name: str, store: MemoryStore | StorePath, memory_limit: int = 0
    ) -> None:
        self.name = name
        self.run_name = run_name(name, 1)
        self.unreached = NONE
        self.runs: list[str] = []
        roster = Roster()
        roster.put(make_upstream('up'))
        router = Router()
        router.apply(make_table(make_batch_route()))
        index = JobIndex()
        self.peers = PeerList(name, name, 'a1', ())
        self.contact = StoreContact.from_store(
            store, virtual_now, lambda: self.peers.alive(virtual_now())
        )
        self.job_store = JobStore(
            self.contact.store, index, random.Random(1), virtual_now
        )
        budget = MemoryBudget(memory_limit)
        budget.read_items = lambda: index.body_bytes
        self.owners = JobOwners(
            self.run_name, self.peers, self, router, self.contact.reach
        )
        self.asks = GrantingAsks()
        context = SimpleNamespace(
            index=index,
            job_store=self.job_store,
            router=router,
            roster=roster,
            slots=SimpleNamespace(release=lambda lease, health, timing: None),
            asks=self.asks,
            clock=Clock(virtual_now, virtual_now),
            guard=SimpleNamespace(evidence=Evidence()),
            budget=budget,
            reach=self,
        )
        self.runner = Runner(context, self.run_name)
        self.runner.live_runs = lambda: self.peers.working_runs(virtual_now())
        self.runner.find_stranded = self.owners.find_stranded
        self.asks.runner = self.runner

    def services(self) -> frozenset[str]:
        """Return the service of the job, and one that it doesn't need."""
        return ONE | OTHER

    def is_cut_off(self, service: str) -> bool:
        """Return whether other instances reach the service."""
        return service in self.unreached

    def row(self, sequence: int) -> Peer:
        """Return what this instance says about itself."""
        return make_peer(self.name, *self.owners.read_unreached())._replace(
            sequence=sequence,
            received_at=virtual_now(),
            store_reached=self.contact.reach.is_watching(),
        )


async def run_item(
    progress: ItemProgress, lease: SlotLease, context: BatchContext
) -> RunOutcome:
    """Take some time, or get no connection, without an upstream."""
    instance = context.reach
    instance.runs.append(progress.spec.id)
    if ENGINES in instance.unreached:
        await asyncio.sleep(CONNECT_TIMEOUT)
        return RunOutcome(None, 'not reached')
    await asyncio.sleep(ITEM_TIME)
    result = ItemResult(progress.spec.id, True, instance.name)
    return RunOutcome(result, 'whole')


class OwnersFleet:
    """Three instances; the first one has accepted a job."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.paths = [StorePath(self.store) for _ in NAMES]
        self.instances = [
            OwnersInstance(name, path)
            for name, path in zip(NAMES, self.paths, strict=True)
        ]
        for instance, path in zip(self.instances, self.paths, strict=True):
            instance.contact.reach.is_watching = path.is_answering
        # Instances that hear nothing from the first one.
        self.deaf: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the runners and let all learn of the job."""
        job = make_job(count=ITEMS, acceptor=self.instances[0].run_name)
        await self.instances[0].job_store.accept(job)
        for instance in self.instances:
            await instance.job_store.find(job.id)
            self._tasks.append(asyncio.create_task(instance.runner.run()))
            self._tasks.append(
                asyncio.create_task(instance.contact.prober.run())
            )
        self._tasks.append(asyncio.create_task(self._send_rows()))

    def stop(self) -> None:
        """End all tasks."""
        for task in self._tasks:
            task.cancel()

    @property
    def stored(self) -> list[str]:
        """The items with a stored result, in the order of the store."""
        return [
            result.id
            for chunk in self.store.kinds.get(RESULT_KIND, {}).values()
            for result in results_from_content(chunk.content)
        ]

    async def _send_rows(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            for receiver in self.instances:
                first = int(receiver.name in self.deaf)
                for sender in self.instances[first:]:
                    receiver.peers.update(sender.row(sequence))
                if receiver.owners.update(virtual_now()):
                    receiver.runner.wake()
            await asyncio.sleep(ROW_INTERVAL)
