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
from gentiantrestle.gateway.ports import Page, StoredObject
from gentiantrestle.store.client import StoreUnavailableError
from tests.gateway.memory import MemoryStore
from tests.utils.virtual_time import run_virtual, virtual_now

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


class _SlowStore(MemoryStore):
    """Lists so slowly that the call never ends."""

    def __init__(self) -> None:
        super().__init__()
        self.cancelled_at: float | None = None

    async def list_page(
        self, kind: str, after: str, *, stale: bool = False
    ) -> Page:
        """Wait until cancelled."""
        try:
            await asyncio.sleep(LONG)
        finally:
            self.cancelled_at = virtual_now()
        raise StoreUnavailableError('slow')


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


def test_kind_that_was_empty_is_not_watched_by_all_instances() -> None:
    async def main() -> list[str]:
        store = MemoryStore()
        follower = Follower(
            store,
            WatchSpec(KIND, 0, read_at_start=True),
            StoreHandlers(
                lambda *_: None, lambda *_: None, lambda: None, lambda: 0
            ),
            random.Random(1),
            WatchGate(),
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(LONG)
        task.cancel()
        return store.calls

    assert run_virtual(main()) == ['list']


def test_store_is_not_called_with_gate_closed() -> None:
    assert _follow(read_at_start=False) == ([], set())


def test_first_read_does_not_go_on_after_another_instance_has_told() -> None:
    async def main() -> float | None:
        store = _SlowStore()
        copy = _Copy()
        follower = Follower(
            store,
            WatchSpec(KIND, 0, read_at_start=True),
            copy.handlers(),
            random.Random(1),
            WatchGate(),
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1)
        copy.revision = 7
        await asyncio.sleep(1)
        task.cancel()
        return store.cancelled_at

    assert run_virtual(main()) < 1.2
