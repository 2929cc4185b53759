"""Configuration changes: concurrent, during faults, on every instance."""

import asyncio

from tests.utils.fleet import OPERATOR_KEY, Fleet
from tests.utils.http import until


def _document_with_limit(fleet: Fleet, revision: int, limit: int) -> dict:
    document = fleet.config_document(revision)
    document['endpoints']['chat']['max_prompt'] = limit
    return document


async def _read_limit(fleet: Fleet, index: int) -> int:
    reply = await fleet.call(index, 'GET', '/admin/config', key=OPERATOR_KEY)
    return reply.json()['endpoints']['chat']['max_prompt']


async def test_accepted_change_reaches_every_instance(start_fleet) -> None:
    fleet = await start_fleet('a1', 'a1', 'a2', 'b1')
    assert (
        await fleet.apply(_document_with_limit(fleet, 1, 77), 3)
    ).status == 200
    for index in range(4):
        await until(lambda index=index: fleet.has_revision(index, 2), 4)
        assert await _read_limit(fleet, index) == 77


async def test_one_of_concurrent_changes_is_accepted(start_fleet) -> None:
    fleet = await start_fleet()
    replies = await asyncio.gather(
        *(
            fleet.apply(_document_with_limit(fleet, 1, 100 + index), index)
            for index in range(3)
        )
    )
    statuses = sorted(reply.status for reply in replies)
    assert statuses == [200, 409, 409]
    winner = [reply.status for reply in replies].index(200)
    conflicts = [reply for reply in replies if reply.status == 409]
    assert all(
        'Revision 2' in reply.json()['error']['message'] for reply in conflicts
    )
    for index in range(3):
        await until(lambda index=index: fleet.has_revision(index, 2))
        assert await _read_limit(fleet, index) == 100 + winner


async def test_change_succeeds_despite_lost_store_answers(start_fleet) -> None:
    fleet = await start_fleet()
    await fleet.control_platform(lose=2)
    applied = await fleet.apply(_document_with_limit(fleet, 1, 55))
    assert applied.status == 200
    assert applied.json()['revision'] == 2
    assert await _read_limit(fleet, 0) == 55


async def test_restart_during_a_store_outage_keeps_revision(
    start_fleet,
) -> None:
    fleet = await start_fleet()
    await fleet.apply(_document_with_limit(fleet, 1, 88))
    for index in range(3):
        await until(lambda index=index: fleet.has_revision(index, 2))
    await fleet.control_platform(outage=True)
    await fleet.daemons[2].end()
    await fleet.start_daemon(2)
    await until(lambda: fleet.is_ready(2))
    assert await _read_limit(fleet, 2) == 88
    assert not (await fleet.status(2))['store_reachable']


async def test_change_during_an_outage_is_refused_as_not_run(
    start_fleet,
) -> None:
    fleet = await start_fleet()
    await fleet.control_platform(outage=True)
    refused = await fleet.apply(_document_with_limit(fleet, 1, 99))
    assert refused.status == 503
    assert refused.headers['x-run'] == 'not run'
    await fleet.control_platform(outage=False)
    assert (await fleet.apply(_document_with_limit(fleet, 1, 99))).status == 200


async def test_zone_cut_from_the_platform_follows_its_peers(
    start_fleet,
) -> None:
    fleet = await start_fleet('a1', 'a2', 'a2')
    await fleet.control_platform(cut_zones=['a2'])
    assert (
        await fleet.apply(_document_with_limit(fleet, 1, 66), 0)
    ).status == 200
    for index in (1, 2):
        await until(lambda index=index: fleet.has_revision(index, 2), 4)
        assert await _read_limit(fleet, index) == 66


async def test_history_returns_an_earlier_configuration(start_fleet) -> None:
    fleet = await start_fleet('a1')
    await fleet.apply(_document_with_limit(fleet, 1, 44))
    reply = await fleet.call(
        0,
        'GET',
        '/admin/history/1',
        key=OPERATOR_KEY,
    )
    assert reply.json()['endpoints']['chat']['max_prompt'] == 1000
    missing = await fleet.call(0, 'GET', '/admin/history/9', key=OPERATOR_KEY)
    assert missing.status == 404
