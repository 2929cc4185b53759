"""Answers that begin before the request was read: client and daemon."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from gentiantrestle.http.client import ClientRequest, ConnectionLostError
from gentiantrestle.http.pool import ConnectionPool
from gentiantrestle.models import Address
from tests.utils.early_server import STATUS_ZERO, EarlyServer
from tests.utils.fleet import UNREACHABLE
from tests.utils.http import until
from tests.utils.in_process_fleet import InProcessFleet
from tests.utils.ports import HOST, free_ports

OK = 200
BAD_GATEWAY = 502
TRIES = 20
TIMEOUT = 1.0  # seconds
PART = b'HTTP/1.1 200 OK\r\n\r\npart of an answer'
# The kernel holds the first, not the second.
SIZES = (300_000, 4_000_000)


@asynccontextmanager
async def _serve(server: EarlyServer) -> AsyncIterator[ConnectionPool]:
    address = Address(HOST, free_ports(1)[0])
    async with await asyncio.start_server(server.serve, *address):
        yield ConnectionPool(address, 1, TIMEOUT)


@pytest.mark.parametrize('size', SIZES)
async def test_answer_reset_beside_its_upload_is_not_complete(
    size: int,
) -> None:
    async with _serve(EarlyServer(PART, resets=True)) as pool:
        for _ in range(TRIES):
            with pytest.raises(ConnectionLostError):
                await pool.fetch(ClientRequest('POST', '/', body=bytes(size)))


@pytest.mark.parametrize('size', (10, *SIZES))
async def test_early_answer_whose_upload_is_read_is_complete(size: int) -> None:
    async with _serve(EarlyServer(PART, resets=False)) as pool:
        _, body = await pool.fetch(ClientRequest('POST', '/', body=bytes(size)))
    assert body == b'part of an answer'


async def test_early_answer_whose_upload_is_read_slowly_is_complete() -> None:
    server = EarlyServer(PART, resets=False)
    server.pause = 0.1
    async with _serve(server) as pool:
        req = ClientRequest('POST', '/', body=bytes(SIZES[1]))
        _, body = await pool.fetch(req)
    assert body == b'part of an answer'


async def test_status_of_zeros_is_no_answer() -> None:
    async with _serve(EarlyServer(STATUS_ZERO, resets=False)) as pool:
        with pytest.raises(ConnectionLostError):
            await pool.fetch(ClientRequest('POST', '/', body=b'{}'))


@pytest.mark.parametrize(
    'server',
    [
        EarlyServer(PART, resets=True),
        EarlyServer(STATUS_ZERO, resets=False),
    ],
)
async def test_daemon_passes_no_such_answer_on(server: EarlyServer) -> None:
    fleet = InProcessFleet(('a1',))
    address = Address(HOST, free_ports(1)[0])
    document = fleet.config_document(0)
    document['upstreams']['s']['address'] = str(address)
    await fleet.start()

    async def is_configured() -> bool:
        try:
            reply = await fleet.call(0, 'PUT', '/admin/config', document)
        except UNREACHABLE:
            return False
        return reply.status == OK

    try:
        await until(is_configured)
        async with await asyncio.start_server(server.serve, *address):
            reply = await fleet.call(
                0,
                'POST',
                '/v1/services/book/quote',
                bytes(SIZES[0]),
                idempotency_key='key',
            )
    finally:
        await fleet.stop()
    assert reply.status == BAD_GATEWAY
    assert server.requests
