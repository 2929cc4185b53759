"""Connections of callers that are closed beside requests that have arrived."""

import asyncio
import socket
import struct
import time
from collections.abc import AsyncIterator
from contextlib import suppress

import h11
import pytest

from gentiantrestle.errors import NOT_FOUND, Refusal, refuse
from gentiantrestle.gateway.exchange import Exchange
from gentiantrestle.gateway.http_server import HttpServer
from gentiantrestle.gateway.model import CallerLimits
from gentiantrestle.http.link import HeaderPairs, LinkLostError
from gentiantrestle.models import Address
from tests.utils.http import until
from tests.utils.ports import HOST, free_ports

IDLE_TIMEOUT = 0.3  # seconds
LONGER = 2.0  # seconds
LATE_TIME = 4.0  # seconds that a caller reads nothing
LONG_BODY = bytes(8000000)
REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
UPLOAD = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n'
HALF = len(REQUEST) // 2
OK = b'HTTP/1.1 200'


class App:
    """A server that answers each request, and callers' raw connections."""

    def __init__(self) -> None:
        self.limits = CallerLimits(idle_timeout=IDLE_TIMEOUT)
        self.handle = _answer
        self.refusal_body = b''
        self.server = HttpServer(
            lambda exchange: self.handle(exchange),
            self._refuse,
            lambda: self.limits,
        )
        self.address = Address(HOST, free_ports(1)[0])
        self._sockets: list[socket.socket] = []

    async def start(self) -> None:
        """Listen."""
        await self.server.start(*self.address)

    async def connect(self) -> socket.socket:
        """Return a connection that the server has accepted."""
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, self.address)
        await asyncio.sleep(IDLE_TIMEOUT / 10)
        return sock

    def stop(self) -> None:
        """Close all connections."""
        self.server.close_idle()
        for sock in self._sockets:
            sock.close()

    def _refuse(self, refusal: Refusal) -> tuple[int, HeaderPairs, bytes]:
        return refusal.kind.status, [], self.refusal_body


async def _answer(exchange: Exchange) -> None:
    await exchange.respond(200, [], exchange.body)


@pytest.fixture
async def app() -> AsyncIterator[App]:
    """Start the server, and stop it after the test."""
    running = App()
    await running.start()
    yield running
    running.stop()


async def _read(sock: socket.socket) -> bytes:
    """Return the next bytes; empty if the connection is closed or reset."""
    async with asyncio.timeout(LONGER):
        try:
            return await asyncio.get_running_loop().sock_recv(sock, 4096)
        except ConnectionError:
            return b''


def _block_loop(seconds: float) -> None:
    time.sleep(seconds)


async def test_request_that_arrives_as_the_idle_time_ends_is_answered(
    app: App,
) -> None:
    sock = await app.connect()
    sock.send(REQUEST)
    _block_loop(IDLE_TIMEOUT)
    assert (await _read(sock)).startswith(OK)


async def test_idle_connection_stays_open_for_a_longer_limit_set_meanwhile(
    app: App,
) -> None:
    sock = await app.connect()
    app.limits = CallerLimits(idle_timeout=LONGER)
    await asyncio.sleep(IDLE_TIMEOUT * 2)
    sock.send(REQUEST)
    assert (await _read(sock)).startswith(OK)


async def test_idle_connection_is_closed_after_its_limit(app: App) -> None:
    sock = await app.connect()
    assert await _read(sock) == b''


@pytest.mark.parametrize('turns', [0, 1, 2])
async def test_request_that_has_arrived_is_answered_by_a_stopping_server(
    app: App, turns: int
) -> None:
    sock = await app.connect()
    sock.send(REQUEST)
    for _ in range(turns):
        await asyncio.sleep(0)
    app.server.stopping = True
    app.server.close_idle()
    assert (await _read(sock)).startswith(OK)


async def test_stopping_server_waits_for_the_rest_of_a_head(app: App) -> None:
    sock = await app.connect()
    sock.send(REQUEST[:HALF])
    await asyncio.sleep(IDLE_TIMEOUT / 3)
    app.server.stopping = True
    app.server.close_idle()
    assert app.server.in_flight
    sock.send(REQUEST[HALF:])
    assert (await _read(sock)).startswith(OK)


async def test_stopping_server_closes_idle_connections(app: App) -> None:
    app.limits = CallerLimits(idle_timeout=LONGER)
    sock = await app.connect()
    app.server.stopping = True
    app.server.close_idle()
    assert await _read(sock) == b''


async def test_body_that_does_not_arrive_in_time_is_refused(app: App) -> None:
    sock = await app.connect()
    sock.send(UPLOAD)
    assert (await _read(sock)).startswith(b'HTTP/1.1 408')


@pytest.mark.parametrize(('before', 'after'), [(4096, 65536), (65536, 4096)])
async def test_header_limit_in_force_holds_on_connections_made_before(
    app: App, before: int, after: int
) -> None:
    app.limits = CallerLimits(header_bytes=before, idle_timeout=LONGER)
    sock = await app.connect()
    app.limits = app.limits._replace(header_bytes=after)
    sock.send(REQUEST[:-2] + b'X-Long: ' + b'x' * 16000)
    await asyncio.sleep(0.1)
    with suppress(ConnectionError):
        sock.send(b'\r\n\r\n')
    allowed = after > before
    assert (await _read(sock)).startswith(OK) == allowed


