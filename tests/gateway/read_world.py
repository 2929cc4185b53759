"""A job that instances read while its store and its owner misbehave."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from enum import Enum
from types import SimpleNamespace
from typing import Any, NamedTuple

import msgspec

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.batch.api import JobApi
from gentiantrestle.gateway.batch.job_index import JobEntry, JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.result_reader import ResultReader
from gentiantrestle.gateway.membership.peers import Peer
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.ports import ReadResults, StoredObject
from gentiantrestle.platform.dialect import PlatformDialect
from gentiantrestle.store.client import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import make_job
from tests.utils.virtual_time import virtual_now

CHUNKS = 8
CALLER_TIME = 1.5  # seconds that a caller waits beyond what it allows
SLOW = 0.3  # seconds
SILENT = 1.5  # seconds until a call of the store is given up
PEER_TIMEOUT = 1.0  # seconds until a call to an instance is given up
FOUND = 200
ABSENT = 404
UNSURE = 503
GIVEN_UP = -1  # the caller has left


class Answers(Enum):
    """How the store, or a job's owner, answers calls."""

    AT_ONCE = 'at once'
    SLOW = 'slow'
    FAILING = 'failing'
    SILENT = 'silent'
    GONE = 'gone'
    HERE = 'here'


SOUND = (Answers.AT_ONCE, Answers.SLOW)
OUT = (Answers.FAILING, Answers.SILENT)
OWNERS = (Answers.AT_ONCE, Answers.SILENT, Answers.GONE, Answers.HERE)
STATES = ('open', 'done', 'cancelled')


class Page(NamedTuple):
    """What a read got, and when."""

    status: int
    items: list[str]
    took: float


class StoreModel(MemoryStore):
    """A store that answers each call as it is told."""

    def __init__(self) -> None:
        super().__init__()
        self.answers = Answers.AT_ONCE

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""
        await self._answer(StoreUnavailableError)
        return await super().get(kind, name)

    async def put_status(
        self, kind: str, stored: StoredObject, status: Any
    ) -> bool:
        """Replace a status."""
        await self._answer(StoreOutcomeUnknownError)
        return await super().put_status(kind, stored, status)

    async def _answer(self, error: type[Exception]) -> None:
        if self.answers is Answers.SLOW:
            await asyncio.sleep(SLOW)
        if self.answers is Answers.SILENT:
            await asyncio.sleep(SILENT)
        if self.answers in OUT:
            raise error(self.answers.value)


class Writer:
    """The instance that accepts the job and stores its results."""

    def __init__(self, store: StoreModel) -> None:
        self.job_store = JobStore(
            store, JobIndex(), random.Random(1), virtual_now
        )
        self.answers = Answers.AT_ONCE

    @property
    def entry(self) -> JobEntry:
        """The job."""
        return self.job_store.index.entries['job1']

    @property
    def items(self) -> list[str]:
        """Items in the order of their results."""
        return [result.id for result in self.entry.results]

    async def accept(self, state: str) -> None:
        """Accept a job that is open with results, done or cancelled."""
        spare = 0 if state == 'done' else 1
        await self.job_store.accept(make_job(count=CHUNKS + spare))
        for _ in range(CHUNKS):
            await self.store_next()
        if state == 'cancelled':
            await self.job_store.cancel('job1')
        if state == 'done':
            await self.job_store.mark_done('job1')

    async def store_next(self) -> None:
        """Store the result of an item as the next chunk."""
        spec = next(self.entry.unfinished_items())
        result = ItemResult(spec.id, True, 'text')
        await self.job_store.store_results(self.entry, (result,))

    async def fetch(self, peer: Peer, entry: JobEntry) -> bool:
        """Answer another instance as ``PeerCalls.fetch_results`` does."""
        after = len(entry.results)
        if self.answers is Answers.SILENT:
            await asyncio.sleep(PEER_TIMEOUT)
        if self.answers is Answers.SLOW:
            await asyncio.sleep(SLOW * 2)
        if self.answers in OUT:
            return False
        rows = self.entry.results[after:]
        if after == len(entry.results):
            entry.add_peer_results(rows, self.entry.chunk_count)
        return True


class Reader:
    """An instance that callers ask."""

    def __init__(self, store: StoreModel, writer: Writer) -> None:
        self._writer = writer
        self.job_store = JobStore(
            store, JobIndex(), random.Random(1), virtual_now
        )
        runner = SimpleNamespace(
            owns=lambda entry: writer.answers is Answers.HERE,
            stopping=False,
            wake=lambda: None,
            find_stranded=lambda job: frozenset(),
        )
        peers = SimpleNamespace(
            working_runs=self._find_runs, find_run=lambda run: 'peer'
        )
        reader = ResultReader(self.job_store, runner, peers, virtual_now)
        reader.fetch_from_peer = writer.fetch
        context = SimpleNamespace(
            index=self.job_store.index,
            job_store=self.job_store,
            dialect=PlatformDialect(),
            router=None,
        )
        self.api = JobApi(context, runner, reader, 'two/1')

    async def read(self, after: int, wait: float = 0) -> Page:
        """Read a page as a caller who leaves in time."""
        operation = ReadResults('job1', after, wait)
        began = virtual_now()
        status, body = await call(self.api.read_results, operation, wait)
        if status != FOUND:
            return Page(status, [], virtual_now() - began)
        page = msgspec.json.decode(body)
        items = [row['id'] for row in page['results']]
        assert page['next'] == after + len(items)
        return Page(status, items, virtual_now() - began)

    def _find_runs(self, now: float) -> set[str]:
        is_gone = self._writer.answers in {Answers.GONE, Answers.HERE}
        return set() if is_gone else {'one/1'}


async def call(
    method: Callable[[Any], Awaitable[Any]], operation: Any, wait: float = 0
) -> tuple[int, bytes]:
    """Return the status and the body that a caller gets."""
    try:
        async with asyncio.timeout(wait + CALLER_TIME):
            answer = await method(operation)
    except RefusedError as exc:
        return exc.refusal.kind.status, b''
    except TimeoutError:
        return GIVEN_UP, b''
    return answer.status, answer.body


async def make_world(
    state: str, owner: Answers, *, is_known: bool
) -> tuple[StoreModel, Writer, Reader]:
    """Return the store, the instance that has stored results, and another."""
    store = StoreModel()
    writer = Writer(store)
    await writer.accept(state)
    writer.answers = owner
    reader = Reader(store, writer)
    if is_known:
        await reader.job_store.find('job1')
    return store, writer, reader
