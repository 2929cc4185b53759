"""Upstreams that send a byte now and then, and no whole event."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import suppress
from pathlib import Path

import pytest

from tests.gateway.fleet import GatewayFleet
from tests.gateway.reports import read_head
from tests.gateway.wire_samples import (
    expected_output,
    expected_stream,
    job_doc,
)
from tests.utils.http import until

HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: stamp\r\n\r\n'
EVENTS = 3
TRICKLE_PAUSE = 0.2  # seconds
CALLER_PATIENCE = 2.0  # seconds without an event after which callers leave
ITEM_TIME = 10.0  # seconds


class TricklingUpstream:
    """Sends one event and then single bytes; to later requests the rest."""

    def __init__(self) -> None:
        """Answer nothing yet."""
        self._requests = 0

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        # Connections that only probe whether it is there send no request.
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await read_head(reader, writer)
            self._requests += 1
            first = expected_stream('r1', 1)
            if self._requests > 1:
                writer.write(HEAD + expected_stream('r1', EVENTS)[len(first) :])
            else:
                await self._trickle(HEAD + first + b'id: 2', writer)
        writer.close()

    async def _trickle(
        self, start: bytes, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(start)
        while not writer.is_closing():
            writer.write(b' ')
            await writer.drain()
            await asyncio.sleep(TRICKLE_PAUSE)


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Start a fleet of one entry before an upstream that trickles once."""
    started = GatewayFleet(tmp_path, 1, 1)
    address = started.upstreams[0]
    try:
        await started.start()
        await started.standins[address].end()
        async with await asyncio.start_server(
            TricklingUpstream().answer, *address
        ):
            yield started
            # Otherwise the server waits for the connection that trickles.
            await started.stop()
    finally:
        await started.stop()


async def test_stream_that_trickles_without_an_event_is_resumed(
    fleet: GatewayFleet,
) -> None:
    async with asyncio.timeout(CALLER_PATIENCE):
        reply = await fleet.request(0, 'r1', body={})
    assert reply.body == expected_stream('r1', EVENTS)


async def test_item_whose_stream_trickles_without_an_event_is_run_again(
    fleet: GatewayFleet,
) -> None:
    job = job_doc('j', 1, EVENTS, id='r1')
    await fleet.request(0, 'j', '/lists/1', job)

    async def outputs() -> list[str]:
        reply = await fleet.request(
            0, 'x', '/gentiantrestle/lots/j?after=0', method='GET'
        )
        return [item['output'] for item in reply.json()['results']]

    assert await until(outputs, ITEM_TIME) == [expected_output('r1', EVENTS)]
