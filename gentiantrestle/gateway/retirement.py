"""Answers requests to empty a storage instance; none holds any data."""

import asyncio
from collections.abc import Iterable
from typing import Any

from gentiantrestle import events
from gentiantrestle.gateway.follower import NO_REVISION, StoreHandlers
from gentiantrestle.gateway.ports import ObjectStore, StoredObject
from gentiantrestle.store.client import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

# Until then only the instance itself answers, afterwards all others as well.
OWN_ANSWER_WAIT = 1.5  # seconds
RETRY_PAUSE = 0.5  # seconds


class RetirementResponder:
    """Marks instances that are to be emptied as empty."""

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        instance: str,
        completed: dict[str, Any],
    ) -> None:
        """Write ``completed`` as the status of an answered request."""
        self._store = store
        self._kind = kind
        self._instance = instance
        self._completed = completed
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def handlers(self) -> StoreHandlers:
        """Return the handlers for a follower of the requests."""
        return StoreHandlers(
            self._start_answers, self._start_answers, _nothing, _no_revision
        )

    def _start_answers(
        self, found: Iterable[StoredObject], revision: int
    ) -> None:
        for stored in found:
            name = stored.name
            if stored.deleted or stored.status == self._completed:
                continue
            if name not in self._tasks:
                self._tasks[name] = asyncio.create_task(self._answer(name))

    async def _answer(self, name: str) -> None:
        if name != self._instance:
            await asyncio.sleep(OWN_ANSWER_WAIT)
        while not await self._try_answer(name):
            await asyncio.sleep(RETRY_PAUSE)
        self._tasks.pop(name, None)

    async def _try_answer(self, name: str) -> bool:
        """Return whether the request needs no further attempt."""
        try:
            stored = await self._store.get(self._kind, name)
            if stored is None or stored.status == self._completed:
                return True
            done = await self._store.put_status(
                self._kind, stored, self._completed
            )
        except (StoreUnavailableError, StoreOutcomeUnknownError) as exc:
            events.emit(events.STORE_CALL_FAILED, name=name, error=repr(exc))
            return False
        if done:
            events.emit(events.INSTANCE_RETIRED, instance=name)
        return done


def _no_revision() -> int:
    return NO_REVISION


def _nothing() -> None:
    """Leave the requests as they are while the store is unreachable."""
