"""Answers and items before upstreams of two software versions."""

import asyncio
import base64
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from gentiantrestle.http.client import ConnectionLostError
from standins.upstream import encode_event
from tests.gateway.fleet import GatewayFleet
from tests.gateway.test_process_jobs import read_all
from tests.gateway.wire_samples import job_doc
from tests.utils.http import until

OLD, NEW = 'v1.1', 'v1.2'
VERSIONS = {0: OLD, 1: NEW}
# Event numbers.
UPSTREAMS_CHANGED, ANSWER_ABANDONED, ITEM_RESTARTED = 3005, 5108, 6105


@pytest.fixture
async def mixed(tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Start one entry before an upstream of each version."""
    started = GatewayFleet(tmp_path, 1, len(VERSIONS))
    started.versions |= VERSIONS
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


async def find_upstream(fleet: GatewayFleet) -> int:
    """Wait until an upstream runs a stream or an item; return its number."""
    runs = await until(fleet.printed_runs)
    return next(
        number
        for number, address in enumerate(fleet.upstreams)
        if runs[0] in fleet.standins[address].log_lines()
    )


async def remove_upstream(fleet: GatewayFleet, number: int) -> None:
    """Remove an upstream's entry; kill it once the gateway knows of that."""
    entry = fleet.entries[0]

    def count_changes() -> int:
        codes = [line['code'] for line in entry.log_lines()]
        return codes.count(UPSTREAMS_CHANGED)

    before = count_changes()
    await fleet.unregister(number)
    await until(lambda: count_changes() > before)
    await fleet.standins[fleet.upstreams[number]].end()


def find_lines(fleet: GatewayFleet, code: int) -> list[dict[str, Any]]:
    """Return the lines of an event that the entry has logged."""
    lines = fleet.entries[0].log_lines()
    return [line for line in lines if line['code'] == code]


def whole_stream(version: str, events: int) -> bytes:
    """Return the whole stream of request r1, all of one version."""
    numbers = range(1, events + 1)
    return b''.join(encode_event('r1', number, version) for number in numbers)


def whole_output(version: str, events: int) -> str:
    """Return the whole output of item job1-0, all of one version."""
    texts = (f'job1-0-{number + 1}@{version}' for number in range(events))
    return '\n'.join(texts)


def encode_body(body: dict[str, Any]) -> str:
    """Encode the body of an item."""
    return base64.b64encode(msgspec.json.encode(body)).decode()


async def test_cut_stream_goes_on_at_the_version_that_began_it(
    mixed: GatewayFleet,
) -> None:
    for number in VERSIONS:
        await mixed.set_faults(number, cut_after=7)
    reply = await mixed.request(0, 'r1', body={'events': 14})
    assert reply.body in {whole_stream(OLD, 14), whole_stream(NEW, 14)}


async def test_stream_is_cut_at_once_when_its_version_is_gone(
    mixed: GatewayFleet,
) -> None:
    body = {'events': 80, 'pause': 0.05}
    sent = asyncio.create_task(mixed.request(0, 'r1', body=body))
    number = await find_upstream(mixed)
    await asyncio.sleep(0.3)
    await remove_upstream(mixed, number)
    with pytest.raises(ConnectionLostError):
        async with asyncio.timeout(1):
            await sent
    assert len(mixed.printed_runs()) == 1
    abandoned = find_lines(mixed, ANSWER_ABANDONED)
    assert [line['version'] for line in abandoned] == [VERSIONS[number]]


async def test_cut_item_goes_on_at_the_version_that_began_it(
    mixed: GatewayFleet,
) -> None:
    for number in VERSIONS:
        await mixed.set_faults(number, cut_after=10)
    await mixed.request(0, 'job1', '/lists/j', job_doc('job1', 1, 25))
    outputs = await read_all(mixed, 0, 'job1')
    assert outputs['job1-0'] in {whole_output(OLD, 25), whole_output(NEW, 25)}
    assert sorted(run['last'] for run in await mixed.runs()) == [0, 10, 20]


async def test_item_starts_again_when_its_version_is_gone(
    mixed: GatewayFleet,
) -> None:
    job = job_doc('job1', 1, 40)
    job['items'][0]['body'] = encode_body({'events': 40, 'pause': 0.05})
    await mixed.request(0, 'job1', '/lists/j', job)
    number = await find_upstream(mixed)
    await asyncio.sleep(0.3)
    await remove_upstream(mixed, number)
    outputs = await read_all(mixed, 0, 'job1')
    assert outputs['job1-0'] == whole_output(VERSIONS[1 - number], 40)
    assert [run['last'] for run in mixed.printed_runs()] == [0, 0]
    restarts = find_lines(mixed, ITEM_RESTARTED)
    assert [line['began_at'] for line in restarts] == [VERSIONS[number]]
