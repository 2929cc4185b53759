"""Online latency beside other load, and times of preemption and routing."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from statistics import median

from benchmarks.load import Arrival, RequestShape, Timings, arrivals, drive
from gentiantrestle.daemon.upstreams.routing import (
    POLICIES,
    Candidate,
    Snapshot,
)
from tests.utils.fleet import OTHER_KEY, Fleet, job_lines
from tests.utils.http import until

SEEDS = (1, 2, 3)
SECONDS = 8.0  # of arrivals in one arm
ZONES = ('a1', 'a1', 'a1', 'a2', 'a2', 'a2', 'b1', 'b1', 'b1')
ENGINES = 6
SLOTS = 16
RATE = 40.0  # requests a second
SHORT = RequestShape('short', 20, 1)
STRAGGLER = RequestShape('straggler', 600, 0.03)
ENGINE_WORDS = (f'slots={SLOTS}', 'step=0.008')
US_PER_SECOND = 1_000_000
DAEMON_FLAGS = (
    '--batch_streams=64',
    '--lease=6',
    '--silence=1.5',
    '--heartbeat=0.25',
)

# One side of a comparison: runs the arrivals of a seed on a fleet.
Arm = Callable[[Fleet, int], Awaitable[Timings]]


async def start_fleet(folder: Path) -> Fleet:
    """Start nine daemons, six engines and one service: today's size."""
    fleet = Fleet(folder, ZONES)
    fleet.engines = fleet.engines[:ENGINES]
    fleet.engine_zones = ('a1', 'a1', 'a2', 'a2', 'b1', 'b1')
    fleet.engine_words = ENGINE_WORDS
    fleet.slots = SLOTS
    fleet.daemon_flags = DAEMON_FLAGS
    await fleet.start()
    return fleet


async def _compare(
    folder: Path,
    baseline: Arm,
    variant: Arm,
    name: str,
    title: str,
    aim: str,
) -> list[str]:
    """Return the ratios of ``variant`` to ``baseline`` at equal arrivals.

    Both run once for each seed, with the same online arrivals.
    """
    ratios: dict[float, list[float]] = {50: [], 99: []}
    lines = []
    fleet = await start_fleet(folder)
    try:
        for seed in SEEDS:
            before = await baseline(fleet, seed)
            after = await variant(fleet, seed)
            for percent, measured in ratios.items():
                measured.append(
                    after.percentile(name, percent)
                    / before.percentile(name, percent),
                )
            lines.append(
                f'seed {seed}: p99 {before.percentile(name, 99):.3f} s -> '
                f'{after.percentile(name, 99):.3f} s, whole {before.whole} -> '
                f'{after.whole}, refused {before.refused} -> {after.refused}',
            )
    finally:
        await fleet.stop()
    for percent, measured in ratios.items():
        lines.append(
            f'{title}, p{percent:.0f} ratio: median {median(measured):.2f}, '
            f'from {min(measured):.2f} to {max(measured):.2f} ({aim})',
        )
    return lines


async def _run_online(
    fleet: Fleet,
    seed: int,
    shapes: tuple[RequestShape, ...] = (SHORT,),
    rate: float = RATE,
) -> Timings:
    timings = Timings()
    plan = list(arrivals(seed, rate, SECONDS, shapes, len(fleet.http)))
    await drive(fleet.http, plan, timings)
    return timings


async def measure_harm(folder: Path) -> list[str]:
    """Compare online p99 with and without batch work; add its token rate."""
    batch_tokens: list[int] = []

    async def with_batch(fleet: Fleet, seed: int) -> Timings:
        lines = job_lines(20000, 20, prefix=f'b{seed}/')
        job = (await fleet.submit(0, lines, f'harm {seed}')).json()['id']
        await until(lambda: _runs_batch(fleet))
        before = sum((await fleet.engine_tokens()).values())
        timings = await _run_online(fleet, seed)
        after = sum((await fleet.engine_tokens()).values())
        batch_tokens.append(after - before - timings.whole * SHORT.tokens)
        await fleet.call(0, 'POST', f'/v1/batches/{job}/cancel')
        await asyncio.sleep(1)
        return timings

    lines = await _compare(
        folder,
        _run_online,
        with_batch,
        'short',
        'harm',
        'aim at p99: 1.05',
    )
    online = RATE * SHORT.tokens
    full = ENGINES * SLOTS / (0.008 * 2)
    for tokens in batch_tokens:
        lines.append(
            f'batch: {tokens / SECONDS:.0f} tokens/s beside {online:.0f} of '
            f'online; full engines make {full:.0f}, so the share of what '
            f'online leaves is {tokens / SECONDS / (full - online):.2f}',
        )
    return lines


async def _runs_batch(fleet: Fleet) -> bool:
    return await _batch_slots(fleet) > 0


