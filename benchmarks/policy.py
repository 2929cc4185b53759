"""Harm, blocking, slow upstreams, floods and bursts, as ratios of arms."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from statistics import median

from benchmarks.load import Arrival, Shape, Timings, arrivals, drive
from gentiantrestle.daemon.upstreams.routing import (
    POLICIES,
    Candidate,
    Snapshot,
)
from tests.utils.fleet import OTHER_KEY, Fleet, job_lines
from tests.utils.http import until

SEEDS = (1, 2, 3)
SECONDS = 8.0
ZONES = ('a1', 'a1', 'a1', 'a2', 'a2', 'a2', 'b1', 'b1', 'b1')
ENGINES = 6
SLOTS = 16
RATE = 40.0  # requests a second
SHORT = Shape('short', 20, 1)
STRAGGLER = Shape('straggler', 600, 0.03)
ENGINE_WORDS = (f'slots={SLOTS}', 'step=0.008')
MICROSECONDS = 1_000_000
PRODUCT_FLAGS = (
    '--batch_streams=64',
    '--lease=6',
    '--silence=1.5',
    '--heartbeat=0.25',
)

Arm = Callable[[Fleet, int], Awaitable[Timings]]


async def start_fleet(folder: Path) -> Fleet:
    """Start today's size: nine daemons, six engines, one service."""
    fleet = Fleet(folder, ZONES)
    fleet.engines = fleet.engines[:ENGINES]
    fleet.engine_zones = ('a1', 'a1', 'a2', 'a2', 'b1', 'b1')
    fleet.engine_words = ENGINE_WORDS
    fleet.slots = SLOTS
    fleet.daemon_flags = PRODUCT_FLAGS
    await fleet.start()
    return fleet


async def _compare(
    folder: Path,
    base: Arm,
    arm: Arm,
    name: str,
    title: str,
    aim: str,
) -> list[str]:
    """Run two arms on the same arrivals, seed by seed."""
    ratios: dict[float, list[float]] = {50: [], 99: []}
    lines = []
    fleet = await start_fleet(folder)
    try:
        for seed in SEEDS:
            before = await base(fleet, seed)
            after = await arm(fleet, seed)
            for percent, found in ratios.items():
                found.append(
                    after.quantile(name, percent)
                    / before.quantile(name, percent),
                )
            lines.append(
                f'seed {seed}: p99 {before.quantile(name, 99):.3f} s -> '
                f'{after.quantile(name, 99):.3f} s, whole {before.whole} -> '
                f'{after.whole}, refused {before.refused} -> {after.refused}',
            )
    finally:
        await fleet.stop()
    for percent, found in ratios.items():
        lines.append(
            f'{title}, p{percent:.0f} ratio: median {median(found):.2f}, '
            f'from {min(found):.2f} to {max(found):.2f} ({aim})',
        )
    return lines


async def _online(
    fleet: Fleet,
    seed: int,
    shapes: tuple[Shape, ...] = (SHORT,),
    rate: float = RATE,
) -> Timings:
    timings = Timings()
    plan = list(arrivals(seed, rate, SECONDS, shapes, len(fleet.http)))
    await drive(fleet.http, plan, timings)
    return timings


async def measure_harm(folder: Path) -> list[str]:
    """Online p99 with batch work over without, and the batch work done."""
    done: list[int] = []

    async def with_batch(fleet: Fleet, seed: int) -> Timings:
        lines = job_lines(20000, 20, prefix=f'b{seed}/')
        job = (await fleet.submit(0, lines, f'harm {seed}')).json()['id']
        await until(lambda: _has_batch(fleet))
        before = sum((await fleet.engine_tokens()).values())
        timings = await _online(fleet, seed)
        after = sum((await fleet.engine_tokens()).values())
        done.append(after - before - timings.whole * SHORT.tokens)
        await fleet.call(0, 'POST', f'/v1/batches/{job}/cancel')
        await asyncio.sleep(1)
        return timings

    lines = await _compare(
        folder,
        _online,
        with_batch,
        'short',
        'harm',
        'aim at p99: 1.05',
    )
    online = RATE * SHORT.tokens
    full = ENGINES * SLOTS / (0.008 * 2)
    for tokens in done:
        lines.append(
            f'batch: {tokens / SECONDS:.0f} tokens/s beside {online:.0f} of '
            f'online; full engines make {full:.0f}, so the share of what '
            f'online leaves is {tokens / SECONDS / (full - online):.2f}',
        )
    return lines


async def _has_batch(fleet: Fleet) -> bool:
    return await _engine_batch(fleet) > 0


