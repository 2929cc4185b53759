"""The cost of the hop through a daemon, of tokens and of open streams."""

import asyncio
import os
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from benchmarks.load import (
    MAX_LATENCY,
    SIGNIFICANT_DIGITS,
    US_PER_SECOND,
    Arrival,
    RequestShape,
    Timings,
    build_call,
    drive,
)
from gentiantrestle.http.pool import ConnectionPool
from tests.utils.fleet import CLIENT_KEY, Fleet

ROUNDS = 600
OPEN_STREAMS = 200
TOKENS = 300
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
MEBIBYTE = 1048576  # bytes


async def measure_hop(folder: Path) -> list[str]:
    """Compare calls through a daemon with direct ones, sent alternately."""
    fleet = Fleet(folder, ('a1',))
    fleet.engine_words = ('slots=64', 'step=0.002')
    await fleet.start()
    try:
        return await _compare(fleet)
    finally:
        await fleet.stop()


async def _compare(fleet: Fleet) -> list[str]:
    direct = HdrHistogram(1, MAX_LATENCY, SIGNIFICANT_DIGITS)
    through = HdrHistogram(1, MAX_LATENCY, SIGNIFICANT_DIGITS)
    shape = RequestShape('one', 16, 1)
    engine = ConnectionPool(fleet.engines[0], 4, 5)
    daemon = ConnectionPool(fleet.http[0], 4, 5)
    for number in range(ROUNDS):
        call = build_call(Arrival(0, shape, 0, f'hop {number}'))
        await _time(engine, call, direct)
        await _time(daemon, call, through)
    lines = []
    for percent in (50, 99):
        direct_us = direct.get_value_at_percentile(percent)
        through_us = through.get_value_at_percentile(percent)
        lines.append(
            f'hop p{percent}: direct {direct_us / 1000:.2f} ms, through '
            f'{through_us / 1000:.2f} ms, ratio {through_us / direct_us:.3f}',
        )
    return lines


async def _time(
    pool: ConnectionPool, call: object, histogram: HdrHistogram
) -> None:
    started = time.monotonic()
    await pool.fetch(call)
    histogram.record_value(int((time.monotonic() - started) * US_PER_SECOND))


async def measure_tokens(folder: Path) -> list[str]:
    """Stream answers through one daemon; measure tokens per CPU second."""
    fleet = Fleet(folder, ('a1',))
    fleet.engine_words = (f'slots={OPEN_STREAMS}', 'step=0.012')
    fleet.slots = OPEN_STREAMS
    await fleet.start()
    try:
        return await _stream(fleet)
    finally:
        await fleet.stop()


async def _stream(fleet: Fleet) -> list[str]:
    pid = fleet.daemons[0].child.pid
    shape = RequestShape('stream', TOKENS, 1, CLIENT_KEY)
    plan = [
        Arrival(index * 0.002, shape, 0, f't{index}')
        for index in range(OPEN_STREAMS)
    ]
    timings = Timings()
    before, started = cpu_seconds(pid), time.monotonic()
    load = asyncio.create_task(drive(fleet.http, plan, timings))
    await asyncio.sleep(2)
    memory = resident_memory(pid)
    await load
    cpu_time, elapsed = cpu_seconds(pid) - before, time.monotonic() - started
    tokens = timings.whole * TOKENS
    return [
        (
            f'streams: {timings.whole} whole, {timings.broken} broken, '
            f'{tokens / elapsed:.0f} tokens/s for {elapsed:.1f} s'
        ),
        (
            f'tokens for each CPU second of the daemon: '
            f'{tokens / cpu_time:.0f} (target 6800), '
            f'CPU share {cpu_time / elapsed:.2f}'
        ),
        f'memory at {OPEN_STREAMS} open streams: {memory / MEBIBYTE:.0f} MiB',
    ]


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process so far, in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    # Time in user mode and in kernel mode, in clock ticks.
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_memory(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    pages = Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * os.sysconf('SC_PAGE_SIZE')