async def measure_blocking(folder: Path) -> list[str]:
    """Compare short requests' p99 with and without long ones in the mix."""

    async def with_stragglers(fleet: Fleet, seed: int) -> Timings:
        return await _run_online(fleet, seed, (SHORT, STRAGGLER))

    return await _compare(
        folder,
        _run_online,
        with_stragglers,
        'short',
        'blocking',
        'aim at p99: 1.2',
    )


async def measure_slowed(folder: Path) -> list[str]:
    """Compare online p99 with and without one engine slowed tenfold."""

    async def with_slow_engine(fleet: Fleet, seed: int) -> Timings:
        await fleet.control_engine(0, slow=10)
        try:
            return await _run_online(fleet, seed)
        finally:
            await fleet.control_engine(0, slow=1)
            await asyncio.sleep(1)

    return await _compare(
        folder,
        _run_online,
        with_slow_engine,
        'short',
        'slowed, 1 of 6',
        'aim at p99: 1.5',
    )


async def measure_flood(folder: Path) -> list[str]:
    """Compare the p99 of a client with and without another's flood."""
    flood = RequestShape('flood', 60, 8, OTHER_KEY)

    async def with_flood(fleet: Fleet, seed: int) -> Timings:
        timings = Timings()
        plan = list(arrivals(seed, RATE, SECONDS, (SHORT,), len(fleet.http)))
        extra = list(arrivals(seed, 150, SECONDS, (flood,), len(fleet.http)))
        merged = sorted([*plan, *extra], key=lambda arrival: arrival.due)
        await drive(fleet.http, merged, timings)
        return timings

    return await _compare(
        folder,
        _run_online,
        with_flood,
        'short',
        'flood',
        'no aim set',
    )


async def measure_burst(folder: Path) -> list[str]:
    """Measure how soon batch work frees enough slots for an online burst."""
    fleet = await start_fleet(folder)
    lines = []
    try:
        for seed in SEEDS:
            lines.append(await _measure_burst(fleet, seed))
    finally:
        await fleet.stop()
    return lines


async def _measure_burst(fleet: Fleet, seed: int) -> str:
    lines = job_lines(4000, 200, prefix=f'burst{seed}/')
    job = (await fleet.submit(0, lines, f'burst {seed}')).json()['id']
    await until(lambda: _runs_batch(fleet))
    await asyncio.sleep(2)
    batch = await _batch_slots(fleet)
    plan = [
        Arrival(0, RequestShape('burst', 200, 1), index, f'u{seed}/{index}')
        for index in range(ENGINES * SLOTS)
    ]
    timings = Timings()
    started = time.monotonic()
    load = asyncio.create_task(drive(fleet.http, plan, timings))
    while await _overcommitted(fleet):
        await asyncio.sleep(0.005)
        if time.monotonic() - started > 10:
            break
    elapsed = time.monotonic() - started
    await load
    await fleet.call(0, 'POST', f'/v1/batches/{job}/cancel')
    return (
        f'seed {seed}: {batch} batch slots in use; the last was given back '
        f'{elapsed * 1000:.0f} ms after the burst began'
    )


async def _statuses(fleet: Fleet) -> list[dict]:
    return await asyncio.gather(
        *(fleet.status(index) for index in range(len(fleet.http))),
    )


async def _batch_slots(fleet: Fleet) -> int:
    return sum(
        upstream['batch']
        for status in await _statuses(fleet)
        for upstream in status['upstreams']
    )


async def _overcommitted(fleet: Fleet) -> bool:
    """Tell whether no online load shows yet or an engine is over its slots."""
    online: Counter[str] = Counter()
    batch: Counter[str] = Counter()
    for status in await _statuses(fleet):
        for upstream in status['upstreams']:
            online[upstream['upstream']] += upstream['online']
            batch[upstream['upstream']] += upstream['batch']
    return not online.total() or any(
        batch[name] and online[name] + batch[name] > SLOTS for name in batch
    )


async def measure_decision(folder: Path) -> list[str]:
    """Time a decision of each routing policy among 350 upstreams."""
    rng = random.Random(7)
    candidates = [
        Candidate(
            f'u{index}',
            'z',
            'r',
            64,
            rng.randrange(8),
            rng.randrange(40),
            rng.randrange(8),
            6,
            1 + rng.random(),
            usable=True,
        )
        for index in range(350)
    ]
    snapshot = Snapshot(candidates, 'z', 'r', 'a prompt', 0.3)
    lines = []
    for name, choose in POLICIES.items():
        started = time.perf_counter()
        for _ in range(200):
            choose(snapshot, 0)
        elapsed = (time.perf_counter() - started) / 200 * US_PER_SECOND
        lines.append(f'{name}: {elapsed:.0f} us at 350 upstreams')
    return lines
