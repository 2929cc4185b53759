"""Results that are read while the store or the owner of a job is slow."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from types import SimpleNamespace

import msgspec
import pytest

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.batch.api import JobApi
from gentiantrestle.gateway.batch.job_index import JobEntry, JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import chunk_name
from gentiantrestle.gateway.batch.result_reader import ResultReader
from gentiantrestle.gateway.membership.peers import Peer
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.ports import ReadResults, StoredObject
from gentiantrestle.platform.dialect import PlatformDialect
from gentiantrestle.store.client import StoreUnavailableError
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import make_job
from tests.utils.virtual_time import run_virtual, virtual_now

CALLER_TIME = 1.5  # seconds that a caller waits beyond what it allows
CALM = 0.004  # seconds of a read of the store
PEER_TIMEOUT = 1.0  # seconds until a call to a silent instance is given up
PAUSE = 1.0  # seconds between two reads


class _Store(MemoryStore):
    """Takes some time for each read, and may withhold one object."""

    def __init__(self, read_time: float = 0) -> None:
        super().__init__()
        self.read_time = read_time
        self.missing = ''
        self.reads: list[str] = []

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""
        self.reads.append(name)
        await asyncio.sleep(self.read_time)
        if name == self.missing:
            raise StoreUnavailableError('no answer')
        return await super().get(kind, name)


class _Instance:
    """An instance that knows no job yet, and maybe an owner of jobs."""

    def __init__(
        self,
        store: _Store,
        fetch: Callable[[Peer, JobEntry], Awaitable[bool]] | None = None,
    ) -> None:
        self.job_store = JobStore(
            store, JobIndex(), random.Random(1), virtual_now
        )
        runner = SimpleNamespace(
            owns=lambda entry: False,
            stopping=False,
            find_stranded=lambda job: frozenset(),
        )
        peers = SimpleNamespace(
            working_runs=lambda now: {'one/1'} if fetch else set(),
            find_run=lambda run: 'peer',
        )
        reader = ResultReader(self.job_store, runner, peers, virtual_now)
        if fetch:
            reader.fetch_from_peer = fetch
        context = SimpleNamespace(
            index=self.job_store.index,
            job_store=self.job_store,
            dialect=PlatformDialect(),
            router=None,
        )
        self.api = JobApi(context, runner, reader, 'two/1')

    async def read(self, after: int) -> list[str]:
        """Return the items of the page from a position on."""
        answer = await self.api.read_results(ReadResults('job1', after, 0))
        rows = msgspec.json.decode(answer.body)['results']
        return [row['id'] for row in rows]


def _answering(after: float) -> Callable[[Peer, JobEntry], Awaitable[bool]]:
    """Return a call to an owner that gives a result after some seconds."""

    async def fetch(peer: Peer, entry: JobEntry) -> bool:
        await asyncio.sleep(after)
        entry.add_peer_results([ItemResult('job1-0', True, '')], 1)
        return True

    return fetch


async def _write(store: _Store, chunks: int, items: int) -> list[str]:
    """Store a job and the first chunks of its results, one item each."""
    read_time, store.read_time = store.read_time, 0
    writer = JobStore(store, JobIndex(), random.Random(1), virtual_now)
    await writer.accept(make_job(count=items))
    entry = writer.index.entries['job1']
    for spec in entry.job.items[:chunks]:
        await writer.store_results(entry, (ItemResult(spec.id, True, 'text'),))
    store.read_time = read_time
    store.reads.clear()
    return [spec.id for spec in entry.job.items[:chunks]]


@pytest.mark.parametrize('read_time', [0.05, 0.24, 0.3])
@pytest.mark.parametrize(
    ('chunks', 'items', 'after'),
    [
        *((8, 9, after) for after in range(8)),
        (8, 8, 7),
        (24, 25, 23),
        (24, 24, 23),
    ],
)
def test_each_position_is_read_at_a_new_instance_before_its_caller_leaves(
    read_time: float, chunks: int, items: int, after: int
) -> None:
    async def main() -> tuple[list[str], list[str], float]:
        store = _Store(read_time)
        written = await _write(store, chunks, items)
        began = virtual_now()
        found = await _Instance(store).read(after)
        return written, found, virtual_now() - began

    written, found, took = run_virtual(main())
    assert found
    assert found == written[after : after + len(found)]
    assert took < CALLER_TIME


def test_late_position_is_read_in_time_where_the_first_was_read() -> None:
    async def main() -> tuple[list[str], float]:
        store = _Store(0.3)
        await _write(store, 1, 25)
        other = _Instance(store)
        await other.read(0)
        writer = JobStore(store, JobIndex(), random.Random(1), virtual_now)
        store.read_time = 0
        entry = await writer.find('job1')
        await writer.refresh(entry)
        for spec in entry.job.items[1:20]:
            await writer.store_results(entry, (ItemResult(spec.id, True, ''),))
        store.read_time = 0.3
        await asyncio.sleep(PAUSE)
        began = virtual_now()
        return await other.read(19), virtual_now() - began

    found, took = run_virtual(main())
    assert found == ['job1-19']
    assert took < CALLER_TIME


@pytest.mark.parametrize(('chunks', 'items'), [(0, 3), (3, 5), (3, 3)])
def test_calm_read_makes_one_call_for_each_chunk_and_one_for_the_next(
    chunks: int, items: int
) -> None:
    async def main() -> list[str]:
        store = _Store(CALM)
        await _write(store, chunks, items)
        await _Instance(store).read(chunks)
        return store.reads

    probed = min(chunks + 1, items)
    assert run_virtual(main()) == [
        'job1',
        *(chunk_name('job1', number) for number in range(probed)),
    ]


def test_repeated_read_of_a_known_job_makes_one_call_though_slow() -> None:
    async def main() -> list[str]:
        store = _Store(0.3)
        await _write(store, 2, 25)
        reader = _Instance(store)
        await reader.read(0)
        await asyncio.sleep(PAUSE)
        store.reads.clear()
        await reader.read(2)
        return store.reads

    assert run_virtual(main()) == [chunk_name('job1', 2)]


def test_what_a_read_that_was_given_up_has_asked_for_is_not_lost() -> None:
    async def main() -> list[str]:
        store = _Store()
        written = await _write(store, 3, 4)
        reader = _Instance(store)
        await reader.job_store.find('job1')
        store.read_time = 1.4
        with pytest.raises(RefusedError):
            await reader.read(0)
        assert await reader.read(0)
        await asyncio.sleep(PAUSE)
        assert await reader.read(2) == written[2:]
        return store.reads

    reads = run_virtual(main())
    assert reads.count(chunk_name('job1', 0)) == 1


def test_chunks_after_one_that_failed_are_not_read_twice() -> None:
    async def main() -> list[str]:
        store = _Store(0.3)
        written = await _write(store, 8, 9)
        store.missing = chunk_name('job1', 2)
        reader = _Instance(store)
        with pytest.raises(RefusedError):
            await reader.read(5)
        store.missing = ''
        assert await reader.read(0) == written[:2]
        return store.reads

    reads = run_virtual(main())
    assert reads.count(chunk_name('job1', 7)) == 1


@pytest.mark.parametrize('answers_after', [0.5, PEER_TIMEOUT])
@pytest.mark.parametrize('after', [0, 5, 7, 23])
def test_silent_owner_does_not_use_up_the_time_of_the_store(
    answers_after: float, after: int
) -> None:
    async def fetch(peer: Peer, entry: JobEntry) -> bool:
        await asyncio.sleep(answers_after)
        return False

    async def main() -> tuple[list[str], list[str], float]:
        store = _Store(0.3)
        written = await _write(store, 24, 25)
        began = virtual_now()
        found = await _Instance(store, fetch).read(after)
        return written, found, virtual_now() - began

    written, found, took = run_virtual(main())
    assert found == written[after:]
    assert took < CALLER_TIME


def test_owner_that_answers_late_is_used_while_the_store_is_silent() -> None:
    async def main() -> list[str]:
        store = _Store()
        await _write(store, 1, 2)
        reader = _Instance(store, _answering(0.6))
        await reader.job_store.find('job1')
        store.read_time = 9.0
        return await reader.read(0)

    assert run_virtual(main()) == ['job1-0']


def test_owner_that_answers_at_once_costs_no_read_of_results() -> None:
    async def main() -> list[str]:
        store = _Store(CALM)
        await _write(store, 1, 2)
        await _Instance(store, _answering(CALM)).read(0)
        return store.reads

    assert run_virtual(main()) == ['job1']


def test_answer_of_an_owner_that_fits_no_more_is_not_taken_for_all() -> None:
    async def fetch(peer: Peer, entry: JobEntry) -> bool:
        after = len(entry.results)
        await asyncio.sleep(0.7)
        assert after != len(entry.results)
        return True

    async def main() -> list[str]:
        store = _Store()
        await _write(store, 4, 5)
        reader = _Instance(store, fetch)
        await reader.job_store.find('job1')
        store.read_time = 0.3
        return await reader.read(3)

    assert run_virtual(main()) == ['job1-3']


def test_two_readers_at_once_share_one_read() -> None:
    async def main() -> list[str]:
        store = _Store(0.3)
        await _write(store, 3, 4)
        reader = _Instance(store)
        pages = await asyncio.gather(reader.read(0), reader.read(1))
        assert all(pages)
        return [name for name in store.reads if name != 'job1']

    reads = run_virtual(main())
    assert len(reads) == len(set(reads))
    assert set(reads) >= {chunk_name('job1', number) for number in range(3)}


@pytest.mark.parametrize('read_time', [CALM, 0.06])
def test_read_ends_though_an_owner_told_of_chunks_before_one_read_ahead(
    read_time: float,
) -> None:
    async def main() -> int:
        store = _Store()
        written = await _write(store, 4, 12)
        instance = _Instance(store)
        entry = await instance.job_store.find('job1')
        entry.found_slowly = True
        store.read_time = 0.06
        store.missing = chunk_name('job1', 0)
        for _ in range(3):
            with suppress(StoreUnavailableError):
                await instance.job_store.refresh(entry)
            await asyncio.sleep(PAUSE)
        rows = [ItemResult(name, True, 'text') for name in written[:3]]
        entry.add_peer_results(rows, 3)
        store.missing = ''
        store.read_time = read_time
        store.reads.clear()
        async with asyncio.timeout(CALLER_TIME):
            await instance.job_store.refresh(entry)
        assert [row.id for row in entry.results] == written
        return len(store.reads)

    assert run_virtual(main()) <= 8