async def measure_blocking(folder: Path) -> list[str]:
    """Short requests' p99 with stragglers in the mix over without."""

    async def with_stragglers(fleet: Fleet, seed: int) -> Timings:
        return await _online(fleet, seed, (SHORT, STRAGGLER))

    return await _compare(
        folder,
        _online,
        with_stragglers,
        'short',
        'blocking',
        'aim at p99: 1.2',
    )


async def measure_slowed(folder: Path) -> list[str]:
    """Online p99 with one of six engines ten times as slow over none."""

    async def with_slow_one(fleet: Fleet, seed: int) -> Timings:
        await fleet.control_engine(0, slow=10)
        try:
            return await _online(fleet, seed)
        finally:
            await fleet.control_engine(0, slow=1)
            await asyncio.sleep(1)

    return await _compare(
        folder,
        _online,
        with_slow_one,
        'short',
        'slowed, 1 of 6',
        'aim at p99: 1.5',
    )


async def measure_flood(folder: Path) -> list[str]:
    """The p99 of other clients while one floods over without a flood."""
    flood = Shape('flood', 60, 8, OTHER_KEY)

    async def with_flood(fleet: Fleet, seed: int) -> Timings:
        timings = Timings()
        plan = list(arrivals(seed, RATE, SECONDS, (SHORT,), len(fleet.http)))
        extra = list(arrivals(seed, 150, SECONDS, (flood,), len(fleet.http)))
        both = sorted([*plan, *extra], key=lambda one: one.due)
        await drive(fleet.http, both, timings)
        return timings

    return await _compare(
        folder,
        _online,
        with_flood,
        'short',
        'flood',
        'no aim set',
    )


async def measure_burst(folder: Path) -> list[str]:
    """Time from an online burst to the last batch slot given back."""
    fleet = await start_fleet(folder)
    lines = []
    try:
        for seed in SEEDS:
            lines.append(await _burst(fleet, seed))
    finally:
        await fleet.stop()
    return lines


async def _burst(fleet: Fleet, seed: int) -> str:
    sent = job_lines(4000, 200, prefix=f'burst{seed}/')
    job = (await fleet.submit(0, sent, f'burst {seed}')).json()['id']
    await until(lambda: _has_batch(fleet))
    await asyncio.sleep(2)
    batch = await _engine_batch(fleet)
    plan = [
        Arrival(0, Shape('burst', 200, 1), index, f'u{seed}/{index}')
        for index in range(ENGINES * SLOTS)
    ]
    timings = Timings()
    began = time.monotonic()
    load = asyncio.create_task(drive(fleet.http, plan, timings))
    while await _overcommitted(fleet):
        await asyncio.sleep(0.005)
        if time.monotonic() - began > 10:
            break
    passed = time.monotonic() - began
    await load
    await fleet.call(0, 'POST', f'/v1/batches/{job}/cancel')
    return (
        f'seed {seed}: {batch} batch slots in use; the last was given back '
        f'{passed * 1000:.0f} ms after the burst began'
    )


async def _statuses(fleet: Fleet) -> list[dict]:
    return await asyncio.gather(
        *(fleet.status(index) for index in range(len(fleet.http))),
    )


async def _engine_batch(fleet: Fleet) -> int:
    return sum(
        one['batch']
        for status in await _statuses(fleet)
        for one in status['upstreams']
    )


async def _overcommitted(fleet: Fleet) -> bool:
    """Tell whether the burst is not yet in, or an engine has too much."""
    online: Counter[str] = Counter()
    batch: Counter[str] = Counter()
    for status in await _statuses(fleet):
        for one in status['upstreams']:
            online[one['upstream']] += one['online']
            batch[one['upstream']] += one['batch']
    return not online.total() or any(
        batch[name] and online[name] + batch[name] > SLOTS for name in batch
    )


async def measure_decision(folder: Path) -> list[str]:
    """Microseconds of one routing decision at 350 upstreams."""
    draw = random.Random(7)
    candidates = [
        Candidate(
            f'u{index}',
            'z',
            'r',
            64,
            draw.randrange(8),
            draw.randrange(40),
            draw.randrange(8),
            6,
            1 + draw.random(),
            usable=True,
        )
        for index in range(350)
    ]
    snapshot = Snapshot(candidates, 'z', 'r', 'a prompt', 0.3)
    lines = []
    for name, choose in POLICIES.items():
        began = time.perf_counter()
        for _ in range(200):
            choose(snapshot, 0)
        passed = (time.perf_counter() - began) / 200 * MICROSECONDS
        lines.append(f'{name}: {passed:.0f} us at 350 upstreams')
    return lines
