"""Many jobs for one service keep the jobs of another one from starting."""

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

SMALL = 'models-small'
BURST_JOBS = 6  # 0.342 jobs a second, times 6.0, for 3.0 s
USUAL_JOBS = 1  # the same without the burst
BURST_TIME = 3.0  # seconds
ITEMS = 10  # of each job
WORK = {'events': 261, 'size': 60, 'gap': 0.018}
JOB = '7c41e09b52d6a3f8'
FINISH = 18.0  # seconds, `finish-s`
CALM = 5.0  # seconds
RETENTION = 60  # seconds, as in the site
TOLERANCE = 7.0  # seconds


async def run(note: Record) -> int:
    fleet = Fleet(note, entries=3)
    try:
        return await _run(fleet, note)
    finally:
        await fleet.stop()


async def _run(fleet: Fleet, note: Record) -> int:
    await fleet.add_servers(4, slots=8, queue=24)
    await fleet.add_servers(1, slots=2, queue=6, service=SMALL)
    fleet.configure(
        [
            batch_route(),
            batch_route(name='r-plans', path_prefix='/plans/', service=SMALL),
        ]
    )
    for entry in fleet.entries:
        entry.seeds = [fleet.control_address(seed) for seed in fleet.entries]
        await fleet.start(entry)
    for entry in fleet.entries:
        await fleet.wait_ready(entry)
    await asyncio.sleep(3)
    entry = fleet.entries[0]
    jobs = BURST_JOBS if is_trouble() else USUAL_JOBS
    note('trouble' if is_trouble() else 'usual', jobs=jobs)
    small: list[str] = []
    for number in range(jobs):
        names = [f'a{number:03x}907c14da{index:04x}' for index in range(ITEMS)]
        small += names
        items = [item(name, f'/plans/3/{name}', WORK) for name in names]
        status = await fleet.submit(
            entry, f'a{number:03x}e09b52d6a3f8', f'/plans/{number}', items
        )
        if status != 202:
            raise CannotRunError(f'a job was answered with {status}')
        await asyncio.sleep(BURST_TIME / BURST_JOBS)
    items = [
        item(
            f'e5b2907c14da{number:04x}',
            f'/lists/3/{number:x}',
            WORK,
            tokens=940,
        )
        for number in range(ITEMS)
    ]
    status = await fleet.submit(entry, JOB, '/lists/7c41e0', items)
    if status != 202:
        raise CannotRunError(f'the job was answered with {status}')
    return await _judge(fleet, note, [known['id'] for known in items], small)


async def _judge(
    fleet: Fleet, note: Record, names: list[str], small: list[str]
) -> int:
    until = time.monotonic() + FINISH
    listed: list[dict] = []
    finished_before = 0
    while time.monotonic() < until and len(listed) < len(names):
        if time.monotonic() < until - CALM:
            finished_before = _finished(fleet)
        listed = await fleet.read_all(fleet.entries[1], JOB)
        await asyncio.sleep(0.25)
    missing = set(names) - {known['id'] for known in listed}
    finished = _finished(fleet)
    done = {name for server in fleet.servers for name in server.finished}
    waiting = len(missing) + len(set(small) - done)
    had = fleet.had_lately(missing, CALM)
    busy = sum(server.running for server in fleet.servers[:4])
    lately = finished - finished_before
    note(
        'end',
        listed=len(listed),
        missing=len(missing),
        missing_that_servers_had_lately=had,
        their_servers_at_work=busy,
        items_finished_lately=lately,
        items_waiting=waiting,
    )
    excused = had or busy * 2 >= 32 or lately * 10 >= waiting
    if not missing or excused:
        return HELD
    await asyncio.sleep(RETENTION + TOLERANCE - FINISH)
    listed = await fleet.read_all(fleet.entries[1], JOB)
    note(
        'later',
        listed=len(listed),
        dead_lettered=sum(known['state'] != 'completed' for known in listed),
    )
    return BROKEN


def _finished(fleet: Fleet) -> int:
    return sum(len(server.finished) for server in fleet.servers)


if __name__ == '__main__':
    sys.exit(play(str(Path(__file__).parent), run))
