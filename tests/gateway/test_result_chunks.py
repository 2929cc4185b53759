"""Results that are too large for one object of the store."""

import asyncio
import random

import pytest

from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import RESULT_KIND
from gentiantrestle.gateway.model import ItemResult
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import make_job
from tests.utils.virtual_time import run_virtual

LIMIT = 2000  # bytes
ITEMS = 40
TIME_LIMIT = 60.0  # seconds, for writes that need no retry


def _results(output: str) -> tuple[ItemResult, ...]:
    return tuple(
        ItemResult(f'job1-{number}', True, output) for number in range(ITEMS)
    )


def _store(
    store: MemoryStore, results: tuple[ItemResult, ...]
) -> list[ItemResult]:
    """Store results at one instance; return what another one reads."""

    async def run() -> list[ItemResult]:
        writer = JobStore(store, JobIndex(), random.Random(1), lambda: 0)
        await writer.accept(make_job(count=ITEMS))
        entry = writer.index.entries['job1']
        async with asyncio.timeout(TIME_LIMIT):
            await writer.store_results(entry, results)
        reader = JobStore(store, JobIndex(), random.Random(1), lambda: 0)
        found = await reader.find('job1')
        assert found is not None
        await reader.refresh(found)
        assert found.results == entry.results
        return found.results

    return run_virtual(run())


@pytest.mark.parametrize(
    'output',
    ['x' * 300, '"\\' * 100, '\u4f60' * 60],
    ids=['plain', 'quoted', 'not-ascii'],
)
def test_results_that_wait_are_written_in_chunks_that_the_store_takes(
    output: str,
) -> None:
    store = MemoryStore(max_content_size=LIMIT)
    # The job and its bodies are written before.
    store.real_size_limit = 4 * LIMIT
    results = _results(output)
    assert _store(store, results) == list(results)
    chunks = store.kinds[RESULT_KIND].values()
    sizes = {len(stored.content['results']) for stored in chunks}
    assert 1 < max(sizes) < ITEMS


def test_chunks_get_smaller_where_the_store_takes_less_than_it_says() -> None:
    store = MemoryStore(max_content_size=100 * LIMIT)
    store.real_size_limit = 4 * LIMIT
    results = _results('x' * 300)
    assert _store(store, results) == list(results)


def test_result_that_is_too_large_by_itself_fails_and_holds_no_other_back() -> (
    None
):
    store = MemoryStore(max_content_size=4 * LIMIT)
    first, second, *others = _results('text')
    large = second._replace(output='x' * 5 * LIMIT)
    found = _store(store, (first, large, *others))
    assert [result.id for result in found if not result.completed] == [large.id]
    assert not found[1].output
    assert [found[0], *found[2:]] == [first, *others]
