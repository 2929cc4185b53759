"""Sizes of objects in the platform's store, and refusals for their content."""

import asyncio
from collections.abc import AsyncIterator

import msgspec
import pytest

from gentiantrestle.gateway.streams.origins import StreamOrigin
from gentiantrestle.gateway.streams.records import (
    newest_origins,
    origins_from_content,
    origins_to_content,
)
from gentiantrestle.models import Address
from gentiantrestle.platform.object_client import ObjectClient
from gentiantrestle.store.client import (
    ObjectTooLargeError,
    StoreRejectedError,
    StoreUnavailableError,
)
from tests.utils.ports import HOST

MAX_SIZE = 20000  # bytes
STREAMS = 2000


class _Refusing:
    """A store that answers each call with one status."""

    def __init__(self) -> None:
        self.status = 413
        self.calls = 0

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        self.calls += 1
        writer.write(
            f'HTTP/1.1 {self.status} No\r\ncontent-length: 0\r\n\r\n'.encode()
        )
        await writer.drain()
        writer.close()


@pytest.fixture
async def refusing() -> AsyncIterator[tuple[_Refusing, ObjectClient]]:
    """Start a refusing store, with a client of it."""
    standin = _Refusing()
    server = await asyncio.start_server(standin.answer, HOST, 0)
    address = Address(HOST, server.sockets[0].getsockname()[1])
    client = ObjectClient(address, MAX_SIZE)
    yield standin, client
    client.close()
    server.close()


@pytest.mark.parametrize(
    ('status', 'expected'),
    [
        (413, ObjectTooLargeError),
        (422, StoreRejectedError),
        (503, StoreUnavailableError),
        (418, StoreUnavailableError),
    ],
)
async def test_refusals_for_the_content_differ_from_those_of_the_moment(
    refusing: tuple[_Refusing, ObjectClient],
    status: int,
    expected: type[Exception],
) -> None:
    standin, client = refusing
    standin.status = status
    with pytest.raises(StoreUnavailableError) as caught:
        await client.create('kind', 'name', {})
    assert caught.type is expected


async def test_object_that_is_too_large_is_not_sent(
    refusing: tuple[_Refusing, ObjectClient],
) -> None:
    standin, client = refusing
    with pytest.raises(ObjectTooLargeError):
        await client.create('kind', 'name', {'text': 'x' * MAX_SIZE})
    assert not standin.calls


async def test_newest_streams_are_saved_where_not_all_fit() -> None:
    client = ObjectClient(Address(HOST, 1), MAX_SIZE)
    origins = [
        StreamOrigin(f'attempt-{number}', 'engines', f'v{number % 3}')
        for number in range(STREAMS)
    ]
    saved = newest_origins(origins, client.max_content_size)
    content = origins_to_content(saved)
    assert len(msgspec.json.encode(content)) <= client.max_content_size
    found = set(origins_from_content(content))
    assert found == set(origins[-len(found) :])
    assert len(found) > MAX_SIZE / 200
