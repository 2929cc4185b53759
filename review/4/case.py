"""The operator splits a batch route; items of an open job wait without end."""

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
    stream_route,
)

ITEMS = 40
WORK = {'events': 261, 'size': 60, 'gap': 0.012}
JOB = '7c41e09b52d6a3f8'
FINISH = 18.0  # seconds, `finish-s`
CALM = 5.0  # seconds without any disruption before the judgement


async def run(note: Record) -> int:
    fleet = Fleet(note, entries=3)
    try:
        return await _run(fleet, note)
    finally:
        await fleet.stop()


async def _run(fleet: Fleet, note: Record) -> int:
    await fleet.add_servers(2, slots=8, queue=24)
    fleet.configure([stream_route(), batch_route()])
    for entry in fleet.entries:
        entry.seeds = [fleet.control_address(seed) for seed in fleet.entries]
        await fleet.start(entry)
    for entry in fleet.entries:
        await fleet.wait_ready(entry)
    await asyncio.sleep(3)
    items = [
        item(f'e5b2907c14da{number:04x}', f'/lists/3/{number:x}', WORK)
        for number in range(ITEMS)
    ]
    status = await fleet.submit(fleet.entries[0], JOB, '/lists/a/7c41e0', items)
    if status != 202:
        raise CannotRunError(f'the job was answered with {status}')
    await asyncio.sleep(1.5)
    if is_trouble():
        note('trouble', split='/lists/ into /lists/a/ and /lists/b/')
        fleet.configure(
            [
                stream_route(),
                batch_route(name='r-lists-a', path_prefix='/lists/a/'),
                batch_route(name='r-lists-b', path_prefix='/lists/b/'),
            ]
        )
    until = time.monotonic() + FINISH + CALM
    listed = []
    while time.monotonic() < until and len(listed) < ITEMS:
        listed = await fleet.read_all(fleet.entries[1], JOB)
        await asyncio.sleep(0.5)
    names = {known['id'] for known in items}
    missing = names - {known['id'] for known in listed}
    had = fleet.had_lately(missing, CALM)
    working = sum(server.running for server in fleet.servers)
    note(
        'end',
        listed=len(listed),
        dead_lettered=sum(known['state'] != 'completed' for known in listed),
        missing=len(missing),
        missing_that_servers_had_lately=had,
        servers_at_work=working,
    )
    return BROKEN if missing and not had and not working else HELD


if __name__ == '__main__':
    sys.exit(play(str(Path(__file__).parent), run))
