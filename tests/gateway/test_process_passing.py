"""Entries without a path to upstreams, which pass requests on to others."""

import asyncio
import re
import signal
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from tests.gateway.fleet import (
    ENTRIES,
    UPSTREAMS,
    GatewayFleet,
    has_applied_config,
)
from tests.gateway.passing_launcher import CUT, UNNOTICED
from tests.gateway.wire_samples import ROUTE_HOST, expected_stream, route_doc
from tests.utils.http import Reply, send, until

PASSED_ON = 5109  # event numbers
SERVED_FOR_PEER = 5110
REFUSED_TO_PEER = 5111
LEAVING_KNOWN = 3003
PASSED_PATH = '/gentiantrestle/passed'
EVENTS = 20
PAUSE = 0.1  # seconds between events
SILENCE = 1.0  # seconds
BEGUN_TIME = 0.3  # seconds in which a stream has sent some events
STOP_TIME = 0.5  # seconds in which a caller's leaving reaches the upstream
SETTLING_TIME = 1.5  # seconds until no entry is starting any more
OLD, NEW = 'v1', 'v2'
VERSION = re.compile(rb'@(\w+)\n')
STREAM = {'events': EVENTS, 'pause': PAUSE}


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Start a fleet whose entry 0 has no path to the upstreams."""
    started = GatewayFleet(tmp_path, ENTRIES, UPSTREAMS)
    started.launcher = 'tests.gateway.passing_launcher'
    try:
        await started.start()
        await asyncio.sleep(SETTLING_TIME)
        cut(started, 0)
        yield started
    finally:
        await started.stop()


def cut(fleet: GatewayFleet, entry: int, *words: str) -> None:
    """Take the path to all upstreams from an entry."""
    ports = [str(address.port) for address in fleet.upstreams]
    path = fleet.folder / f'entry{entry}{CUT}'
    path.write_text('\n'.join((*ports, *words)))


def lines(fleet: GatewayFleet, entry: int, code: int) -> list[dict[str, Any]]:
    """Return the lines that an entry has logged for an event."""
    return [
        line
        for line in fleet.entries[entry].log_lines()
        if line['code'] == code
    ]


async def find_peer(fleet: GatewayFleet) -> int:
    """Wait until a request is passed on; return the entry that gets it."""
    logged = await until(lambda: lines(fleet, 0, PASSED_ON))
    return int(logged[-1]['instance'].removeprefix('entry-'))


async def count_runs(fleet: GatewayFleet) -> int:
    """Count the runs that upstreams have begun."""
    return len(await fleet.runs())


async def begin(
    fleet: GatewayFleet, path: str = '/chat/1', body: Any = None
) -> tuple[asyncio.Task[Reply], int]:
    """Begin a request at entry 0; return it and the peer that runs it."""
    asking = asyncio.create_task(fleet.request(0, 'r1', path, body))
    peer = await find_peer(fleet)
    await until(lambda: count_runs(fleet))
    return asking, peer


@pytest.mark.parametrize(
    ('path', 'body', 'expected'),
    [
        ('/chat/1', {'events': 3}, expected_stream('r1', 3)),
        ('/once/1', {'events': 3}, expected_stream('r1', 3)),
        ('/get/1', {}, b'plain'),
        ('/pay/1', {}, b'plain'),
    ],
)
async def test_caller_of_a_cut_off_instance_is_served_through_a_peer(
    fleet: GatewayFleet, path: str, body: dict[str, int], expected: bytes
) -> None:
    reply = await fleet.request(0, 'r1', path, body)
    assert (reply.status, reply.body) == (200, expected)
    assert [run['id'] for run in await fleet.runs()] == ['r1']
    assert reply.headers['x-server-stamp'] == 'stamp'
    assert all('gentiantrestle' not in name for name in reply.headers)
    peer = await find_peer(fleet)
    served = await until(lambda: lines(fleet, peer, SERVED_FOR_PEER))
    assert served[0]['instance'] == 'entry-0'
    assert served[0]['outcome'] == 'done'


async def test_peer_that_is_cut_off_refuses_and_passes_nothing_on(
    fleet: GatewayFleet,
) -> None:
    for entry in range(1, ENTRIES):
        cut(fleet, entry)
    reply = await fleet.request(0, 'r1', '/pay/1', {})
    assert reply.status == 503
    assert float(reply.headers['retry-after']) > 0
    assert not await fleet.runs()
    for entry in range(1, ENTRIES):
        assert len(lines(fleet, entry, REFUSED_TO_PEER)) == 1
        assert not lines(fleet, entry, PASSED_ON)


async def test_peer_that_meets_no_upstream_is_replaced_by_another(
    fleet: GatewayFleet,
) -> None:
    cut(fleet, 1, UNNOTICED)
    for number in range(8):
        reply = await fleet.request(0, f'r{number}', '/pay/1', {})
        assert reply.status == 200
    assert len(await fleet.runs()) == 8


async def test_callers_port_does_not_serve_passed_requests(
    fleet: GatewayFleet,
) -> None:
    reply = await fleet.request(1, 'r1', PASSED_PATH, {})
    assert reply.status == 404
    assert not lines(fleet, 1, REFUSED_TO_PEER)


async def test_unreadable_message_of_a_peer_is_refused_as_not_run(
    fleet: GatewayFleet,
) -> None:
    address = fleet.front_address(1)._replace(port=fleet.passing)
    reply = await send(address, 'POST', PASSED_PATH, b'\x00nonsense')
    assert reply.status == 400
    assert '"not run"' in reply.headers['gentiantrestle-refusal']
    assert len(lines(fleet, 1, REFUSED_TO_PEER)) == 1


async def test_last_event_is_passed_on(fleet: GatewayFleet) -> None:
    headers = {'Last-Event-Id': '3'}
    reply = await fleet.request(0, 'r1', body={'events': 5}, **headers)
    whole = expected_stream('r1', 5)
    assert reply.body == whole.removeprefix(expected_stream('r1', 3))
    assert [run['last'] for run in await fleet.runs()] == [3]


async def test_upstream_stops_when_the_caller_leaves(
    fleet: GatewayFleet,
) -> None:
    reader, writer = await asyncio.open_connection(*fleet.front_address(0))
    body = b'{"events":100,"pause":0.05}'
    head = (
        f'POST /chat/1 HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nX-Attempt-Id: r1\r\n'
        f'X-Deadline-Ms: 5000\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    writer.write(head.encode() + body)
    await reader.readuntil(b'id: 2')
    assert (await fleet.runs())[0]['active']
    writer.transport.abort()
    await asyncio.sleep(STOP_TIME)
    runs = await fleet.runs()
    assert [(run['active'], run['done']) for run in runs] == [(False, False)]


async def test_refusal_through_a_peer_is_told_at_once_and_true(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, shed=True)
    reply = await fleet.request(0, 'r1', '/pay/1', {})
    assert reply.status in {429, 503}
    assert float(reply.headers['retry-after']) > 0
    assert not await fleet.runs()
    assert len(lines(fleet, 0, PASSED_ON)) == 1


@pytest.mark.parametrize('path', ['/pay/1', '/once/1'])
async def test_request_is_not_run_twice_if_the_peer_ends(
    fleet: GatewayFleet, path: str
) -> None:
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, silent=SILENCE)
    asking, peer = await begin(fleet, path, {})
    await fleet.entries[peer].end()
    reply = await asking
    assert reply.status == 502
    await asyncio.sleep(SILENCE)
    assert len(await fleet.runs()) == 1


async def test_safe_request_goes_on_if_the_peer_ends(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, silent=SILENCE)
    asking, peer = await begin(fleet, '/get/1', {})
    await fleet.entries[peer].end()
    reply = await asking
    assert (reply.status, reply.body) == (200, b'plain')
    assert len(await fleet.runs()) == 2


async def test_failure_of_an_upstream_is_passed_on(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, fail=True)
    reply = await fleet.request(0, 'r1', '/pay/1', {})
    assert (reply.status, reply.body) == (500, b'{}')
    assert len(await fleet.runs()) == 1
    assert all('gentiantrestle' not in name for name in reply.headers)


async def test_attempts_through_peers_count_as_those_of_the_route(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, fail=True)
    reply = await fleet.request(0, 'r1', '/get/1', {})
    assert reply.status == 500
    assert len(await fleet.runs()) == 2  # max-attempts of the route


async def test_upstream_that_leaves_is_noted_behind_a_peer(
    fleet: GatewayFleet,
) -> None:
    await fleet.set_faults(0, leaving=True)
    await fleet.set_faults(1, leaving=True)
    reply = await fleet.request(0, 'r1', '/get/1', {})
    assert reply.headers['server-leaving'] == '1'
    assert lines(fleet, 0, LEAVING_KNOWN)


async def test_stream_goes_on_if_the_peer_is_killed_midway(
    fleet: GatewayFleet,
) -> None:
    asking, peer = await begin(fleet, body=STREAM)
    await asyncio.sleep(EVENTS * PAUSE / 2)
    await fleet.entries[peer].end()
    reply = await asking
    assert reply.body == expected_stream('r1', EVENTS)
    assert sorted(run['last'] > 0 for run in await fleet.runs()) == [0, 1]


async def test_planned_stop_of_the_peer_cuts_nothing(
    fleet: GatewayFleet,
) -> None:
    asking, peer = await begin(fleet, body=STREAM)
    ending = asyncio.create_task(fleet.entries[peer].end(signal.SIGTERM))
    reply = await asking
    assert reply.body == expected_stream('r1', EVENTS)
    assert len(await fleet.runs()) == 1
    replies = [
        await fleet.request(0, f's{number}', '/pay/1', {})
        for number in range(8)
    ]
    assert {later.status for later in replies} == {200}
    assert await ending == 0


async def test_silent_stream_goes_on_through_a_peer(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, silent=10, silent_after=3)
    cut_off = fleet.folder / f'entry0{CUT}'
    cut_off.unlink()
    asking = asyncio.create_task(fleet.request(0, 'r1', body={'events': 6}))
    await until(lambda: count_runs(fleet))
    await asyncio.sleep(BEGUN_TIME)
    cut(fleet, 0)
    for number in range(UPSTREAMS):
        await fleet.set_faults(number)
    reply = await asking
    assert reply.body == expected_stream('r1', 6)
    assert lines(fleet, 0, PASSED_ON)


async def test_stream_that_flows_stays_where_it_is(
    fleet: GatewayFleet,
) -> None:
    cut_off = fleet.folder / f'entry0{CUT}'
    cut_off.unlink()
    asking = asyncio.create_task(fleet.request(0, 'r1', body=STREAM))
    await until(lambda: count_runs(fleet))
    cut(fleet, 0)
    reply = await asking
    assert reply.body == expected_stream('r1', EVENTS)
    assert len(await fleet.runs()) == 1
    assert not lines(fleet, 0, PASSED_ON)


async def test_request_meets_another_peer_if_the_first_was_killed(
    fleet: GatewayFleet,
) -> None:
    await fleet.entries[1].end()
    replies = [
        await fleet.request(0, f'r{number}', '/pay/1', {})
        for number in range(8)
    ]
    assert {reply.status for reply in replies} == {200}
    assert len(await fleet.runs()) == 8


@pytest.mark.parametrize('max_attempts', [2, 4])
async def test_stream_goes_on_if_the_peer_stands_still(
    fleet: GatewayFleet, max_attempts: int
) -> None:
    await fleet.configure([route_doc(max_attempts=max_attempts)])
    await until(lambda: has_applied_config(fleet, 0, fleet.version))
    asking, peer = await begin(fleet, body=STREAM)
    await asyncio.sleep(BEGUN_TIME)
    fleet.entries[peer].process.send_signal(signal.SIGSTOP)
    reply = await asking
    assert reply.body == expected_stream('r1', EVENTS)


@pytest.fixture
async def mixed(tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Start a fleet before upstreams of two versions; entry 0 is cut off."""
    started = GatewayFleet(tmp_path, ENTRIES, 2 * UPSTREAMS)
    started.launcher = 'tests.gateway.passing_launcher'
    started.versions = {0: OLD, 1: OLD, 2: NEW, 3: NEW}
    try:
        await started.start()
        await asyncio.sleep(SETTLING_TIME)
        cut(started, 0)
        yield started
    finally:
        await started.stop()


async def test_stream_keeps_its_version_if_the_peer_is_killed(
    mixed: GatewayFleet,
) -> None:
    asking = [
        asyncio.create_task(mixed.request(0, f'r{number}', body=STREAM))
        for number in range(8)
    ]
    peer = await find_peer(mixed)
    await asyncio.sleep(EVENTS * PAUSE / 2)
    await mixed.entries[peer].end()
    replies = await asyncio.gather(*asking)
    for reply in replies:
        versions = set(VERSION.findall(reply.body))
        assert len(versions) == 1
        assert reply.body.count(b'id: ') == EVENTS


async def test_stream_begun_through_a_peer_is_taken_up_at_its_version(
    mixed: GatewayFleet,
) -> None:
    first = [
        await mixed.request(0, f'r{number}', body={'events': 3})
        for number in range(6)
    ]
    await asyncio.sleep(BEGUN_TIME)
    for number, begun in enumerate(first):
        headers = {'Last-Event-Id': '3', 'Resumes': f'r{number}'}
        goes_on = await mixed.request(
            number % ENTRIES, f's{number}', body={'events': 6}, **headers
        )
        assert goes_on.status == 200
        assert VERSION.findall(goes_on.body) == VERSION.findall(begun.body)
