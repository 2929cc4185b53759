"""How large a page of results is as it is sent."""

import random
from types import SimpleNamespace

import msgspec
import pytest

from gentiantrestle.gateway.batch.api import JobApi
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.result_reader import ResultReader
from gentiantrestle.gateway.membership.peers import PeerList
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.ports import ReadResults
from gentiantrestle.platform.dialect import PlatformDialect
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import make_job
from tests.utils.virtual_time import run_virtual, virtual_now

PAGE_LIMIT = 1000000  # bytes that the interface allows
ITEMS = 200


async def _make_api(output: str, items: int) -> JobApi:
    """Return the calls of an instance that has a job's results."""
    job_store = JobStore(
        MemoryStore(10**9), JobIndex(), random.Random(1), virtual_now
    )
    await job_store.accept(make_job(count=items))
    entry = job_store.index.entries['job1']
    await job_store.store_results(
        entry,
        tuple(ItemResult(spec.id, True, output) for spec in entry.job.items),
    )
    runner = SimpleNamespace(stopping=False, owns=lambda entry: True)
    peers = PeerList('me', '10.0.0.1', 'a1', ())
    context = SimpleNamespace(
        index=job_store.index,
        job_store=job_store,
        dialect=PlatformDialect(),
        router=None,
    )
    reader = ResultReader(job_store, runner, peers, virtual_now)
    return JobApi(context, runner, reader, 'one/1')


async def _read_all(output: str, items: int) -> list[bytes]:
    api = await _make_api(output, items)
    pages: list[bytes] = []
    after = 0
    while after < items:
        answer = await api.read_results(ReadResults('job1', after, 0))
        pages.append(answer.body)
        after = msgspec.json.decode(answer.body)['next']
    return pages


@pytest.mark.parametrize(
    'output',
    ['\n', '"', '\x00', 'x', '\u4f60', '\U0001f600'],
    ids=['newlines', 'quotes', 'controls', 'plain', 'wide', 'astral'],
)
def test_page_as_sent_is_no_larger_than_the_interface_allows(
    output: str,
) -> None:
    pages = run_virtual(_read_all(output * 20000, ITEMS))
    assert max(map(len, pages)) <= PAGE_LIMIT
    assert all(msgspec.json.decode(page)['results'] for page in pages)


def test_page_of_many_small_results_is_no_larger_either() -> None:
    pages = run_virtual(_read_all('', 20000))
    assert max(map(len, pages)) <= PAGE_LIMIT


def test_result_larger_than_a_page_is_given_alone() -> None:
    pages = run_virtual(_read_all('\n' * 600000, 2))
    assert len(pages) == 2


def test_page_of_plain_text_is_filled() -> None:
    pages = run_virtual(_read_all('x' * 20000, ITEMS))
    assert min(map(len, pages[:-1])) > PAGE_LIMIT * 0.85
