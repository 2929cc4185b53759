"""Jobs of an instance that reaches no upstream are run by the others."""

import asyncio
from collections import Counter

import pytest

from gentiantrestle.gateway.batch.item_progress import ItemProgress
from gentiantrestle.gateway.batch.result_reader import ResultReader
from gentiantrestle.gateway.batch.stranded_runs import (
    LEAVE_AFTER,
    RETURN_AFTER,
)
from tests.gateway.owners_world import (
    ITEM_TIME,
    ITEMS,
    NAMES,
    NONE,
    ONE,
    OTHER,
    SLOTS,
    OwnersFleet,
    run_item,
)
from tests.utils.virtual_time import run_virtual, virtual_now


@pytest.fixture
def faked_items(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let items take some time, or no connection, without upstreams."""
    monkeypatch.setattr(ItemProgress, 'run', run_item)


async def _play(cut: dict[int, frozenset[str]], cut_for: float) -> OwnersFleet:
    fleet = OwnersFleet()
    await fleet.start()
    await asyncio.sleep(3)
    for number, unreached in cut.items():
        fleet.instances[number].unreached = unreached
    await asyncio.sleep(cut_for)
    for instance in fleet.instances:
        instance.unreached = NONE
    async with asyncio.timeout(60):
        while len(fleet.stored) < ITEMS:
            await asyncio.sleep(0.1)
    await asyncio.sleep(2 * RETURN_AFTER)
    fleet.stop()
    return fleet


@pytest.mark.usefixtures('faked_items')
@pytest.mark.parametrize('cut_for', [1, 3, 6, 12, 60])
def test_no_item_is_lost_or_stored_twice_while_jobs_change_hands(
    cut_for: float,
) -> None:
    fleet = run_virtual(_play({0: ONE}, cut_for))
    assert Counter(fleet.stored) == Counter(
        f'job1-{number}' for number in range(ITEMS)
    )
    for instance in fleet.instances:
        assert not instance.runner.run_table.ids()
        assert not instance.owners.services_left
    others = sum(len(instance.runs) for instance in fleet.instances[1:])
    assert bool(others) == (cut_for > LEAVE_AFTER)


@pytest.mark.usefixtures('faked_items')
@pytest.mark.parametrize('deaf', NAMES[1:])
@pytest.mark.parametrize('deaf_for', [1, 4, 12])
def test_no_item_is_lost_where_rows_are(deaf: str, deaf_for: float) -> None:
    async def main() -> OwnersFleet:
        fleet = OwnersFleet()
        await fleet.start()
        await asyncio.sleep(3)
        fleet.instances[0].unreached = ONE
        await asyncio.sleep(1)
        fleet.deaf.add(deaf)
        await asyncio.sleep(deaf_for)
        fleet.deaf.clear()
        async with asyncio.timeout(40):
            while len(fleet.stored) < ITEMS:
                await asyncio.sleep(0.1)
        fleet.stop()
        return fleet

    fleet = run_virtual(main())
    assert len(set(fleet.stored)) == len(fleet.stored) == ITEMS


@pytest.mark.usefixtures('faked_items')
@pytest.mark.parametrize('unreached', [ONE, ONE | OTHER])
def test_job_is_finished_by_others_while_its_instance_is_cut_off(
    unreached: frozenset[str],
) -> None:
    async def main() -> float:
        fleet = OwnersFleet()
        await fleet.start()
        fleet.instances[0].unreached = unreached
        async with asyncio.timeout(60):
            while len(fleet.stored) < ITEMS:
                await asyncio.sleep(0.1)
        fleet.stop()
        return virtual_now()

    # As long as the items take, and the time until the job has changed hands.
    assert run_virtual(main()) < ITEMS / SLOTS * ITEM_TIME + LEAVE_AFTER + 10


@pytest.mark.usefixtures('faked_items')
def test_no_job_moves_where_its_own_service_is_reached() -> None:
    fleet = run_virtual(_play({0: OTHER}, 10))
    assert not any(instance.runs for instance in fleet.instances[1:])
    assert len(fleet.stored) == ITEMS


@pytest.mark.usefixtures('faked_items')
def test_no_job_moves_where_all_are_cut_off() -> None:
    cut = dict.fromkeys(range(len(NAMES)), ONE)
    fleet = run_virtual(_play(cut, 10))
    assert not any(instance.runs for instance in fleet.instances[1:])
    assert len(fleet.stored) == ITEMS


@pytest.mark.usefixtures('faked_items')
def test_results_are_read_by_way_of_the_instance_that_runs_a_job() -> None:
    async def main() -> tuple[int, int]:
        fleet = OwnersFleet()
        await fleet.start()
        acceptor = fleet.instances[0]
        acceptor.unreached = ONE
        await asyncio.sleep(LEAVE_AFTER + 4)
        entry = await acceptor.job_store.find('job1')
        reader = ResultReader(
            acceptor.job_store, acceptor.runner, acceptor.peers, virtual_now
        )
        assert not reader.runs_here(entry)
        await reader.refresh(entry)
        fleet.stop()
        return len(entry.results), len(fleet.stored)

    read, stored = run_virtual(main())
    assert read == stored
    assert stored
