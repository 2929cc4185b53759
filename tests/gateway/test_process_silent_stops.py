"""Planned stops and batch jobs beside a store or an owner that says nothing."""

import asyncio
import base64
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from tests.gateway.fleet import ENTRIES, GatewayFleet
from tests.gateway.test_process_silent_store import ROLES_TIME, LinkedFleet
from tests.gateway.wire_samples import expected_output, expected_stream, job_doc
from tests.soak.proxy import DOWN, UP
from tests.utils.http import until

GRACE = 6.0  # seconds, as in the settings of the fleet
# Later than this after a 202, or after a position was read, all instances
# have it.
SETTLE_TIME = 1.0  # seconds
# Callers wait for a page as long as they allow and this much more.
READ_SLACK = 1.5  # seconds
READ_WAIT = 1.0  # seconds
ITEMS = 6
ITEM_EVENTS = 30
STREAM_EVENTS = 70  # 0.05 s apart: longer than the balancer is waited for
WAITING = {'X-Wait-Ms': '1000'}
SLOW = base64.b64encode(b'{"events":30,"pause":0.05}').decode()


@pytest.fixture
async def linked(tmp_path: Path) -> AsyncIterator[LinkedFleet]:
    """Start a fleet with links to the store, and let the roles settle."""
    fleet = LinkedFleet(tmp_path)
    try:
        await fleet.start()
        await until(fleet.watchers)
        await asyncio.sleep(ROLES_TIME)
        yield fleet
    finally:
        await fleet.stop()


def _make_silent(fleet: LinkedFleet, entry: int, how: str) -> None:
    """Let an entry's open connections to the store, or all, say nothing."""
    if how == 'all':
        fleet.links[entry].blocked |= {UP, DOWN}
    else:
        fleet.links[entry].silence()


async def _read(fleet: GatewayFleet, entry: int, after: int = 0) -> Any:
    """Read a page of the job as clients do; fail where they would give up."""
    path = f'/gentiantrestle/lots/job1?after={after}'
    async with asyncio.timeout(READ_WAIT + READ_SLACK):
        reply = await fleet.request(
            entry, 'read', path, method='GET', **WAITING
        )
    assert reply.status == 200
    return reply.json()


async def _submit(fleet: GatewayFleet, entry: int) -> None:
    job = job_doc('job1', ITEMS, ITEM_EVENTS, body=SLOW)
    assert (await fleet.request(entry, 'job1', '/lists/j', job)).status == 202


@pytest.mark.parametrize('how', ['open', 'all'])
async def test_stop_beside_a_silent_store_cuts_no_request_and_is_in_time(
    linked: LinkedFleet, how: str
) -> None:
    await _submit(linked, 0)
    streams = [
        asyncio.create_task(
            linked.request(
                0, f'r{number}', body={'events': STREAM_EVENTS, 'pause': 0.05}
            )
        )
        for number in range(3)
    ]
    await until(linked.runs)
    # Results of items are on their way to the store.
    await asyncio.sleep(1.4)
    _make_silent(linked, 0, how)
    began = time.monotonic()
    stopped = asyncio.create_task(linked.entries[0].end(signal.SIGTERM))
    late = await linked.request(0, 'late', body={'events': 3})
    assert late.body == expected_stream('late', 3)
    for number, stream in enumerate(streams):
        body = (await stream).body
        assert body == expected_stream(f'r{number}', STREAM_EVENTS)
    assert await stopped == 0
    assert time.monotonic() - began < GRACE
    outputs: dict[str, str] = {}

    async def is_complete() -> bool:
        page = await _read(linked, 1)
        outputs.update({row['id']: row['output'] for row in page['results']})
        return len(outputs) == ITEMS

    await until(is_complete, timeout=15)
    assert set(outputs.values()) == {
        expected_output(f'job1-{number}', ITEM_EVENTS)
        for number in range(ITEMS)
    }


async def test_accepted_job_is_known_where_connections_to_the_store_fell_silent(
    linked: LinkedFleet,
) -> None:
    for entry in range(1, ENTRIES):
        # Connections that reads have left open fall silent, too.
        path = '/gentiantrestle/lots/none?after=0'
        reply = await linked.request(entry, 'read', path, method='GET')
        assert reply.status == 404
        _make_silent(linked, entry, 'open')
    await _submit(linked, 0)
    await asyncio.sleep(SETTLE_TIME)
    for entry in range(1, ENTRIES):
        item = f'job1-{ITEMS - 1}'
        body = await linked.request(
            entry, 'b', f'/gentiantrestle/items/job1?id={item}', method='GET'
        )
        assert body.status in {200, 503}
        page = await linked.request(
            entry, 'read', '/gentiantrestle/lots/job1?after=0', method='GET'
        )
        assert page.status in {200, 503}
        assert (await _read(linked, entry))['total'] == ITEMS


@pytest.mark.parametrize('signum', [signal.SIGSTOP, signal.SIGKILL])
async def test_positions_that_were_read_come_again_while_their_owner_is_silent(
    linked: LinkedFleet, signum: signal.Signals
) -> None:
    await _submit(linked, 0)
    first: list[dict[str, Any]] = []
    while not first:
        first = (await _read(linked, 0))['results']
    linked.entries[0].process.send_signal(signum)
    await asyncio.sleep(SETTLE_TIME)
    for _ in range(3):
        for entry in range(1, ENTRIES):
            again = (await _read(linked, entry))['results']
            assert again[: len(first)] == first
    if signum is signal.SIGSTOP:
        linked.entries[0].process.send_signal(signal.SIGCONT)
