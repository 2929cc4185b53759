"""Results stored by several instances beside a store that writes late."""

import asyncio
import random
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from gentiantrestle.gateway.batch.job_index import JobEntry, JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.result_writer import ResultWriter
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.retrying_store import RetryingStore
from gentiantrestle.store.client import StoreUnavailableError
from tests.gateway.late_store import Fate, LateStore, Turn
from tests.gateway.samples import make_job
from tests.utils.virtual_time import run_virtual, virtual_now

INSTANCES = 3
ITEMS = 6
SETTLED = 60.0  # seconds, after which all that is left is written
MAX_SIZE = 200  # bytes of a chunk, for two or three results

DELAYS = st.sampled_from((0.1, 0.7, 1.9, 4.0, 6.0))
TURNS = st.lists(st.builds(Turn, st.sampled_from(Fate), DELAYS), max_size=14)


class _Step(NamedTuple):
    """What happens ``after`` s: an item ends, or an instance does another.

    ``act`` is finish, read, copy (of the results of ``other``) or restart.
    """

    act: str
    after: float
    place: int
    other: int
    numbers: frozenset[int]


STEPS = st.lists(
    st.builds(
        _Step,
        st.sampled_from(('finish', 'finish', 'read', 'copy', 'restart')),
        st.sampled_from((0, 0.05, 0.5, 2.0)),
        st.integers(0, INSTANCES - 1),
        st.integers(0, INSTANCES - 1),
        st.frozensets(st.integers(0, ITEMS - 1), min_size=1),
    ),
    min_size=1,
    max_size=10,
)


class _Owner:
    """An instance that may run the job, and what it has of it."""

    def __init__(self, store: LateStore, name: str) -> None:
        self.name = name
        self.job_store = JobStore(
            RetryingStore(store, virtual_now),
            JobIndex(),
            random.Random(1),
            virtual_now,
            store,
        )
        self.writer = ResultWriter(self.job_store)
        self.tasks: list[asyncio.Task[None]] = []

    async def entry(self) -> JobEntry:
        entry = await self.job_store.find('job1')
        assert entry is not None
        return entry

    @property
    def known(self) -> list[ItemResult]:
        """The results that a client could read here now."""
        entry = self.job_store.index.entries.get('job1')
        return [] if entry is None else list(entry.results)

    async def finish(self, numbers: frozenset[int]) -> None:
        """Let items end here, each with a text of this instance."""
        entry = await self.entry()
        await self.job_store.refresh(entry)
        for number in sorted(numbers):
            item_id = f'job1-{number}'
            if not entry.has_result(item_id):
                self.writer.add(entry, ItemResult(item_id, True, self.name))

    async def read(self) -> None:
        await self.job_store.refresh(await self.entry())

    async def copy(self, owner: '_Owner') -> None:
        """Take the results of an instance that believes to run the job."""
        entry = await self.entry()
        source = await owner.entry()
        after = len(entry.results)
        await owner.job_store.refresh(source)
        rows, chunks = source.results[after:], source.chunk_count
        await asyncio.sleep(0.1)
        if after == len(entry.results):
            entry.add_peer_results(rows, chunks)


class _World:
    """Instances on one store, and the results that were read at each."""

    def __init__(self, store: LateStore) -> None:
        self.store = store
        self._runs = 0
        self.owners = [self.start() for _ in range(INSTANCES)]
        self.seen: list[list[ItemResult]] = []

    def start(self) -> _Owner:
        self._runs += 1
        return _Owner(self.store, f'run{self._runs}')

    async def play(self, steps: list[_Step]) -> None:
        for step in steps:
            await asyncio.sleep(step.after)
            owner = self.owners[step.place]
            if step.act == 'restart':
                self.end(owner)
                self.owners[step.place] = self.start()
                continue
            owner.tasks.append(asyncio.create_task(self.act(owner, step)))
            self.note()
        await asyncio.sleep(SETTLED)
        for owner in self.owners:
            await asyncio.gather(*owner.tasks)

    async def act(self, owner: _Owner, step: _Step) -> None:
        acts = {
            'finish': lambda: owner.finish(step.numbers),
            'read': owner.read,
            'copy': lambda: owner.copy(self.owners[step.other]),
        }
        try:
            await acts[step.act]()
        except StoreUnavailableError:
            return
        finally:
            self.note()

    def end(self, owner: _Owner) -> None:
        """End a process: what it was doing stops, but not in the store."""
        self.note()
        for task in (*owner.tasks, *owner.writer._tasks.values()):
            task.cancel()

    def note(self) -> None:
        """Note what a client could read now at each instance."""
        self.seen += [owner.known for owner in self.owners]


async def _play(store: LateStore, steps: list[_Step]) -> None:
    turns, store.turns = store.turns, iter(())
    world = _World(store)
    await world.start().job_store.accept(make_job(count=ITEMS))
    store.turns = turns
    await world.play(steps)
    store.calm()
    last = world.owners[0]
    await last.finish(frozenset(range(ITEMS)))
    await asyncio.sleep(SETTLED)
    world.owners.append(world.start())
    for owner in world.owners:
        await owner.read()
    world.note()
    whole = world.owners[-1].known
    assert sorted(result.id for result in whole) == [
        f'job1-{number}' for number in range(ITEMS)
    ]
    for found in world.seen:
        assert found == whole[: len(found)]
    for owner in world.owners:
        assert owner.known == whole


@settings(max_examples=250, derandomize=True, deadline=None)
@given(turns=TURNS, refusals=st.lists(st.booleans(), max_size=8), steps=STEPS)
def test_results_keep_their_positions_in_any_order_of_writes_and_owners(
    turns: list[Turn], refusals: list[bool], steps: list[_Step]
) -> None:
    store = LateStore(iter(turns), iter(refusals), MAX_SIZE)
    store.real_size_limit = 100 * MAX_SIZE
    run_virtual(_play(store, steps))
