"""Bodies in memory of jobs that end while they are written or read."""

import asyncio
import random
from types import SimpleNamespace
from typing import Any

from gentiantrestle.gateway.batch.api import JobApi
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import BODY_KIND, JOB_KIND
from gentiantrestle.gateway.ports import ReadBody, StoredObject
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import make_job

CALL_TIME = 0.01  # seconds that a slow call takes
BODY = b'{}'


class _SlowStore(MemoryStore):
    """A store that answers late when a job is created or bodies are read."""

    async def create(self, kind: str, name: str, content: Any) -> bool:
        """Create an object."""
        created = await super().create(kind, name, content)
        await asyncio.sleep(CALL_TIME if kind == JOB_KIND else 0)
        return created

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""
        stored = await super().get(kind, name)
        await asyncio.sleep(CALL_TIME if kind == BODY_KIND else 0)
        return stored


def _make_job_store(store: MemoryStore) -> JobStore:
    return JobStore(store, JobIndex(), random.Random(1), lambda: 0)


def _make_api(job_store: JobStore) -> JobApi:
    context = SimpleNamespace(
        index=job_store.index, job_store=job_store, dialect=None, router=None
    )
    return JobApi(context, SimpleNamespace(), None, 'two/1')


async def test_job_cancelled_while_it_is_accepted_holds_no_memory() -> None:
    store = _SlowStore()
    acceptor = _make_job_store(store)
    accepting = asyncio.create_task(acceptor.accept(make_job()))
    await asyncio.sleep(CALL_TIME / 2)
    assert await _make_job_store(store).cancel('job1')
    acceptor.apply(store.kinds[JOB_KIND]['job1'])
    await accepting
    assert not acceptor.index.body_bytes


async def test_job_that_ends_while_its_bodies_are_read_holds_no_memory() -> (
    None
):
    store = _SlowStore()
    await _make_job_store(store).accept(make_job())
    owner = _make_job_store(store)
    entry = await owner.find('job1')
    assert entry is not None
    loading = asyncio.create_task(owner.load_bodies(entry))
    await asyncio.sleep(CALL_TIME / 2)
    await owner.cancel('job1')
    await loading
    assert not owner.index.body_bytes


async def test_read_of_a_body_leaves_the_owner_the_bodies_it_has_loaded() -> (
    None
):
    store = _SlowStore()
    await _make_job_store(store).accept(make_job())
    owner = _make_job_store(store)
    entry = await owner.find('job1')
    assert entry is not None
    loading = asyncio.create_task(owner.load_bodies(entry))
    await asyncio.sleep(CALL_TIME / 2)
    answer = await _make_api(owner).read_body(ReadBody('job1', 'job1-0'))
    await loading
    assert answer.body == BODY
    assert entry.has_bodies


async def test_body_of_an_ended_job_is_read_and_not_kept() -> None:
    store = _SlowStore()
    await _make_job_store(store).accept(make_job())
    other = _make_job_store(store)
    await other.cancel('job1')
    answer = await _make_api(other).read_body(ReadBody('job1', 'job1-0'))
    assert answer.body == BODY
    assert not other.index.body_bytes
