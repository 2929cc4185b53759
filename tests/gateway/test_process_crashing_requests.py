"""A request that crashes upstreams whenever it comes, with real processes."""

import asyncio
import time
from collections.abc import AsyncIterator
from itertools import count, repeat
from pathlib import Path

import pytest

from tests.gateway.crowd import CONTACT_TIME, SYSTEM, Crowd, Sent, served_share
from tests.gateway.fleet import GatewayFleet
from tests.gateway.test_process_jobs import read_all
from tests.gateway.wire_samples import expected_output, job_doc

ENTRIES = 3
UPSTREAMS = 6
SESSION = '5e551070'  # a part of sound requests and of the crashing one
FREE_CRASHES = 3
MAX_RETRIES = 3  # sent later than the contact time after the third crash
MIN_SOUND_SHARE = 0.5  # of the share without crashes
REPEAT_INTERVAL = 0.3  # seconds
SOUND_INTERVAL = 0.1  # seconds
CRASH_BODY = {'events': 5, 'crash': 0.04}
REFUSED = 503
ITEMS = 6
FINISH_TIME = 18  # seconds after the last request within which jobs end


@pytest.fixture
async def crowd(tmp_path: Path) -> AsyncIterator[Crowd]:
    """Start a fleet whose upstreams are started again when they end."""
    fleet = GatewayFleet(tmp_path, ENTRIES, UPSTREAMS)
    started = Crowd(fleet)
    try:
        await fleet.start()
        keeper = asyncio.create_task(started.restart_upstreams())
        yield started
        await started.finish_restarts(keeper)
    finally:
        await fleet.stop()


def crashing_runs(crowd: Crowd) -> list[dict[str, object]]:
    """Return the runs of the crashing request, ended upstreams' included."""
    return [run for run in crowd.fleet.printed_runs() if 'crash' in run['body']]


def assert_few_retries(crowd: Crowd, sent: list[Sent]) -> None:
    """Check what reached upstreams, and that refusals are true."""
    runs = crashing_runs(crowd)
    third = runs[FREE_CRASHES - 1]['at']
    late = [run for run in runs if run['at'] > third + CONTACT_TIME]
    assert len(late) <= MAX_RETRIES
    refused = {req.request_id for req in sent if req.status == REFUSED}
    assert not refused & {run['id'] for run in runs}
    assert refused


@pytest.mark.parametrize('path', ['/chat/1', '/once/1', '/get/1', '/pay/1'])
async def test_request_that_crashes_upstreams_is_not_sent_on_for_ever(
    crowd: Crowd, path: str
) -> None:
    numbers = count()

    async def send_sound() -> Sent:
        body = {'events': 5, 'number': next(numbers)}
        return await crowd.send('/chat/1', SYSTEM, SESSION, body=body)

    async def send_crashing() -> Sent:
        return await crowd.send(path, SYSTEM, SESSION, body=CRASH_BODY)

    calm = await crowd.send_each(SOUND_INTERVAL, time.time() + 1.5, send_sound)
    end = time.time() + 12
    sound, crashing = await asyncio.gather(
        crowd.send_each(SOUND_INTERVAL, end, send_sound),
        crowd.send_each(REPEAT_INTERVAL, end, send_crashing),
    )
    assert_few_retries(crowd, crashing)
    share = served_share(sound, end - CONTACT_TIME)
    assert share >= MIN_SOUND_SHARE * served_share(calm)


async def test_crashing_request_is_recognized_with_another_query(
    crowd: Crowd,
) -> None:
    numbers = count()

    async def send_crashing() -> Sent:
        path = f'/get/1?page={next(numbers)}'
        return await crowd.send(path, body=CRASH_BODY)

    end = time.time() + 9
    sent = await crowd.send_each(REPEAT_INTERVAL, end, send_crashing)
    assert_few_retries(crowd, sent)


@pytest.mark.parametrize('recurs', [True, False])
@pytest.mark.parametrize('submitted', ['before', 'after'])
async def test_items_that_share_a_prompt_with_crashing_requests_are_completed(
    crowd: Crowd, recurs: bool, submitted: str
) -> None:
    numbers = repeat(0) if recurs else count()

    async def send_crashing() -> Sent:
        body = {**CRASH_BODY, 'number': next(numbers)}
        return await crowd.send('/chat/1', SYSTEM, SESSION, body=body)

    prompt = {'X-Prompt-Prefix': f'{SYSTEM}:10,{SESSION}:10,own:10'}
    job = job_doc('j', ITEMS, 40, headers=prompt)
    if submitted == 'before':
        await crowd.fleet.request(0, 'j', '/lists/1', job)
    await crowd.send_each(REPEAT_INTERVAL, time.time() + 5, send_crashing)
    if submitted == 'after':
        await crowd.fleet.request(0, 'j', '/lists/1', job)

    outputs = await read_all(crowd.fleet, 0, 'j', timeout=FINISH_TIME)
    assert outputs == {
        f'j-{number}': expected_output(f'j-{number}', 40)
        for number in range(ITEMS)
    }
