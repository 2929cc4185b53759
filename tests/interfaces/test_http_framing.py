"""Answers without length or chunks, as the daemon's HTTP client reads them."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from gentiantrestle.http.client import ClientRequest, ConnectionLostError
from gentiantrestle.http.pool import ConnectionPool
from gentiantrestle.models import Address
from tests.gateway.reborn_upstream import RebornUpstream, event
from tests.utils.ports import HOST, free_ports

TIMEOUT = 1.0  # seconds
SOON = 0.05  # seconds


@asynccontextmanager
async def _serve(answer: bytes) -> AsyncIterator[ConnectionPool]:
    async def reply(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A connection that only probes sends nothing.
        if await reader.read(1):
            writer.write(answer)
            await writer.drain()
        writer.close()

    address = Address(HOST, free_ports(1)[0])
    server = await asyncio.start_server(reply, *address)
    async with server:
        yield ConnectionPool(address, 1, TIMEOUT)


async def test_empty_answer_that_ends_with_its_connection_is_lost() -> None:
    async with _serve(b'HTTP/1.1 200 OK\r\n\r\n') as pool:
        with pytest.raises(ConnectionLostError):
            await pool.fetch(ClientRequest('GET', '/'))


@pytest.mark.parametrize(
    ('method', 'answer'),
    [
        ('GET', b'HTTP/1.1 200 OK\r\n\r\nplain'),
        ('GET', b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'),
        ('GET', b'HTTP/1.1 204 No Content\r\n\r\n'),
        ('GET', b'HTTP/1.1 503 Busy\r\n\r\n'),
        ('HEAD', b'HTTP/1.1 200 OK\r\n\r\n'),
    ],
)
async def test_answer_that_needs_no_other_framing_is_whole(
    method: str, answer: bytes
) -> None:
    async with _serve(answer) as pool:
        response, body = await pool.fetch(ClientRequest(method, '/'))
    assert response.status == int(answer.split()[1])
    assert body == answer.partition(b'\r\n\r\n')[2]


@pytest.fixture
async def server() -> AsyncIterator[RebornUpstream]:
    """Start a server that holds answers without length back."""
    chosen = RebornUpstream(reports=False)
    await chosen.start()
    yield chosen
    await chosen.run.end()


# MIXED: answers cut by a crash were whole, as a new run accepted connections.
async def test_answer_is_cut_by_a_crash_though_a_new_run_answers(
    server: RebornUpstream,
) -> None:
    pool = ConnectionPool(server.address, 1, TIMEOUT)
    response = await pool.send(ClientRequest('GET', '/'))
    await asyncio.sleep(SOON)
    await server.start_again()
    with pytest.raises(ConnectionLostError):
        await response.read()
    pool.release(response)


async def test_answer_of_a_server_that_goes_on_is_whole(
    server: RebornUpstream,
) -> None:
    pool = ConnectionPool(server.address, 1, TIMEOUT)
    response = await pool.send(ClientRequest('GET', '/'))
    server.run.answers[0].close()
    assert await response.read() == event(1)
    pool.release(response)


# The same where nothing was read before the new run listened.
async def test_answer_is_cut_by_a_crash_before_it_is_read(
    server: RebornUpstream,
) -> None:
    pool = ConnectionPool(server.address, 1, TIMEOUT)
    server.run.holds = False
    assert (await pool.fetch(ClientRequest('GET', '/')))[1]
    server.run.holds = True
    server.run.on_answer = server.replace_now
    response = await pool.send(ClientRequest('GET', '/'))
    with pytest.raises(ConnectionLostError):
        await response.read()
    pool.release(response)
