"""Contract of the HTTP server and client: bounds, keep-alive, cuts."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from gentiantrestle.http.client import (
    ClientRequest,
    ConnectionLostError,
    ConnectionPool,
    NotSentError,
)
from gentiantrestle.http.connection import ServerLimits
from gentiantrestle.http.messages import Request, Response
from gentiantrestle.http.server import Server
from gentiantrestle.models import Address
from tests.utils.http import send_raw, until
from tests.utils.ports import HOST, free_ports

PART = b'x' * 65536
MEBIBYTE = 1048576
MOST_BUFFERED = 64 * MEBIBYTE
LIMITS = ServerLimits(
    header_timeout=0.2,
    idle_timeout=0.3,
    stall_timeout=0.2,
    max_connections=3,
)


class Endless:
    """A stream without end that counts what was taken from it."""

    def __init__(self) -> None:
        self.taken = 0
        self.closed = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while True:
            self.taken += len(PART)
            yield PART
            await asyncio.sleep(0)

    async def aclose(self) -> None:
        self.closed = True


class App:
    """Handlers of the tests, by path."""

    def __init__(self) -> None:
        self.endless = Endless()
        self.server = Server(self.handle, LIMITS)
        self.address = Address(HOST, free_ports(1)[0])

    async def handle(self, req: Request) -> Response:
        """Answer by path."""
        if req.path == '/endless':
            return Response(body=self.endless)
        if req.path == '/cut':
            return Response(body=self._cut())
        if req.path == '/body':
            return Response(body=await req.read(100))
        return Response(body=b'{}')

    async def _cut(self) -> AsyncIterator[bytes]:
        yield b'one'
        raise ConnectionResetError('cut')


@pytest.fixture
async def app() -> AsyncIterator[App]:
    """Serve the handlers."""
    served = App()
    await served.server.start(*served.address)
    yield served
    await served.server.stop(0)


async def test_a_reader_that_stalls_is_cut(app: App) -> None:
    _reader, writer = await asyncio.open_connection(*app.address)
    writer.write(b'GET /endless HTTP/1.1\r\nHost: x\r\n\r\n')
    await until(lambda: app.endless.closed)
    assert app.endless.taken < MOST_BUFFERED
    writer.close()


@pytest.mark.parametrize(
    ('sent', 'answer'),
    [
        (b'', b''),
        (b'GET / HT', b'408'),
        (
            b'POST /body HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nx',
            b'408',
        ),
        (b'GET / HTTP/1.1\r\n\r\n', b'400'),
        (
            b'POST /body HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n'
            b'Connection: close\r\n\r\n' + b'x' * 101,
            b'413',
        ),
        (
            (
                b'POST /body HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n'
            ),
            b'abc',
        ),
        (
            (
                b'POST /body HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
                b'Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx'
            ),
            b'100 ',
        ),
    ],
)
async def test_slow_and_odd_requests(
    app: App,
    sent: bytes,
    answer: bytes,
) -> None:
    assert answer in await send_raw(app.address, sent)


async def test_a_connection_is_used_again(app: App) -> None:
    pool = ConnectionPool(app.address, 1, 1)
    ports = set()
    for _ in range(3):
        answer, body = await pool.fetch(ClientRequest('GET', '/'))
        ports.add(id(answer.conn))
        assert body == b'{}'
    assert len(ports) == 1
    pool.close()


async def test_a_stale_connection_is_not_used(app: App) -> None:
    pool = ConnectionPool(app.address, 1, 1)
    await pool.fetch(ClientRequest('GET', '/'))
    await asyncio.sleep(0.5)
    assert (await pool.fetch(ClientRequest('GET', '/')))[1] == b'{}'
    pool.close()


async def test_a_cut_body_is_never_taken_as_whole(app: App) -> None:
    pool = ConnectionPool(app.address, 1, 1)
    with pytest.raises(ConnectionLostError):
        await pool.fetch(ClientRequest('GET', '/cut'))
    assert (await pool.fetch(ClientRequest('GET', '/')))[1] == b'{}'
    pool.close()


async def test_nobody_listening_means_not_sent() -> None:
    pool = ConnectionPool(Address(HOST, free_ports(1)[0]), 1, 1)
    with pytest.raises(NotSentError):
        await pool.fetch(ClientRequest('GET', '/'))


async def test_connections_are_bounded(app: App) -> None:
    kept = [await asyncio.open_connection(*app.address) for _ in range(3)]
    refused = await send_raw(app.address, b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    assert b'429' in refused
    for _, writer in kept:
        writer.close()
