"""All entries lose power at once, right after a job was accepted."""

import asyncio
import base64
import signal
from typing import Any

import pytest

from tests.gateway.fleet import ENTRIES, UNREACHABLE, GatewayFleet
from tests.gateway.wire_samples import expected_output, job_doc
from tests.utils.http import until

ITEMS = 6
EVENTS = 30
BODY = b'{"events":30,"pause":0.03}'
SLOW = base64.b64encode(BODY).decode()
JOB = '/gentiantrestle/lots/job1?after=0'
# Until all items have results: one run after the other fits twice.
FINISH_TIME = 20.0  # seconds
KNOWN = {200, 503}
UNREACHED = (OSError, *UNREACHABLE)


async def _lose_power(fleet: GatewayFleet) -> None:
    """Kill all entries at once and start them again."""
    for entry in fleet.entries:
        entry.process.send_signal(signal.SIGKILL)
    for entry in fleet.entries:
        await entry.process.wait()
    for number in range(ENTRIES):
        await fleet.start_entry(number)


async def _submit(fleet: GatewayFleet, entry: int) -> int:
    job = job_doc('job1', ITEMS, EVENTS, body=SLOW)
    return (await fleet.request(entry, 'job1', '/lists/j', job)).status


async def _call(fleet: GatewayFleet, entry: int, path: str) -> Any:
    """Call an entry; None where it isn't reached or says that it isn't sure.

    Neither may it say that the job, or its item, doesn't exist.
    """
    try:
        reply = await fleet.request(entry, 'call', path, method='GET')
    except UNREACHED:
        return None
    assert reply.status in KNOWN
    return reply if reply.status == 200 else None


async def _read(fleet: GatewayFleet, entry: int) -> list[dict[str, Any]]:
    page = await _call(fleet, entry, JOB)
    return page.json()['results'] if page else []


async def _check_bodies(fleet: GatewayFleet) -> None:
    """Ask all entries for all bodies, again after each failure."""

    async def has_body(entry: int, number: int) -> bool:
        path = f'/gentiantrestle/items/job1?id=job1-{number}'
        reply = await _call(fleet, entry, path)
        assert reply is None or reply.body == BODY
        return reply is not None

    for number in range(ITEMS):
        for entry in range(ENTRIES):
            await until(lambda at=entry, item=number: has_body(at, item))


async def _check_complete(
    fleet: GatewayFleet, known: list[dict[str, Any]]
) -> None:
    """Read at all entries until all is listed; ``known`` comes again."""

    async def is_complete(entry: int) -> bool:
        rows = await _read(fleet, entry)
        assert rows[: len(known)] == known[: len(rows)]
        if len(rows) < ITEMS:
            return False
        assert {row['id']: row['output'] for row in rows} == {
            f'job1-{number}': expected_output(f'job1-{number}', EVENTS)
            for number in range(ITEMS)
        }
        return True

    await asyncio.gather(
        *(
            until(lambda at=entry: is_complete(at), FINISH_TIME)
            for entry in range(ENTRIES)
        )
    )


@pytest.mark.parametrize('delay_ms', [5, 20, 60, 150, 400])
async def test_job_is_known_and_run_after_all_entries_lost_power(
    fleet: GatewayFleet, delay_ms: int
) -> None:
    assert await _submit(fleet, 0) == 202
    await asyncio.sleep(delay_ms / 1000)
    await _lose_power(fleet)
    await asyncio.gather(_check_bodies(fleet), _check_complete(fleet, []))


@pytest.mark.parametrize('delay_ms', [0, 150, 400, 700])
async def test_read_results_come_again_after_all_entries_lost_power(
    fleet: GatewayFleet, delay_ms: int
) -> None:
    assert await _submit(fleet, 0) == 202
    known: list[dict[str, Any]] = []
    while not known:
        known = await _read(fleet, 1)
    # Other results are on their way to the store.
    await asyncio.sleep(delay_ms / 1000)
    known = await _read(fleet, 2)
    await _lose_power(fleet)
    await _check_complete(fleet, known)


async def test_job_of_an_unknown_outcome_is_run_after_all_entries_lost_power(
    fleet: GatewayFleet,
) -> None:
    await fleet.set_store_faults(lose=99, silence=30)
    assert await _submit(fleet, 0) == 502
    await fleet.set_store_faults()
    assert await _submit(fleet, 1) == 202
    await _lose_power(fleet)
    await asyncio.gather(_check_bodies(fleet), _check_complete(fleet, []))
