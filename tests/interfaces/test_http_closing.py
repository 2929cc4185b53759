"""Connections that the daemon's server closes beside requests that arrived."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator

import pytest

from gentiantrestle.http.connection import LAST_WAIT, ServerLimits
from gentiantrestle.http.messages import Request, Response
from gentiantrestle.http.server import Server
from tests.utils.ports import HOST, free_ports

IDLE_TIMEOUT = 0.3  # seconds
BLOCKED_TIME = LAST_WAIT * 2  # seconds
PATIENCE = 2.0  # seconds
REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
HALF = len(REQUEST) // 2
UPLOAD = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n'
MAX_BODY = 100  # bytes
ARRIVAL_TIME = 0.05  # seconds
OK = b'HTTP/1.1 200'


class App:
    """A server that answers each request, and one caller's connection."""

    def __init__(self) -> None:
        limits = ServerLimits(header_timeout=1, idle_timeout=IDLE_TIMEOUT)
        self.handle = _answer
        self.server = Server(lambda req: self.handle(req), limits)
        self.sock = socket.socket()

    async def start(self) -> None:
        """Listen, and connect."""
        port = free_ports(1)[0]
        await self.server.start(HOST, port)
        self.sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.sock, (HOST, port))
        await asyncio.sleep(IDLE_TIMEOUT / 10)

    async def read(self) -> bytes:
        """Return the next bytes; empty if the connection is closed."""
        async with asyncio.timeout(PATIENCE):
            try:
                return await asyncio.get_running_loop().sock_recv(
                    self.sock, 4096
                )
            except ConnectionError:
                return b''


async def _answer(req: Request) -> Response:
    return Response(body=b'{}')


@pytest.fixture
async def app() -> AsyncIterator[App]:
    """Start the server, and stop it after the test."""
    running = App()
    await running.start()
    yield running
    running.sock.close()
    await running.server.stop(0)


def _block_loop(seconds: float) -> None:
    time.sleep(seconds)


async def test_request_that_arrives_as_the_idle_time_ends_is_answered(
    app: App,
) -> None:
    app.sock.send(REQUEST)
    _block_loop(IDLE_TIMEOUT)
    assert (await app.read()).startswith(OK)


async def test_request_that_arrives_as_the_last_wait_ends_is_answered(
    app: App,
) -> None:
    await asyncio.sleep(IDLE_TIMEOUT - IDLE_TIMEOUT / 10 + LAST_WAIT / 2)
    app.sock.send(REQUEST)
    _block_loop(BLOCKED_TIME)
    assert (await app.read()).startswith(OK)


@pytest.mark.parametrize('turns', [0, 1, 2])
async def test_request_that_has_arrived_is_answered_by_a_stopping_server(
    app: App, turns: int
) -> None:
    app.sock.send(REQUEST)
    for _ in range(turns):
        await asyncio.sleep(0)
    stopping = asyncio.create_task(app.server.stop(PATIENCE))
    assert (await app.read()).startswith(OK)
    assert await stopping == 0


async def test_stopping_server_waits_for_the_rest_of_a_head(app: App) -> None:
    app.sock.send(REQUEST[:HALF])
    await asyncio.sleep(IDLE_TIMEOUT / 3)
    stopping = asyncio.create_task(app.server.stop(PATIENCE))
    await asyncio.sleep(IDLE_TIMEOUT / 3)
    app.sock.send(REQUEST[HALF:])
    assert (await app.read()).startswith(OK)
    assert await stopping == 0


async def test_stopping_server_closes_idle_connections(app: App) -> None:
    assert await app.server.stop(PATIENCE) == 0
    assert await app.read() == b''


async def _never_answer(req: Request) -> Response:
    await req.read(MAX_BODY)
    await asyncio.sleep(PATIENCE * 10)
    return Response(body=b'{}')


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (UPLOAD[:HALF], b'503'),
        (UPLOAD + b'{', b'503'),
        (UPLOAD + b'{}', b'502'),
    ],
    ids=['head', 'body', 'running'],
)
async def test_request_that_is_left_at_the_end_of_a_stop_is_answered(
    app: App, sent: bytes, status: bytes
) -> None:
    app.handle = _never_answer
    app.sock.send(sent)
    await asyncio.sleep(ARRIVAL_TIME)
    assert await app.server.stop(0) == 1
    assert (await app.read()).startswith(b'HTTP/1.1 ' + status)
