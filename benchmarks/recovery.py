"""Store calls, takeover after a crash, and configuration changes."""

import asyncio
import time
from pathlib import Path
from statistics import median

from benchmarks.policy import start_fleet
from tests.utils.fleet import Fleet, job_lines
from tests.utils.http import send, until

ITEMS = 5000
ROUNDS = 5


async def measure_store(folder: Path) -> list[str]:
    """Count store calls per 1,000 batch items and 200 online requests."""
    fleet = await start_fleet(folder)
    try:
        before = await _store_calls(fleet)
        job = (await fleet.submit(0, job_lines(ITEMS, 4), 'store')).json()
        while not await _is_finished(fleet, job['id']):
            await asyncio.sleep(0.5)
        after = await _store_calls(fleet)
        before_online = await _store_calls(fleet)
        for index in range(200):
            await fleet.call(
                index % 9,
                'POST',
                '/v1/completions',
                {
                    'model': 'chat',
                    'prompt': f'p{index}',
                    'max_tokens': 1,
                },
            )
        after_online = await _store_calls(fleet)
    finally:
        await fleet.stop()
    scale = 1000 / ITEMS
    names = ('write', 'get', 'list')
    return [
        'for 1,000 batch items: '
        + ', '.join(
            f'{(after.get(name, 0) - before.get(name, 0)) * scale:.1f} {name}s'
            for name in names
        )
        + ' (aim: under 20 writes)',
        (
            f'for 200 online requests: '
            f'{after_online["write"] - before_online["write"]} writes'
        ),
    ]


async def _store_calls(fleet: Fleet) -> dict[str, int]:
    return (await send(fleet.platform, 'POST', '/control', {})).json()['calls']


async def _is_finished(fleet: Fleet, job: str) -> bool:
    return (await fleet.job_status(1, job))['status'] != 'running'


async def measure_takeover(folder: Path) -> list[str]:
    """Measure the takeover of the chunks that a killed instance held.

    It is complete when each chunk is done or has another owner.
    """
    fleet = await start_fleet(folder)
    try:
        job = (await fleet.submit(0, job_lines(60, 600), 'take')).json()
        await asyncio.sleep(1.5)
        victim = await _busiest(fleet)
        started = time.monotonic()
        await fleet.daemons[victim].end()
        held = [
            name
            for name, record in (await fleet.chunk_records(job['id'])).items()
            if record['owner'] == f'i{victim}' and record['state'] == 'held'
        ]
        await until(lambda: _is_taken_over(fleet, job['id'], held, victim), 60)
        elapsed = time.monotonic() - started
    finally:
        await fleet.stop()
    return [
        (
            f'{len(held)} chunks of a killed holder ran again after '
            f'{elapsed:.2f} s (silence 1.5 s, lease 6 s)'
        ),
    ]


async def _busiest(fleet: Fleet) -> int:
    batch = [
        sum(
            upstream['batch']
            for upstream in (await fleet.status(index))['upstreams']
        )
        for index in range(len(fleet.http))
    ]
    return batch.index(max(batch))


async def _is_taken_over(
    fleet: Fleet,
    job: str,
    held: list[str],
    victim: int,
) -> bool:
    records = await fleet.chunk_records(job)
    return all(
        records[name]['owner'] != f'i{victim}'
        or records[name]['state'] == 'done'
        for name in held
    )


async def measure_config(folder: Path) -> list[str]:
    """Measure how long all instances take to apply a configuration."""
    fleet = await start_fleet(folder)
    times = []
    try:
        for revision in range(1, ROUNDS + 1):
            await fleet.apply(fleet.config_document(revision), revision)
            started = time.monotonic()
            for index in range(len(fleet.http)):
                await until(
                    lambda index=index, revision=revision: fleet.has_revision(
                        index,
                        revision + 1,
                    ),
                )
            times.append(time.monotonic() - started)
    finally:
        await fleet.stop()
    return [
        (
            f'in force at 9 instances after median {median(times):.2f} s, at '
            f'most {max(times):.2f} s (aim: 4 s)'
        ),
    ]
