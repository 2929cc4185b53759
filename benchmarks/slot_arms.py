"""Slot coordination against other ways to share slots, in virtual time.

The load is that of the large deployments: 3.8 s at 0.38 and 2.8 s at 1.84 of
the mean, in turn, with batch in what is left. ``exact`` is one coordinator
without delays or losses, the bound of what placement can reach; ``broadcast``
is every instance choosing by loads that it learned 0.3 s ago, as it was before
the coordinators.
"""

import asyncio
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

from loguru import logger

from benchmarks.slot_fleet import (
    ITEM_DUE,
    RUN_TIME,
    Engine,
    Item,
    Shape,
    SlotFleet,
    Tally,
)
from tests.utils.virtual_time import run_virtual

TROUGH = (3.8, 0.377)  # seconds, share of the mean load
BURST = (2.8, 1.84)
MEAN_LOAD = 0.49  # of all slots, by requests
BATCH_LOAD = 0.4  # of all slots, by batch items
JOB_SIZE = 10  # items
BROADCAST_AGE = 0.3  # seconds
BROADCAST_STEPS = 6  # samples of the loads within that time
FAULT_TIME = 5.0  # seconds; in a burst
FREEZE_TIME = 1.5  # seconds
WANT_INTERVAL = 0.1  # seconds
SECONDS = 20.0

Fault = Callable[[SlotFleet], None]
FAULTS: dict[str, Fault] = {}


class Plan(NamedTuple):
    """What is played; ``fault`` names one of ``FAULTS`` or is empty."""

    shape: Shape = Shape()
    fault: str = ''
    batch: bool = True
    seconds: float = SECONDS
    seed: int = 1


def _register_fault(name: str) -> Callable[[Fault], Fault]:
    def register(fault: Fault) -> Fault:
        FAULTS[name] = fault
        return fault

    return register


@_register_fault('killed')
def _kill(fleet: SlotFleet) -> None:
    fleet.silence(fleet.coordinator('z0'))


@_register_fault('frozen')
def _freeze(fleet: SlotFleet) -> None:
    host = fleet.coordinator('z0').host
    fleet.network.frozen.add(host)
    asyncio.get_running_loop().call_later(
        FREEZE_TIME, fleet.network.frozen.discard, host
    )


@_register_fault('cut off')
def _cut_off(fleet: SlotFleet) -> None:
    host = fleet.coordinator('z0').host
    fleet.network.cut.add(host)
    asyncio.get_running_loop().call_later(
        FREEZE_TIME, fleet.network.cut.discard, host
    )


@_register_fault('slow')
def _slow(fleet: SlotFleet) -> None:
    """Freeze the coordinator for 60 ms of each 100 ms."""

    async def stutter() -> None:
        host = fleet.coordinator('z0').host
        for _ in range(int(FREEZE_TIME / 0.1)):
            fleet.network.frozen.add(host)
            await asyncio.sleep(0.06)
            fleet.network.frozen.discard(host)
            await asyncio.sleep(0.04)

    fleet.network.tasks.append(asyncio.create_task(stutter()))


@_register_fault('lossy')
def _lose_datagrams(fleet: SlotFleet) -> None:
    fleet.network.shape = fleet.network.shape._replace(loss=0.2)


def play(plan: Plan) -> Tally:
    """Play a plan with slot coordinators and return what was seen."""
    slots = plan.shape.upstreams * plan.shape.slots
    pauses = arrivals(slots, plan.seconds, plan.seed)
    return run_virtual(_play(plan, pauses))


def play_steady(plan: Plan, share: float) -> Tally:
    """Play a steady load, as a share of the capacity; return what was seen."""
    slots = plan.shape.upstreams * plan.shape.slots
    rate = slots / RUN_TIME * share
    return run_virtual(_play(plan, steady_arrivals(rate, plan)))


def steady_arrivals(rate: float, plan: Plan) -> Iterator[float]:
    """Yield the pauses between ``rate`` requests a second, in s."""
    rng = random.Random(plan.seed)
    elapsed = float(0)
    while elapsed < plan.seconds:
        pause = rng.expovariate(rate)
        elapsed += pause
        yield pause


async def _play(plan: Plan, pauses: Iterable[float]) -> Tally:
    fleet = SlotFleet(plan.shape, plan.seed)
    loop = asyncio.get_running_loop()
    background = [
        asyncio.create_task(instance.service.run())
        for instance in fleet.instances
    ]
    if plan.batch:
        background.append(asyncio.create_task(_submit_items(fleet)))
    if plan.fault:
        loop.call_later(FAULT_TIME, FAULTS[plan.fault], fleet)
    requests = []
    rand = random.Random(plan.seed + 1)
    for pause in pauses:
        await asyncio.sleep(pause)
        working = [
            instance
            for instance, peer in zip(fleet.instances, fleet.peers, strict=True)
            if peer.host not in fleet.network.cut
        ]
        instance = rand.choice(working)
        requests.append(asyncio.create_task(instance.request(len(requests))))
    await asyncio.gather(*requests)
    for task in background:
        task.cancel()
    return fleet.tally


