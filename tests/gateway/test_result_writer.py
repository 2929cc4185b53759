"""Results, and runs of items, that meet an error nobody expects."""

import asyncio
import random
from collections.abc import Iterable

import pytest

from gentiantrestle import events
from gentiantrestle.gateway.batch.item_progress import ItemProgress, RunOutcome
from gentiantrestle.gateway.batch.job_index import JobEntry, JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.result_writer import ResultWriter
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.store.client import (
    ObjectTooLargeError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tests.gateway.memory import MemoryStore
from tests.gateway.owners_world import OwnersInstance, run_item
from tests.gateway.samples import make_job
from tests.utils.virtual_time import run_virtual, virtual_now

TIME_LIMIT = 20.0  # seconds
KIND = 'batch-results'


class _OddStore(MemoryStore):
    """A store whose client fails some calls in an unexpected way."""

    def __init__(self, failures: Iterable[Exception]) -> None:
        super().__init__()
        self.failures = list(failures)
        self.status_failures: list[Exception] = []

    async def put_status(
        self, kind: str, stored: StoredObject, status: object
    ) -> bool:
        """Replace a status, or fail."""
        if self.status_failures:
            raise self.status_failures.pop()
        return await super().put_status(kind, stored, status)

    async def create(self, kind: str, name: str, content: object) -> bool:
        """Create an object, or fail."""
        if kind == KIND and self.failures:
            raise self.failures.pop()
        return await super().create(kind, name, content)


class _Overtaken(MemoryStore):
    """Another instance stores the result while a write is refused."""

    entry: JobEntry

    async def create(self, kind: str, name: str, content: object) -> bool:
        """Refuse a result as too large."""
        if kind != KIND:
            return await super().create(kind, name, content)
        self.entry.add_chunk(_results(1))
        raise ObjectTooLargeError(name)


def _job_store(store: MemoryStore) -> JobStore:
    return JobStore(store, JobIndex(), random.Random(1), virtual_now)


def _results(count: int) -> list[ItemResult]:
    return [ItemResult(f'job1-{number}', True, 'x') for number in range(count)]


def test_results_are_listed_after_an_error_that_nobody_expects() -> None:
    async def main() -> JobEntry:
        job_store = _job_store(_OddStore([ZeroDivisionError(), OSError('x')]))
        await job_store.accept(make_job())
        entry = job_store.index.entries['job1']
        writer = ResultWriter(job_store)
        for result in _results(2):
            writer.add(entry, result)
        async with asyncio.timeout(TIME_LIMIT):
            while not entry.complete:
                await asyncio.sleep(0.1)
        await asyncio.sleep(1)
        assert not writer.unwritten_ids()
        return entry

    assert run_virtual(main()).results == _results(2)


def test_item_that_ends_twice_before_it_is_written_has_one_position() -> None:
    async def main() -> list[ItemResult]:
        job_store = _job_store(MemoryStore())
        await job_store.accept(make_job())
        entry = job_store.index.entries['job1']
        writer = ResultWriter(job_store)
        first, second = _results(2)
        for result in (first, first._replace(output='y'), second):
            writer.add(entry, result)
        await asyncio.sleep(TIME_LIMIT)
        return entry.results

    assert run_virtual(main()) == _results(2)


@pytest.mark.parametrize(
    'error', [StoreUnavailableError('down'), StoreOutcomeUnknownError('lost')]
)
def test_others_learn_that_a_job_is_done_though_the_store_failed_once(
    error: Exception,
) -> None:
    async def main() -> JobEntry | None:
        store = _OddStore([])
        job_store = _job_store(store)
        await job_store.accept(make_job())
        store.status_failures = [error] * 3
        writer = ResultWriter(job_store)
        for result in _results(2):
            writer.add(job_store.index.entries['job1'], result)
        await asyncio.sleep(TIME_LIMIT * 2)
        return await _job_store(store).find('job1')

    found = run_virtual(main())
    assert found is not None
    assert found.job.done


def test_refusal_of_a_result_that_is_stored_meanwhile_ends_no_writing() -> None:
    async def main() -> list[ItemResult]:
        store = _Overtaken()
        job_store = _job_store(store)
        await job_store.accept(make_job())
        store.entry = job_store.index.entries['job1']
        await job_store.store_results(store.entry, tuple(_results(1)))
        return store.entry.results

    assert run_virtual(main()) == _results(1)


def test_run_that_ends_by_an_error_nobody_expects_is_logged_and_repeated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    runs: list[float] = []
    logged: list[int] = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **_: logged.append(event.code)
    )

    async def run_badly(progress: ItemProgress, *rest: object) -> RunOutcome:
        runs.append(virtual_now())
        if len(runs) < 6:
            raise ZeroDivisionError
        return await run_item(progress, *rest)

    monkeypatch.setattr(ItemProgress, 'run', run_badly)

    async def main() -> list[StoredObject]:
        store = MemoryStore()
        owner = OwnersInstance('one', store)
        await owner.job_store.accept(make_job(acceptor=owner.run_name))
        task = asyncio.create_task(owner.runner.run())
        async with asyncio.timeout(TIME_LIMIT):
            while not owner.job_store.index.entries['job1'].complete:
                await asyncio.sleep(0.1)
        task.cancel()
        return list(store.kinds[KIND].values())

    assert run_virtual(main())
    assert logged.count(events.BATCH_STEP_FAILED.code) == 5
    # Each of two items waits before it is run again.
    assert runs[-1] - runs[0] > 0.5
