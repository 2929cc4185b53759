"""Upstreams that write a refusal which belongs to another request."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import suppress
from pathlib import Path

import pytest

from tests.gateway.fleet import UNREACHABLE, GatewayFleet
from tests.gateway.reports import read_head
from tests.utils.http import Reply

PLAIN = b'a plain answer'
EARLIER = 'an-earlier-request'
REFUSED = frozenset((408, 421, 429, 503))
FAILURES = (*UNREACHABLE, OSError)
REPEATS = 12  # requests of each kind
HEAD_END = b'\r\n\r\n'


def refusal(request_id: str, status: str = '503 Service Unavailable') -> bytes:
    """Return a refusal that says that a request was not run."""
    echoed = f'X-Attempt-Id: {request_id}\r\n' if request_id else ''
    return (
        f'HTTP/1.1 {status}\r\n{echoed}'
        'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
    ).encode()


def answer(request_id: str) -> bytes:
    """Return the whole answer to a request."""
    head = (
        f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n'
        f'X-Server-Stamp: stamp\r\nContent-Length: {len(PLAIN)}\r\n\r\n'
    )
    return head.encode() + PLAIN


class FaultyUpstream:
    """Runs each request that it reads, whatever it answers."""

    def __init__(self) -> None:
        """Answer as expected until ``way`` is set."""
        self.way = ''
        self.runs: Counter[str] = Counter()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            if self.way == 'before the request':
                writer.write(refusal(EARLIER))
            raw = (await read_head(reader, writer)).decode('latin-1')
            fields = dict(
                line.lower().split(': ', 1) for line in raw.splitlines()[1:-1]
            )
            await reader.readexactly(int(fields.get('content-length', '0')))
            request_id = fields['x-attempt-id']
            self.runs[request_id] += 1
            writer.write(self._answer(request_id))
            await writer.drain()
        writer.close()

    def _answer(self, request_id: str) -> bytes:
        whole = answer(request_id)
        return {
            'of another request': refusal(EARLIER) + whole,
            'of another instance': refusal(EARLIER, '421 Misdirected') + whole,
            'without an id': refusal('') + whole,
            'after a 100': b'HTTP/1.1 100 Continue\r\n\r\n'
            + refusal(EARLIER)
            + whole,
            'after the head': whole[: -len(PLAIN)] + refusal(EARLIER),
            'after the answer': whole + refusal(EARLIER) + refusal(request_id),
        }.get(self.way, whole)


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Start a fleet of one entry before two upstreams."""
    started = GatewayFleet(tmp_path, 1, 2)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


async def ask(fleet: GatewayFleet, name: str, path: str) -> Reply | None:
    """Send a request; return None if its connection was closed."""
    try:
        return await fleet.request(0, name, path, b'', 'GET')
    except FAILURES:
        return None


@pytest.mark.parametrize(
    'way',
    [
        'before the request',
        'of another request',
        'of another instance',
        'without an id',
        'after a 100',
        'after the head',
        'after the answer',
    ],
)
async def test_no_request_that_ran_is_called_not_run_or_runs_twice(
    fleet: GatewayFleet, way: str
) -> None:
    faulty = FaultyUpstream()
    faulty.way = way
    servers = []
    for address in fleet.upstreams:
        await fleet.standins[address].end()
        servers.append(await asyncio.start_server(faulty.serve, *address))
    statuses: Counter[int] = Counter()
    for number in range(REPEATS):
        name = f'r{number}'
        reply = await ask(fleet, name, '/pay/1')
        assert faulty.runs[name] <= 1
        if reply is not None:
            statuses[reply.status] += 1
            assert reply.status not in REFUSED or not faulty.runs[name]
    if way == 'after the answer':
        assert statuses == {200: REPEATS}
    for server in servers:
        server.close()
