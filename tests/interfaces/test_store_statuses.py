"""Answers of both stores that confirm no write."""

import asyncio
from collections.abc import AsyncIterator
from unittest import mock

import pytest

from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.models import Address
from gentiantrestle.platform.object_client import ObjectClient
from gentiantrestle.store import client as store_client
from gentiantrestle.store.client import (
    ABSENT,
    StoreClient,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tests.interfaces.test_store import build_context
from tests.utils.ports import HOST

REFUSALS = (401, 403, 404, 410, 413, 429, 503)
UNSURE = (500, 502, 504)
STORED = StoredObject('name', 3, {})
# A document, a list and an object, so that only the status says no.
BODY = (
    b'{"id":"a","revision":1,"objects":[],"as-of":1,"items":[],"events":[],'
    b'"metadata":{"name":"name","revision":1}}'
)


class _Answering:
    """A store that answers each call with one status."""

    def __init__(self) -> None:
        self.status = 200

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        head = f'HTTP/1.1 {self.status} S\r\ncontent-length: {len(BODY)}'
        writer.write(f'{head}\r\nconnection: close\r\n\r\n'.encode() + BODY)
        await writer.drain()
        writer.close()


@pytest.fixture
async def answering() -> AsyncIterator[tuple[_Answering, int]]:
    """Start a store; return it and its port."""
    standin = _Answering()
    server = await asyncio.start_server(standin.answer, HOST, 0)
    with mock.patch.object(store_client, 'RETRY_DELAY', 0.001):
        yield standin, server.sockets[0].getsockname()[1]
    server.close()


@pytest.mark.parametrize('status', REFUSALS)
async def test_daemon_takes_no_refusal_of_its_store_for_a_write(
    answering: tuple[_Answering, int], status: int
) -> None:
    standin, port = answering
    client = StoreClient(build_context(port))
    standin.status = status
    with pytest.raises(StoreUnavailableError):
        await client.put('name', {}, ABSENT)
    if status != 404:
        with pytest.raises(StoreUnavailableError):
            await client.get('name')
        with pytest.raises(StoreUnavailableError):
            await client.list_documents('na')
        with pytest.raises(StoreUnavailableError):
            await client.delete('name')
    client.close()


@pytest.mark.parametrize('status', UNSURE)
async def test_daemon_is_unsure_of_a_write_after_an_error_of_its_store(
    answering: tuple[_Answering, int], status: int
) -> None:
    standin, port = answering
    client = StoreClient(build_context(port))
    standin.status = status
    with pytest.raises(StoreOutcomeUnknownError):
        await client.put('name', {}, ABSENT)
    with pytest.raises(StoreUnavailableError):
        await client.get('name')
    client.close()


@pytest.mark.parametrize('status', [*REFUSALS, 400, 422])
async def test_gateway_takes_no_refusal_of_its_store_for_a_write(
    answering: tuple[_Answering, int], status: int
) -> None:
    standin, port = answering
    client = ObjectClient(Address(HOST, port))
    standin.status = status
    with pytest.raises(StoreUnavailableError):
        await client.create('kind', 'name', {})
    # What is gone can't be replaced.
    if status in {404, 410}:
        assert not await client.put_status('kind', STORED, {})
        assert not await client.replace('kind', STORED, {})
    else:
        with pytest.raises(StoreUnavailableError):
            await client.put_status('kind', STORED, {})
        with pytest.raises(StoreUnavailableError):
            await client.replace('kind', STORED, {})
    client.close()


@pytest.mark.parametrize('status', UNSURE)
async def test_gateway_is_unsure_of_a_write_after_an_error_of_its_store(
    answering: tuple[_Answering, int], status: int
) -> None:
    standin, port = answering
    client = ObjectClient(Address(HOST, port))
    standin.status = status
    with pytest.raises(StoreOutcomeUnknownError):
        await client.create('kind', 'name', {})
    with pytest.raises(StoreOutcomeUnknownError):
        await client.put_status('kind', STORED, {})
    with pytest.raises(StoreUnavailableError):
        await client.get('kind', 'name')
    client.close()
