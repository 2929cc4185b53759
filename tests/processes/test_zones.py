"""A zone that is partitioned from the other zone and the platform."""

from collections.abc import AsyncIterator

import pytest

from tests.utils.fleet import UNREACHABLE, job_lines
from tests.utils.http import Reply, until
from tests.utils.in_process_fleet import InProcessFleet

COMPLETION = {'model': 'chat', 'prompt': 'hi', 'max_tokens': 2}


@pytest.fixture
async def zones() -> AsyncIterator[InProcessFleet]:
    """Start two zones with a configuration in force."""
    started = InProcessFleet(('a1', 'a1', 'a2', 'a2'))
    await started.start()

    async def applied() -> bool:
        try:
            reply = await started.call(
                0,
                'PUT',
                '/admin/config',
                started.config_document(0),
            )
        except UNREACHABLE:
            return False
        return reply.status == 200

    await until(applied)
    await _wait_for(started, 1, 0, 1, 2, 3)
    yield started
    await started.stop()


async def _wait_for(
    zones: InProcessFleet, revision: int, *indexes: int
) -> None:
    for index in indexes:

        async def in_force(index: int = index) -> bool:
            try:
                return await zones.revision(index) == revision
            except UNREACHABLE:
                return False

        await until(in_force, 10)


async def _request_quote(zones: InProcessFleet, index: int) -> Reply:
    return await zones.call(
        index,
        'POST',
        '/v1/services/book/quote',
        b'quote',
        idempotency_key='key',
    )


async def test_cut_zone_serves_and_catches_up_afterwards(
    zones: InProcessFleet,
) -> None:
    await zones.isolate_zones('a2')
    for index in range(4):
        reply = await zones.call(index, 'POST', '/v1/completions', COMPLETION)
        assert reply.status == 200
    changed = await zones.call(
        0, 'PUT', '/admin/config', zones.config_document(1)
    )
    assert changed.status == 200
    await _wait_for(zones, 2, 0, 1)
    assert [await zones.revision(index) for index in (2, 3)] == [1, 1]
    refused = await zones.call(
        2, 'PUT', '/admin/config', zones.config_document(1)
    )
    assert (refused.status, refused.headers['x-run']) == (503, 'not run')

    async def reports_the_partition() -> bool:
        status = (await zones.call(2, 'GET', '/admin/status')).json()
        return not status['store_reachable'] and not any(
            member['alive'] and member['zone'] == 'a1'
            for member in status['members']
        )

    await until(reports_the_partition)
    await zones.isolate_zones()
    await _wait_for(zones, 2, 2, 3)


async def test_resend_on_both_sides_of_a_partition_runs_once(
    zones: InProcessFleet,
) -> None:
    await zones.isolate_zones('a2')
    replies = [await _request_quote(zones, index) for index in (2, 0, 3)]
    assert [reply.status for reply in replies] == [503, 200, 503]
    assert replies[0].headers['x-run'] == 'not run'
    await zones.isolate_zones()
    again = await _request_quote(zones, 2)
    assert again.body == replies[1].body


async def test_cut_zone_with_chunks_gives_no_duplicates(
    zones: InProcessFleet,
) -> None:
    """A zone that works on chunks loses its peers and the platform."""
    lines = job_lines(64, 60)
    accepted = await zones.call(2, 'POST', '/v1/batches', lines)
    job = accepted.json()['id']

    async def running() -> bool:
        status = (await zones.call(2, 'GET', '/admin/status')).json()
        return any(upstream['batch'] for upstream in status['upstreams'])

    await until(running)
    await zones.isolate_zones('a2')

    async def ended() -> bool:
        status = (await zones.call(0, 'GET', f'/v1/batches/{job}')).json()
        return status['status'] == 'completed'

    await until(ended, 40)
    await zones.isolate_zones()
    reply = await zones.call(3, 'GET', f'/v1/batches/{job}/results')
    assert len(reply.body.splitlines()) == 64
    assert len({line.split(b'"')[3] for line in reply.body.splitlines()}) == 64
