"""Results that were held back by the store are too large for one object."""

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

ITEMS = 200
JOB = '7c41e09b52d6a3f8'
REFUSED_FOR = 9.0  # seconds, as `platform_down` with `nodes` in the site
FINISH = 18.0  # seconds, `finish-s`
CALM = 5.0  # seconds without any disruption before the judgement


async def run(note: Record) -> int:
    fleet = Fleet(note, entries=4)
    try:
        return await _run(fleet, note)
    finally:
        await fleet.stop()


async def _run(fleet: Fleet, note: Record) -> int:
    await fleet.add_servers(10, slots=8, queue=24)
    fleet.configure([stream_route(), batch_route()])
    for entry in fleet.entries:
        entry.seeds = [fleet.control_address(seed) for seed in fleet.entries]
        await fleet.start(entry)
    for entry in fleet.entries:
        await fleet.wait_ready(entry)
    await asyncio.sleep(3)
    acceptor, reader = fleet.entries[0], fleet.entries[1]
    items = [
        item(f'e5b2907c14da{number:04x}', f'/lists/3/{number:x}', _work(number))
        for number in range(ITEMS)
    ]
    status = await fleet.submit(acceptor, JOB, '/lists/7c41e0', items)
    if status != 202:
        raise CannotRunError(f'the job was answered with {status}')
    if is_trouble():
        note('trouble', store_refuses=acceptor.name, seconds=REFUSED_FOR)
        fleet.store.refused.add(acceptor.name)
        await asyncio.sleep(REFUSED_FOR)
        fleet.store.refused.clear()
        note('trouble over', turned_away=fleet.store.turned_away)
    else:
        await asyncio.sleep(REFUSED_FOR)
    until = time.monotonic() + FINISH + CALM
    listed = []
    while time.monotonic() < until and len(listed) < ITEMS:
        listed = await fleet.read_all(reader, JOB)
        await asyncio.sleep(0.5)
    names = {known['id'] for known in items}
    missing = names - {known['id'] for known in listed}
    finished = {name for server in fleet.servers for name in server.finished}
    had = fleet.had_lately(missing, CALM)
    working = sum(server.running for server in fleet.servers)
    note(
        'end',
        listed=len(listed),
        finished_at_servers=len(finished),
        missing=len(missing),
        missing_that_servers_had_lately=had,
        servers_at_work=working,
    )
    return BROKEN if missing and not had and not working else HELD


def _work(number: int) -> dict[str, float]:
    """Return an item's work: 15,600 bytes of output, more or less a quarter."""
    return {'events': 98 + number * 37 % 65, 'size': 120, 'gap': 0.024}


if __name__ == '__main__':
    sys.exit(play(str(Path(__file__).parent), run))
