"""Batch jobs: storing them and their results, ownership, scheduling."""

import random

import pytest

from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import (
    JOB_KIND,
    RESULT_KIND,
    JobRecord,
    bodies_to_content,
    chunk_name,
    job_from_stored,
    job_to_content,
    with_bodies,
)
from gentiantrestle.gateway.batch.scheduling import (
    Estimate,
    is_abandoned,
    job_owner,
    owns_job,
    queued_items,
)
from gentiantrestle.gateway.membership.peers import SILENCE_TIMEOUT
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.store.client import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import make_batch_route, make_job
from tests.utils.virtual_time import run_virtual


def _make_job_store(store: MemoryStore) -> tuple[JobStore, JobIndex]:
    index = JobIndex()
    return JobStore(store, index, random.Random(1), lambda: 0), index


def _result(number: int, output: str = 'text') -> ItemResult:
    return ItemResult(f'job1-{number}', True, output)


def test_encoded_job_decodes_to_the_same_job() -> None:
    sample = make_job(count=3)
    stored = StoredObject(
        sample.id, 5, job_to_content(sample), {'state': 'ended'}
    )
    decoded = job_from_stored(stored).job
    assert with_bodies(decoded, bodies_to_content(sample)) == sample.items
    assert decoded._replace(items=sample.items) == sample._replace(
        cancelled=True
    )
    assert b'{}' not in repr(stored).encode()


async def test_other_instance_reads_bodies_from_store() -> None:
    store = MemoryStore()
    job_store, _ = _make_job_store(store)
    await job_store.accept(make_job())
    other, _ = _make_job_store(store)
    entry = await other.find('job1')
    assert entry is not None
    assert entry.body('job1-0') is None
    await other.load_bodies(entry)
    assert entry.body('job1-0') == b'{}'


async def test_accept_is_true_only_on_the_first_of_two_instances() -> None:
    store = MemoryStore()
    first, _ = _make_job_store(store)
    second, _ = _make_job_store(store)
    assert await first.accept(make_job())
    assert not await second.accept(make_job())


async def test_accept_raises_while_store_responses_are_lost() -> None:
    store = MemoryStore()
    job_store, _ = _make_job_store(store)
    store.lose_responses = 2
    for _ in range(2):
        with pytest.raises(StoreOutcomeUnknownError):
            await job_store.accept(make_job())
    assert not await job_store.accept(make_job())


async def test_first_stored_result_wins_when_two_instances_run_a_job() -> None:
    store = MemoryStore()
    first, first_index = _make_job_store(store)
    second, second_index = _make_job_store(store)
    await first.accept(make_job())
    await second.find('job1')
    await first.store_results(
        first_index.entries['job1'], (_result(0, 'first'),)
    )
    both = (_result(0, 'second'), _result(1))
    await second.store_results(second_index.entries['job1'], both)
    expected = [_result(0, 'first'), _result(1)]
    assert second_index.entries['job1'].results == expected
    await first.refresh(first_index.entries['job1'])
    assert first_index.entries['job1'].results == expected


def test_results_are_stored_once_after_a_lost_store_response() -> None:
    async def run() -> MemoryStore:
        store = MemoryStore()
        job_store, index = _make_job_store(store)
        await job_store.accept(make_job())
        store.lose_responses = 1
        await job_store.store_results(index.entries['job1'], (_result(0),))
        return store

    store = run_virtual(run())
    assert list(store.kinds[RESULT_KIND]) == [chunk_name('job1', 0)]


async def test_restarted_instance_reads_results_before_it_knows_them() -> None:
    store = MemoryStore()
    job_store, index = _make_job_store(store)
    await job_store.accept(make_job())
    await job_store.store_results(index.entries['job1'], (_result(0),))
    restarted, _ = _make_job_store(store)
    entry = await restarted.find('job1')
    assert entry is not None
    assert not entry.results_loaded
    await restarted.refresh(entry)
    assert entry.results_loaded
    assert entry.results == [_result(0)]


