"""Repeats writes to the store whose responses are lost.

The store may carry out a write without answering it, or seconds later. Each
write is conditional, so the same write sent again either takes effect or finds
that the first one did.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

from gentiantrestle import events
from gentiantrestle.gateway.ports import ObjectStore, Page, StoredObject
from gentiantrestle.http.progress import transfer_timeout
from gentiantrestle.store.client import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

# The store answers in 4 ms, and in about 0.2 s when it is slow.
FIRST_TIMEOUT = 0.3  # seconds
TIMEOUT_GROWTH = 1.5  # factor from one attempt to the next
# Callers who submit a job wait 4 s in all and try again once.
RETRY_BUDGET = 2.0  # seconds


def attempt_timeouts(
    started_at: float, now: Callable[[], float]
) -> Iterator[float]:
    """Yield the timeout of each attempt until ``RETRY_BUDGET`` is used up.

    An attempt that makes progress goes on beyond it.
    """
    timeout = FIRST_TIMEOUT
    left = RETRY_BUDGET
    while left > 0:
        yield min(timeout, left)
        timeout *= TIMEOUT_GROWTH
        left = started_at + RETRY_BUDGET - now()


class RetryingStore:
    """An object store that repeats writes whose outcome is unknown.

    Raises ``StoreUnavailableError`` if the first attempt was not carried out,
    and ``StoreOutcomeUnknownError`` if a write may still take effect.
    """

    def __init__(self, store: ObjectStore, now: Callable[[], float]) -> None:
        """Call ``store``; reads are passed on as they are."""
        self._store = store
        self._now = now
        self.max_content_size = store.max_content_size

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
        return await self._write(
            name, lambda: self._store.create(kind, name, content)
        )

    async def put_status(
        self, kind: str, stored: StoredObject, status: Any
    ) -> bool:
        """Replace a status; False where the object has changed.

        That may be this call's own change, if its first response was lost.
        """
        return await self._write(
            stored.name, lambda: self._store.put_status(kind, stored, status)
        )

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; deleting twice is the same as once."""
        await self._write(name, lambda: self._store.delete(kind, name))

    async def _write(self, name: str, attempt: Callable[[], Awaitable]) -> Any:
        unknown_outcome: StoreOutcomeUnknownError | None = None
        for timeout in attempt_timeouts(self._now(), self._now):
            try:
                async with transfer_timeout(timeout, timeout):
                    return await attempt()
            except StoreUnavailableError as exc:
                if unknown_outcome is None:
                    raise
                await asyncio.sleep(timeout)
                events.emit(
                    events.STORE_CALL_FAILED, name=name, error=repr(exc)
                )
            except (StoreOutcomeUnknownError, TimeoutError) as exc:
                unknown_outcome = StoreOutcomeUnknownError(repr(exc))
                events.emit(events.WRITE_UNANSWERED, name=name)
        raise unknown_outcome
