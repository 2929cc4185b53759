"""Calls of the object API over slow links."""

import asyncio

import msgspec
import pytest

from gentiantrestle.models import Address
from gentiantrestle.store import client as client_module
from gentiantrestle.store.client import (
    ABSENT,
    StoreClient,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tests.interfaces.test_store import build_context
from tests.utils.paced_server import Pace, paced_server

RATE = 1000000  # bytes per second
TEXT = 'x' * 2000000
TIMEOUT = 0.5  # seconds; that of ``build_context``
LATE = 1.0  # seconds that a busy machine may take longer
LISTED = {'name': 'conf/one', 'version': 3, 'body': {'text': TEXT}}
LIST = msgspec.json.encode({'revision': 7, 'objects': [LISTED]})


def _client(address: Address) -> StoreClient:
    return StoreClient(build_context(address.port))


async def test_list_that_takes_longer_than_a_call_is_read_whole() -> None:
    async with paced_server(Pace(LIST, rate=RATE)) as (server, address):
        client = _client(address)
        listed = await client.list_documents('conf/')
        assert listed['objects'][0]['body'] == {'text': TEXT}
        assert server.begun == 1
        client.close()


async def test_watch_that_is_answered_at_its_end_is_read_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_module, 'WATCH_WAIT', 1.0)
    pace = Pace(LIST, rate=RATE, delay=1.0)
    async with paced_server(pace) as (server, address):
        client = _client(address)
        assert (await client.watch(1, 'conf/'))['revision'] == 7
        assert server.begun == 1
        client.close()


async def test_answer_that_stops_midway_is_given_up_after_its_last_byte() -> (
    None
):
    pace = Pace(LIST, rate=RATE, stops_at=RATE)
    async with paced_server(pace) as (server, address):
        client = _client(address)
        with pytest.raises(StoreUnavailableError):
            await client.list_documents('conf/')
        silent = asyncio.get_running_loop().time() - server.stopped_at
        assert TIMEOUT - 0.1 <= silent < TIMEOUT + LATE
        client.close()


async def test_write_that_takes_longer_than_a_call_is_sent_once() -> None:
    async with paced_server(Pace(read_rate=RATE)) as (server, address):
        client = _client(address)
        written = await client.put('conf/one', {'text': TEXT}, ABSENT)
        assert written.version == 1
        assert server.begun == 1
        client.close()


async def test_deletion_without_an_answer_has_an_unknown_outcome() -> None:
    async with paced_server(Pace(delay=60)) as (_, address):
        client = _client(address)
        began = asyncio.get_running_loop().time()
        with pytest.raises(StoreOutcomeUnknownError):
            await client.delete('conf/one')
        took = asyncio.get_running_loop().time() - began
        assert TIMEOUT - 0.1 <= took < TIMEOUT + LATE
        client.close()
