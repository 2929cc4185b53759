"""Upstreams that name the most requests a second that they take."""

import asyncio
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.gateway.fleet import UNREACHABLE, GatewayFleet
from tests.utils.http import until

ENTRIES = 3
UPSTREAMS = 3
LIMIT = 2.5  # requests a second
CONTACT_TIME = 4.0  # seconds that the fleet has after the first answer
WINDOW = 4.0  # seconds
MOST = 1.5 * LIMIT * WINDOW + 5  # requests in a window
RATE = 25  # requests a second that callers send
PLAY_TIME = 14.0  # seconds
DISTURBED_AT = 7.0  # seconds
QUICK = 0.5  # seconds in which a refusal is expected
FAILURES = (*UNREACHABLE, OSError)


@pytest.fixture
async def limited(tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Start a fleet whose upstreams all name a limit."""
    fleet = GatewayFleet(tmp_path, ENTRIES, UPSTREAMS)
    fleet.upstream_words = (f'limit={LIMIT}',)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()


async def send_all(fleet: GatewayFleet, seconds: float) -> list[float]:
    """Send requests to the running entries; return how long refusals took."""
    refused: list[float] = []

    async def send(number: int) -> None:
        entries = [
            entry for entry, child in enumerate(fleet.entries) if child.running
        ]
        entry = entries[number % len(entries)]
        started = time.time()
        try:
            reply = await fleet.request(
                entry, f'r{number}', body={'events': 20}
            )
        except FAILURES:
            return
        if reply.status in {429, 503}:
            refused.append(time.time() - started)

    tasks = []
    for number in range(int(seconds * RATE)):
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    return refused


async def disturb(fleet: GatewayFleet, how: str) -> None:
    """Kill the entries one after the other, each while the others run."""
    await asyncio.sleep(DISTURBED_AT)
    if how == 'calm':
        return
    for number in range(ENTRIES):
        await fleet.entries[number].end()
        await asyncio.sleep(0.5)
        await fleet.start_entry(number)
        await until(lambda entry=number: fleet.is_ready(entry))
        await asyncio.sleep(1)


def most_in_window(times: list[float], since: float) -> int:
    """Return the largest number of times within a window."""
    counted = [at for at in times if at > since]
    return max(
        sum(1 for at in counted if 0 <= at - start < WINDOW)
        for start in counted
    )


@pytest.mark.parametrize('how', ['calm', 'coordinators killed'])
async def test_limited_upstreams_get_no_more_requests_than_they_take(
    limited: GatewayFleet, how: str
) -> None:
    refused, _ = await asyncio.gather(
        send_all(limited, PLAY_TIME), disturb(limited, how)
    )
    for address in limited.upstreams:
        runs = limited.standins[address].log_lines()
        times = [run['at'] for run in runs]
        assert most_in_window(times, min(times) + CONTACT_TIME) <= MOST
    assert sorted(refused)[len(refused) // 2] < QUICK
