"""Upstreams that fall silent, and streams that none takes for a while."""

import asyncio
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from tests.gateway.fleet import (
    UPSTREAMS,
    GatewayFleet,
    has_applied_config,
)
from tests.gateway.wire_samples import (
    expected_output,
    expected_stream,
    job_doc,
    route_doc,
)
from tests.utils.http import Reply, until

SHORT_SILENCE = 1.2  # seconds that a sound upstream may be silent
LONG_SILENCE = 2.5  # seconds
EVENTS = 10
SILENT_AFTER = 3  # events
CUT_AFTER = 5  # events
# Seconds without an event after which callers abandon a stream.
CALLER_PATIENCE = 2.0
AWAY_TIME = 0.6  # seconds
ROSTER_CHANGED = 3005  # event number


@pytest.fixture
async def lone(tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Start one entry before one upstream."""
    started = GatewayFleet(tmp_path, 1, 1)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


@pytest.fixture
async def pair(tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Start one entry before two upstreams."""
    started = GatewayFleet(tmp_path, 1, UPSTREAMS)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


async def _fall_silent(fleet: GatewayFleet, **faults: float) -> None:
    for number, _ in enumerate(fleet.upstreams):
        await fleet.set_faults(number, **faults)


async def test_stream_of_silent_upstreams_is_not_cut(
    pair: GatewayFleet,
) -> None:
    await _fall_silent(pair, silent=SHORT_SILENCE, silent_after=SILENT_AFTER)
    reply = await pair.request(0, 'r1', body={'events': EVENTS})
    assert reply.body == expected_stream('r1', EVENTS)


async def test_upstream_that_is_silent_for_about_a_second_is_not_left(
    pair: GatewayFleet,
) -> None:
    await _fall_silent(pair, silent=SHORT_SILENCE)
    await asyncio.gather(
        *(pair.request(0, f'r{one}', body={'events': 2}) for one in range(4))
    )
    names = [run['id'] for run in await pair.runs()]
    assert sorted(names) == ['r0', 'r1', 'r2', 'r3']


async def test_request_of_a_silent_upstream_outlasts_a_full_successor(
    pair: GatewayFleet,
) -> None:
    await pair.set_faults(0, silent=LONG_SILENCE)
    await pair.set_faults(1, shed=True)
    asking = [
        asyncio.create_task(pair.request(0, f'r{one}', '/get/1', {}))
        for one in range(4)
    ]
    await asyncio.sleep(LONG_SILENCE)
    await _fall_silent(pair)
    replies = await asyncio.gather(*asking)
    assert {reply.status for reply in replies} == {200}


@pytest.mark.parametrize(
    ('path', 'body', 'expected'),
    [
        ('/chat/1', {'events': EVENTS}, expected_stream('r1', EVENTS)),
        ('/get/1', {}, b'plain'),
    ],
)
async def test_answer_of_silent_upstreams_is_not_replaced_by_an_error(
    pair: GatewayFleet, path: str, body: dict[str, int], expected: bytes
) -> None:
    await _fall_silent(pair, silent=SHORT_SILENCE)
    reply = await pair.request(0, 'r1', path, body)
    assert (reply.status, reply.body) == (200, expected)


async def test_last_attempt_of_a_stream_outlasts_a_long_silence(
    pair: GatewayFleet,
) -> None:
    await _fall_silent(pair, silent=LONG_SILENCE, silent_after=SILENT_AFTER)
    reply = await pair.request(0, 'r1', body={'events': EVENTS})
    assert reply.body == expected_stream('r1', EVENTS)
    assert len(await pair.runs()) == UPSTREAMS


async def test_silent_upstream_is_not_given_up_without_another_one(
    lone: GatewayFleet,
) -> None:
    await _fall_silent(lone, silent=LONG_SILENCE, silent_after=SILENT_AFTER)
    reply = await lone.request(0, 'r1', body={'events': EVENTS})
    assert reply.body == expected_stream('r1', EVENTS)
    assert len(await lone.runs()) == 1


async def test_stream_of_a_dark_upstream_is_resumed_before_callers_leave(
    pair: GatewayFleet,
) -> None:
    await pair.set_faults(0, silent=9, silent_after=SILENT_AFTER)
    began = time.monotonic()
    replies = await asyncio.gather(
        *(
            pair.request(0, f'r{number}', body={'events': EVENTS})
            for number in range(4)
        )
    )
    assert time.monotonic() - began < CALLER_PATIENCE
    for number, reply in enumerate(replies):
        assert reply.body == expected_stream(f'r{number}', EVENTS)
    assert {run['last'] for run in await pair.runs()} == {0, SILENT_AFTER}


async def _drain(fleet: GatewayFleet, number: int) -> None:
    """Let an upstream leave, and wait until the entry knows it."""
    known = len(_roster_lines(fleet))
    await fleet.register(number, 'draining')
    await until(lambda: len(_roster_lines(fleet)) > known)


def _roster_lines(fleet: GatewayFleet) -> list[dict[str, Any]]:
    lines = fleet.entries[0].log_lines()
    return [line for line in lines if line['code'] == ROSTER_CHANGED]


async def test_cut_stream_waits_for_an_upstream_that_takes_it(
    pair: GatewayFleet,
) -> None:
    await _drain(pair, 1)
    await pair.set_faults(0, cut_after=CUT_AFTER)
    asking = asyncio.create_task(
        pair.request(0, 'r1', body={'events': EVENTS, 'pause': 0.3})
    )
    await until(pair.runs)
    await _drain(pair, 0)
    await until(lambda: _is_cut(pair))
    await asyncio.sleep(AWAY_TIME)
    await pair.register(1)
    assert (await asking).body == expected_stream('r1', EVENTS)


async def _is_cut(fleet: GatewayFleet) -> bool:
    return not any(run['active'] for run in await fleet.runs())


async def test_cut_stream_outlasts_upstreams_that_are_full_for_a_while(
    pair: GatewayFleet,
) -> None:
    await _fall_silent(pair, cut_after=CUT_AFTER)
    asking = asyncio.create_task(
        pair.request(0, 'r1', body={'events': EVENTS, 'pause': 0.1})
    )
    await until(pair.runs)
    await _fall_silent(pair, shed=True)
    await until(lambda: _is_cut(pair))
    await asyncio.sleep(AWAY_TIME)
    await _fall_silent(pair)
    reply: Reply = await asking
    assert reply.body == expected_stream('r1', EVENTS)


@pytest.mark.parametrize(
    'changes',
    [
        {'timeout_ms': 500},
        {'path_prefix': '/moved/'},
        {'service': 'others'},
    ],
)
async def test_stream_outlasts_a_change_of_its_route(
    pair: GatewayFleet, changes: dict[str, Any]
) -> None:
    await _fall_silent(pair, silent=SHORT_SILENCE, silent_after=SILENT_AFTER)
    asking = asyncio.create_task(pair.request(0, 'r1', body={'events': EVENTS}))
    await until(pair.runs)
    await pair.configure([route_doc(**changes)])
    await until(lambda: has_applied_config(pair, 0, pair.version))
    assert (await asking).body == expected_stream('r1', EVENTS)


async def test_item_of_a_silent_upstream_is_not_run_again(
    pair: GatewayFleet,
) -> None:
    await _fall_silent(pair, silent=SHORT_SILENCE, silent_after=SILENT_AFTER)
    job = job_doc('j', 1, EVENTS)
    await pair.request(0, 'j', '/lists/1', job)

    async def results() -> list[dict[str, Any]]:
        reply = await pair.request(
            0, 'x', '/gentiantrestle/lots/j?after=0', method='GET'
        )
        return reply.json()['results']

    outputs = [item['output'] for item in await until(results)]
    assert outputs == [expected_output('j-0', EVENTS)]
    assert len(await pair.runs()) == 1
