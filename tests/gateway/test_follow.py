"""When a follower calls the store: with a closed gate, and at the start."""

import asyncio
import random
from collections.abc import Iterable

from gentiantrestle.gateway.follower import (
    Follower,
    StoreHandlers,
    WatchGate,
    WatchSpec,
)
from gentiantrestle.gateway.ports import StoredObject
from tests.gateway.memory import MemoryStore
from tests.utils.virtual_time import run_virtual

KIND = 'kind'
LONG = 60.0


class _Copy:
    """Names and revision that a follower has read."""

    def __init__(self) -> None:
        self.names: set[str] = set()
        self.revision = 0

    def handlers(self) -> StoreHandlers:
        return StoreHandlers(
            self._add, self._add, lambda: None, lambda: self.revision
        )

    def _add(self, found: Iterable[StoredObject], revision: int) -> None:
        self.names |= {stored.name for stored in found}
        self.revision = revision


def _follow(
    *, read_at_start: bool, down: float = 0
) -> tuple[list[str], set[str]]:
    """Follow for a minute with a closed gate; the store is down at first.

    Returns the calls to the store and the names that were read.
    """

    async def run() -> tuple[list[str], set[str]]:
        store = MemoryStore()
        store.write(KIND, StoredObject('one', 0, 1))
        store.down = bool(down)
        copy = _Copy()
        follower = Follower(
            store,
            WatchSpec(KIND, 0, read_at_start=read_at_start),
            copy.handlers(),
            random.Random(1),
            WatchGate(),
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(down)
        store.down = False
        await asyncio.sleep(LONG)
        task.cancel()
        return store.calls, copy.names

    return run_virtual(run())


def test_read_at_start_lists_once_with_gate_closed() -> None:
    assert _follow(read_at_start=True) == (['list'], {'one'})


def test_read_at_start_retries_until_store_is_back() -> None:
    calls, names = _follow(read_at_start=True, down=5)
    assert names == {'one'}
    assert 5 < len(calls) < 20


def test_store_is_not_called_with_gate_closed() -> None:
    assert _follow(read_at_start=False) == ([], set())
