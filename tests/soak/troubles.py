"""Upstreams in trouble during a whole play: they crash, or name a limit.

The entries reach the upstreams without proxies then: a proxy accepts
connections for an upstream that has ended.
"""

import asyncio
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from tests.soak.callers import Callers
from tests.soak.history import APPLY_TIME, CRASHING, OK, History
from tests.soak.soak_fleet import SoakFleet

CRASHING_INTERVAL = 0.4  # seconds between requests that crash upstreams
RESTART_DELAY = 0.5  # seconds
MAX_CRASHING = 3  # crashing requests that reach upstreams in the calm part
MIN_SERVED = 0.5  # of the sound streams
LIMIT = 8.0  # requests a second
WINDOW = 4.0  # seconds
MOST = 1.5 * LIMIT * WINDOW + 5  # requests in a window


class Trouble(NamedTuple):
    """The arguments that put an upstream into trouble."""

    words: tuple[str, ...]


TROUBLES = {
    'crashing': Trouble((f'crash_on={CRASHING}',)),
    'limited': Trouble((f'limit={LIMIT}',)),
}


async def restart_upstreams(fleet: SoakFleet) -> None:
    """Start each upstream that has ended again, until cancelled."""
    while True:
        for number, address in enumerate(fleet.upstreams):
            if not fleet.standins[address].running:
                await asyncio.sleep(RESTART_DELAY)
                await fleet.start_upstream(number)
                fleet.history.end_drain(fleet.upstream_id(number))
                await fleet.register(number)
        await asyncio.sleep(0.05)


async def send_crashing(callers: Callers) -> None:
    """Send requests that crash upstreams, until the callers stop."""
    while not callers.stopping:
        asyncio.create_task(callers.stream('chat', CRASHING))
        await asyncio.sleep(CRASHING_INTERVAL)


def check_crashing(history: History) -> Iterator[str]:
    """Check that crashing requests are held back, and no others."""
    late = [
        run['id']
        for run in history.runs
        if CRASHING in run['prompt'] and run['at'] > history.calm_from
    ]
    if len(late) > MAX_CRASHING:
        yield f'BUDGET: {len(late)} crashing requests reached upstreams: {late}'
    statuses = Counter(
        req.status
        for req in history.requests
        if req.kind == 'chat'
        and req.sent > history.calm_from
        and CRASHING not in req.id
        and not _all_drain(history, req.sent)
    )
    if statuses[OK] < MIN_SERVED * statuses.total():
        yield f'LOST: of the sound streams ended {dict(statuses)}'


def _all_drain(history: History, at: float) -> bool:
    """Return whether no upstream may be used at a time."""
    draining = {
        drain.upstream
        for drain in history.drains
        if drain.at <= at <= drain.until + APPLY_TIME
    }
    return draining >= {run['upstream'] for run in history.runs}


def check_limited(history: History) -> Iterator[str]:
    """Check in the calm part that upstreams get what they take, at most."""
    for upstream in sorted({run['upstream'] for run in history.runs}):
        times = [
            run['at']
            for run in history.runs
            if run['upstream'] == upstream and run['at'] > history.calm_from
        ]
        most = max(
            (
                sum(1 for at in times if 0 <= at - start < WINDOW)
                for start in times
            ),
            default=0,
        )
        if most > MOST:
            yield f'LIMIT: {upstream} got {most} requests in {WINDOW} s'


def breaches(trouble: str, history: History) -> list[str]:
    """Run the checks of a play; those of a trouble only in its plays."""
    checks = {'crashing': check_crashing, 'limited': check_limited}
    found = history.breaches()
    if trouble:
        found += checks[trouble](history)
    return found
