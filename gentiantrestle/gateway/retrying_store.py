"""Settles writes to the store whose answers are lost.

Answers the load of a store that does some writes without answering them, or
does them seconds later: each write is conditional, so the same write sent
again either takes effect or meets the one before it.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

from gentiantrestle import events
from gentiantrestle.gateway.ports import ObjectStore, Page, StoredObject
from gentiantrestle.store.client import (
    StoreUnavailableError,
    StoreUnsureError,
)

# The store answers in 4 ms, and in about 0.2 s when it is slow.
FIRST_TRY = 0.3  # seconds
GROWTH = 1.5  # of each try over the one before it
# Callers who hand a job in wait 4 s in all and come back once.
SETTLE_TIME = 2.0  # seconds


def tries(started: float, now: Callable[[], float]) -> Iterator[float]:
    """Yield how long each try may take, until the time to settle is over."""
    longest = FIRST_TRY
    left = SETTLE_TIME
    while left > 0:
        yield min(longest, left)
        longest *= GROWTH
        left = started + SETTLE_TIME - now()


class RetryingStore:
    """An object store whose writes are tried again until they are settled."""

    def __init__(self, store: ObjectStore, now: Callable[[], float]) -> None:
        """Call ``store``; reads are passed on as they are."""
        self._store = store
        self._now = now

    async def list_page(
        self, kind: str, after: str, *, stale: bool = False
    ) -> Page:
        """List one page of a kind after a name."""
        return await self._store.list_page(kind, after, stale=stale)

    async def watch(self, kind: str, revision: int, wait: float) -> Page:
        """Wait up to ``wait`` s for changes of a kind after a revision."""
        return await self._store.watch(kind, revision, wait)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""
        return await self._store.get(kind, name)

    async def create(self, kind: str, name: str, content: Any) -> bool:
        """Create an object; False where one exists, perhaps by this call."""
        return await self._settle(
            name, lambda: self._store.create(kind, name, content)
        )

    async def put_status(
        self, kind: str, found: StoredObject, status: Any
    ) -> bool:
        """Replace a status; False where the object has changed.

        That may be this call's own change, if its first answer was lost.
        """
        return await self._settle(
            found.name, lambda: self._store.put_status(kind, found, status)
        )

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; deleting twice is the same as once."""
        await self._settle(name, lambda: self._store.delete(kind, name))

    async def _settle(self, name: str, write: Callable[[], Awaitable]) -> Any:
        unsure: StoreUnsureError | None = None
        for longest in tries(self._now(), self._now):
            try:
                async with asyncio.timeout(longest):
                    return await write()
            except StoreUnavailableError as exc:
                if unsure is None:
                    raise
                await asyncio.sleep(longest)
                events.emit(events.WRITE_FAILED, name=name, error=repr(exc))
            except (StoreUnsureError, TimeoutError) as exc:
                unsure = StoreUnsureError(repr(exc))
                events.emit(events.WRITE_UNSURE, name=name)
        raise unsure
