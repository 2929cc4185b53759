"""Jobs of which the store's watches did not tell, in their own processes."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from gentiantrestle.gateway.follower import WATCH_WAIT
from tests.gateway.fleet import STORE_ROOT, UPSTREAMS, GatewayFleet
from tests.gateway.wire_samples import job_doc
from tests.utils.http import send, until

ROLES_TIME = 4.0  # seconds in which instances find out who watches the store
WATCHED_JOBS = f'GET {STORE_ROOT}/batch-jobs'
# The last of the jobs' watch is in the second in which no watch hears.
MUTE_BEFORE_END = 0.4  # seconds
MUTE_AFTER_END = 0.3  # seconds
# A third one might watch the jobs for a while, from a revision of its own.
ENTRIES = 2
ITEMS = 6
EVENTS = 200
RUN_TIME = 15.0  # seconds in which the other one finds that it owns the job


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Start a fleet, and wait until the roles are settled."""
    started = GatewayFleet(tmp_path, ENTRIES, UPSTREAMS)
    try:
        await started.start()
        await asyncio.sleep(ROLES_TIME)
        yield started
    finally:
        await started.stop()


async def _count_watches(fleet: GatewayFleet) -> int:
    calls = (await send(fleet.store, 'GET', '/calls')).json()
    return calls.count(WATCHED_JOBS)


async def _await_watch(fleet: GatewayFleet) -> None:
    """Wait until the watch of jobs has ended, and the next one begins."""
    count = await _count_watches(fleet)

    async def has_begun() -> bool:
        return await _count_watches(fleet) > count

    await until(has_begun)


async def test_job_that_no_watch_told_is_run_after_its_acceptor_was_killed(
    fleet: GatewayFleet,
) -> None:
    acceptor = ENTRIES - 1
    await _await_watch(fleet)
    await asyncio.sleep(WATCH_WAIT - MUTE_BEFORE_END)
    await fleet.set_store_faults(mute=True)
    doc = job_doc('job1', ITEMS, EVENTS)
    reply = await fleet.request(acceptor, 'job1', '/lists/j', doc)
    assert reply.status == 202
    await fleet.entries[acceptor].end()
    await _await_watch(fleet)
    await asyncio.sleep(MUTE_AFTER_END)
    await fleet.set_store_faults(cut=True)
    before = len(await fleet.runs())

    async def is_taken_over() -> bool:
        return len(await fleet.runs()) >= before + ITEMS

    await until(is_taken_over, timeout=RUN_TIME)
