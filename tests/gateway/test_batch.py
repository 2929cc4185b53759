"""Jobs in the store: accepted once, positions fixed, after any loss."""

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
    Need,
    due_items,
    is_abandoned,
    may_yield,
    runner_of,
    runs_here,
    start_budget,
    yield_rank,
)
from gentiantrestle.gateway.loads import BatchBacklog, LoadBoard, LoadReport
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.peers import SILENCE_TIMEOUT
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.store.client import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import make_batch_route, make_job
from tests.utils.virtual import play


def _instance(store: MemoryStore) -> tuple[JobStore, JobIndex]:
    index = JobIndex()
    return JobStore(store, index, random.Random(1), lambda: 0), index


def _result(number: int, output: str = 'text') -> ItemResult:
    return ItemResult(f'job1-{number}', True, output)


def test_a_job_reads_back_as_it_was_handed_in() -> None:
    one = make_job(count=3)
    stored = StoredObject(one.id, 5, job_to_content(one), {'state': 'ended'})
    read = job_from_stored(stored).job
    assert with_bodies(read, bodies_to_content(one)) == one.items
    assert read._replace(items=one.items) == one._replace(cancelled=True)
    assert b'{}' not in repr(stored).encode()


async def test_who_takes_a_job_over_reads_its_bodies() -> None:
    store = MemoryStore()
    job_store, _ = _instance(store)
    await job_store.accept(make_job())
    other, _ = _instance(store)
    entry = await other.find('job1')
    assert entry is not None
    assert entry.body('job1-0') is None
    await other.load(entry)
    assert entry.body('job1-0') == b'{}'


async def test_a_job_is_accepted_once_over_instances() -> None:
    store = MemoryStore()
    first, _ = _instance(store)
    second, _ = _instance(store)
    assert await first.accept(make_job())
    assert not await second.accept(make_job())


async def test_a_lost_answer_is_not_called_not_accepted() -> None:
    store = MemoryStore()
    job_store, _ = _instance(store)
    store.lose_answers = 2
    for _ in range(2):
        with pytest.raises(StoreOutcomeUnknownError):
            await job_store.accept(make_job())
    assert not await job_store.accept(make_job())


async def test_positions_are_fixed_when_two_run_the_same_job() -> None:
    store = MemoryStore()
    one, one_index = _instance(store)
    two, two_index = _instance(store)
    await one.accept(make_job())
    await two.find('job1')
    await one.list_results(one_index.entries['job1'], (_result(0, 'mine'),))
    both = (_result(0, 'other'), _result(1))
    await two.list_results(two_index.entries['job1'], both)
    wanted = [_result(0, 'mine'), _result(1)]
    assert two_index.entries['job1'].results == wanted
    await one.refresh(one_index.entries['job1'])
    assert one_index.entries['job1'].results == wanted


def test_results_wait_for_an_absent_store_and_are_listed_once() -> None:
    async def run() -> MemoryStore:
        store = MemoryStore()
        job_store, index = _instance(store)
        await job_store.accept(make_job())
        store.lose_answers = 1
        await job_store.list_results(index.entries['job1'], (_result(0),))
        return store

    store = play(run())
    assert list(store.kinds[RESULT_KIND]) == [chunk_name('job1', 0)]


async def test_only_the_acceptor_of_this_very_run_knows_without_store() -> None:
    store = MemoryStore()
    job_store, index = _instance(store)
    await job_store.accept(make_job())
    assert index.entries['job1'].sole
    restarted, _ = _instance(store)
    entry = await restarted.find('job1')
    assert entry is not None
    assert not entry.learned
    await restarted.refresh(entry)
    assert entry.learned
    assert not entry.sole
    index.note_takeover('one/1')
    assert not index.entries['job1'].sole


async def test_an_end_holds_and_what_is_listed_stays() -> None:
    store = MemoryStore()
    job_store, index = _instance(store)
    await job_store.accept(make_job())
    await job_store.list_results(index.entries['job1'], (_result(0),))
    assert await job_store.end('job1')
    assert await job_store.end('job1')
    assert not index.entries['job1'].open
    assert index.entries['job1'].results == [_result(0)]
    assert not await job_store.end('unknown')


