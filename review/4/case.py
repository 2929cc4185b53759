"""An accepted job that is sent again gets 429 where the quota is nearly used."""

import asyncio
import sys
import time
from pathlib import Path

from review.lib.fleet import (
    BROKEN,
    HELD,
    CannotRunError,
    Fleet,
    Record,
    batch_route,
    is_trouble,
    item,
    play,
)

ITEMS = 10  # of each job
BURST_JOBS = 6  # 0.342 jobs a second, times 6.0, for 3.0 s
BURST_TIME = 3.0  # seconds
TOKENS = 611  # of each item
MAX_COUNT = 45000  # tokens that may wait; 73 items
SETTLE = 1.0  # seconds, `settle-ms`
CONTACT = 4.0  # seconds, `contact-ms`
LIMIT = 3  # the rule is broken by so many refusals
WORK = {'events': 261, 'size': 60, 'gap': 0.03}
JOB = '7c41e09b52d6a3f8'


async def run(note: Record) -> int:
    fleet = Fleet(note, entries=6)
    try:
        return await _run(fleet, note)
    finally:
        await fleet.stop()


async def _run(fleet: Fleet, note: Record) -> int:
    await fleet.add_servers(2, slots=4, queue=24)
    fleet.configure([batch_route(max_count=MAX_COUNT)])
    for entry in fleet.entries:
        entry.seeds = [
            fleet.control_address(seed) for seed in fleet.entries[:3]
        ]
        await fleet.start(entry)
    for entry in fleet.entries:
        await fleet.wait_ready(entry)
    await asyncio.sleep(CONTACT + 1)
    if is_trouble():
        await _burst(fleet, note)
    # Two clients submit one job each, shortly after each other.
    await _submit(fleet, 0, 'b000e09b52d6a3f8', 1)
    await asyncio.sleep(0.1)
    if await _submit(fleet, 1, JOB, ITEMS) != 202:
        raise CannotRunError('the job was not accepted')
    accepted_at = time.monotonic()
    await asyncio.sleep(SETTLE + 0.02)
    # Other clients send the accepted job again, each at another entry.
    statuses = await asyncio.gather(
        *(_submit(fleet, number, JOB, ITEMS) for number in range(2, 6))
    )
    refused = sum(status == 429 for status in statuses)
    note(
        'end',
        seconds_after_202=round(time.monotonic() - accepted_at, 3),
        statuses=statuses,
        refused=refused,
    )
    await _wait_for_run(fleet, note)
    return BROKEN if refused >= LIMIT else HELD


async def _burst(fleet: Fleet, note: Record) -> None:
    """Submit jobs that nearly use the quota up, and wait till all know it."""
    note('trouble', jobs=BURST_JOBS)
    for number in range(BURST_JOBS):
        job_id = f'a{number:03x}e09b52d6a3f8'
        if await _submit(fleet, number % 6, job_id, ITEMS) != 202:
            raise CannotRunError('a job of the burst was not accepted')
        await asyncio.sleep(BURST_TIME / BURST_JOBS)
    await asyncio.sleep(3)


async def _submit(fleet: Fleet, number: int, job_id: str, count: int) -> int:
    items = [
        item(
            f'{job_id[:8]}907c{index:04x}',
            f'/lists/3/{index:x}',
            WORK,
            tokens=TOKENS,
        )
        for index in range(count)
    ]
    return await fleet.submit(
        fleet.entries[number], job_id, f'/lists/{job_id}', items
    )


async def _wait_for_run(fleet: Fleet, note: Record) -> None:
    """Note whether the job runs that was answered with 429."""
    until = time.monotonic() + 80
    listed = 0
    while time.monotonic() < until and listed < ITEMS:
        listed = len(await fleet.read_all(fleet.entries[2], JOB))
        await asyncio.sleep(2)
    note('later', results_of_the_job=listed)


if __name__ == '__main__':
    sys.exit(play(str(Path(__file__).parent), run))
