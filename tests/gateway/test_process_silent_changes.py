"""Sound upstreams that stand still while a configuration takes effect."""

import asyncio
import signal
from typing import Any

import pytest

from tests.gateway.fleet import ENTRIES, GatewayFleet, has_applied_config
from tests.gateway.wire_samples import (
    expected_stream,
    job_doc,
    route_doc,
    route_docs,
)
from tests.utils.http import Reply, until

# A deadline of 5 s leaves time for an answer.
LATE_TIME = 3.4  # seconds that an upstream reads nothing
STILL_TIME = 1.1  # seconds that an upstream sends nothing
ROUNDS = 3
ROUND_TIME = 1.0  # seconds in which requests begin before a change
INTERVAL = 0.05  # seconds between two requests
EVENTS = 20
CALM_TIME = 0.5  # seconds between two changes
CHANGES: dict[str, dict[str, Any]] = {
    'timeouts': {'latency_target_ms': 100, 'timeout_ms': 4500},
    'attempts': {'max_attempts': 1},
    'priority': {'priority': 2},
}


async def _ask(fleet: GatewayFleet, number: int) -> tuple[str, Reply]:
    """Send a request of the kind whose turn it is."""
    name = f'r{number}'
    entry = number % ENTRIES
    if number % 4 == 0:
        reply = await fleet.request(entry, name, '/get/1', method='GET')
    elif number % 4 == 1:
        reply = await fleet.request(entry, name, '/pay/1', {})
    else:
        body = {'events': EVENTS, 'pause': INTERVAL}
        reply = await fleet.request(entry, name, body=body)
    return name, reply


def _stand_still(fleet: GatewayFleet, signum: signal.Signals) -> None:
    for address in fleet.upstreams:
        fleet.standins[address].process.send_signal(signum)


async def _change(fleet: GatewayFleet, number: int, **route: Any) -> None:
    """Change a route; upstreams stand still from when it is in force."""
    changed = [route_doc(**route), *route_docs()[1:]]
    if number % 2:
        # Another one goes, and comes back with the next change.
        changed = [doc for doc in changed if doc['name'] != 'once']
    await fleet.configure(changed)
    await until(lambda: has_applied_config(fleet, 0, fleet.version))
    _stand_still(fleet, signal.SIGSTOP)
    await asyncio.sleep(STILL_TIME)
    _stand_still(fleet, signal.SIGCONT)
    await asyncio.sleep(CALM_TIME)


@pytest.mark.parametrize('change', CHANGES)
async def test_each_request_is_answered_whole_beside_a_change(
    fleet: GatewayFleet, change: str
) -> None:
    # Items take part of the slots, and are resumed behind the requests.
    job = job_doc('job1', 6, 60)
    assert (await fleet.request(0, 'job1', '/lists/j', job)).status == 202
    asked: list[asyncio.Task[tuple[str, Reply]]] = []

    async def ask_on() -> None:
        while True:
            asked.append(asyncio.create_task(_ask(fleet, len(asked))))
            await asyncio.sleep(INTERVAL)

    asking = asyncio.create_task(ask_on())
    for number in range(ROUNDS):
        await asyncio.sleep(ROUND_TIME)
        route = CHANGES[change] if number % 2 == 0 else {}
        await _change(fleet, number, **route)
    asking.cancel()
    # A request that is cut raises here.
    answers = await asyncio.gather(*asked)
    for name, reply in answers:
        if reply.body.startswith(b'id:'):
            assert reply.body == expected_stream(name, EVENTS)
    served = sum(reply.status == 200 for _, reply in answers)
    assert served > len(answers) / 2


@pytest.mark.parametrize('size', [10, 300000, 900000])
async def test_upstream_that_reads_a_long_body_late_answers_it(
    fleet: GatewayFleet, size: int
) -> None:
    _stand_still(fleet, signal.SIGSTOP)
    asking = asyncio.create_task(
        fleet.request(0, 'r1', '/pay/1', {'text': 'x' * size})
    )
    await asyncio.sleep(LATE_TIME)
    _stand_still(fleet, signal.SIGCONT)
    assert (await asking).status == 200
    assert len(await fleet.runs()) == 1
