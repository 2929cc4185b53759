"""Jobs whose bodies are larger than one object of the store."""

import asyncio
import base64
import random
from collections import Counter

import pytest

from gentiantrestle.gateway.batch.body_parts import part_key, split_bodies
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import (
    BODY_KIND,
    BODY_PART_KIND,
    MAX_BODY_PARTS,
)
from gentiantrestle.gateway.model import Job
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.store.client import (
    ObjectTooLargeError,
    StoreUnavailableError,
)
from tests.gateway.fleet import (
    ENTRIES,
    GatewayFleet,
    has_applied_config,
)
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import make_job
from tests.gateway.test_process_jobs import read_all
from tests.gateway.wire_samples import (
    expected_output,
    job_doc,
    route_docs,
)
from tests.utils.http import until

LIMIT = 2000  # bytes
ITEMS = 198
BODY_SIZE = 15000  # bytes
BODY_LIMIT = 4194304  # bytes of a request


def _make_large_job(body_size: int) -> Job:
    job = make_job(count=3)
    fields = {'a': '"\\' * 100}
    specs = [
        spec._replace(headers=fields, body=bytes([number]) * body_size)
        for number, spec in enumerate(job.items)
    ]
    return job._replace(items=tuple(specs))


@pytest.mark.parametrize('body_size', [10, 500, 5000])
async def test_other_instance_reads_bodies_of_any_size(body_size: int) -> None:
    store = MemoryStore(max_content_size=LIMIT)
    job = _make_large_job(body_size)
    acceptor = JobStore(store, JobIndex(), random.Random(1), lambda: 0)
    assert await acceptor.accept(job)
    other = JobStore(store, JobIndex(), random.Random(1), lambda: 0)
    entry = await other.find(job.id)
    assert entry is not None
    await other.load_bodies(entry)
    assert [entry.body(spec.id) for spec in job.items] == [
        spec.body for spec in job.items
    ]
    stored = store.kinds[BODY_KIND] | store.kinds.get(BODY_PART_KIND, {})
    assert len(stored) == len(split_bodies(job, LIMIT))


class _CountingStore(MemoryStore):
    """Notes how often each part of bodies is read, and may lack them."""

    def __init__(self) -> None:
        super().__init__(max_content_size=LIMIT)
        self.reads: Counter[tuple[str, str]] = Counter()
        self.is_refusing = False

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""
        self.reads[kind, name] += kind in {BODY_KIND, BODY_PART_KIND}
        await asyncio.sleep(0)
        if self.is_refusing:
            raise StoreUnavailableError('refused')
        return await super().get(kind, name)


async def _accept_large(store: MemoryStore) -> tuple[Job, JobStore]:
    """Return an accepted job, and another instance that knows it."""
    job = _make_large_job(5000)
    await JobStore(store, JobIndex(), random.Random(1), lambda: 0).accept(job)
    other = JobStore(store, JobIndex(), random.Random(1), lambda: 0)
    await other.find(job.id)
    return job, other


async def test_bodies_that_are_asked_for_at_once_are_read_once() -> None:
    store = _CountingStore()
    job, other = await _accept_large(store)
    entry = other.index.entries[job.id]
    found = await asyncio.gather(
        *(other.read_body(entry, spec.id) for spec in job.items),
        other.load_bodies(entry),
    )
    assert found[:-1] == [spec.body for spec in job.items]
    assert max(store.reads.values()) == 1


async def test_bodies_are_read_again_after_a_read_that_failed() -> None:
    store = _CountingStore()
    job, other = await _accept_large(store)
    entry = other.index.entries[job.id]
    store.is_refusing = True
    with pytest.raises(StoreUnavailableError):
        await other.read_body(entry, job.items[0].id)
    store.is_refusing = False
    assert await other.read_body(entry, job.items[0].id) == job.items[0].body


async def test_read_of_bodies_goes_on_for_others_when_a_caller_leaves() -> None:
    job, other = await _accept_large(_CountingStore())
    entry = other.index.entries[job.id]
    gone, stays = (
        asyncio.create_task(other.read_body(entry, job.items[0].id))
        for _ in range(2)
    )
    await asyncio.sleep(0)
    gone.cancel()
    assert await stays == job.items[0].body


