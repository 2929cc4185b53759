"""One play of the soak: faults, then planned work in calm, then the checks."""

import asyncio
import random
import signal
import time
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from tests.soak.callers import Callers
from tests.soak.faults import FAULTS, PLANNED, Fault
from tests.soak.history import History
from tests.soak.world import ENTRIES, UPSTREAMS, World

FAULT_TIME = 10.0  # seconds
# Nothing is asked of an instance this soon after a fault that concerned it.
CALM_WAIT = 6.0  # seconds
PLANNED_TIME = 5.0  # seconds
# Accepted jobs must be whole this long after the last fault.
FINISH_TIME = 18.0  # seconds
MAX_GAP = 0.9  # seconds between two faults
ONLINE = 4  # callers of each entry


class Size(NamedTuple):
    """How many processes take part."""

    entries: int = ENTRIES
    upstreams: int = UPSTREAMS


USUAL = Size()


def play(seed: int, folder: Path, size: Size = USUAL) -> History:
    """Play one seed; return what callers and upstreams saw."""
    return asyncio.run(_play(seed, folder, size))


async def _play(seed: int, folder: Path, size: Size) -> History:
    rng = random.Random(seed)
    world = World(folder, size.entries, size.upstreams)
    try:
        await world.start()
        await world.next_version()
        await _run(world, rng)
    finally:
        await world.stop()
    return world.history


async def _run(world: World, rng: random.Random) -> None:
    callers = Callers(world, random.Random(rng.random()))
    work = [callers.online for _ in range(ONLINE * len(world.entries))]
    work += [callers.jobs, callers.jobs, callers.probes]
    tasks = [asyncio.create_task(one()) for one in work]
    await _harm(world, rng, FAULTS, FAULT_TIME)
    await _heal(world)
    await asyncio.sleep(CALM_WAIT)
    world.history.calm_from = time.time()
    await _harm(world, rng, PLANNED, PLANNED_TIME)
    await _revive(world)
    callers.stopping = True
    await asyncio.gather(*tasks)
    await _finish(world, callers)


async def _harm(
    world: World,
    rng: random.Random,
    faults: Mapping[str, Fault],
    seconds: float,
) -> None:
    """Start faults one after the other, and wait until all are over."""
    end = time.monotonic() + seconds
    running: list[asyncio.Task[None]] = []
    while time.monotonic() < end:
        name = rng.choice(sorted(faults))
        world.history.happened.append((time.time(), name))
        running.append(asyncio.create_task(faults[name](world, rng)))
        await asyncio.sleep(rng.uniform(0.1, MAX_GAP))
    await asyncio.gather(*running)


async def _heal(world: World) -> None:
    """End every fault, and have everything run."""
    for link in world.links:
        link.heal()
    world.skew_clocks(0)
    await world.set_store_faults()
    for number, _ in enumerate(world.upstreams):
        await world.start_upstream(number)
        await world.set_faults(number)
        await world.register(number)
    await _revive(world)


async def _revive(world: World) -> None:
    for number, child in enumerate(world.entries):
        await world.start_entry(number)
        with suppress(ProcessLookupError):
            child.process.send_signal(signal.SIGCONT)


async def _finish(world: World, callers: Callers) -> None:
    """Read every accepted job to its end, as long as it may take."""
    history = world.history
    left = sorted(history.accepted() - history.unsure_ends)
    end = time.monotonic() + FINISH_TIME
    while left and time.monotonic() < end:
        left = [name for name in left if not await callers.read_all(name)]
        await asyncio.sleep(0.1)
