"""When the store is asked, by those on duty and by those who start."""

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
from tests.utils.virtual import play

KIND = 'kind'
LONG = 60.0


class _Copy:
    """What a follower has heard."""

    def __init__(self) -> None:
        self.names: set[str] = set()
        self.revision = 0

    def sink(self) -> StoreHandlers:
        return StoreHandlers(
            self._take, self._take, lambda: None, lambda: self.revision
        )

    def _take(self, found: Iterable[StoredObject], revision: int) -> None:
        self.names |= {one.name for one in found}
        self.revision = revision


def _follow(*, at_start: bool, down: float = 0) -> tuple[list[str], set[str]]:
    """Follow for a minute without duty; return the calls and what is known."""

    async def run() -> tuple[list[str], set[str]]:
        store = MemoryStore()
        store.write(KIND, StoredObject('one', 0, 1))
        store.down = bool(down)
        copy = _Copy()
        follower = Follower(
            store,
            WatchSpec(KIND, 0, read_at_start=at_start),
            copy.sink(),
            random.Random(1),
            WatchGate(),
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(down)
        store.down = False
        await asyncio.sleep(LONG)
        task.cancel()
        return store.calls, copy.names

    return play(run())


def test_who_starts_reads_once_before_others_are_heard() -> None:
    assert _follow(at_start=True) == (['list'], {'one'})


def test_who_starts_without_store_reads_when_it_is_back() -> None:
    calls, names = _follow(at_start=True, down=5)
    assert names == {'one'}
    assert 5 < len(calls) < 20


def test_what_nobody_waits_for_is_left_to_the_watcher() -> None:
    assert _follow(at_start=False) == ([], set())