async def test_an_end_without_store_is_refused() -> None:
    store = MemoryStore()
    job_store, _ = _instance(store)
    store.down = True
    with pytest.raises(StoreUnavailableError):
        await job_store.end('job1')


async def test_an_unreadable_job_is_passed_over() -> None:
    store = MemoryStore()
    job_store, _ = _instance(store)
    store.write(JOB_KIND, StoredObject('odd', 0, {'items': 7}))
    assert await job_store.find('odd') is None


def test_a_run_that_died_is_replaced_by_one_that_lives() -> None:
    index = JobIndex()
    entry = index.put(JobRecord(make_job(), StoredObject('job1', 1, {})))
    assert runner_of(entry, ['one/1', 'two/1']) == 'one/1'
    chosen = runner_of(entry, ['two/1', 'one/2', 'three/1'])
    assert chosen in {'two/1', 'one/2', 'three/1'}
    assert runner_of(entry, ['three/1', 'one/2', 'two/1']) == chosen


def test_one_that_has_just_started_takes_no_job_of_others() -> None:
    index = JobIndex()
    entry = index.put(JobRecord(make_job(), StoredObject('job1', 1, {})))
    assert runs_here(entry, 'one/1', [], 0)
    assert not runs_here(entry, 'two/1', [], SILENCE_TIMEOUT / 2)
    assert runs_here(entry, 'two/1', [], SILENCE_TIMEOUT)
    assert not runs_here(entry, 'two/1', ['one/1'], SILENCE_TIMEOUT)


def test_the_shortest_item_that_can_be_in_time_goes_first() -> None:
    index = JobIndex()
    long = index.put(JobRecord(make_job('long'), StoredObject('long', 1, {})))
    short = index.put(
        JobRecord(make_job('short'), StoredObject('short', 1, {}))
    )
    lost = index.put(JobRecord(make_job('lost'), StoredObject('lost', 1, {})))
    pairs = [(one, make_batch_route()) for one in (long, lost, short)]
    needs = {
        'long': Need(900, 2),
        'short': Need(100, 9),
        'lost': Need(50, -1),
    }
    waiting = due_items(
        pairs,
        {'short-1', 'lost-1'},
        lambda entry, *_: needs[entry.job.id],
    )
    order = [due.spec.id for due in waiting]
    assert order == ['short-0', 'long-0', 'long-1', 'lost-0']


def test_instances_don_t_take_the_same_free_slot() -> None:
    board = LoadBoard()
    mine = BatchBacklog(3, 4.0)
    board.set_peer_report('tighter', LoadReport(0, {}, 0, BatchBacklog(2, 1.0)))
    board.set_peer_report('later', LoadReport(0, {}, 0, BatchBacklog(9, -1.0)))
    ahead = board.batch_ahead(mine, 0)
    assert ahead == 2
    assert start_budget(free=2, slots=8, ahead=ahead) == 0
    assert start_budget(free=5, slots=8, ahead=ahead) == 3
    assert start_budget(free=5, slots=48, ahead=ahead) == 1


def test_an_item_that_would_miss_its_time_does_not_give_way() -> None:
    assert may_yield(5)
    assert not may_yield(0.5)
    assert may_yield(-1)
    assert yield_rank(-1) > yield_rank(9) > yield_rank(5)


@pytest.mark.parametrize(
    ('accepted', 'known', 'abandoned'),
    [(3, 3, True), (3, 4, True), (3, 2, False), (3, 0, False)],
)
def test_a_job_without_route_waits_for_a_configuration_as_new(
    accepted: int, known: int, abandoned: bool
) -> None:
    index = JobIndex()
    one = make_job(version=accepted)
    entry = index.put(JobRecord(one, StoredObject('job1', 1, {})))
    assert is_abandoned(entry, None, known, 1) == abandoned


def test_retention_is_over_on_every_clock_before_items_are_given_up() -> None:
    index = JobIndex()
    entry = index.put(
        JobRecord(make_job(submitted=100), StoredObject('job1', 1, {}))
    )
    kept = make_batch_route(retention=60)
    assert not is_abandoned(entry, kept, 1, 162)
    assert is_abandoned(entry, kept, 1, 166)
