"""Requests that crash engines whenever they come, with real processes."""

import asyncio
import time
from collections.abc import AsyncIterator
from itertools import count

import pytest

from tests.conftest import StartFleet
from tests.utils.fleet import UNREACHABLE, Fleet
from tests.utils.http import Reply

ZONES = ('a1',) * 4
RESTART_DELAY = 0.5  # seconds
CONTACT_TIME = 4.0  # seconds in which all instances hear of a crash
FREE_CRASHES = 3
MAX_RETRIES = 3  # later than the contact time after the third crash
REPEAT_INTERVAL = 0.3  # seconds
PLAY_TIME = 10.0  # seconds
REFUSED = 503


class Engines:
    """Starts the engines of a fleet again, and notes when they end."""

    def __init__(self, fleet: Fleet) -> None:
        """Watch nothing yet."""
        self.fleet = fleet
        self.ends: list[float] = []

    async def keep_running(self) -> None:
        """Start each engine that ends again, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for index, _ in enumerate(self.fleet.engines):
                group.create_task(self._keep(index))

    async def _keep(self, index: int) -> None:
        while True:
            await self.fleet.engine_process(index).child.wait()
            self.ends.append(time.time())
            await asyncio.sleep(RESTART_DELAY)
            await self.fleet.restart_engine(index)


@pytest.fixture
async def engines(start_fleet: StartFleet) -> AsyncIterator[Engines]:
    """Start a fleet whose engines are started again when they end."""
    started = Engines(await start_fleet(*ZONES))
    keeper = asyncio.create_task(started.keep_running())
    yield started
    keeper.cancel()
    await asyncio.wait([keeper])


async def complete(
    fleet: Fleet, number: int, prompt: str, *, stream: bool
) -> Reply | None:
    """Send a completion to a daemon; None if its answer was cut."""
    body = {'model': 'chat', 'prompt': prompt, 'max_tokens': 5}
    try:
        return await fleet.call(
            number % len(ZONES),
            'POST',
            '/v1/completions',
            {**body, 'stream': stream},
        )
    except UNREACHABLE:
        return None


@pytest.mark.parametrize('stream', [True, False])
async def test_request_that_crashes_engines_is_not_sent_on_for_ever(
    engines: Engines, stream: bool
) -> None:
    fleet = engines.fleet
    end = time.time() + PLAY_TIME
    tasks = []
    for number in count():
        if time.time() > end:
            break
        asking = complete(fleet, number, 'crash', stream=stream)
        tasks.append(asyncio.create_task(asking))
        await asyncio.sleep(REPEAT_INTERVAL)
    replies = await asyncio.gather(*tasks)
    third = engines.ends[FREE_CRASHES - 1]
    late = [at for at in engines.ends if at > third + CONTACT_TIME]
    assert len(late) <= MAX_RETRIES
    refused = [reply for reply in replies if reply and reply.status == REFUSED]
    assert refused[-1].json()['error']['type'] == 'quarantined'
    sound = [
        await complete(fleet, number, f'note {number}', stream=stream)
        for number in range(len(ZONES))
    ]
    assert [reply.status for reply in sound] == [200] * len(ZONES)
