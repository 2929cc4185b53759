"""Jobs of an instance that doesn't reach the store are run by the others."""

import asyncio
from collections import Counter

import pytest

from gentiantrestle.gateway.batch.item_progress import ItemProgress
from gentiantrestle.gateway.reach.store_reach import NotingStore, StoreReach
from gentiantrestle.store.client import StoreRejectedError
from tests.gateway.memory import MemoryStore
from tests.gateway.owners_world import (
    ITEM_TIME,
    ITEMS,
    SLOTS,
    OwnersFleet,
    run_item,
)
from tests.utils.virtual_time import run_virtual, virtual_now

RUN_TIME = ITEMS / SLOTS * ITEM_TIME  # seconds all items take at one instance


@pytest.fixture(autouse=True)
def faked_items(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let items take some time, without upstreams."""
    monkeypatch.setattr(ItemProgress, 'run', run_item)


async def _play(silent: tuple[int, ...], silent_for: float) -> OwnersFleet:
    """Cut paths to the store after 3 s; return once all items are stored."""
    fleet = OwnersFleet()
    await fleet.start()
    await asyncio.sleep(3)
    for number in silent:
        fleet.paths[number].silent = True
    healing = asyncio.create_task(_heal(fleet, silent_for))
    async with asyncio.timeout(60):
        while len(fleet.stored) < ITEMS:
            await asyncio.sleep(0.1)
    healing.cancel()
    fleet.stop()
    return fleet


async def _heal(fleet: OwnersFleet, after: float) -> None:
    await asyncio.sleep(after)
    for path in fleet.paths:
        path.silent = False


@pytest.mark.parametrize('silent', [(0,), (0, 1), (0, 2)])
def test_job_is_not_kept_by_an_owner_whose_results_reach_no_store(
    silent: tuple[int, ...],
) -> None:
    async def main() -> float:
        await _play(silent, 600)
        return virtual_now()

    assert run_virtual(main()) < RUN_TIME + 18


@pytest.mark.parametrize('silent_for', [1, 3, 6, 12])
def test_no_item_is_stored_twice_while_an_owner_loses_the_store(
    silent_for: float,
) -> None:
    fleet = run_virtual(_play((0,), silent_for))
    assert Counter(fleet.stored) == Counter(
        f'job1-{number}' for number in range(ITEMS)
    )


@pytest.mark.parametrize('silent_for', [4, 20])
def test_no_job_moves_while_no_instance_reaches_the_store(
    silent_for: float,
) -> None:
    fleet = run_virtual(_play((0, 1, 2), silent_for))
    assert not any(instance.runs for instance in fleet.instances[1:])


def test_store_that_answers_all_gets_no_calls_for_its_reach() -> None:
    fleet = run_virtual(_play((), 0))
    assert not fleet.instances[0].owners.services_left
    assert [path.calls for path in fleet.paths[1:]] == [1, 1]


class _RefusingStore(MemoryStore):
    """Refuses each object for what it holds."""

    async def create(self, kind: str, name: str, content: object) -> bool:
        """Refuse an object."""
        raise StoreRejectedError('status 422')


def test_store_that_refuses_an_object_counts_as_reached() -> None:
    async def main() -> bool:
        reach = StoreReach(virtual_now)
        reach.note(reached=False)
        with pytest.raises(StoreRejectedError):
            await NotingStore(_RefusingStore(), reach).create('jobs', 'j', {})
        return reach.is_in_doubt

    assert not run_virtual(main())