async def test_cancelled_job_keeps_its_results() -> None:
    store = MemoryStore()
    job_store, index = _make_job_store(store)
    await job_store.accept(make_job())
    await job_store.store_results(index.entries['job1'], (_result(0),))
    assert await job_store.cancel('job1')
    assert await job_store.cancel('job1')
    assert not index.entries['job1'].open
    assert index.entries['job1'].results == [_result(0)]
    assert not await job_store.cancel('unknown')


async def test_cancel_raises_while_store_is_unavailable() -> None:
    store = MemoryStore()
    job_store, _ = _make_job_store(store)
    store.down = True
    with pytest.raises(StoreUnavailableError):
        await job_store.cancel('job1')


async def test_find_does_not_take_a_malformed_job_for_none() -> None:
    store = MemoryStore()
    job_store, index = _make_job_store(store)
    store.write(JOB_KIND, StoredObject('odd', 0, {'items': 7}))
    with pytest.raises(StoreUnavailableError):
        await job_store.find('odd')
    assert not index.entries
    assert await job_store.find('none') is None


def test_job_owner_is_acceptor_while_it_lives_then_another_run() -> None:
    index = JobIndex()
    entry = index.put(JobRecord(make_job(), StoredObject('job1', 1, {})))
    assert job_owner(entry, ['one/1', 'two/1']) == 'one/1'
    chosen = job_owner(entry, ['two/1', 'one/2', 'three/1'])
    assert chosen in {'two/1', 'one/2', 'three/1'}
    assert job_owner(entry, ['three/1', 'one/2', 'two/1']) == chosen


def test_just_started_instance_owns_only_jobs_it_accepted() -> None:
    index = JobIndex()
    entry = index.put(JobRecord(make_job(), StoredObject('job1', 1, {})))
    assert owns_job(entry, 'one/1', [], 0)
    assert not owns_job(entry, 'two/1', [], SILENCE_TIMEOUT / 2)
    assert owns_job(entry, 'two/1', [], SILENCE_TIMEOUT)
    assert not owns_job(entry, 'two/1', ['one/1'], SILENCE_TIMEOUT)


def test_queue_has_shortest_items_first_and_late_items_last() -> None:
    index = JobIndex()
    long = index.put(JobRecord(make_job('long'), StoredObject('long', 1, {})))
    short = index.put(
        JobRecord(make_job('short'), StoredObject('short', 1, {}))
    )
    late = index.put(JobRecord(make_job('late'), StoredObject('late', 1, {})))
    pairs = [(entry, make_batch_route()) for entry in (long, late, short)]
    estimates = {
        'long': Estimate(900, 2),
        'short': Estimate(100, 9),
        'late': Estimate(50, -1),
    }
    waiting = queued_items(
        pairs,
        {'short-1', 'late-1'},
        lambda entry, *_: estimates[entry.job.id],
    )
    order = [queued.spec.id for queued in waiting]
    assert order == ['short-0', 'long-0', 'long-1', 'late-0']


@pytest.mark.parametrize(
    ('accepted', 'known', 'abandoned'),
    [(3, 3, True), (3, 4, True), (3, 2, False), (3, 0, False)],
)
def test_job_without_route_is_abandoned_once_configuration_is_as_new(
    accepted: int, known: int, abandoned: bool
) -> None:
    index = JobIndex()
    sample = make_job(version=accepted)
    entry = index.put(JobRecord(sample, StoredObject('job1', 1, {})))
    assert is_abandoned(entry, None, known, 1) == abandoned


def test_job_is_abandoned_after_retention_and_clock_tolerance() -> None:
    index = JobIndex()
    entry = index.put(
        JobRecord(make_job(submitted=100), StoredObject('job1', 1, {}))
    )
    route = make_batch_route(retention=60)
    assert not is_abandoned(entry, route, 1, 162)
    assert is_abandoned(entry, route, 1, 166)
