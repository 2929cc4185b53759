"""A store in memory that carries out writes at once, late, or never."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from enum import Enum
from typing import Any, NamedTuple

from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.store.client import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tests.gateway.memory import CALL_TIMEOUT, MemoryStore

CALL_TIME = 0.01  # seconds


class Fate(Enum):
    """What becomes of a write, and of its answer."""

    DONE = 'done'
    UNANSWERED = 'done, without an answer'
    LATE = 'done later, without an answer'
    LOST = 'never done, without an answer'
    REFUSED = 'refused'


class Turn(NamedTuple):
    """The fate of one write; ``delay`` in s is for one that is late."""

    fate: Fate
    delay: float


class LateStore(MemoryStore):
    """Takes the fate of each write from ``turns``, then does all at once.

    ``refusals`` tells which reads are refused.
    """

    def __init__(
        self,
        turns: Iterator[Turn],
        refusals: Iterator[bool],
        max_content_size: int,
    ) -> None:
        super().__init__(max_content_size)
        self.turns = turns
        self._refusals = refusals

    def calm(self) -> None:
        """Answer all calls at once from now on."""
        self.turns = iter(())
        self._refusals = iter(())

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""
        await asyncio.sleep(CALL_TIME)
        if next(self._refusals, False):
            raise StoreUnavailableError('refused')
        return await super().get(kind, name)

    async def create(self, kind: str, name: str, content: Any) -> bool:
        """Create an object."""
        create = super().create
        return await self._write(lambda: create(kind, name, content))

    async def put_status(
        self, kind: str, stored: StoredObject, status: Any
    ) -> bool:
        """Replace a status."""
        put_status = super().put_status
        return await self._write(lambda: put_status(kind, stored, status))

    async def _write(self, act: Callable[[], Awaitable[bool]]) -> bool:
        turn = next(self.turns, Turn(Fate.DONE, 0))
        await asyncio.sleep(CALL_TIME)
        if turn.fate is Fate.REFUSED:
            raise StoreUnavailableError('refused')
        if turn.fate is Fate.LATE:
            asyncio.get_running_loop().call_later(
                turn.delay, lambda: asyncio.ensure_future(act())
            )
        elif turn.fate is not Fate.LOST:
            done = await act()
            if turn.fate is Fate.DONE:
                return done
        await asyncio.sleep(CALL_TIMEOUT)
        raise StoreOutcomeUnknownError('no answer')
