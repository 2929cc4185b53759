"""Results that are read while the store is slow or answers in part."""

import asyncio
import random
from types import SimpleNamespace

import msgspec
import pytest

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.batch.api import JobApi
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import (
    JOB_KIND,
    RESULT_KIND,
    chunk_name,
)
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.ports import ReadResults, StoredObject
from gentiantrestle.platform.dialect import PlatformDialect
from gentiantrestle.store.client import StoreUnavailableError
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import make_job
from tests.utils.virtual_time import run_virtual, virtual_now

CHUNKS = 8
# The first chunk arrives in a caller's time, those read after it don't.
SLOW_READ = 0.7  # seconds
CALLER_TIME = 1.5  # seconds that a caller waits beyond what it allows
UNSURE = 503


class _Store(MemoryStore):
    """Reads results slowly, and one chunk of them not at all."""

    def __init__(self, read_time: float, missing: str = '') -> None:
        super().__init__()
        self.read_time = read_time
        self.missing = missing
        self.is_all_slow = False

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""
        if kind == RESULT_KIND or (kind == JOB_KIND and self.is_all_slow):
            await asyncio.sleep(self.read_time)
        if name == self.missing:
            raise StoreUnavailableError('no answer')
        return await super().get(kind, name)


def _make_job_store(store: MemoryStore) -> JobStore:
    return JobStore(store, JobIndex(), random.Random(1), virtual_now)


async def _read(store: _Store, after: int) -> tuple[int, float]:
    """Return how many results one read gives at another instance, and when."""
    writer = _make_job_store(store)
    await writer.accept(make_job(count=CHUNKS + 1))
    entry = writer.index.entries['job1']
    for spec in entry.job.items[:CHUNKS]:
        await writer.store_results(entry, (ItemResult(spec.id, True, 'text'),))
    job_store = _make_job_store(store)
    reader = SimpleNamespace(
        refresh=job_store.refresh, runs_here=lambda entry: False
    )
    context = SimpleNamespace(
        index=job_store.index,
        job_store=job_store,
        dialect=PlatformDialect(),
        router=None,
    )
    api = JobApi(context, SimpleNamespace(), reader, 'two/1')
    began = virtual_now()
    answer = await api.read_results(ReadResults('job1', after, 0))
    rows = msgspec.json.decode(answer.body)['results']
    return len(rows), virtual_now() - began


def test_results_are_given_though_later_ones_can_not_be_read() -> None:
    store = _Store(0, chunk_name('job1', 3))
    assert run_virtual(_read(store, 1))[0] == 2


def test_results_are_given_before_a_slow_store_has_given_all() -> None:
    count, took = run_virtual(_read(_Store(SLOW_READ), 0))
    assert 1 <= count < CHUNKS
    assert took < CALLER_TIME


def test_read_of_a_late_position_is_refused_before_its_caller_leaves() -> None:
    async def main() -> float:
        with pytest.raises(RefusedError) as caught:
            await _read(_Store(SLOW_READ), CHUNKS - 1)
        assert caught.value.refusal.kind.status == UNSURE
        return virtual_now()

    assert run_virtual(main()) < CALLER_TIME


def test_unread_results_are_not_said_to_be_none() -> None:
    with pytest.raises(RefusedError) as caught:
        run_virtual(_read(_Store(0, chunk_name('job1', 3)), 3))
    assert caught.value.refusal.kind.status == UNSURE


def test_read_of_an_unknown_job_is_answered_before_its_caller_leaves() -> None:
    store = _Store(0.3)
    store.is_all_slow = True
    count, took = run_virtual(_read(store, 0))
    assert count
    assert took < CALLER_TIME
