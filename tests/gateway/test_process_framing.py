"""Answers that end with their connection, with real processes."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import suppress
from pathlib import Path

import pytest

from gentiantrestle.gateway.sse import MAX_EVENT
from gentiantrestle.gateway.upstream_connection import MAX_BODY
from gentiantrestle.http.client import ConnectionLostError
from tests.gateway.fleet import GatewayFleet
from tests.gateway.reports import read_head
from tests.gateway.wire_samples import (
    expected_output,
    expected_stream,
    job_doc,
)
from tests.utils.http import until

HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: stamp\r\n\r\n'

NO_LINGER = struct.pack('ii', 1, 0)  # closing resets the connection


class RawUpstream:
    """Sends prepared bytes to each request, one answer after the other."""

    def __init__(self, fleet: GatewayFleet) -> None:
        """Take the place of the fleet's only upstream."""
        self._fleet = fleet
        self.answers: list[bytes] = []
        self.requests: list[bytes] = []
        self.reset = False

    async def start(self) -> asyncio.Server:
        """Listen at the upstream's address."""
        address = self._fleet.upstreams[0]
        await self._fleet.standins[address].end()
        return await asyncio.start_server(
            self._answer, address.host, address.port
        )

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # Connections that only probe whether it is there send no request.
        with suppress(asyncio.IncompleteReadError):
            self.requests.append(await read_head(reader, writer))
            await self._send(HEAD + self.answers.pop(0), writer)
        writer.close()

    async def _send(self, answer: bytes, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            writer.write(answer)
            await writer.drain()
        if self.reset:
            await asyncio.sleep(0.05)
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )


@pytest.fixture
async def upstream(tmp_path: Path) -> AsyncIterator[RawUpstream]:
    """Start a fleet of one entry before an upstream that sends raw bytes."""
    fleet = GatewayFleet(tmp_path, 1, 1)
    raw = RawUpstream(fleet)
    try:
        await fleet.start()
        async with await raw.start():
            raw.fleet = fleet
            yield raw
    finally:
        await fleet.stop()


async def test_stream_that_ends_with_its_connection_is_served_whole(
    upstream: RawUpstream,
) -> None:
    upstream.answers = [expected_stream('r1', 3)]
    reply = await upstream.fleet.request(0, 'r1', body={})
    assert reply.body == expected_stream('r1', 3)


async def test_plain_answer_that_ends_with_its_connection_is_served_whole(
    upstream: RawUpstream,
) -> None:
    upstream.answers = [b'plain']
    reply = await upstream.fleet.request(0, 'r1', '/get/1', {})
    assert (reply.status, reply.body) == (200, b'plain')


async def test_plain_answer_that_is_reset_is_not_served(
    upstream: RawUpstream,
) -> None:
    upstream.answers = [b'pla']
    upstream.reset = True
    reply = await upstream.fleet.request(0, 'r1', '/pay/1', {})
    assert reply.status == 502


@pytest.mark.parametrize('cut', [1, 5, -1])
async def test_stream_that_ends_inside_an_event_is_resumed(
    upstream: RawUpstream, cut: int
) -> None:
    whole = expected_stream('r1', 3)
    first = expected_stream('r1', 2)
    end = len(first) + cut if cut > 0 else cut
    upstream.answers = [whole[:end], whole[len(first) :]]
    reply = await upstream.fleet.request(0, 'r1', body={})
    assert reply.body == whole
    assert b'last-event-id: 2' in upstream.requests[1]


async def test_stream_without_events_that_ends_with_its_connection_is_lost(
    upstream: RawUpstream,
) -> None:
    upstream.answers = [b'', expected_stream('r1', 2)]
    reply = await upstream.fleet.request(0, 'r1', body={})
    assert reply.body == expected_stream('r1', 2)


async def test_stream_that_ends_inside_an_event_is_cut_if_not_resumable(
    upstream: RawUpstream,
) -> None:
    upstream.answers = [expected_stream('r1', 2)[:-1]]
    with pytest.raises(ConnectionLostError):
        await upstream.fleet.request(0, 'r1', '/once/1', {})


async def test_event_without_end_is_lost_before_it_fills_memory(
    upstream: RawUpstream,
) -> None:
    whole = expected_stream('r1', 3)
    first = expected_stream('r1', 1)
    endless = first + b'data: ' + bytes(2 * MAX_EVENT)
    upstream.answers = [endless, whole[len(first) :]]
    reply = await upstream.fleet.request(0, 'r1', body={})
    assert reply.body == whole
    assert b'last-event-id: 1' in upstream.requests[1]
    lost = upstream.fleet.entries[0].log_lines()
    assert any('no end of an event' in str(line.get('reason')) for line in lost)


async def test_plain_answer_without_end_is_lost_before_it_fills_memory(
    upstream: RawUpstream,
) -> None:
    upstream.answers = [bytes(MAX_BODY + 1), b'plain']
    size = len((await upstream.fleet.request(0, 'r1', '/get/1', {})).body)
    assert size == len(b'plain')
    assert len(upstream.requests) == 2


async def test_item_with_all_its_events_is_completed_by_empty_answers(
    upstream: RawUpstream,
) -> None:
    upstream.answers = [expected_stream('r1', 2) + b'id', b'', b'']
    job = job_doc('j', 1, 2, id='r1')
    await upstream.fleet.request(0, 'j', '/lists/1', job)

    async def outputs() -> list[str]:
        reply = await upstream.fleet.request(
            0, 'x', '/gentiantrestle/lots/j?after=0', method='GET'
        )
        return [item['output'] for item in reply.json()['results']]

    assert await until(outputs) == [expected_output('r1', 2)]
    assert len(upstream.requests) == 3
