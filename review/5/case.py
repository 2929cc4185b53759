"""A new machine whose seeds are out of date takes over all jobs, unseen."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

from review.lib.fleet import (
    BROKEN,
    HELD,
    CannotRunError,
    Entry,
    Fleet,
    Record,
    batch_route,
    is_trouble,
    item,
    play,
    stream_route,
)

FIRST = 7  # entries; the first three are the seeds
REMOVED = 3  # of 7: 0.43, inside the share 0.45 of `roll_term` at the site
GAP = 1.3  # seconds between two of them, as in the site
SEED_LAG = 3.0  # seconds, `seed-lag-s`
CONTACT = 4.0  # seconds, `contact-ms`
SETTLE = 1.0  # seconds, `settle-ms`
FINISH = 18.0  # seconds, `finish-s`
LOAD_FOR = 14.0  # seconds
JOB = '7c41e09b52d6a3f8'
ITEMS = 4
WORK = {'events': 261, 'size': 60, 'gap': 0.01}
CHAT = json.dumps({'events': 38, 'size': 60, 'gap': 0.04}).encode()


async def run(note: Record) -> int:
    fleet = Fleet(note, entries=FIRST + 1)
    try:
        return await _run(fleet, note)
    finally:
        await fleet.stop()


async def _run(fleet: Fleet, note: Record) -> int:
    await fleet.add_servers(2, slots=4, queue=24)
    fleet.configure([stream_route(), batch_route()])
    first, added = fleet.entries[:FIRST], fleet.entries[FIRST]
    old_seeds = [fleet.control_address(entry) for entry in first[:3]]
    for entry in first:
        entry.seeds = old_seeds
        await fleet.start(entry)
    for entry in first:
        await fleet.wait_ready(entry)
    await asyncio.sleep(3)
    if is_trouble():
        staying = await _remove_seeds(fleet, note, first)
    else:
        staying = first
        added.seeds = old_seeds
        await fleet.start(added, bootstrap=False)
    await fleet.wait_ready(added)
    await asyncio.sleep(CONTACT + 1)
    load = asyncio.create_task(_press(fleet, staying))
    await asyncio.sleep(1)
    return await _play_job(fleet, note, staying, added, load)


async def _remove_seeds(
    fleet: Fleet, note: Record, first: list[Entry]
) -> list[Entry]:
    """Remove the seeds as planned work, and add one machine meanwhile."""
    added, staying = fleet.entries[FIRST], first[REMOVED:]
    gone_at = []
    stops = []

    async def remove(entry: Entry) -> None:
        note('SIGTERM', entry=entry.name)
        entry.signal(signal.SIGTERM)
        note('ended', entry=entry.name, status=await entry.process.wait())
        gone_at.append(time.monotonic())

    for entry in first[:REMOVED]:
        stops.append(asyncio.create_task(remove(entry)))
        await asyncio.sleep(GAP)
    await asyncio.wait(stops)
    added.seeds = first[0].seeds
    await fleet.start(added, bootstrap=False)
    while not fleet.has_started(added):
        await asyncio.sleep(0.02)
    await asyncio.sleep(max(0, min(gone_at) + SEED_LAG - time.monotonic()))
    note('seeds', out_of_date_for=round(time.monotonic() - min(gone_at), 2))
    # Now the platform names machines that are there, in the settings of all.
    for entry in (*staying, added):
        entry.seeds = [fleet.control_address(seed) for seed in staying[:3]]
        fleet.write_settings(entry, bootstrap=False)
        entry.signal(signal.SIGHUP)
    note('SIGHUP', seeds=','.join(added.seeds))
    return staying


async def _press(fleet: Fleet, entries: list[Entry]) -> None:
    """Keep eight streams running for a while."""
    until = time.monotonic() + LOAD_FOR

    async def ask(number: int) -> None:
        count = 0
        while time.monotonic() < until:
            count += 1
            headers = {
                'X-Attempt-Id': f'c{number}x{count}',
                'X-Deadline-Ms': '5000',
                'X-Model': 'm',
                'X-Token-Usage': '450,38',
                'X-Prompt-Prefix': f'aa01:200,c{number}x{count}:250',
            }
            reply = await fleet.request(
                entries[number % len(entries)], 'POST', '/chat/1', headers, CHAT
            )
            fleet.note('chat', id=f'c{number}x{count}', status=reply.status)
            if reply.status != 200:
                await asyncio.sleep(0.2)

    await asyncio.gather(*(ask(number) for number in range(8)))


async def _play_job(
    fleet: Fleet,
    note: Record,
    staying: list[Entry],
    added: Entry,
    load: asyncio.Task[None],
) -> int:
    acceptor = staying[0]
    items = [
        item(f'e5b2907c14da{number:04x}', f'/lists/3/{number:x}', WORK)
        for number in range(ITEMS)
    ]
    status = await fleet.submit(acceptor, JOB, '/lists/7c41e0', items)
    if status != 202:
        raise CannotRunError(f'the job was answered with {status}')
    # A client reads the results at another machine.
    seen = []
    while not load.done():
        seen = max(seen, await fleet.read_all(added, JOB), key=len)
        await asyncio.sleep(0.5)
    await load
    until = time.monotonic() + FINISH
    while time.monotonic() < until and len(seen) < ITEMS:
        seen = await fleet.read_all(added, JOB)
        await asyncio.sleep(0.5)
    await asyncio.sleep(SETTLE + CONTACT)
    broken = False
    for entry in (*staying, added):
        listed = await fleet.read_all(entry, JOB)
        lost = [known['id'] for known in seen if known not in listed]
        note(
            'end',
            entry=entry.name,
            read_before=len(seen),
            listed=len(listed),
            lost=len(lost),
        )
        broken = broken or bool(lost)
    if not seen:
        raise CannotRunError('no result was read')
    return BROKEN if broken else HELD


if __name__ == '__main__':
    sys.exit(play(str(Path(__file__).parent), run))
