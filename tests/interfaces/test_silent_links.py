"""When the kernel ends a connection whose other side is silent for good."""

import asyncio
import socket

import h11
import pytest

from gentiantrestle.http import link as link_module
from gentiantrestle.http.link import Link, LinkLostError, open_link
from gentiantrestle.models import Address
from tests.utils.ports import HOST
from tests.utils.silence import drop_packets

HEADER_LIMIT = 1024  # bytes
# Nothing is required of an instance for so long after connections fell silent.
CONTACT_TIME = 4.0  # seconds
USER_TIMEOUT = link_module.UNACKED_TIMEOUT / 1000  # seconds
LONGER = 6.0  # seconds
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n'
REQUEST = h11.Request(method='GET', target='/', headers=[('Host', 'h')])


async def _time_to_end(*, with_request: bool) -> float | None:
    """Return after how many s of silence a link ends; None if it doesn't."""
    with socket.create_server((HOST, 0)) as server:
        address = Address(*server.getsockname())
        link = await open_link(address, CONTACT_TIME, HEADER_LIMIT)
        with server.accept()[0] as silent:
            drop_packets(silent)
            return await _wait_for_end(link, with_request=with_request)


async def _wait_for_end(link: Link, *, with_request: bool) -> float | None:
    now = asyncio.get_running_loop().time
    began = now()
    if with_request:
        await link.send(REQUEST, h11.EndOfMessage())
    try:
        async with asyncio.timeout(LONGER):
            await link.next_event()
    except LinkLostError:
        return now() - began
    except TimeoutError:
        return None
    finally:
        link.abort()
    return 0


@pytest.mark.parametrize('with_request', [False, True])
async def test_silent_connection_ends_before_anything_is_required_again(
    *, with_request: bool
) -> None:
    took = await _time_to_end(with_request=with_request)
    assert took is not None
    assert USER_TIMEOUT <= took < CONTACT_TIME


@pytest.mark.parametrize('with_request', [False, True])
async def test_time_of_unacknowledged_bytes_decides_and_not_the_probes(
    monkeypatch: pytest.MonkeyPatch, *, with_request: bool
) -> None:
    monkeypatch.setattr(link_module, 'KEEPALIVE_COUNT', 9)
    took = await _time_to_end(with_request=with_request)
    assert took is not None
    assert USER_TIMEOUT <= took < CONTACT_TIME


async def test_probes_end_no_connection_with_unacknowledged_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(link_module, 'UNACKED_TIMEOUT', 0)
    assert await _time_to_end(with_request=True) is None
    idle = await _time_to_end(with_request=False)
    assert idle is not None
    assert idle < CONTACT_TIME


@pytest.mark.parametrize('size', [200000, 4000000])
async def test_connection_lasts_while_the_other_side_only_does_not_read(
    size: int,
) -> None:
    with socket.create_server((HOST, 0)) as server:
        address = Address(*server.getsockname())
        link = await open_link(address, CONTACT_TIME, HEADER_LIMIT)
        with server.accept()[0] as busy:
            busy.setblocking(False)
            sending = asyncio.create_task(link.send(*_long_request(size)))
            await asyncio.sleep(CONTACT_TIME)
            received = 0
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(LONGER):
                while received < size:
                    received += len(await loop.sock_recv(busy, 65536))
            await sending
            await loop.sock_sendall(busy, ANSWER)
            assert isinstance(await link.next_event(), h11.Response)
            drop_packets(busy)
            assert await _wait_for_end(link, with_request=False) < CONTACT_TIME


def _long_request(size: int) -> tuple[h11.Event, ...]:
    length = ('Content-Length', str(size))
    return (
        h11.Request(method='PUT', target='/', headers=[('Host', 'h'), length]),
        h11.Data(data=b'x' * size),
        h11.EndOfMessage(),
    )
