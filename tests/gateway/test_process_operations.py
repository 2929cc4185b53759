"""Configuration, upstream states, planned stops, logs and metrics."""

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from gentiantrestle.http.client import ConnectionLostError
from gentiantrestle.models import Address
from tests.gateway.fleet import (
    ENTRIES,
    UPSTREAMS,
    GatewayFleet,
    has_applied_config,
)
from tests.gateway.wire_samples import expected_stream, route_doc, route_docs
from tests.utils.http import send, until

WATCHER_ROLE_CHANGED = 3010  # event number
SETTLING_TIME = 3.0  # seconds in which watchers would give way to others


async def test_config_is_applied_everywhere_and_survives_restart_without_store(
    fleet: GatewayFleet,
) -> None:
    await fleet.configure(
        [*route_docs(), route_doc(name='new', path_prefix='/new/')]
    )
    for number in range(ENTRIES):
        await until(lambda entry=number: serves(fleet, entry, '/new/'))
    await fleet.set_store_faults(down=True)
    await fleet.entries[0].end()
    await fleet.start_entry(0)
    await until(lambda: fleet.is_ready(0))
    assert await serves(fleet, 0, '/new/')


async def serves(fleet: GatewayFleet, entry: int, path: str) -> bool:
    """Tell whether an entry serves a path with status 200."""
    reply = await fleet.request(entry, f'r-{entry}', path, {'events': 1})
    return reply.status == 200


def has_logged_draining(fleet: GatewayFleet, entry: int) -> bool:
    """Tell whether an entry has logged one draining upstream."""
    return any(
        line.get('draining') == 1 for line in fleet.entries[entry].log_lines()
    )


async def test_draining_upstream_gets_no_requests(
    fleet: GatewayFleet,
) -> None:
    await fleet.register(0, 'draining')
    await until(lambda: has_logged_draining(fleet, 0))
    for number in range(6):
        await fleet.request(0, f'r{number}', '/get/1', method='GET')
    runs = (await send(fleet.upstreams[0], 'GET', '/runs')).json()
    assert runs == []


async def test_sigterm_lets_open_and_new_requests_complete(
    fleet: GatewayFleet,
) -> None:
    stream = asyncio.create_task(
        fleet.request(0, 'r1', body={'events': 60, 'pause': 0.05})
    )
    await until(fleet.runs)
    stopped = asyncio.create_task(fleet.entries[0].end(signal.SIGTERM))
    late_reply = await fleet.request(0, 'r2', body={'events': 3})
    assert late_reply.body == expected_stream('r2', 3)
    assert (await stream).body == expected_stream('r1', 60)
    assert await stopped == 0


async def test_config_is_applied_after_store_compaction(
    fleet: GatewayFleet,
) -> None:
    await fleet.set_store_faults(compact=True)
    await fleet.configure(
        [*route_docs(), route_doc(name='new', path_prefix='/new/')]
    )
    for number in range(ENTRIES):
        await until(lambda entry=number: serves(fleet, entry, '/new/'))


async def test_log_lines_of_cut_request_share_its_id(
    fleet: GatewayFleet,
) -> None:
    await fleet.set_faults(0, cut_after=2)
    await fleet.set_faults(1, cut_after=2)
    with pytest.raises(ConnectionLostError):
        await fleet.request(0, 'r1', '/once/1', {'events': 9})
    lines = await until(
        lambda: [
            line
            for line in fleet.entries[0].log_lines()
            if line.get('request') == 'r1' and fleet.end_lines(0, 'r1')
        ]
    )
    # Request placed, attempt ended, request ended.
    assert [line['code'] for line in lines] == [5101, 5103, 5104]
    assert lines[1]['step'] == 'cut'
    assert lines[1]['upstream'] in {'u-0', 'u-1'}
    assert lines[2]['version'] == 1


async def test_metrics_have_request_count_and_duration(
    fleet: GatewayFleet,
) -> None:
    await fleet.request(0, 'r1', '/get/1', method='GET')
    page = await send(Address(fleet.hosts[0], 9464), 'GET', '/metrics')
    text = page.body.decode()
    assert 'gateway_requests_total{' in text
    assert 'outcome="done"' in text
    assert 'gateway_request_seconds_bucket' in text
    assert 'gentiantrestle_gateway_store_connected' in text
    assert 'gentiantrestle_gateway_services_cut_off' in text


async def test_stopping_instance_is_not_ready_but_serves(
    fleet: GatewayFleet,
) -> None:
    assert await fleet.is_ready(0)
    stopped = asyncio.create_task(fleet.entries[0].end(signal.SIGTERM))
    await until(lambda: not_ready(fleet, 0))
    assert (await fleet.request(0, 'r1', '/get/1', method='GET')).status == 200
    assert await stopped == 0


async def not_ready(fleet: GatewayFleet, entry: int) -> bool:
    """Tell whether an entry reports that it is not ready."""
    return not await fleet.is_ready(entry)


def _watchers(fleet: GatewayFleet) -> list[int]:
    """Return the entries that watch the store, by their logs."""
    return [
        number
        for number in range(ENTRIES)
        if [
            line['held']
            for line in fleet.entries[number].log_lines()
            if line['code'] == WATCHER_ROLE_CHANGED
        ][-1:]
        == [True]
    ]


@pytest.fixture
async def zoned(tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Start a fleet of four zones, whose entries are all in the first one."""
    started = GatewayFleet(tmp_path, ENTRIES, UPSTREAMS)
    started.zones = ('a1', 'a2', 'b1', 'b2')
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


async def test_single_store_watcher_is_replaced_when_killed(
    zoned: GatewayFleet,
) -> None:
    fleet = zoned
    await until(lambda: len(_watchers(fleet)) == 1)
    await asyncio.sleep(SETTLING_TIME)
    assert len(_watchers(fleet)) == 1
    first = _watchers(fleet)[0]
    await fleet.entries[first].end()
    routes = [*route_docs(), route_doc(name='new', path_prefix='/new/')]
    await fleet.configure(routes)
    others = [entry for entry in range(ENTRIES) if entry != first]
    # A new configuration must be in force within 2.5 s.
    for number in others:
        await until(
            lambda entry=number: has_applied_config(fleet, entry, 2),
            timeout=2.5,
        )
    await until(
        lambda: (
            len([entry for entry in _watchers(fleet) if entry != first]) == 1
        )
    )


async def test_all_entries_of_a_small_fleet_watch_and_go_on_watching(
    fleet: GatewayFleet,
) -> None:
    await until(lambda: len(_watchers(fleet)) == ENTRIES)
    await asyncio.sleep(SETTLING_TIME)
    assert len(_watchers(fleet)) == ENTRIES