@pytest.mark.parametrize(
    'part', [b'1;' + b'x' * 300000, b'0\r\n' + b'X-Long: ' + b'x' * 300000]
)
async def test_chunk_line_or_trailer_longer_than_a_header_is_refused(
    app: App, part: bytes
) -> None:
    app.limits = CallerLimits(header_bytes=16384, idle_timeout=LONGER)
    sock = await app.connect()
    sock.send(
        b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
    )
    with suppress(ConnectionError):
        await asyncio.get_running_loop().sock_sendall(sock, part)
    assert (await _read(sock)).startswith(b'HTTP/1.1 4')


@pytest.mark.parametrize('method', ['GET', 'HEAD', 'CONNECT'])
async def test_refusal_of_any_method_is_sent_and_its_connection_kept(
    app: App, method: str
) -> None:
    async def refuse_it(exchange: Exchange) -> None:
        raise refuse(NOT_FOUND, 'no such thing')

    app.handle = refuse_it
    app.refusal_body = b'refused'
    sock = await app.connect()
    for _ in range(1 if method == 'CONNECT' else 2):
        sock.send(REQUEST.replace(b'GET', method.encode()))
        answer = await _read(sock)
        assert answer.startswith(b'HTTP/1.1 404')
        assert answer.endswith(b'refused') == (method != 'HEAD')


@pytest.mark.parametrize('status', [200, 204, 304])
async def test_answer_whose_status_allows_no_body_is_sent_without_it(
    app: App, status: int
) -> None:
    async def answer(exchange: Exchange) -> None:
        await exchange.respond(status, [], b'body')

    app.handle = answer
    sock = await app.connect()
    for _ in range(2):
        sock.send(REQUEST)
        answered = await _read(sock)
        assert answered.startswith(f'HTTP/1.1 {status}'.encode())
        assert answered.endswith(b'body') == (status == 200)


@pytest.mark.parametrize('begin', ['respond', 'start_stream'])
@pytest.mark.parametrize(
    ('status', 'name'), [(199, b'a'), (1000, b'a'), (200, b'a\x00')]
)
async def test_answer_with_an_invalid_head_becomes_an_internal_error(
    app: App, begin: str, status: int, name: bytes
) -> None:
    app.handle = lambda exchange: getattr(exchange, begin)(
        status, [(name, b'b')], b'body'
    )
    sock = await app.connect()
    sock.send(REQUEST)
    assert (await _read(sock)).startswith(b'HTTP/1.1 500')


@pytest.mark.parametrize(
    'error',
    [
        LinkLostError('another connection'),
        h11.LocalProtocolError('of another connection'),
        h11.RemoteProtocolError('of another connection'),
        TimeoutError(),
        asyncio.CancelledError(),
    ],
)
async def test_error_of_another_connection_does_not_close_the_callers(
    app: App, error: BaseException
) -> None:
    async def fail(exchange: Exchange) -> None:
        raise error

    app.handle = fail
    sock = await app.connect()
    sock.send(REQUEST)
    assert (await _read(sock)).startswith(b'HTTP/1.1 50')


async def test_connection_is_closed_after_an_error_that_nobody_expects(
    app: App,
) -> None:
    sock = await app.connect()
    app.limits = None
    sock.send(REQUEST)
    assert await _read(sock) == b''


async def test_caller_that_reads_a_long_answer_late_gets_it_whole(
    app: App,
) -> None:
    async def answer(exchange: Exchange) -> None:
        await exchange.respond(200, [], LONG_BODY)

    app.handle = answer
    sock = await app.connect()
    sock.send(REQUEST)
    await asyncio.sleep(LATE_TIME)
    received = b''
    while len(received) <= len(LONG_BODY):
        part = await _read(sock)
        assert part
        received += part
    assert received.endswith(b'\r\n\r\n' + LONG_BODY)


async def test_caller_that_leaves_with_its_answer_cancels_nothing(
    app: App,
) -> None:
    ended = asyncio.Event()

    async def answer_and_go_on(exchange: Exchange) -> None:
        await exchange.respond(200, [], b'whole')
        await asyncio.sleep(IDLE_TIMEOUT)
        ended.set()

    app.handle = answer_and_go_on
    sock = await app.connect()
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(sock, REQUEST)
    await loop.sock_recv(sock, HALF)
    sock.close()
    async with asyncio.timeout(LONGER):
        await ended.wait()


@pytest.mark.parametrize('method', ['GET', 'HEAD'])
async def test_request_that_a_stop_ends_is_refused_whatever_its_method(
    app: App, method: str
) -> None:
    app.handle = lambda exchange: asyncio.sleep(LATE_TIME)
    app.refusal_body = b'refused'
    sock = await app.connect()
    sock.send(REQUEST.replace(b'GET', method.encode()))
    await asyncio.sleep(IDLE_TIMEOUT / 10)
    await app.server.end_requests()
    answer = await _read(sock)
    assert answer.startswith(b'HTTP/1.1 502')
    assert answer.endswith(b'refused') == (method != 'HEAD')


@pytest.mark.parametrize(
    ('reset', 'reason'), [(False, 'EOF'), (True, 'ConnectionResetError')]
)
async def test_way_in_which_a_caller_left_is_known(
    app: App, reset: bool, reason: str
) -> None:
    exchanges: list[Exchange] = []

    async def wait(exchange: Exchange) -> None:
        exchanges.append(exchange)
        await asyncio.sleep(LATE_TIME)

    app.handle = wait
    sock = await app.connect()
    sock.send(REQUEST)
    await until(lambda: exchanges)
    if reset:
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()
    await until(lambda: exchanges[0].disconnected)
    assert exchanges[0].disconnect_reason.startswith(reason)
