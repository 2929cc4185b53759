"""Answers that a stopping server has not written to the end."""

import asyncio
import socket
from collections.abc import AsyncIterator

import pytest

from gentiantrestle.errors import Refusal
from gentiantrestle.gateway.exchange import Exchange
from gentiantrestle.gateway.http_server import HttpServer
from gentiantrestle.gateway.model import CallerLimits
from gentiantrestle.http.link import HeaderPairs
from gentiantrestle.models import Address
from tests.utils.ports import HOST, free_ports

PATIENCE = 2.0  # seconds
STOP_TIME = 0.2  # seconds
BUFFER = 4096  # bytes
BODY = bytes(60000)  # more than the sockets buffer, less than the high water
REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'


async def _answer(exchange: Exchange) -> None:
    await exchange.respond(200, [], BODY)


def _refuse(refusal: Refusal) -> tuple[int, HeaderPairs, bytes]:
    return refusal.kind.status, [], b''


@pytest.fixture
async def server() -> AsyncIterator[HttpServer]:
    """Return a server that isn't started."""
    running = HttpServer(_answer, _refuse, CallerLimits)
    yield running
    running.close_idle()


async def _read_all(sock: socket.socket) -> int:
    size = 0
    async with asyncio.timeout(PATIENCE):
        while part := await asyncio.get_running_loop().sock_recv(sock, BUFFER):
            size += len(part)
    return size


async def _request(server: HttpServer, sock: socket.socket) -> None:
    address = Address(HOST, free_ports(1)[0])
    await server.start(*address)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, address)
    sock.send(REQUEST)


def _shrink_buffer(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER)


async def test_stopping_server_waits_until_answers_are_written(
    server: HttpServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    module = 'gentiantrestle.http.link'
    monkeypatch.setattr(f'{module}.enable_keepalive', _shrink_buffer)
    with socket.socket() as sock:
        await _request(server, sock)
        await asyncio.sleep(STOP_TIME)
        server.stopping = True
        server.close_idle()
        await asyncio.sleep(STOP_TIME)
        assert not server.is_drained
        assert await _read_all(sock) > len(BODY)
    await asyncio.sleep(STOP_TIME)
    assert server.is_drained
