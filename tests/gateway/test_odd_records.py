"""Jobs, copies of state and handlers that meet what nobody can read."""

import asyncio
import random
from typing import Any

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


class _Faulty:
    """Handlers that fail some times, and then note what they get."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.names: list[str] = []
        self.lists = 0

    def handlers(self) -> StoreHandlers:
        return StoreHandlers(
            self._replace, self._change, lambda: None, lambda: 0
        )

    def _replace(self, found: Any, revision: int) -> None:
        self.lists += 1
        self.names = [stored.name for stored in found]

    def _change(self, found: Any, revision: int) -> None:
        if self.failures:
            self.failures -= 1
            raise ZeroDivisionError
        self.names += [stored.name for stored in found]


def test_follower_lists_again_after_a_handler_failed() -> None:
    async def run() -> _Faulty:
        store = MemoryStore()
        faulty = _Faulty(2)
        follower = Follower(
            store,
            WatchSpec(KIND, 0),
            faulty.handlers(),
            random.Random(1),
            WatchGate.always_open(),
        )
        task = asyncio.create_task(follower.run())
        for name in ('one', 'two', 'three'):
            await asyncio.sleep(5)
            store.write(KIND, StoredObject(name, 0, 1))
        await asyncio.sleep(5)
        task.cancel()
        return faulty

    faulty = run_virtual(run())
    assert set(faulty.names) == {'one', 'two', 'three'}
    assert faulty.lists == 3
