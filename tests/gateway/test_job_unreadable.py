"""Jobs and bodies that the store holds, but that can't be read here."""

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import pytest

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.batch.api import JobApi
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import BODY_KIND, JOB_KIND
from gentiantrestle.gateway.ports import (
    CancelJob,
    ReadBody,
    ReadResults,
    StoredObject,
)
from tests.gateway.memory import MemoryStore
from tests.gateway.owners_world import OwnersInstance
from tests.gateway.samples import make_job
from tests.utils.virtual_time import run_virtual

UNSURE = 503
ABSENT = 404
CALL_TIME = 0.004  # seconds that a read of the store takes
WATCHED = 10  # seconds
FEW_READS = 100  # one each 0.3 s, of two objects, and some more


class _TimedStore(MemoryStore):
    """A store whose reads take some time."""

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""
        await asyncio.sleep(CALL_TIME)
        return await super().get(kind, name)


def _make_api(store: MemoryStore) -> JobApi:
    index = JobIndex()
    job_store = JobStore(store, index, random.Random(1), lambda: 0)
    context = SimpleNamespace(
        index=index, job_store=job_store, dialect=None, router=None
    )
    runner = SimpleNamespace(wake=lambda: None)
    return JobApi(context, runner, None, 'two/1')


async def _status(api: JobApi, operation: Any) -> int:
    call = {
        CancelJob: api.cancel,
        ReadBody: api.read_body,
        ReadResults: api.read_results,
    }[type(operation)]
    try:
        return (await call(operation)).status
    except RefusedError as exc:
        return exc.refusal.kind.status


@pytest.mark.parametrize(
    'operation',
    [
        CancelJob('odd'),
        ReadBody('odd', 'odd-0'),
        ReadResults('odd', 0, 0),
    ],
)
async def test_job_that_can_not_be_decoded_is_not_said_to_be_absent(
    operation: Any,
) -> None:
    store = MemoryStore()
    api = _make_api(store)
    assert await _status(api, operation) == ABSENT
    store.write(JOB_KIND, StoredObject('odd', 0, {'items': 7}))
    assert await _status(api, operation) == UNSURE


async def test_body_that_is_missing_in_the_store_is_not_said_to_be_absent() -> (
    None
):
    store = MemoryStore()
    job_store = JobStore(store, JobIndex(), random.Random(1), lambda: 0)
    await job_store.accept(make_job())
    api = _make_api(store)
    assert await _status(api, ReadBody('job1', 'none')) == ABSENT
    await store.delete(BODY_KIND, 'job1')
    assert await _status(api, ReadBody('job1', 'job1-0')) == UNSURE


def test_missing_bodies_are_not_read_again_and_again_without_a_pause() -> None:
    async def main() -> int:
        store = _TimedStore()
        owner = OwnersInstance('one', store)
        await owner.job_store.accept(make_job(acceptor=owner.run_name))
        owner.job_store.index.entries['job1'].drop_bodies()
        await store.delete(BODY_KIND, 'job1')
        store.calls.clear()
        task = asyncio.create_task(owner.runner.run())
        await asyncio.sleep(WATCHED)
        task.cancel()
        return store.calls.count('get')

    assert run_virtual(main()) < FEW_READS
