"""Quotas that are checked against many jobs whose results are read slowly."""

import asyncio
import random
from contextlib import suppress

import pytest

from gentiantrestle.errors import OVERLOADED, RefusedError
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import RESULT_KIND, chunk_name
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.ports import StoredObject
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import make_batch_route, make_table
from tests.gateway.test_account_jobs import Instance
from tests.utils.virtual_time import run_virtual, virtual_now

JOBS = 200
JOB_TOKENS = 20
READ_TIME = 0.25  # seconds, of a slow store
MAX_TRIES = 5
LATENCY_TARGET = 1.5  # seconds until a submission is answered


class _SlowStore(MemoryStore):
    """A store that reads results slowly."""

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""
        await asyncio.sleep(READ_TIME if kind == RESULT_KIND else 0)
        return await super().get(kind, name)


async def _fill_quota(store: MemoryStore) -> Instance:
    """Submit as many jobs as the quota allows."""
    route = make_batch_route(max_tokens=JOBS * JOB_TOKENS)
    instance = Instance(store, make_table(route), virtual_now)
    for number in range(JOBS):
        await instance.submit(None, f'job{number}')
    return instance


async def _finish_elsewhere(store: MemoryStore, job_id: str) -> None:
    other = JobStore(store, JobIndex(), random.Random(1), lambda: 0)
    entry = await other.find(job_id)
    assert entry is not None
    rows = tuple(ItemResult(spec.id, True, '') for spec in entry.job.items)
    await other.store_results(entry, rows)


async def _submit_more(count: int) -> list[float]:
    """Return how long submissions over the quota take to be refused."""
    instance = await _fill_quota(_SlowStore())

    async def submit(number: int) -> float:
        began = virtual_now()
        with pytest.raises(RefusedError) as caught:
            await instance.submit(None, f'more{number}')
        assert caught.value.refusal.kind is OVERLOADED
        return virtual_now() - began

    return await asyncio.gather(*map(submit, range(count)))


@pytest.mark.parametrize('count', [1, 5])
def test_submission_over_the_quota_does_not_outlast_its_caller(
    count: int,
) -> None:
    assert max(run_virtual(_submit_more(count))) < LATENCY_TARGET


def test_submission_is_accepted_as_soon_as_finished_items_make_room() -> None:
    async def main() -> float:
        store = _SlowStore()
        instance = await _fill_quota(store)
        await _finish_elsewhere(store, 'job0')
        began = virtual_now()
        await instance.submit(None, 'more')
        return virtual_now() - began

    assert run_virtual(main()) < LATENCY_TARGET


async def _submit_until_accepted(*, odd_first: bool) -> int:
    """Return how often a job is submitted; the younger half has finished."""
    store = _SlowStore()
    instance = await _fill_quota(store)
    for number in range(JOBS // 2, JOBS):
        await _finish_elsewhere(store, f'job{number}')
    if odd_first:
        odd = StoredObject(chunk_name('job0', 0), 0, {'odd': 1})
        store.write(RESULT_KIND, odd)
    for tries in range(MAX_TRIES):
        await asyncio.sleep(1)
        with suppress(RefusedError):
            await instance.submit(None, 'more')
            return tries + 1
    raise TimeoutError


@pytest.mark.parametrize('odd_first', [False, True])
def test_job_that_fits_is_not_refused_for_ever_behind_open_or_odd_ones(
    odd_first: bool,
) -> None:
    tries = run_virtual(_submit_until_accepted(odd_first=odd_first))
    assert tries <= MAX_TRIES
