"""Results that the store refuses for good, beside others of their job."""

import asyncio
import random

import pytest

from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import RESULT_KIND
from gentiantrestle.gateway.batch.result_writer import ResultWriter
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.store.client import (
    ObjectTooLargeError,
    StoreRejectedError,
)
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import make_job
from tests.utils.virtual_time import run_virtual, virtual_now

COUNT = 6  # items
LATE = 2  # items that finish after the refusals
PLAY_TIME = 20.0  # seconds
MAX_CALLS = 60  # in that time
OUTPUT = 'large'
MANY = 100  # items
REFUSALS_TIME = 30  # seconds
MAX_CALLS_A_SECOND = 5


class _PickyStore(MemoryStore):
    """Refuses what holds the result of some items."""

    refused: frozenset[str] = frozenset()

    async def create(self, kind: str, name: str, content: object) -> bool:
        """Create an object, or refuse it."""
        if kind == RESULT_KIND and any(
            f'"{item_id}"' in repr(content).replace("'", '"')
            for item_id in self.refused
        ):
            self.calls.append('refused')
            raise StoreRejectedError('status 400')
        return await super().create(kind, name, content)


def _result(number: int) -> ItemResult:
    return ItemResult(f'job1-{number}', True, 'x')


async def _play(refused: frozenset[str], accepted_at: float) -> list[str]:
    store = _PickyStore()
    store.refused = refused
    job_store = JobStore(store, JobIndex(), random.Random(1), virtual_now)
    await job_store.accept(make_job(count=COUNT))
    entry = job_store.index.entries['job1']
    writer = ResultWriter(job_store)
    for number in range(COUNT - LATE):
        writer.add(entry, _result(number))
    await asyncio.sleep(3)
    for number in range(COUNT - LATE, COUNT):
        writer.add(entry, _result(number))
    await asyncio.sleep(PLAY_TIME)
    listed = [result.id for result in entry.results]
    assert writer.unwritten_ids() == refused
    assert len(store.calls) < MAX_CALLS
    store.refused = frozenset()
    await asyncio.sleep(accepted_at)
    assert entry.complete
    assert not writer.unwritten_ids()
    return listed


@pytest.mark.parametrize('refused', [{0}, {1, 3}, {COUNT - 1}, {0, COUNT - 1}])
def test_result_refused_for_good_does_not_hold_up_those_of_its_job(
    refused: set[int],
) -> None:
    names = {f'job1-{number}' for number in range(COUNT)}
    held_up = frozenset(f'job1-{number}' for number in refused)
    listed = run_virtual(_play(held_up, 5))
    assert sorted(listed) == sorted(names - held_up)


class _RefusingStore(MemoryStore):
    """Refuses each result, one with output for its size."""

    async def create(self, kind: str, name: str, content: object) -> bool:
        """Create an object, or refuse it."""
        if kind != RESULT_KIND:
            return await super().create(kind, name, content)
        self.calls.append('refused')
        if OUTPUT in repr(content):
            raise ObjectTooLargeError('status 413')
        raise StoreRejectedError('status 422')


async def _write_refused(count: int) -> tuple[set[str], int]:
    store = _RefusingStore()
    job_store = JobStore(store, JobIndex(), random.Random(1), virtual_now)
    await job_store.accept(make_job(count=count))
    writer = ResultWriter(job_store)
    for number in range(count):
        result = ItemResult(f'job1-{number}', True, OUTPUT)
        writer.add(job_store.index.entries['job1'], result)
    await asyncio.sleep(REFUSALS_TIME)
    return writer.unwritten_ids(), len(store.calls)


def test_result_refused_for_its_size_and_then_as_a_failure_is_not_lost() -> (
    None
):
    unwritten, _ = run_virtual(_write_refused(1))
    assert unwritten == {'job1-0'}


def test_store_that_refuses_all_results_is_not_called_without_a_pause() -> None:
    _, calls = run_virtual(_write_refused(MANY))
    assert calls < REFUSALS_TIME * MAX_CALLS_A_SECOND
