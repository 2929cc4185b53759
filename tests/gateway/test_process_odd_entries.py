"""Entries of another writer among those of the upstreams."""

import asyncio

import pytest

from tests.gateway.fleet import ENTRIES, Child, GatewayFleet
from tests.gateway.odd_entries import ODD_ENTRIES
from tests.gateway.test_process_operations import has_logged_draining
from tests.utils.http import send, until

CHILD_FAILED = 1004  # event number
ENTRY_UNREADABLE = 3004  # event number
FOLLOWER_FAILED = 2011  # event number
REQUEST_PLACED = 5101  # event number
ODD = 'u-odd'
SETTLE_TIME = 1.0  # seconds


async def leave(fleet: GatewayFleet, name: str, raw: bytes) -> None:
    """Write an entry as another writer might."""
    await send(fleet.store, 'POST', f'/raw/servers/{name}', raw)


def logged(fleet: GatewayFleet, *codes: int) -> list[dict[str, object]]:
    """Return the lines of all entries with these event numbers."""
    return [
        line
        for child in fleet.entries
        for line in child.log_lines()
        if line['code'] in codes
    ]


async def assert_serving(fleet: GatewayFleet, name: str) -> None:
    """Assert that each entry serves requests, and that none has ended."""
    for entry in range(ENTRIES):
        for number in range(4):
            reply = await fleet.request(
                entry, f'{name}-{entry}-{number}', body={'events': 1}
            )
            assert reply.status == 200
        assert fleet.entries[entry].running
    assert not logged(fleet, CHILD_FAILED, FOLLOWER_FAILED)
    placed = {line['upstream'] for line in logged(fleet, REQUEST_PLACED)}
    assert ODD not in placed


def has_one_ready_upstream(child: Child) -> bool:
    """Tell whether an entry has logged that one upstream is ready."""
    return any(line.get('ready') == 1 for line in child.log_lines())


@pytest.mark.parametrize('kind', ODD_ENTRIES)
async def test_odd_entry_names_no_upstream_and_the_others_hold(
    fleet: GatewayFleet, kind: str
) -> None:
    await leave(fleet, ODD, ODD_ENTRIES[kind])
    await asyncio.sleep(SETTLE_TIME)
    await assert_serving(fleet, 'first')
    # A change after the odd one, and a list that contains it.
    await fleet.register(0, 'draining')
    for entry in range(ENTRIES):
        await until(lambda number=entry: has_logged_draining(fleet, number))
    await fleet.entries[0].end()
    await fleet.start_entry(0)
    await until(lambda: fleet.is_ready(0))
    await assert_serving(fleet, 'second')


async def test_upstream_whose_entry_becomes_odd_gets_no_requests(
    fleet: GatewayFleet,
) -> None:
    await leave(fleet, fleet.upstream_id(0), ODD_ENTRIES['nested'])
    for child in fleet.entries:
        await until(lambda one=child: has_one_ready_upstream(one))
    before = len(await fleet.runs())
    await assert_serving(fleet, 'only')
    runs = (await send(fleet.upstreams[0], 'GET', '/runs')).json()
    assert runs == []
    assert len(await fleet.runs()) == before + 4 * ENTRIES
    names = [line['name'] for line in logged(fleet, ENTRY_UNREADABLE)]
    assert names == [fleet.upstream_id(0)] * ENTRIES