async def test_bodies_that_come_too_late_are_not_read_again() -> None:
    store = _CountingStore()
    job, other = await _accept_large(store)
    entry = other.index.entries[job.id]
    for _ in range(2):
        gone = asyncio.create_task(other.read_body(entry, job.items[0].id))
        await asyncio.sleep(0)
        gone.cancel()
        await asyncio.sleep(0.1)
    assert await other.read_body(entry, job.items[0].id) == job.items[0].body
    assert max(store.reads.values()) == 1


async def test_body_of_an_item_that_the_job_lacks_is_refused() -> None:
    job, other = await _accept_large(_CountingStore())
    with pytest.raises(StoreUnavailableError):
        await other.read_body(other.index.entries[job.id], 'odd')


async def test_job_whose_id_looks_like_a_part_keeps_its_bodies() -> None:
    store = MemoryStore(max_content_size=LIMIT)
    job_store = JobStore(store, JobIndex(), random.Random(1), lambda: 0)
    large = _make_large_job(5000)
    small = make_job()._replace(id=f'{large.id}.1')
    assert await job_store.accept(large)
    assert await job_store.accept(small)
    other = JobStore(store, JobIndex(), random.Random(1), lambda: 0)
    for job in (large, small):
        entry = await other.find(job.id)
        assert entry is not None
        await other.load_bodies(entry)
        assert entry.body(job.items[0].id) == job.items[0].body


@pytest.mark.parametrize(
    ('size', 'left', 'account'),
    [
        (LIMIT * 10, (0,), None),
        (LIMIT + 1000, (0,), None),
        (LIMIT + 1000, (1, 2), None),
        (LIMIT - 1000, (0, 3), None),
        (LIMIT, (0, 1), 'anna'),
    ],
)
async def test_job_is_not_joined_with_bodies_of_an_earlier_attempt(
    size: int, left: tuple[int, ...], account: str | None
) -> None:
    store = MemoryStore(max_content_size=LIMIT)
    job = _make_large_job(3000)
    parts = split_bodies(job, size)
    store.real_size_limit = LIMIT * 10
    for index in left:
        await store.create(*part_key(job.id, index), parts[index])
    acceptor = JobStore(store, JobIndex(), random.Random(1), lambda: 0)
    assert await acceptor.accept(job._replace(account=account))
    assert not await acceptor.accept(job._replace(account=account))
    other = JobStore(store, JobIndex(), random.Random(1), lambda: 0)
    entry = await other.find(job.id)
    assert entry is not None
    await other.load_bodies(entry)
    assert [entry.body(spec.id) for spec in job.items] == [
        spec.body for spec in job.items
    ]


async def test_job_of_too_many_parts_is_not_accepted() -> None:
    store = MemoryStore(max_content_size=LIMIT)
    job_store = JobStore(store, JobIndex(), random.Random(1), lambda: 0)
    with pytest.raises(ObjectTooLargeError):
        await job_store.accept(_make_large_job(LIMIT * MAX_BODY_PARTS))
    assert not store.calls


async def test_job_as_large_as_a_request_may_be_is_run(
    fleet: GatewayFleet,
) -> None:
    fleet.body_limit = BODY_LIMIT
    await fleet.configure(route_docs())
    for number in range(ENTRIES):
        await until(
            lambda entry=number: has_applied_config(fleet, entry, fleet.version)
        )
    events = 2
    body = b'{"events":2,"text":"' + b'x' * BODY_SIZE + b'"}'
    text = base64.b64encode(body).decode()
    job = job_doc('job1', ITEMS, events, body=text)
    reply = await fleet.request(0, 'job1', '/lists/j', job)
    assert reply.status == 202
    outputs = await read_all(fleet, 1, 'job1')
    assert outputs['job1-0'] == expected_output('job1-0', events)
    read = await fleet.request(
        2, 'b', '/gentiantrestle/items/job1?id=job1-197', method='GET'
    )
    assert read.body == body
