"""Responses of gateway processes to callers, with upstream faults."""

import asyncio
import socket
from pathlib import Path

import pytest

from gentiantrestle.gateway.upstream_connection import CONNECT_TIMEOUT
from gentiantrestle.http.client import ConnectionLostError
from tests.gateway.fleet import UPSTREAMS, GatewayFleet
from tests.gateway.raw_upstreams import RawUpstream, stream_from
from tests.gateway.wire_samples import expected_stream
from tests.utils.http import Reply, send_raw, until


async def test_stream_and_plain_requests_are_served_whole(
    fleet: GatewayFleet,
) -> None:
    stream = await fleet.request(0, 'r1', body={'events': 20})
    assert (stream.status, stream.body) == (200, expected_stream('r1', 20))
    assert stream.headers['x-server-stamp'] == 'stamp'
    plain = await fleet.request(1, 'r2', '/get/a?b=c', method='GET')
    assert (plain.status, plain.body) == (200, b'plain')
    unknown = await fleet.request(2, 'r3', '/none/')
    assert unknown.status == 404
    assert {run['id'] for run in await fleet.runs()} == {'r1', 'r2'}


async def test_cut_resumable_stream_is_resumed_without_gap(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, cut_after=7)
    reply = await fleet.request(0, 'r1', body={'events': 14})
    assert reply.body == expected_stream('r1', 14)
    runs = await fleet.runs()
    assert sorted(run['last'] for run in runs) == [0, 7]


async def test_non_resumable_stream_is_cut_and_not_rerun(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, cut_after=3)
    with pytest.raises(ConnectionLostError):
        await fleet.request(0, 'r1', '/once/1', {'events': 9})
    assert len(await fleet.runs()) == 1


async def test_response_with_foreign_request_id_gives_bad_gateway(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, answer_as='other')
    reply = await fleet.request(0, 'r1', '/pay/1', {})
    assert reply.status == 502
    assert len(await fleet.runs()) == 1


async def test_shed_request_is_refused_with_retry_after_and_not_run(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, shed=True)
    reply = await fleet.request(0, 'r1', '/pay/1', {})
    assert reply.status in {429, 503}
    assert float(reply.headers['retry-after']) > 0
    assert await fleet.runs() == []


async def test_request_waits_for_a_slot_that_is_just_becoming_free(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, shed=True)
    sending = asyncio.create_task(fleet.request(0, 'r1', body={'events': 3}))
    await asyncio.sleep(0.12)
    for number in range(UPSTREAMS):
        await fleet.set_faults(number)
    assert (await sending).status == 200


async def test_upstream_that_starts_again_is_not_suspended_any_more(
    fleet: GatewayFleet,
) -> None:
    await fleet.standins[fleet.upstreams[0]].end()
    for number in range(60):
        await fleet.request(0, f'a{number}', body={'events': 1})
        await asyncio.sleep(0.05)
    await fleet.start_upstream(0)
    await fleet.register(0)
    await until(lambda: _has_run(fleet, 0), 2)


async def _has_run(fleet: GatewayFleet, upstream: int) -> bool:
    await fleet.request(0, 'b', body={'events': 1})
    return bool(fleet.standins[fleet.upstreams[upstream]].log_lines())


async def test_caller_disconnect_during_stream_ends_the_run(
    fleet: GatewayFleet,
) -> None:
    _, writer = await asyncio.open_connection(*fleet.front_address(0))
    writer.write(
        b'POST /chat/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: r1\r\n'
        b'Content-Length: 28\r\n\r\n{"events":500,"pause": 0.05}'
    )
    await until(fleet.runs)
    writer.close()
    lines = [
        line
        for line in await until(lambda: fleet.end_lines(0, 'r1'))
        if line['outcome'] == 'left'
    ]
    assert len(lines) == 1
    assert not (await fleet.runs())[0]['done']


CONFLICTING_LENGTHS = b"""GET /get/1 HTTP/1.1\r
Host: shop.example\r
Content-Length: 3\r
Transfer-Encoding: chunked\r
\r
0\r
\r
GET /get/2 HTTP/1.1\r
"""


NEGATIVE_LENGTH = b"""GET /get/1 HTTP/1.1\r
Host: shop.example\r
Content-Length: -3\r
\r
"""


@pytest.mark.parametrize(
    'raw', [CONFLICTING_LENGTHS, NEGATIVE_LENGTH, b'no http at all\r\n\r\n']
)
async def test_malformed_request_gives_bad_request_and_is_closed(
    fleet: GatewayFleet, raw: bytes
) -> None:
    answer = await send_raw(fleet.front_address(0), raw)
    assert answer.startswith(b'HTTP/1.1 400')
    assert answer.count(b'HTTP/1.1') == 1
    assert await fleet.runs() == []


async def test_incomplete_header_times_out(fleet: GatewayFleet) -> None:
    answer = await send_raw(
        fleet.front_address(0), b'GET /get/1 HTTP/1.1\r\nHo'
    )
    assert answer.startswith(b'HTTP/1.1 408')


async def test_caller_disconnect_before_response_ends_the_request(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, silent=20)
    _, writer = await asyncio.open_connection(*fleet.front_address(0))
    writer.write(
        b'POST /once/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: r1\r\n'
        b'Content-Length: 2\r\n\r\n{}'
    )
    await until(fleet.runs)
    writer.close()
    # Well below the timeout of 5 s, which would end the request anyway.
    lines = await until(lambda: fleet.end_lines(0, 'r1'), timeout=2)
    assert [line['outcome'] for line in lines] == ['left']


async def test_request_is_sent_again_to_the_only_upstream_that_was_busy(
    tmp_path: Path,
) -> None:
    fleet = GatewayFleet(tmp_path, 1, 1)
    try:
        await fleet.start()
        asking = await _send_while_busy(fleet)
        await RawUpstream(fleet, 0).start()
        assert (await asking).body == stream_from('r1', 0)
    finally:
        await fleet.stop()


async def _send_while_busy(fleet: GatewayFleet) -> asyncio.Task[Reply]:
    """Send a request whose first connection to its upstream times out."""
    address = fleet.upstreams[0]
    await fleet.standins[address].end()
    # Further connections time out while this one is not accepted.
    with (
        socket.create_server(address, backlog=0),
        socket.create_connection(address),
    ):
        asking = asyncio.create_task(fleet.request(0, 'r1', body={}))
        await asyncio.sleep(CONNECT_TIMEOUT - 0.05)
    return asking
