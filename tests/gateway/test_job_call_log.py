"""The line of a call on a job that gets no answer."""

import asyncio
import random
from collections.abc import Coroutine, Iterator
from types import SimpleNamespace
from typing import Any

import pytest
from loguru import logger

from gentiantrestle.errors import NO_CONFIGURATION, RefusedError, refuse
from gentiantrestle.gateway.batch.access import JobCaller
from gentiantrestle.gateway.batch.api import JobApi
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.records import (
    BODY_KIND,
    JOB_KIND,
    RESULT_KIND,
)
from gentiantrestle.gateway.batch.result_reader import ResultReader
from gentiantrestle.gateway.membership.peers import PeerList
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.ports import (
    CancelJob,
    ReadBody,
    ReadResults,
    StoredObject,
)
from gentiantrestle.platform.dialect import PlatformDialect
from gentiantrestle.store.client import StoreUnavailableError
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import make_job
from tests.utils.virtual_time import run_virtual, virtual_now

UNANSWERED = 6117
READ_AGAIN = 6118
READ_TIME = 0.2  # seconds
LEAVES_AFTER = 0.3  # seconds


class _Store(MemoryStore):
    """Reads take some time, and those of one kind fail or never end."""

    def __init__(self) -> None:
        super().__init__()
        self.failing = ''
        self.silent = ''

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""
        await asyncio.sleep(READ_TIME)
        if kind == self.silent:
            await asyncio.Event().wait()
        if kind == self.failing:
            raise StoreUnavailableError('out of order')
        return await super().get(kind, name)


@pytest.fixture
def logged() -> Iterator[list[dict[str, Any]]]:
    """Collect the fields of logged events."""
    lines: list[dict[str, Any]] = []
    sink = logger.add(lambda line: lines.append(line.record['extra']))
    yield lines
    logger.remove(sink)


async def _make_api(store: _Store, *, is_known: bool = False) -> JobApi:
    """Return the calls of an instance; another one has stored a result."""
    stores = [
        JobStore(store, JobIndex(), random.Random(1), virtual_now)
        for _ in range(2)
    ]
    await stores[0].accept(make_job())
    entry = stores[0].index.entries['job1']
    await stores[0].store_results(entry, (ItemResult('job1-0', True, ''),))
    if is_known:
        await stores[1].find('job1')
    runner = SimpleNamespace(
        owns=lambda entry: False,
        stopping=False,
        wake=lambda: None,
        find_stranded=lambda job: frozenset(),
    )
    peers = PeerList('me', '10.0.0.1', 'a1', ())
    context = SimpleNamespace(
        index=stores[1].index,
        job_store=stores[1],
        dialect=PlatformDialect(),
        router=None,
    )
    reader = ResultReader(stores[1], runner, peers, virtual_now)
    return JobApi(context, runner, reader, 'two/1')


def _lines(logged: list[dict[str, Any]], code: int) -> list[dict[str, Any]]:
    return [fields for fields in logged if fields['code'] == code]


def _only(logged: list[dict[str, Any]], code: int) -> dict[str, Any]:
    found = _lines(logged, code)
    assert len(found) == 1
    return found[0]


async def _refused(call: Coroutine[Any, Any, Any]) -> None:
    with pytest.raises(RefusedError):
        await call


@pytest.mark.parametrize(
    ('operation', 'failing', 'is_known', 'step', 'position', 'known'),
    [
        (ReadResults('job1', 0, 0), JOB_KIND, False, 'find', 0, None),
        (ReadResults('job1', 1, 0), RESULT_KIND, True, 'chunks', 1, 0),
        (ReadBody('job1', 'job1-0'), BODY_KIND, True, 'body', 'job1-0', 0),
        (CancelJob('job1'), JOB_KIND, True, 'cancel', '', None),
    ],
)
def test_refused_call_leaves_a_line_with_its_step_and_reason(
    operation: Any,
    failing: str,
    is_known: bool,
    step: str,
    position: int | str,
    known: int | None,
    logged: list[dict[str, Any]],
) -> None:
    async def main() -> None:
        store = _Store()
        api = await _make_api(store, is_known=is_known)
        store.failing = failing
        call = {
            ReadResults: api.read_results,
            ReadBody: api.read_body,
            CancelJob: api.cancel,
        }[type(operation)]
        await _refused(call(operation))

    run_virtual(main())
    line = _only(logged, UNANSWERED)
    found = (line['job'], line['step'], line['position'], line['known'])
    assert found == ('job1', step, position, known)
    assert line['took_ms'] == 200
    assert line['reason']


def test_call_whose_caller_leaves_leaves_a_line(
    logged: list[dict[str, Any]],
) -> None:
    async def main() -> None:
        store = _Store()
        api = await _make_api(store)
        store.silent = RESULT_KIND
        task = asyncio.create_task(api.read_results(ReadResults('job1', 0, 1)))
        await asyncio.sleep(LEAVES_AFTER)
        task.cancel()
        await asyncio.wait([task])

    run_virtual(main())
    line = _only(logged, UNANSWERED)
    assert (line['step'], line['known'], line['took_ms']) == ('chunks', 0, 300)


def test_caller_refused_by_an_unprepared_instance_leaves_a_line(
    logged: list[dict[str, Any]],
) -> None:
    caller = JobCaller(refusal=refuse(NO_CONFIGURATION, 'just started'))

    async def main() -> None:
        api = await _make_api(_Store())
        await _refused(api.read_results(ReadResults('none', 0, 0), caller))

    run_virtual(main())
    line = _only(logged, UNANSWERED)
    assert line['step'] == 'not prepared'


def test_end_of_refused_reads_is_logged_once(
    logged: list[dict[str, Any]],
) -> None:
    async def main() -> None:
        store = _Store()
        api = await _make_api(store)
        store.failing = JOB_KIND
        await _refused(api.read_results(ReadResults('job1', 0, 0)))
        await _refused(api.read_results(ReadResults('job1', 0, 0)))
        store.failing = ''
        await api.read_results(ReadResults('job1', 0, 0))
        await api.read_results(ReadResults('job1', 0, 0))

    run_virtual(main())
    assert len(_lines(logged, UNANSWERED)) == 2
    line = _only(logged, READ_AGAIN)
    assert line['unread_ms'] == 600


def test_job_said_not_to_exist_leaves_no_line_of_a_refused_read(
    logged: list[dict[str, Any]],
) -> None:
    async def main() -> None:
        api = await _make_api(_Store())
        await _refused(api.read_results(ReadResults('none', 0, 0)))

    run_virtual(main())
    assert not _lines(logged, UNANSWERED)
