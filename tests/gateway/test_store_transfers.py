"""Calls of the platform's store over slow links."""

import asyncio
import time

import msgspec
import pytest

from gentiantrestle.gateway.retrying_store import RetryingStore
from gentiantrestle.http import progress
from gentiantrestle.platform.object_client import (
    CALL_TIMEOUT,
    POOL_SIZE,
    ObjectClient,
)
from gentiantrestle.store.client import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tests.utils.paced_server import Pace, PacedServer, paced_server

KIND = 'kind'
RATE = 500000  # bytes per second
TEXT = 'x' * 2000000
BODY = 'x' * 1000000
CREATED = '201 Created'
LATE = 1.0  # seconds that a busy machine may take longer
# Beyond the sizes of the kernel's buffers.
READ = 200000  # bytes


def _page(field: str) -> bytes:
    found = {'metadata': {'name': 'one', 'revision': 5}, 'spec': TEXT}
    entry = {'object': found} if field == 'events' else found
    return msgspec.json.encode({field: [entry], 'as-of': 7})


async def test_list_that_takes_longer_than_a_call_is_read_whole() -> None:
    pace = Pace(_page('items'), rate=RATE)
    async with paced_server(pace) as (server, address):
        client = ObjectClient(address)
        page = await client.list_page(KIND, '')
        assert page.entries[0].content == TEXT
        assert server.begun == 1
        client.close()


async def test_watch_that_is_answered_at_its_end_is_read_whole() -> None:
    wait = 0.5
    pace = Pace(_page('events'), rate=2 * RATE, delay=wait)
    async with paced_server(pace) as (server, address):
        client = ObjectClient(address)
        page = await client.watch(KIND, 1, wait)
        assert page.entries[0].content == TEXT
        assert server.begun == 1
        client.close()


async def _read_until_given_up(
    server: PacedServer, client: ObjectClient
) -> float:
    """Return the s from the last byte, or the call, to the failure."""
    now = asyncio.get_running_loop().time
    began = now()
    with pytest.raises(StoreUnavailableError):
        await client.list_page(KIND, '')
    return now() - max(began, server.stopped_at)


async def test_answer_that_stops_midway_is_given_up_after_its_last_byte() -> (
    None
):
    pace = Pace(_page('items'), rate=RATE, stops_at=RATE * 2)
    async with paced_server(pace) as (server, address):
        client = ObjectClient(address)
        silent = await _read_until_given_up(server, client)
        assert server.stopped_at
        assert CALL_TIMEOUT - 0.1 <= silent < CALL_TIMEOUT + LATE
        client.close()


async def test_head_that_never_comes_is_given_up_as_soon_as_before() -> None:
    async with paced_server(Pace(delay=60)) as (server, address):
        client = ObjectClient(address)
        silent = await _read_until_given_up(server, client)
        assert CALL_TIMEOUT - 0.1 <= silent < CALL_TIMEOUT + LATE
        client.close()


async def test_answer_that_trickles_ends_in_all(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(progress, 'MAX_TRANSFER', 1.5)
    pace = Pace(_page('items'), rate=RATE / 50)
    async with paced_server(pace) as (server, address):
        client = ObjectClient(address)
        took = await _read_until_given_up(server, client)
        assert 3.0 - 0.1 <= took < 3.0 + LATE
        client.close()


async def test_write_that_takes_longer_than_a_call_is_sent_once() -> None:
    pace = Pace(status=CREATED, read_rate=RATE)
    async with paced_server(pace) as (server, address):
        client = ObjectClient(address)
        assert await client.create(KIND, 'one', BODY)
        assert len(server.whole) == 1
        client.close()


async def test_retried_write_is_not_sent_again_while_bytes_leave() -> None:
    pace = Pace(status=CREATED, read_rate=RATE)
    async with paced_server(pace) as (server, address):
        client = ObjectClient(address)
        store = RetryingStore(client, time.monotonic)
        assert await store.create(KIND, 'one', BODY)
        assert server.begun == 1
        client.close()


async def test_write_that_is_not_read_on_has_an_unknown_outcome() -> None:
    pace = Pace(status=CREATED, read_rate=RATE, reads_up_to=READ)
    async with paced_server(pace) as (server, address):
        client = ObjectClient(address)
        with pytest.raises(StoreOutcomeUnknownError):
            await client.create(KIND, 'one', BODY)
        silent = asyncio.get_running_loop().time() - server.stopped_at
        assert CALL_TIMEOUT - 0.5 <= silent < CALL_TIMEOUT + LATE
        client.close()


async def test_write_that_is_given_up_is_sent_no_further() -> None:
    pace = Pace(status=CREATED, read_rate=RATE)
    async with paced_server(pace) as (server, address):
        client = ObjectClient(address)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):
                await client.create(KIND, 'one', BODY)
        await asyncio.sleep(3)
        assert not server.whole
        assert server.received < len(BODY) / 2
        assert not server.open
        client.close()


async def test_cancelled_reads_leave_the_pool_as_it_was() -> None:
    pace = Pace(_page('items'), rate=RATE)
    async with paced_server(pace) as (server, address):
        client = ObjectClient(address)
        for _ in range(3):
            reads = (client.list_page(KIND, '') for _ in range(16))
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await asyncio.gather(*reads)
        server.pace = Pace(b'{"items": [], "as-of": 7}')
        await asyncio.sleep(0.2)
        async with asyncio.timeout(CALL_TIMEOUT):
            assert (await client.list_page(KIND, '')).revision == 7
        client.close()


async def _call_beside_long_reads(client: ObjectClient, call: str) -> None:
    if call == 'watch':
        assert (await client.watch(KIND, 1, 1)).revision == 7
    else:
        assert await client.create(KIND, 'one', 'x')


@pytest.mark.parametrize('call', ['watch', 'create'])
async def test_reads_that_take_long_hold_up_no_other_call(call: str) -> None:
    pace = Pace(_page('items'), rate=RATE)
    async with paced_server(pace) as (server, address):
        client = ObjectClient(address)
        reads = [
            asyncio.create_task(client.list_page(KIND, ''))
            for _ in range(POOL_SIZE)
        ]
        await asyncio.sleep(0.5)
        server.pace = Pace(b'{"events": [], "as-of": 7}')
        await _call_beside_long_reads(client, call)
        assert not any(read.done() for read in reads)
        for read in reads:
            read.cancel()
        await asyncio.gather(*reads, return_exceptions=True)
        client.close()