def arrivals(slots: int, seconds: float, seed: int) -> Iterator[float]:
    """Yield the pauses between requests, in s, over ``seconds``."""
    rng = random.Random(seed)
    mean = slots * MEAN_LOAD / RUN_TIME
    elapsed = float(0)
    while elapsed < seconds:
        phase = elapsed % (TROUGH[0] + BURST[0])
        share = TROUGH[1] if phase < TROUGH[0] else BURST[1]
        pause = rng.expovariate(mean * share)
        elapsed += pause
        yield pause


async def _submit_items(fleet: SlotFleet) -> None:
    """Give jobs to random instances; let all ask for their items' slots."""
    shape = fleet.shape
    rate = shape.upstreams * shape.slots * BATCH_LOAD / 4.7 / JOB_SIZE
    next_job = fleet.now()
    number = 0
    while True:
        now = fleet.now()
        while next_job <= now:
            next_job += fleet.rng.expovariate(rate)
            owner = fleet.rng.choice(fleet.instances)
            for _ in range(JOB_SIZE):
                number += 1
                name = f'i{number}'
                owner.items[name] = Item(name, now + ITEM_DUE, 0)
        for instance in fleet.instances:
            instance.want_items()
        await asyncio.sleep(WANT_INTERVAL)


async def _play_broadcast(plan: Plan) -> Tally:
    """Let every instance choose by its own and old loads, without batch."""
    fleet = SlotFleet(plan.shape, plan.seed)
    rng = fleet.rng
    engines = list(fleet.engines.values())
    history: deque[dict[Engine, int]] = deque(maxlen=BROADCAST_STEPS)
    own = [Counter[Engine]() for _ in range(plan.shape.instances)]

    async def record() -> None:
        while True:
            history.append({engine: engine.load for engine in engines})
            await asyncio.sleep(BROADCAST_AGE / BROADCAST_STEPS)

    async def request() -> None:
        asked_at = fleet.now()
        mine = rng.choice(own)
        engine = min(
            engines,
            key=lambda one: (
                max(history[0][one], mine[one]) / plan.shape.slots
                + rng.random()
            ),
        )
        mine[engine] += 1
        await engine.run(RUN_TIME, asked_at)
        mine[engine] -= 1

    recorder = asyncio.create_task(record())
    await asyncio.sleep(0)
    requests = []
    slots = plan.shape.upstreams * plan.shape.slots
    for pause in arrivals(slots, plan.seconds, plan.seed):
        await asyncio.sleep(pause)
        requests.append(asyncio.create_task(request()))
    await asyncio.gather(*requests)
    recorder.cancel()
    return fleet.tally


def play_broadcast(plan: Plan) -> Tally:
    """Play a plan with broadcast loads and return what was seen."""
    return run_virtual(_play_broadcast(plan))


def exact(plan: Plan) -> Plan:
    """Return the plan with one coordinator for all, at no distance."""
    shape = plan.shape._replace(zones=1, delay=0, loss=0)
    return plan._replace(shape=shape)


def describe(name: str, tally: Tally) -> str:
    """Return one line of results."""
    counts = tally.counts
    far_over = sum(
        times for excess, times in tally.overbooked.items() if excess > 2
    )
    return (
        f'{name}: {tally.requests} requests, late {tally.late_share:.3f}, '
        f'refused {len(tally.refused)}, overbooked by more than 2: {far_over}, '
        f'items in time {counts["in time"]}, late {counts["late"]}, '
        f'cut {counts["cut"]}, '
        f'messages a request or run {tally.messages_per_request:.1f}'
    )


async def measure_arms(folder: Path) -> list[str]:
    """Compare the arms with 54 and 165 instances."""
    logger.disable('gentiantrestle')
    try:
        return await asyncio.to_thread(lambda: list(_arm_lines()))
    finally:
        logger.enable('gentiantrestle')


def _arm_lines() -> Iterator[str]:
    for instances in (54, 165):
        plan = Plan(Shape(instances=instances))
        yield f'{instances} instances before 30 upstreams of 7 slots'
        quiet = plan._replace(batch=False)
        yield describe('broadcast, no batch', play_broadcast(quiet))
        yield describe('coordinators, no batch', play(quiet))
        yield describe('exact, no batch', play(exact(quiet)))
        yield describe('coordinators', play(plan))
        yield describe('exact', play(exact(plan)))
        for fault in FAULTS:
            tally = play(plan._replace(fault=fault))
            yield describe(f'coordinator {fault}', tally)
