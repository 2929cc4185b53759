"""Reading results where another instance, unknown here, has stored some."""

import random
from itertools import count
from typing import NamedTuple

import pytest

from gentiantrestle.gateway.batch.job_index import JobEntry, JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.result_reader import ResultReader
from gentiantrestle.gateway.membership.peers import PeerList
from gentiantrestle.gateway.model import ItemResult, Job
from tests.gateway.memory import MemoryStore
from tests.gateway.samples import make_job

FIRST = ItemResult('job1-0', True, 'by the acceptor')
SECOND = ItemResult('job1-1', True, 'by the other')


class _Runner(NamedTuple):
    """A runner that has taken no job over and knows of no other instance."""

    stopping: bool = False

    def owns(self, entry: JobEntry) -> bool:
        return True

    def find_stranded(self, job: Job) -> frozenset[str]:
        return frozenset()


def _make_job_store(store: MemoryStore) -> JobStore:
    """Return the job store of an instance whose clock runs on by 1 s a look."""
    times = count(1)
    return JobStore(store, JobIndex(), random.Random(1), lambda: next(times))


async def _accept_in_two_halves() -> tuple[JobStore, JobEntry]:
    """Let an instance accept a job that one unknown to it runs as well."""
    store = MemoryStore()
    acceptor = _make_job_store(store)
    await acceptor.accept(make_job(count=2))
    entry = acceptor.index.entries['job1']
    await acceptor.store_results(entry, (FIRST,))
    other = _make_job_store(store)
    found = await other.find('job1')
    assert found is not None
    await other.store_results(found, (FIRST, SECOND))
    await other.mark_done('job1')
    return acceptor, entry


def _make_reader(job_store: JobStore, runner: _Runner) -> ResultReader:
    peers = PeerList('me', '10.0.0.1', 'a1', ())
    return ResultReader(job_store, runner, peers, lambda: 0)


@pytest.mark.parametrize('runner', (_Runner(), _Runner(stopping=True)))
async def test_acceptor_reads_results_of_an_unknown_instance(
    runner: _Runner,
) -> None:
    job_store, entry = await _accept_in_two_halves()
    await _make_reader(job_store, runner).refresh(entry)
    assert entry.results == [FIRST, SECOND]


async def test_acceptor_gives_others_the_results_of_an_unknown_one() -> None:
    job_store, entry = await _accept_in_two_halves()
    assert await _make_reader(job_store, _Runner()).ensure_current(entry)
    assert entry.results == [FIRST, SECOND]
