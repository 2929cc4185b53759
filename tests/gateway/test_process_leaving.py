"""Upstreams whose answers say that they are leaving, before processes."""

import asyncio
import time
from typing import Any

import pytest

from tests.gateway.fleet import ENTRIES, UNREACHABLE, UPSTREAMS, GatewayFleet
from tests.gateway.wire_samples import job_doc
from tests.utils.http import until

DRAIN_TIME = 2.5  # seconds, as in the settings of the fleet
REQUESTS = 40
TOGETHER = 4  # requests at a time
LEAVING = 'u-0'
UPSTREAM_LEAVING = 3003


def knows_leaving(fleet: GatewayFleet, entry: int, upstream: str) -> bool:
    """Return whether an entry has logged that an upstream is leaving."""
    return any(
        line['code'] == UPSTREAM_LEAVING and line['upstream'] == upstream
        for line in fleet.entries[entry].log_lines()
    )


def others_know(fleet: GatewayFleet) -> bool:
    """Return whether another entry than entry 0 knows of the upstream."""
    return any(
        knows_leaving(fleet, entry, LEAVING) for entry in range(1, ENTRIES)
    )


async def make_known(
    fleet: GatewayFleet, kind: str, upstream: str = LEAVING
) -> None:
    """Send work of a kind to entry 0 until it has met a leaving upstream."""
    for number in range(REQUESTS):
        name = f'{kind}{number}'
        if kind == 'job':
            document = job_doc(name, 4, 3)
            await fleet.request(0, name, '/lists/j', document)
            await asyncio.sleep(0.3)
        else:
            body: Any = {'events': 3} if kind == 'chat' else {}
            await fleet.request(0, name, f'/{kind}/1', body)
        if knows_leaving(fleet, 0, upstream):
            return


async def send_all(fleet: GatewayFleet, label: str) -> set[int]:
    """Send requests and then a job to entry 0; return the statuses."""
    statuses: set[int] = set()
    for number in range(0, REQUESTS, TOGETHER):
        replies = await asyncio.gather(
            *(
                fleet.request(0, f'{label}{number + turn}', body={'events': 5})
                for turn in range(TOGETHER)
            )
        )
        statuses |= {reply.status for reply in replies}
    job = job_doc(f'{label}-j', 20, 5)
    reply = await fleet.request(0, f'{label}-j', '/lists/j', job)
    return statuses | {reply.status}


def run_times(fleet: GatewayFleet, *upstreams: int) -> list[float]:
    """Return the times at which runs began on upstreams."""
    return [
        run['at']
        for number in upstreams
        for run in fleet.standins[fleet.upstreams[number]].log_lines()
    ]


@pytest.mark.parametrize(
    ('kind', 'faults'),
    [
        ('chat', {}),
        ('get', {}),
        ('pay', {}),
        ('job', {}),
        ('chat', {'shed': True}),
        ('get', {'fail': True}),
        ('chat', {'cut_after': 1}),
    ],
)
@pytest.mark.parametrize('store_down', [True, False])
async def test_upstream_whose_answer_said_leaving_gets_no_work_of_that_entry(
    fleet: GatewayFleet, kind: str, faults: dict, store_down: bool
) -> None:
    await fleet.set_faults(0, leaving=True, **faults)
    if store_down and kind != 'job':
        await fleet.set_store_faults(down=True)
    await make_known(fleet, kind)
    assert knows_leaving(fleet, 0, LEAVING)
    # One coordinator at least is another entry.
    await until(lambda: others_know(fleet))
    known_at = time.time()
    await fleet.set_faults(0, leaving=True)
    await fleet.set_store_faults()
    assert await send_all(fleet, 'a') == {200, 202}
    await asyncio.sleep(1)
    assert [at for at in run_times(fleet, 0) if at > known_at] == []


async def test_last_upstreams_serve_for_drain_time_and_again_when_restarted(
    fleet: GatewayFleet,
) -> None:
    for number in range(UPSTREAMS):
        await fleet.set_faults(number, leaving=True)
    for number in range(UPSTREAMS):
        await make_known(fleet, 'chat', fleet.upstream_id(number))
    known_at = time.time()
    assert 200 in await send_all(fleet, 'a')
    await asyncio.sleep(known_at + DRAIN_TIME - time.time())
    assert await send_all(fleet, 'b') == {202, 503}
    await asyncio.sleep(1)
    late = known_at + DRAIN_TIME
    assert [at for at in run_times(fleet, 0, 1) if at > late] == []
    await fleet.standins[fleet.upstreams[0]].end()
    await fleet.start_upstream(0)
    await until(lambda: answers(fleet, 0))
    await fleet.register(0)
    await until(lambda: is_served(fleet))


async def answers(fleet: GatewayFleet, upstream: int) -> bool:
    """Return whether an upstream accepts connections."""
    try:
        await fleet.set_faults(upstream)
    except UNREACHABLE:
        return False
    return True


async def is_served(fleet: GatewayFleet) -> bool:
    """Return whether a request succeeds."""
    reply = await fleet.request(0, 'c', body={'events': 2})
    return reply.status == 200
