"""Servers that write an answer once more, on a kept connection or too early."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from itertools import count

import msgspec
import pytest

from gentiantrestle.http.client import (
    ClientRequest,
    ConnectionLostError,
    NotSentError,
)
from gentiantrestle.http.pool import ConnectionPool
from gentiantrestle.models import Address
from gentiantrestle.platform.object_client import ObjectClient
from gentiantrestle.store.client import ABSENT, StoreClient
from tests.interfaces.test_store import build_context
from tests.utils.ports import HOST, free_ports

ARRIVAL_TIME = 0.1  # seconds
LARGE = bytes(33554432)  # more than the buffers of a connection hold
READ = ClientRequest('GET', '/')


def answer(body: bytes, status: str = '200 OK') -> bytes:
    """Return an answer of a server."""
    return b'HTTP/1.1 %b\r\nContent-Length: %d\r\nX-Version: 1\r\n\r\n%b' % (
        status.encode(),
        len(body),
        body,
    )


REFUSAL = answer(b'{}', '503 Service Unavailable')
CONFLICT = answer(b'{}', '412 Precondition Failed')
Write = Callable[[int, int], bytes]


class FaultyServer:
    """Writes what ``before`` and ``reply`` return for a request.

    Both get the number of the connection and that of its request. ``before``
    is written when the request begins, ``reply`` when it was read.
    """

    def __init__(self) -> None:
        """Answer each request with its connection and number."""
        self.address = Address(HOST, free_ports(1)[0])
        self.before: Write = lambda connection, number: b''
        self.reply: Write = lambda connection, number: answer(
            msgspec.json.encode([connection, number])
        )
        self._connections = count(1)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        connection = next(self._connections)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            for number in count(1):
                early = self.before(connection, number)
                if number == 1 and early:
                    writer.write(early)
                head = await reader.readuntil(b'\r\n\r\n')
                if number > 1:
                    writer.write(early)
                length = head.lower().partition(b'content-length: ')[2]
                await reader.readexactly(int(length.split()[0]))
                writer.write(self.reply(connection, number))
        writer.close()


@pytest.fixture
async def server() -> AsyncIterator[FaultyServer]:
    """Start a server, and stop it after the test."""
    faulty = FaultyServer()
    listening = await asyncio.start_server(faulty.serve, *faulty.address)
    yield faulty
    listening.close()


async def fetch(pool: ConnectionPool, **how: bool) -> tuple[int, object]:
    """Return the status and the document of an answer."""
    response, body = await pool.fetch(READ, **how)
    return response.status, msgspec.json.decode(body)


@pytest.mark.parametrize('repeated', [REFUSAL, answer(b'"earlier"'), b'HTTP'])
async def test_bytes_on_an_idle_connection_are_no_answer(
    server: FaultyServer, repeated: bytes
) -> None:
    server.reply = lambda connection, number: (
        answer(b'%d' % connection) + repeated
    )
    pool = ConnectionPool(server.address, 1, 1)
    for expected in (1, 2, 3):
        assert await fetch(pool) == (200, expected)
        await asyncio.sleep(ARRIVAL_TIME)
    pool.close()


@pytest.mark.parametrize('pause', [0, ARRIVAL_TIME])
async def test_repeated_refusal_is_not_the_answer_to_the_next_request(
    server: FaultyServer, pause: float
) -> None:
    server.reply = lambda connection, number: (
        REFUSAL if connection == 1 and number == 1 else answer(b'"own"')
    )
    server.before = lambda connection, number: REFUSAL if number > 1 else b''
    pool = ConnectionPool(server.address, 1, 1)
    assert (await fetch(pool))[0] == 503
    await asyncio.sleep(pause)
    assert await fetch(pool) == (200, 'own')
    pool.close()


async def test_answer_before_a_later_request_was_sent_is_not_taken(
    server: FaultyServer,
) -> None:
    server.before = lambda connection, number: REFUSAL if number > 1 else b''
    pool = ConnectionPool(server.address, 1, 1)
    await pool.fetch(READ)
    with pytest.raises(ConnectionLostError):
        await pool.fetch(ClientRequest('POST', '/', (), LARGE))
    pool.close()


async def test_request_is_not_sent_where_an_answer_is_there_already(
    server: FaultyServer,
) -> None:
    server.before = lambda connection, number: REFUSAL
    pool = ConnectionPool(server.address, 1, 1)
    with pytest.raises((NotSentError, ConnectionLostError)):
        await fetch_late(pool)
    pool.close()


async def fetch_late(pool: ConnectionPool) -> None:
    """Send a request some time after connecting."""
    conn = await pool._connect(fresh=True)
    await asyncio.sleep(ARRIVAL_TIME)
    await conn.send(READ, 'x')


async def test_fresh_requests_have_connections_of_their_own(
    server: FaultyServer,
) -> None:
    pool = ConnectionPool(server.address, 1, 1)
    found = [await fetch(pool, fresh=bool(turn % 2)) for turn in range(5)]
    documents = [document for _, document in found]
    assert documents == [[1, 1], [2, 1], [1, 2], [3, 1], [1, 3]]
    pool.close()


async def test_repeated_refusal_is_not_the_outcome_of_a_write_to_objects(
    server: FaultyServer,
) -> None:
    server.before = lambda connection, number: REFUSAL if number > 1 else b''
    server.reply = lambda connection, number: answer(
        b'{"items":[],"has-more":false,"as-of":7}'
    )
    store = ObjectClient(server.address)
    await store.list_page('kind', '')
    assert await store.create('kind', 'name', {})
    store.close()


async def test_repeated_conflict_is_not_the_outcome_of_a_write(
    server: FaultyServer,
) -> None:
    server.before = lambda connection, number: CONFLICT if number > 1 else b''
    server.reply = lambda connection, number: answer(
        b'{"revision":1,"objects":[]}'
    )
    store = StoreClient(build_context(server.address.port))
    await store.list_names('x')
    assert await store.put('name', {}, ABSENT)
    store.close()
