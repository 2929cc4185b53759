"""Faults that act from outside the processes, and planned operations.

A fault that lasts is undone before its function returns, except that silenced
connections stay silent. The play draws from the sorted names of the functions,
so renaming one changes what a seed plays.
"""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

from gentiantrestle.http.client import ConnectionLostError, NotSentError
from tests.gateway.child import Child
from tests.soak.proxy import DOWN, UP
from tests.soak.soak_fleet import SoakFleet

Fault = Callable[[SoakFleet, random.Random], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
PLANNED: dict[str, Fault] = {}
MAX_DURATION = 3.0  # seconds that a fault lasts
MAX_CLOCK_SKEW = 10.0  # seconds, forward or back
STOP_TIMEOUT = 9.0  # seconds from SIGTERM until the process is killed


def _fault(fault: Fault) -> Fault:
    """Register a fault under its function's name."""
    FAULTS[fault.__name__] = fault
    return fault


def _planned(operation: Fault) -> Fault:
    """Register a planned operation; it also occurs among the faults."""
    FAULTS[operation.__name__] = operation
    PLANNED[operation.__name__] = operation
    return operation


def _fault_duration(rng: random.Random) -> float:
    return rng.uniform(0.2, MAX_DURATION)


@_fault
async def kill_entry(fleet: SoakFleet, rng: random.Random) -> None:
    """Kill an entry and restart it after a short delay."""
    number = rng.randrange(len(fleet.entries))
    if not fleet.entries[number].running:
        return
    await fleet.entries[number].end()
    await asyncio.sleep(_fault_duration(rng) / 4)
    await fleet.start_entry(number)


@_fault
async def kill_all_entries(fleet: SoakFleet, rng: random.Random) -> None:
    """Kill all running entries at once and restart them after a delay."""
    victims = [
        number for number, child in enumerate(fleet.entries) if child.running
    ]
    await asyncio.gather(*(fleet.entries[number].end() for number in victims))
    await asyncio.sleep(_fault_duration(rng) / 4)
    for number in victims:
        await fleet.start_entry(number)


@_fault
async def pause_entry(fleet: SoakFleet, rng: random.Random) -> None:
    """Suspend an entry with SIGSTOP, then resume it."""
    child = rng.choice(fleet.entries)
    fleet.note_disturbed(child)
    await _pause(child, rng)
    fleet.note_disturbed(child)


@_fault
async def pause_upstream(fleet: SoakFleet, rng: random.Random) -> None:
    """Suspend an upstream with SIGSTOP, then resume it."""
    await _pause(fleet.standins[rng.choice(fleet.upstreams)], rng)


async def _pause(child: Child, rng: random.Random) -> None:
    if not child.running:
        return
    process = child.process
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(_fault_duration(rng))
    if process.returncode is None:
        process.send_signal(signal.SIGCONT)


@_fault
async def kill_upstream(fleet: SoakFleet, rng: random.Random) -> None:
    """Kill an upstream and restart it with the same id."""
    number = rng.randrange(len(fleet.upstreams))
    child = fleet.standins[fleet.upstreams[number]]
    if not child.running:
        return
    await child.end()
    await asyncio.sleep(_fault_duration(rng))
    if number in fleet.retired:
        return
    await fleet.start_upstream(number)
    await fleet.register(number)


@_fault
async def harm_upstream(fleet: SoakFleet, rng: random.Random) -> None:
    """Let an upstream shed, fail, cut streams, stall or mix up request ids."""
    number = rng.randrange(len(fleet.upstreams))
    faults = rng.choice(
        (
            {'shed': True},
            {'fail': True},
            {'cut_after': rng.randint(1, 20)},
            {'silent': 1.5},
            {'answer_as': 'another'},
        )
    )
    await set_upstream_faults(fleet, number, **faults)
    await asyncio.sleep(_fault_duration(rng))
    await set_upstream_faults(fleet, number)


async def set_upstream_faults(
    fleet: SoakFleet, number: int, **faults: Any
) -> None:
    """Replace the faults of an upstream, if it runs."""
    child = fleet.standins[fleet.upstreams[number]]
    with suppress(NotSentError, ConnectionLostError):
        if child.running:
            await fleet.set_faults(number, **faults)


@_fault
async def harm_store(fleet: SoakFleet, rng: random.Random) -> None:
    """Let the store be down or slow, compact, or delay responses to writes."""
    faults = rng.choice(
        (
            {'down': True},
            {'slow': 0.2},
            {'lose': rng.randint(1, 6), 'silence': 4},
            {'compact': True},
        )
    )
    await fleet.set_store_faults(**faults)
    await asyncio.sleep(_fault_duration(rng))
    await fleet.set_store_faults()


@_fault
async def cut_link(fleet: SoakFleet, rng: random.Random) -> None:
    """Block a link in one direction or in both."""
    link = rng.choice(fleet.links)
    link.blocked |= rng.choice(({UP}, {DOWN}, {UP, DOWN}))
    await asyncio.sleep(_fault_duration(rng))
    link.clear_faults()


@_fault
async def cut_store_off(fleet: SoakFleet, rng: random.Random) -> None:
    """Block all links to the store in both directions."""
    for link in fleet.store_links:
        link.blocked |= {UP, DOWN}
    await asyncio.sleep(_fault_duration(rng))
    for link in fleet.store_links:
        link.clear_faults()


@_fault
async def delay_link(fleet: SoakFleet, rng: random.Random) -> None:
    """Delay the bytes on a link."""
    link = rng.choice(fleet.links)
    link.delay = rng.uniform(0.01, 0.2)
    await asyncio.sleep(_fault_duration(rng))
    link.clear_faults()


@_fault
async def reset_links(fleet: SoakFleet, rng: random.Random) -> None:
    """Reset the open connections of two links."""
    for link in rng.sample(fleet.links, 2):
        link.reset()


@_fault
async def silence_links(fleet: SoakFleet, rng: random.Random) -> None:
    """Stop all bytes on the open connections of two links, permanently."""
    for link in rng.sample(fleet.links, 2):
        link.silence()


@_fault
async def step_clocks(fleet: SoakFleet, rng: random.Random) -> None:
    """Shift the wall clock of all entries, then shift it back."""
    fleet.skew_clocks(rng.uniform(-MAX_CLOCK_SKEW, MAX_CLOCK_SKEW))
    await asyncio.sleep(_fault_duration(rng))
    fleet.skew_clocks(0)


@_planned
async def stop_entry(fleet: SoakFleet, rng: random.Random) -> None:
    """Stop an entry with SIGTERM, then restart it."""
    number = rng.randrange(len(fleet.entries))
    child = fleet.entries[number]
    if not child.running:
        return
    child.process.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(STOP_TIMEOUT):
            await child.process.wait()
    except TimeoutError:
        await child.end()
    await fleet.start_entry(number)


@_planned
async def change_config(fleet: SoakFleet, rng: random.Random) -> None:
    """Write one to three new configuration versions."""
    for _ in range(rng.randint(1, 3)):
        await fleet.add_version()
        await asyncio.sleep(rng.random())


@_planned
async def reload_entry(fleet: SoakFleet, rng: random.Random) -> None:
    """Send an entry SIGHUP, as after a change of its settings."""
    child = rng.choice(fleet.entries)
    if child.running:
        child.process.send_signal(signal.SIGHUP)


@_planned
async def drain_upstream(fleet: SoakFleet, rng: random.Random) -> None:
    """Register an upstream as draining, and as ready again later."""
    number = rng.randrange(len(fleet.upstreams))
    if number not in fleet.active:
        return
    await fleet.drain(number)
    await asyncio.sleep(4 + _fault_duration(rng))
    if number not in fleet.active:
        return
    fleet.history.end_drain(fleet.upstream_id(number))
    await fleet.register(number)
