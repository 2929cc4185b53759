"""A planned stop: each request has an end, and an answer."""

import asyncio
import signal
from collections.abc import AsyncIterator

import pytest

from gentiantrestle.errors import RefusedError
from gentiantrestle.gateway.ending import MIN_TIME_LEFT, Ending
from gentiantrestle.gateway.exchange import Exchange
from gentiantrestle.gateway.model import RouteKind
from tests.gateway.fleet import GatewayFleet
from tests.gateway.samples import make_request, make_route
from tests.gateway.test_http_server import App
from tests.utils.http import until

END = 100.0  # seconds
LAST_STREAMS = 95.0  # seconds
STREAMS, OTHERS = make_route(), make_route(kind=RouteKind.UNSAFE)
HEAD = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n'
LONG_DEADLINE = {'X-Deadline-Ms': '30000'}
LAST_CHUNK = b'0\r\n\r\n'
ARRIVAL_TIME = 0.1  # seconds


@pytest.mark.parametrize(
    ('route', 'now', 'deadline', 'expected'),
    [
        (STREAMS, 94, 120, END),
        (STREAMS, 96, 99, 99),
        (STREAMS, 96, 120, None),
        (OTHERS, 96, 120, END),
        (OTHERS, END - MIN_TIME_LEFT / 2, 120, None),
    ],
)
def test_deadline_is_before_the_end_or_the_request_is_refused(
    route: object, now: float, deadline: float, expected: float | None
) -> None:
    ending = Ending()
    req = make_request('r1')._replace(deadline=deadline)
    assert ending.bound(req, route, now) == req
    ending.plan(END, LAST_STREAMS)
    if expected is None:
        with pytest.raises(RefusedError) as caught:
            ending.bound(req, route, now)
        assert caught.value.refusal.kind.status == 503
    else:
        assert ending.bound(req, route, now).deadline == expected


async def _never_answer(exchange: Exchange) -> None:
    await asyncio.sleep(1000)


async def _stream_on(exchange: Exchange) -> None:
    await exchange.start_stream(200, [], b'first')
    await asyncio.sleep(1000)


async def _end_after(app: App, sent: bytes) -> bytes:
    """Return what a caller gets that has sent so much when the end comes."""
    reader, writer = await asyncio.open_connection(*app.address)
    writer.write(sent)
    await writer.drain()
    await asyncio.sleep(ARRIVAL_TIME)
    await app.server.end_requests()
    try:
        return await reader.read()
    finally:
        writer.close()


@pytest.fixture
async def app() -> AsyncIterator[App]:
    """Return a server that is not started yet; stop it after the test."""
    chosen = App()
    yield chosen
    chosen.stop()


@pytest.mark.parametrize(
    ('sent', 'status'),
    [(HEAD[:20], b'503'), (HEAD + b'{', b'503'), (HEAD + b'{}', b'502')],
    ids=['head', 'body', 'running'],
)
async def test_request_that_is_left_at_the_end_is_answered(
    app: App, sent: bytes, status: bytes
) -> None:
    app.handle = _never_answer
    await app.start()
    answer = await _end_after(app, sent)
    assert answer.startswith(b'HTTP/1.1 ' + status)
    assert answer.endswith(b'\r\n\r\n')


async def test_answer_that_has_begun_is_cut_visibly_at_the_end(
    app: App,
) -> None:
    app.handle = _stream_on
    await app.start()
    answer = await _end_after(app, HEAD + b'{}')
    assert answer.endswith(b'first\r\n')
    assert LAST_CHUNK not in answer


async def test_request_that_outlasts_the_grace_time_gets_a_true_answer(
    fleet: GatewayFleet,
) -> None:
    for number, _ in enumerate(fleet.upstreams):
        await fleet.set_faults(number, silent=1000)
    asked = [
        asyncio.create_task(
            fleet.request(0, f'r{number}', path, {}, **LONG_DEADLINE)
        )
        for number, path in enumerate(('/pay/1', '/get/1', '/pay/2'))
    ]
    await until(fleet.runs)
    await fleet.entries[0].end(signal.SIGTERM)
    statuses = {(await task).status for task in asked}
    assert statuses <= {502, 504}
