"""Questions that all who ask at one time share."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

Answer = TypeVar('Answer')


class Rounds(Generic[Answer]):
    """Asks for all that is wanted at one time at once.

    A round that has begun may miss what comes after, so whoever comes then
    waits for the next one.
    """

    def __init__(
        self, ask: Callable[[frozenset[str]], Awaitable[Answer]]
    ) -> None:
        """Ask with ``ask``; nothing is wanted yet."""
        self._ask = ask
        self._wanted: set[str] = set()
        self._lock = asyncio.Lock()
        self._next: asyncio.Task[Answer] | None = None
        self._running: set[asyncio.Task[Answer]] = set()

    async def get(self, name: str = '') -> Answer:
        """Return the answer to a question for ``name`` asked from now on."""
        self._wanted.add(name)
        if self._next is None:
            self._next = asyncio.create_task(self._run())
            self._running.add(self._next)
            self._next.add_done_callback(self._running.discard)
        # The others wait for it, too.
        return await asyncio.shield(self._next)

    async def _run(self) -> Answer:
        async with self._lock:
            wanted = frozenset(self._wanted)
            self._wanted.clear()
            self._next = None
            return await self._ask(wanted)
