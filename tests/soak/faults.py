"""Faults from outside the processes; each ends what it began."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress

from gentiantrestle.http.client import ConnectionLostError, NotSentError
from tests.gateway.fleet import Child
from tests.soak.proxy import DOWN, UP
from tests.soak.world import World

Fault = Callable[[World, random.Random], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
PLANNED: dict[str, Fault] = {}
MAX_TIME = 3.0  # seconds that a fault lasts
MAX_STEP = 10.0  # seconds by which clocks jump
STOP_TIME = 9.0  # seconds after which a process that was to stop is killed


def _fault(run: Fault) -> Fault:
    """Register a fault under its function's name."""
    FAULTS[run.__name__] = run
    return run


def _planned(run: Fault) -> Fault:
    """Register planned work, which is done among faults as well."""
    FAULTS[run.__name__] = run
    PLANNED[run.__name__] = run
    return run


def _time(rng: random.Random) -> float:
    return rng.uniform(0.2, MAX_TIME)


@_fault
async def kill_entry(world: World, rng: random.Random) -> None:
    """Kill an entry and start it again a little later."""
    number = rng.randrange(len(world.entries))
    if not world.entries[number].runs:
        return
    await world.entries[number].end()
    await asyncio.sleep(_time(rng) / 4)
    await world.start_entry(number)


@_fault
async def kill_all_entries(world: World, rng: random.Random) -> None:
    """Kill all entries at the same moment."""
    victims = [one for one, child in enumerate(world.entries) if child.runs]
    await asyncio.gather(*(world.entries[one].end() for one in victims))
    await asyncio.sleep(_time(rng) / 4)
    for one in victims:
        await world.start_entry(one)


@_fault
async def pause_entry(world: World, rng: random.Random) -> None:
    """Let an entry stand still."""
    await _pause(rng.choice(world.entries), rng)


@_fault
async def pause_upstream(world: World, rng: random.Random) -> None:
    """Let an upstream stand still."""
    await _pause(world.standins[rng.choice(world.upstreams)], rng)


async def _pause(child: Child, rng: random.Random) -> None:
    if not child.runs:
        return
    process = child.process
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(_time(rng))
    if process.returncode is None:
        process.send_signal(signal.SIGCONT)


@_fault
async def kill_upstream(world: World, rng: random.Random) -> None:
    """Kill an upstream; another run of it comes under the same name."""
    number = rng.randrange(len(world.upstreams))
    child = world.standins[world.upstreams[number]]
    if not child.runs:
        return
    await child.end()
    await asyncio.sleep(_time(rng))
    await world.start_upstream(number)
    await world.register(number)


@_fault
async def harm_upstream(world: World, rng: random.Random) -> None:
    """Let an upstream fail, cut, refuse, be silent or answer another."""
    number = rng.randrange(len(world.upstreams))
    faults = rng.choice(
        (
            {'shed': True},
            {'fail': True},
            {'cut_after': rng.randint(1, 20)},
            {'silent': 1.5},
            {'answer_as': 'another'},
        )
    )
    await _harm(world.upstreams[number], world, faults)
    await asyncio.sleep(_time(rng))
    await _harm(world.upstreams[number], world, {})


async def _harm(address: object, world: World, faults: dict) -> None:
    child = world.standins[address]
    with suppress(NotSentError, ConnectionLostError):
        if child.runs:
            await world.set_faults(world.upstreams.index(address), **faults)


@_fault
async def harm_store(world: World, rng: random.Random) -> None:
    """Let the store be down, slow, forgetful, or do writes in silence."""
    faults = rng.choice(
        (
            {'down': True},
            {'slow': 0.2},
            {'lose': rng.randint(1, 6), 'silence': 4},
            {'compact': True},
        )
    )
    await world.set_store_faults(**faults)
    await asyncio.sleep(_time(rng))
    await world.set_store_faults()


@_fault
async def cut_link(world: World, rng: random.Random) -> None:
    """Hold back what goes one way, or both ways, over a link."""
    link = rng.choice(world.links)
    link.held |= rng.choice(({UP}, {DOWN}, {UP, DOWN}))
    await asyncio.sleep(_time(rng))
    link.heal()


@_fault
async def cut_store_off(world: World, rng: random.Random) -> None:
    """Hold back everything to and from the store."""
    for link in world.store_links:
        link.held |= {UP, DOWN}
    await asyncio.sleep(_time(rng))
    for link in world.store_links:
        link.heal()


@_fault
async def delay_link(world: World, rng: random.Random) -> None:
    """Delay what goes over a link."""
    link = rng.choice(world.links)
    link.delay = rng.uniform(0.01, 0.2)
    await asyncio.sleep(_time(rng))
    link.heal()


@_fault
async def reset_links(world: World, rng: random.Random) -> None:
    """Reset the open connections of some links."""
    for link in rng.sample(world.links, 2):
        link.reset()


@_fault
async def silence_links(world: World, rng: random.Random) -> None:
    """Let the open connections of some links be silent for good."""
    for link in rng.sample(world.links, 2):
        link.silence()


@_fault
async def step_clocks(world: World, rng: random.Random) -> None:
    """Let the time of day of the entries jump, and back again."""
    world.skew_clocks(rng.uniform(-MAX_STEP, MAX_STEP))
    await asyncio.sleep(_time(rng))
    world.skew_clocks(0)


@_planned
async def stop_entry(world: World, rng: random.Random) -> None:
    """Ask an entry to stop, and start it again when it has."""
    number = rng.randrange(len(world.entries))
    child = world.entries[number]
    if not child.runs:
        return
    child.process.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(STOP_TIME):
            await child.process.wait()
    except TimeoutError:
        await child.end()
    await world.start_entry(number)


@_planned
async def change_config(world: World, rng: random.Random) -> None:
    """Write one configuration after the other."""
    for _ in range(rng.randint(1, 3)):
        await world.next_version()
        await asyncio.sleep(rng.random())


@_planned
async def reload_entry(world: World, rng: random.Random) -> None:
    """Tell an entry that its settings have changed."""
    child = rng.choice(world.entries)
    if child.runs:
        child.process.send_signal(signal.SIGHUP)


@_planned
async def drain_upstream(world: World, rng: random.Random) -> None:
    """Let an upstream report that it leaves; it is back after its stop."""
    number = rng.randrange(len(world.upstreams))
    await world.drain(number)
    await asyncio.sleep(4 + _time(rng))
    world.history.returned(world.name(number))
    await world.register(number)
