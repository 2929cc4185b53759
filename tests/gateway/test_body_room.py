"""Owners of jobs that have no room for the bodies of their items."""

import asyncio

import pytest

from gentiantrestle.gateway.batch.item_progress import ItemProgress
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.model import ItemResult
from tests.gateway.memory import MemoryStore
from tests.gateway.owners_world import OwnersInstance, run_item
from tests.gateway.samples import make_job
from tests.utils.virtual_time import run_virtual

LIMIT = 1000000  # bytes; no room beside any body that is held
PLAY_TIME = 5.0  # seconds
ELSEWHERE = 'two/1'


@pytest.fixture(autouse=True)
def faked_items(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let items take some time without upstreams."""
    monkeypatch.setattr(ItemProgress, 'run', run_item)


async def _play(*, complete: bool, owned: bool) -> OwnersInstance:
    """Hold the bodies of one job, and own another one without room."""
    instance = OwnersInstance('one', MemoryStore(), LIMIT)
    store = instance.job_store
    acceptor = instance.run_name if owned else ELSEWHERE
    await store.accept(make_job('held', acceptor=acceptor))
    await store.accept(make_job('waiting', acceptor=instance.run_name))
    instance.runner.live_runs = lambda: (ELSEWHERE,)
    held = await _find(instance, 'held')
    (await _find(instance, 'waiting')).drop_bodies()
    if complete:
        rows = [ItemResult(spec.id, True, '') for spec in held.job.items]
        held.add_peer_results(rows, 1)
    assert complete or held.has_bodies
    running = asyncio.create_task(instance.runner.run())
    await asyncio.sleep(PLAY_TIME)
    running.cancel()
    return instance


async def _find(instance: OwnersInstance, job_id: str) -> JobEntry:
    found = await instance.job_store.find(job_id)
    assert found is not None
    return found


@pytest.mark.parametrize('complete', [False, True])
def test_bodies_of_jobs_that_others_run_do_not_hold_up_those_of_an_owner(
    *, complete: bool
) -> None:
    instance = run_virtual(_play(complete=complete, owned=False))
    assert sorted(set(instance.runs)) == ['waiting-0', 'waiting-1']


def test_bodies_of_a_job_that_runs_here_are_kept_without_room() -> None:
    instance = run_virtual(_play(complete=False, owned=True))
    assert instance.runs[:2] == ['held-0', 'held-1']
    assert sorted(set(instance.runs)) == [
        'held-0',
        'held-1',
        'waiting-0',
        'waiting-1',
    ]
