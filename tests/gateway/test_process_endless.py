"""Upstreams that send without end, and the entry before them."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import suppress
from itertools import count, repeat
from pathlib import Path

import pytest

from standins.upstream import encode_event
from tests.gateway.fleet import GatewayFleet
from tests.gateway.reports import read_head
from tests.gateway.test_process_jobs import read_all
from tests.gateway.wire_samples import (
    expected_stream,
    job_doc,
    route_docs,
)

FAULTY = 0  # number of the upstream that sends without end
CALLERS = 6
ITEMS = 8
DEADLINE = 5.0  # seconds
MEMORY_LIMIT = 150  # MB of an entry, where it has least
PIECE = 60000  # bytes of an event
HEAD = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: stamp\r\n\r\n'


def _interim(request_id: str) -> Iterator[bytes]:
    return repeat(b'HTTP/1.1 100 Continue\r\n\r\n' * 100)


def _events(request_id: str) -> Iterator[bytes]:
    yield HEAD.format(id=request_id).encode()
    for number in count(1):
        yield encode_event('x' * PIECE, number)


class EndlessUpstream:
    """Sends as fast as it can."""

    def __init__(self) -> None:
        """Answer nothing yet."""
        self.send: Callable[[str], Iterator[bytes]] = _interim

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request without end."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await read_head(reader, writer)).decode('latin-1')
            fields = dict(
                line.lower().split(': ', 1) for line in head.splitlines()[1:-1]
            )
            for part in self.send(fields['x-attempt-id']):
                writer.write(part)
                await writer.drain()
        writer.close()


@pytest.fixture
async def endless() -> EndlessUpstream:
    """Choose what is sent."""
    return EndlessUpstream()


@pytest.fixture
async def fleet(
    tmp_path: Path, endless: EndlessUpstream
) -> AsyncIterator[GatewayFleet]:
    """Start one entry before an upstream without end and a sound one."""
    started = GatewayFleet(tmp_path, 1, 2)
    started.services = {FAULTY: 'faulty'}
    try:
        await started.start()
        address = started.upstreams[FAULTY]
        await started.standins[address].end()
        async with await asyncio.start_server(
            endless.answer, address.host, address.port
        ):
            yield started
    finally:
        await started.stop()


def _peak_memory(fleet: GatewayFleet) -> float:
    """Return the most memory that the entry has taken so far, in MB."""
    pid = fleet.entries[0].process.pid
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    line = next(line for line in lines if line.startswith('VmHWM'))
    return int(line.split()[1]) / 1024


async def _configure_faulty(fleet: GatewayFleet, kind: str) -> None:
    """Add a route to the upstream that sends without end."""
    docs = route_docs()
    faulty = {
        **next(doc for doc in docs if doc['route-kind'] == kind),
        'name': 'faulty',
        'path-prefix': '/faulty/',
        'service': 'faulty',
    }
    await fleet.configure([*docs, faulty])
    await asyncio.sleep(1)


async def test_interim_answers_without_end_hold_up_nobody(
    fleet: GatewayFleet,
) -> None:
    await _configure_faulty(fleet, 'unsafe')
    started = time.monotonic()
    asked = [
        asyncio.create_task(fleet.request(0, f'f{number}', '/faulty/1', {}))
        for number in range(CALLERS)
    ]
    sound = await fleet.request(0, 's1', body={'events': 5})
    assert sound.body == expected_stream('s1', 5)
    statuses = {(await task).status for task in asked}
    assert statuses <= {502, 503}
    assert time.monotonic() - started < DEADLINE


async def test_items_without_end_fail_within_the_memory_of_an_entry(
    fleet: GatewayFleet, endless: EndlessUpstream
) -> None:
    endless.send = _events
    await _configure_faulty(fleet, 'batch')
    job = job_doc('job1', ITEMS, 1)
    assert (await fleet.request(0, 'job1', '/faulty/j', job)).status == 202
    outputs = await read_all(fleet, 0, 'job1')
    assert set(outputs.values()) == {''}
    assert _peak_memory(fleet) < MEMORY_LIMIT
