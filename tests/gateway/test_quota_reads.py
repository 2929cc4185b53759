"""Quotas that are checked against many jobs whose results are read slowly."""

import asyncio
import random
from contextlib import suppress

import pytest

from gentiantrestle.errors import (
    OVERLOADED,
    STORE_UNAVAILABLE,
    RefusedError,
)
from gentiantrestle.gateway.batch.api import QUOTA_PATIENCE
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import RESULT_KIND, chunk_name
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.ports import Page, StoredObject
from tests.gateway.memory import CALL_TIMEOUT, MemoryStore, StorePath
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


class _SlowListStore(MemoryStore):
    """A store whose lists take a while to arrive."""

    list_time = READ_TIME

    async def list_page(
        self, kind: str, after: str, *, stale: bool = False
    ) -> Page:
        """List everything in one page."""
        page = await super().list_page(kind, after, stale=stale)
        await asyncio.sleep(self.list_time)
        return page


async def _submit_many(store: MemoryStore, count: int) -> None:
    """Submit jobs at once, with half of the quota used up."""
    tokens = (2 * count + 1) * JOB_TOKENS
    table = make_table(make_batch_route(max_tokens=tokens))
    instance = Instance(store, table, virtual_now)
    for number in range(count):
        await instance.submit(None, f'job{number}')
    store.calls.clear()
    await asyncio.gather(
        *(instance.submit(None, f'more{number}') for number in range(count))
    )


def test_submissions_over_half_the_quota_do_not_list_all_jobs_each() -> None:
    store = _SlowListStore()
    run_virtual(_submit_many(store, 8))
    assert store.calls.count('list') <= 2


def test_job_accepted_elsewhere_after_a_listing_began_is_counted() -> None:
    async def main() -> None:
        store = _SlowListStore()
        table = make_table(make_batch_route(max_tokens=3 * JOB_TOKENS))
        here = Instance(store, table, virtual_now)
        there = Instance(store, table, virtual_now, 'two/1')
        await here.submit(None, 'job0')
        await here.submit(None, 'job1')
        listing = asyncio.create_task(here.job_store.relist())
        await asyncio.sleep(READ_TIME / 2)
        await there.submit(None, 'job2')
        with pytest.raises(RefusedError) as caught:
            await here.submit(None, 'job3')
        assert caught.value.refusal.kind is OVERLOADED
        await listing

    run_virtual(main())


def test_job_that_a_listing_finds_is_confirmed_without_another_write() -> None:
    async def main() -> None:
        store = MemoryStore()
        table = make_table(make_batch_route(max_tokens=2 * JOB_TOKENS))
        here = Instance(store, table, virtual_now)
        there = Instance(store, table, virtual_now, 'two/1')
        await there.submit(None, 'job0')
        await here.submit(None, 'job1')
        store.calls.clear()
        await here.submit(None, 'job0')
        assert store.calls == ['list']

    run_virtual(main())


def test_submissions_beside_a_silent_store_do_not_wait_for_two_listings() -> (
    None
):
    async def main() -> list[float]:
        path = StorePath(MemoryStore())
        table = make_table(make_batch_route(max_tokens=2 * JOB_TOKENS))
        instance = Instance(path, table, virtual_now)
        await instance.submit(None, 'job0')
        path.silent = True

        async def submit(number: int) -> float:
            await asyncio.sleep(number * READ_TIME)
            began = virtual_now()
            with pytest.raises(RefusedError):
                await instance.submit(None, f'more{number}')
            return virtual_now() - began

        return await asyncio.gather(*map(submit, range(8)))

    assert max(run_virtual(main())) <= CALL_TIMEOUT


def test_submission_does_not_wait_for_a_listing_until_its_caller_leaves() -> (
    None
):
    async def main() -> float:
        store = _SlowListStore()
        table = make_table(make_batch_route(max_tokens=2 * JOB_TOKENS))
        instance = Instance(store, table, virtual_now)
        await instance.submit(None, 'job0')
        store.list_time = 10 * QUOTA_PATIENCE
        began = virtual_now()
        with pytest.raises(RefusedError) as caught:
            await instance.submit(None, 'job1')
        assert caught.value.refusal.kind is STORE_UNAVAILABLE
        return virtual_now() - began

    assert run_virtual(main()) <= QUOTA_PATIENCE


def test_listing_goes_on_for_others_when_a_caller_leaves() -> None:
    async def main() -> None:
        store = _SlowListStore()
        table = make_table(make_batch_route())
        await Instance(store, table, virtual_now).submit(None, 'job0')
        here = Instance(store, table, virtual_now)
        gone = asyncio.create_task(here.job_store.relist())
        stays = asyncio.create_task(here.job_store.relist())
        await asyncio.sleep(READ_TIME / 2)
        gone.cancel()
        await stays
        assert 'job0' in here.index.entries

    run_virtual(main())
