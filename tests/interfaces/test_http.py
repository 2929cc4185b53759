"""Contract of the HTTP server and client: limits, keep-alive, cuts."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import suppress

import pytest

from gentiantrestle.http.client import (
    ClientRequest,
    ConnectionLostError,
    NotSentError,
)
from gentiantrestle.http.connection import ServerLimits
from gentiantrestle.http.messages import Request, Response
from gentiantrestle.http.pool import ConnectionPool
from gentiantrestle.http.server import Server
from gentiantrestle.models import Address
from tests.utils.http import send_raw, until
from tests.utils.ports import HOST, free_ports

PART = b'x' * 65536
MEBIBYTE = 1048576
MAX_BUFFERED = 64 * MEBIBYTE
READ_TIME = 5.0  # seconds
LIMITS = ServerLimits(
    header_timeout=0.2,
    idle_timeout=0.3,
    stall_timeout=0.2,
    max_connections=3,
)


class EndlessBody:
    """A body without end that counts the bytes read from it."""

    def __init__(self) -> None:
        self.bytes_read = 0
        self.closed = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while True:
            self.bytes_read += len(PART)
            yield PART
            await asyncio.sleep(0)

    async def aclose(self) -> None:
        self.closed = True


class App:
    """Server under test with a handler for each path."""

    def __init__(self) -> None:
        self.endless = EndlessBody()
        self.server = Server(self.handle, LIMITS)
        self.address = Address(HOST, free_ports(1)[0])

    async def handle(self, req: Request) -> Response:
        """Respond according to the path."""
        if req.path == '/endless':
            return Response(body=self.endless)
        if req.path == '/cut':
            return Response(body=self._cut())
        if req.path.startswith('/status/'):
            return Response(int(req.path.rpartition('/')[2]), b'{}')
        if req.path == '/odd':
            return Response(headers=(('Odd', 'a\nb'),))
        if req.path == '/body':
            return Response(body=await req.read(100))
        return Response(body=b'{}')

    async def _cut(self) -> AsyncIterator[bytes]:
        yield b'one'
        raise ConnectionResetError('cut')


@pytest.fixture
async def app() -> AsyncIterator[App]:
    """Start the server, and stop it after the test."""
    running = App()
    await running.server.start(*running.address)
    yield running
    await running.server.stop(0)


async def test_stalled_reader_is_cut_with_bounded_buffering(app: App) -> None:
    _reader, writer = await asyncio.open_connection(*app.address)
    writer.write(b'GET /endless HTTP/1.1\r\nHost: x\r\n\r\n')
    await until(lambda: app.endless.closed)
    assert app.endless.bytes_read < MAX_BUFFERED
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
async def test_slow_or_unusual_request_gets_expected_response(
    app: App,
    sent: bytes,
    answer: bytes,
) -> None:
    assert answer in await send_raw(app.address, sent)


@pytest.mark.parametrize('path', ['/', '/status/404', '/endless'])
async def test_head_is_answered_without_a_body_and_its_connection_kept(
    app: App, path: str
) -> None:
    raw = f'HEAD {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()
    answers = await send_raw(app.address, raw * 2)
    assert answers.count(b'HTTP/1.1') == 2
    assert answers.endswith(b'\r\n\r\n')
    assert app.endless.closed == (path == '/endless')


@pytest.mark.parametrize('status', [204, 299, 304, 520])
async def test_answer_of_any_status_is_sent(app: App, status: int) -> None:
    raw = f'GET /status/{status} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()
    answers = await send_raw(app.address, raw * 2)
    assert answers.count(f'HTTP/1.1 {status}'.encode()) == 2
    assert (b'{}' in answers) == (status not in {204, 304})


@pytest.mark.parametrize('path', ['/odd', '/status/199', '/status/1000'])
async def test_answer_with_an_invalid_head_becomes_an_internal_error(
    app: App, path: str
) -> None:
    raw = f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()
    assert (await send_raw(app.address, raw)).startswith(b'HTTP/1.1 500')


async def test_connection_is_reused(app: App) -> None:
    pool = ConnectionPool(app.address, 1, 1)
    conn_ids = set()
    for _ in range(3):
        response, body = await pool.fetch(ClientRequest('GET', '/'))
        conn_ids.add(id(response.conn))
        assert body == b'{}'
    assert len(conn_ids) == 1
    pool.close()


async def test_connection_closed_by_server_is_not_reused(app: App) -> None:
    pool = ConnectionPool(app.address, 1, 1)
    await pool.fetch(ClientRequest('GET', '/'))
    await asyncio.sleep(0.5)
    assert (await pool.fetch(ClientRequest('GET', '/')))[1] == b'{}'
    pool.close()


async def test_cut_body_raises_connection_lost(app: App) -> None:
    pool = ConnectionPool(app.address, 1, 1)
    with pytest.raises(ConnectionLostError):
        await pool.fetch(ClientRequest('GET', '/cut'))
    assert (await pool.fetch(ClientRequest('GET', '/')))[1] == b'{}'
    pool.close()


async def test_cut_body_looks_cut_to_a_caller_without_chunks(app: App) -> None:
    with pytest.raises(ConnectionResetError):
        await send_raw(app.address, b'GET /cut HTTP/1.0\r\nHost: x\r\n\r\n')


async def test_caller_without_chunks_may_leave_before_the_body(
    app: App,
) -> None:
    _, writer = await asyncio.open_connection(*app.address)
    writer.write(b'GET /endless HTTP/1.0\r\nHost: x\r\n\r\n')
    await until(lambda: app.endless.bytes_read)
    writer.transport.abort()
    await until(lambda: app.endless.closed)


@pytest.mark.parametrize('ended', [True, False])
async def test_body_without_length_is_lost_if_its_server_ended_with_it(
    ended: bool,
) -> None:
    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The connection that probes whether the server runs has no request.
        with suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\n\r\npart')
            if ended:
                server.close()
        writer.close()

    address = Address(HOST, free_ports(1)[0])
    server = await asyncio.start_server(answer, *address)
    async with server:
        pool = ConnectionPool(address, 1, 1)
        if ended:
            with pytest.raises(ConnectionLostError):
                await pool.fetch(ClientRequest('GET', '/'))
        else:
            fetched = await pool.fetch(ClientRequest('GET', '/'))
            assert fetched[1] == b'part'
        pool.close()


async def test_body_without_end_is_lost_before_it_fills_memory(
    app: App,
) -> None:
    pool = ConnectionPool(app.address, 1, 1)
    with pytest.raises(ConnectionLostError):
        async with asyncio.timeout(READ_TIME):
            await pool.fetch(ClientRequest('GET', '/endless'))
    await until(lambda: app.endless.closed)


async def test_connecting_to_closed_port_raises_not_sent() -> None:
    pool = ConnectionPool(Address(HOST, free_ports(1)[0]), 1, 1)
    with pytest.raises(NotSentError):
        await pool.fetch(ClientRequest('GET', '/'))


async def test_connection_above_limit_is_refused(app: App) -> None:
    opened = [await asyncio.open_connection(*app.address) for _ in range(3)]
    refused = await send_raw(app.address, b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    assert b'429' in refused
    for _, writer in opened:
        writer.close()
