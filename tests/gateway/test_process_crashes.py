"""A prompt part that crashes upstreams, with real processes."""

import asyncio
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.gateway.child import Child
from tests.gateway.crowd import (
    CONTACT_TIME,
    CRASHING,
    SYSTEM,
    Crowd,
    served_share,
)
from tests.gateway.fleet import GatewayFleet

ENTRIES = 3
UPSTREAMS = 5
FREE_ENDS = 5
MAX_SENT = 3  # crashing requests sent to upstreams later than that
MIN_SOUND_SHARE = 0.5  # of the share without crashes
MAX_ALONE_TIME = 1.5  # seconds until an instance without others serves
PAUSE = 1.5  # seconds that the other instances stand still
CRASHING_INTERVAL = 0.25  # seconds
SOUND_INTERVAL = 0.1  # seconds


def resume(children: list[Child]) -> None:
    """Let processes go on that were stopped."""
    for child in children:
        child.process.send_signal(signal.SIGCONT)


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


async def test_restarted_instance_waits_for_others_that_answer_late(
    crowd: Crowd,
) -> None:
    await crowd.send_each(
        CRASHING_INTERVAL, time.time() + 4, crowd.send_crashing
    )
    known = len(crowd.crashing_runs())
    restarted, *others = crowd.fleet.entries
    await restarted.end()
    for child in others:
        child.process.send_signal(signal.SIGSTOP)
    await crowd.fleet.start_entry(0)
    asyncio.get_running_loop().call_later(PAUSE, resume, others)
    until = time.time() + PAUSE + 1
    while time.time() < until:
        await crowd.send('/chat/1', SYSTEM, CRASHING, entry=0)
        await asyncio.sleep(0.01)
    assert len(crowd.crashing_runs()) == known


async def test_restarted_instance_does_not_wait_for_others_that_have_ended(
    crowd: Crowd,
) -> None:
    for child in crowd.fleet.entries:
        await child.end()
    await crowd.fleet.start_entry(0)
    sent = await crowd.send('/chat/1', SYSTEM, entry=0)
    while sent.status != 200:
        await asyncio.sleep(0.01)
        sent = await crowd.send('/chat/1', SYSTEM, entry=0)
    started = max(
        line['time']
        for line in crowd.fleet.entries[0].log_lines()
        if line['code'] == 1001
    )
    assert sent.at - started < MAX_ALONE_TIME


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
