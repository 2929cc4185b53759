"""The owner of a job, as the others see it, doesn't know the job."""

import asyncio
import random
from unittest import mock

import pytest

from gentiantrestle.gateway.batch.item_progress import ItemProgress
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.result_reader import ResultReader
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.peer_calls import PeerCalls
from gentiantrestle.wire.peer import ttypes
from tests.gateway.memory import MemoryStore
from tests.gateway.owners_world import OwnersInstance, run_item
from tests.gateway.samples import make_job
from tests.utils.virtual_time import run_virtual, virtual_now

TIME_LIMIT = 20.0  # seconds
READ_INTERVAL = 0.5  # seconds


def _calls(owner: OwnersInstance) -> tuple[PeerCalls, ResultReader]:
    """Return what answers other instances, and reads results, at an owner."""
    reader = ResultReader(
        owner.job_store, owner.runner, owner.peers, virtual_now
    )
    calls = PeerCalls(mock.Mock(), owner.peers, mock.Mock(), 1)
    calls.find_current = reader.find_current
    return calls, reader


class _Reading:
    """An instance that knows a job, and reads its results at the owner."""

    def __init__(self, store: MemoryStore, owner: OwnersInstance) -> None:
        index = OwnersInstance('two', store).job_store.index
        self.job_store = JobStore(store, index, random.Random(1), virtual_now)
        self._owner = _calls(owner)[0]

    async def read(self, entry: JobEntry) -> None:
        """Read new results from the owner, or else from the store."""
        request = ttypes.ResultsRequest(entry.job.id, len(entry.results))
        envelope = ttypes.Envelope(call=1, results_request=request)
        answer = await self._owner._answer(envelope)
        if not answer.results.known:
            await self.job_store.refresh(entry)
            return
        rows = [
            ItemResult(row.item, row.completed, row.output)
            for row in answer.results.rows
        ]
        entry.add_peer_results(rows, answer.results.chunks)


@pytest.mark.usefixtures('faked_items')
def test_job_that_its_owner_did_not_hear_of_is_run_once_it_is_read() -> None:
    async def main() -> list[ItemResult]:
        store = MemoryStore()
        owner = OwnersInstance('one', store)
        other = _Reading(store, owner)
        # Accepted by the first one's write, but its answer was lost.
        await other.job_store.accept(make_job(acceptor=owner.run_name))
        task = asyncio.create_task(owner.runner.run())
        entry = other.job_store.index.entries['job1']
        async with asyncio.timeout(TIME_LIMIT):
            while not entry.complete:
                await other.read(entry)
                await asyncio.sleep(READ_INTERVAL)
        task.cancel()
        return entry.results

    found = {result.id for result in run_virtual(main())}
    assert found == {'job1-0', 'job1-1'}


async def test_job_that_is_nowhere_is_read_once_for_each_question() -> None:
    store = MemoryStore()
    owner = OwnersInstance('one', store)
    reader = _calls(owner)[1]
    assert await reader.find_current('none') is None
    assert store.calls == ['get']
    store.down = True
    assert await reader.find_current('none') is None


@pytest.fixture
def faked_items(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let items take some time without upstreams."""
    monkeypatch.setattr(ItemProgress, 'run', run_item)
