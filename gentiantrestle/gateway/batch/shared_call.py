"""Makes one call for all who wait for it."""

import asyncio
from collections.abc import Awaitable, Callable


class SharedCall:
    """A call whose outcome is shared by all who ask before it begins.

    One that has begun may have missed what they want to know: they wait for
    its end, and for the next one. If it fails, they fail with it.
    """

    def __init__(self, call: Callable[[], Awaitable[None]]) -> None:
        """Share runs of ``call``, one at a time."""
        self._call = call
        self._running: asyncio.Task[None] | None = None
        self._next: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Return after a run that began later than this; raise what it does.

        The run goes on for the others if this is cancelled.
        """
        if self._next is None:
            self._next = asyncio.create_task(self._run_after(self._running))
        await asyncio.shield(self._next)

    async def _run_after(self, before: asyncio.Task[None] | None) -> None:
        try:
            if before is not None and not before.done():
                await before
        finally:
            self._running = self._next
            self._next = None
        await self._call()
