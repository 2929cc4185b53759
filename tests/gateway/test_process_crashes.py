"""A prompt part that crashes upstreams, with real processes."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from itertools import count
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from tests.gateway.fleet import UNREACHABLE, GatewayFleet
from tests.utils.http import Reply

ENTRIES = 3
UPSTREAMS = 5
CRASHING = 'c0ffee00'
SYSTEM = 'a11ce000'  # the first part of all prompts
RESTART_DELAY = 0.5  # seconds until an upstream that ended is back
CONTACT_TIME = 4.0  # seconds that the fleet has after the fifth end
FREE_ENDS = 5
MAX_SENT = 3  # crashing requests sent to upstreams later than that
MIN_SOUND_SHARE = 0.5  # of the share without crashes
CRASHING_INTERVAL = 0.25  # seconds
SOUND_INTERVAL = 0.1  # seconds
FAILURES = (*UNREACHABLE, OSError)


class Sent(NamedTuple):
    """A request of a caller: when it was sent, and its status (0: cut)."""

    at: float
    status: int


class Crowd:
    """Callers of a fleet, and who starts its upstreams again."""

    def __init__(self, fleet: GatewayFleet) -> None:
        """Send nothing yet."""
        self.fleet = fleet
        self.ends: list[float] = []
        self._numbers = count()
        self._restarts: dict[int, asyncio.Task[None]] = {}

    async def send(self, path: str, *parts: str) -> Sent:
        """Send a request with these parts and one of its own."""
        number = next(self._numbers)
        entries = [
            entry
            for entry, child in enumerate(self.fleet.entries)
            if child.running
        ]
        prompt = ','.join(f'{part}:10' for part in (*parts, f'own{number}'))
        headers = {'X-Prompt-Prefix': prompt}
        at = time.time()
        try:
            reply: Reply = await self.fleet.request(
                entries[number % len(entries)],
                f'r{number}',
                path,
                {'events': 5},
                **headers,
            )
        except FAILURES:
            return Sent(at, 0)
        return Sent(at, reply.status)

    async def send_sound(self) -> Sent:
        """Send a request that shares its first part with all others."""
        return await self.send('/chat/1', SYSTEM, f's{next(self._numbers)}')

    async def send_crashing(self) -> Sent:
        """Send a request with the crashing part."""
        return await self.send('/chat/1', SYSTEM, CRASHING)

    async def send_each(
        self, interval: float, until: float, send: Callable[[], Any]
    ) -> list[Sent]:
        """Send a request each ``interval`` s until a time."""
        tasks = []
        while time.time() < until:
            tasks.append(asyncio.create_task(send()))
            await asyncio.sleep(interval)
        return await asyncio.gather(*tasks)

    async def restart_upstreams(self) -> None:
        """Start each upstream that ends again, until cancelled."""
        while True:
            for number, address in enumerate(self.fleet.upstreams):
                running = self.fleet.standins[address].running
                if not running and number not in self._restarts:
                    self.ends.append(time.time())
                    self._restarts[number] = asyncio.create_task(
                        self._restart(number)
                    )
            await asyncio.sleep(0.02)

    def crashing_runs(self) -> list[float]:
        """Return when upstreams began requests with the crashing part."""
        return [
            run['at']
            for run in self.fleet.printed_runs()
            if CRASHING in run['prompt']
        ]

    async def finish_restarts(self, keeper: asyncio.Task[None]) -> None:
        """Begin no more restarts, and wait for those that have begun."""
        keeper.cancel()
        await asyncio.gather(*self._restarts.values())

    async def _restart(self, number: int) -> None:
        await asyncio.sleep(RESTART_DELAY)
        await self.fleet.start_upstream(number)
        await self.fleet.register(number)
        self._restarts.pop(number)


@pytest.fixture(params=[0, 1], ids=['at once', 'after an event'])
async def crowd(
    request: pytest.FixtureRequest, tmp_path: Path
) -> AsyncIterator[Crowd]:
    """Start a fleet whose upstreams crash on one part, and restart them."""
    fleet = GatewayFleet(tmp_path, ENTRIES, UPSTREAMS)
    fleet.upstream_words = (
        f'crash_on={CRASHING}',
        f'crash_after={request.param}',
    )
    started = Crowd(fleet)
    try:
        await fleet.start()
        keeper = asyncio.create_task(started.restart_upstreams())
        yield started
        await started.finish_restarts(keeper)
    finally:
        await fleet.stop()


def served_share(sent: list[Sent], since: float = 0) -> float:
    """Return the share of requests sent later than ``since`` with 200."""
    statuses = [req.status for req in sent if req.at > since]
    return statuses.count(200) / len(statuses)


async def test_crashing_prompt_part_reaches_few_upstreams_after_the_fifth(
    crowd: Crowd,
) -> None:
    calm = await crowd.send_each(
        SOUND_INTERVAL, time.time() + 2, crowd.send_sound
    )
    end = time.time() + 14
    sound, _ = await asyncio.gather(
        crowd.send_each(SOUND_INTERVAL, end, crowd.send_sound),
        crowd.send_each(CRASHING_INTERVAL, end, crowd.send_crashing),
    )
    runs = crowd.crashing_runs()
    fifth = crowd.ends[:FREE_ENDS][-1]
    assert len([at for at in runs if at > fifth + CONTACT_TIME]) <= MAX_SENT
    share = served_share(sound, fifth + 2 * CONTACT_TIME)
    assert share >= MIN_SOUND_SHARE * served_share(calm)


async def test_restarted_instance_learns_of_crashing_parts_before_it_serves(
    crowd: Crowd,
) -> None:
    await crowd.send_each(SOUND_INTERVAL, time.time() + 1, crowd.send_sound)
    await crowd.send_each(
        CRASHING_INTERVAL, time.time() + 4, crowd.send_crashing
    )
    known = len(crowd.crashing_runs())
    for entry, child in enumerate(crowd.fleet.entries):
        await child.end()
        await crowd.fleet.start_entry(entry)
        until = time.time() + 1.5
        while time.time() < until:
            await crowd.send_crashing()
            await asyncio.sleep(0.01)
    assert len(crowd.crashing_runs()) == known
