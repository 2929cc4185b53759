"""Free batch slots of the daemon, by deployment."""

import asyncio
from itertools import count
from types import SimpleNamespace

import pytest

from gentiantrestle.daemon.batch.allocator import SlotAllocator
from gentiantrestle.daemon.upstreams.loads import OnlinePressure

ZONE = 'a1'
SLOTS = 8


def _make_allocator() -> SlotAllocator:
    """Return an allocator that owns all slots of idle upstreams."""
    # Caps grow in steps of this clock.
    times = count()
    ctx = SimpleNamespace(
        now=lambda: next(times),
        cfg=SimpleNamespace(instance='me', zone=ZONE, batch_streams=100),
    )
    upstreams = SimpleNamespace(
        loads=SimpleNamespace(add_listener=lambda listener: None),
        settings=lambda name: {'zone': ZONE, 'slots': SLOTS},
        batch_owner=lambda name, now: 'me',
        online_pressure=lambda name, now: OnlinePressure(0, 0),
        is_usable=lambda name, now: name != 'down',
        find=lambda name: SimpleNamespace(name=name, batch=0),
    )
    return SlotAllocator(ctx, upstreams)


@pytest.mark.parametrize(
    ('waiting', 'are_competing'),
    [(('down',), False), (('down', 'free'), True)],
)
async def test_only_items_that_may_take_a_slot_count_against_free_ones(
    waiting: tuple[str, ...], are_competing: bool
) -> None:
    allocator = _make_allocator()
    deployment = {'upstreams': ['free']}
    free = [allocator.free_slots(deployment) for _ in range(SLOTS)][-1]
    assert free == SLOTS
    tasks = [
        asyncio.create_task(
            allocator.acquire({'upstreams': waiting}, 1, preemptible=True)
        )
        for _ in range(2 * SLOTS)
    ]
    await asyncio.sleep(0)
    assert (allocator.free_slots(deployment) < free) is are_competing
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
