"""Time limits that are put off while a transfer makes progress.

A transfer whose size grows would else be given up at the same byte each time.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from contextvars import ContextVar
from typing import NamedTuple

MAX_TRANSFER = 12.0  # seconds that a limit may be put off


class TransferLimit(NamedTuple):
    """The limit of a call, and how far progress puts it off."""

    limit: asyncio.Timeout
    stall: float  # seconds without progress
    ends_at: float  # time of the loop

    def put_off(self, now: float) -> None:
        """Let the call go on for ``stall`` s, unless it is over."""
        before = self.limit.when()
        if before is None or self.limit.expired():
            return
        until = min(now + self.stall, self.ends_at)
        if until > before:
            self.limit.reschedule(until)


# The limits around the present task's call, from the outermost on.
_limits: ContextVar[tuple[TransferLimit, ...]] = ContextVar(
    'limits', default=()
)


@asynccontextmanager
async def transfer_timeout(first: float, stall: float) -> AsyncIterator[None]:
    """Raise ``TimeoutError`` after a time without progress.

    ``first`` is the time to the first progress, ``stall`` that from one
    progress to the next, in s. Limits around each other are all put off, each
    by ``MAX_TRANSFER`` s at most.
    """
    until = asyncio.get_running_loop().time() + first
    async with asyncio.timeout_at(until) as limit:
        present = TransferLimit(limit, stall, until + MAX_TRANSFER)
        token = _limits.set((*_limits.get(), present))
        try:
            yield
        finally:
            _limits.reset(token)


def present_limits() -> tuple[TransferLimit, ...]:
    """Return the limits around the present task's call."""
    return _limits.get()


def note_progress() -> None:
    """Put off the limits of the present task's call: something arrived."""
    limits = present_limits()
    if limits:
        put_off(limits)


def put_off(limits: tuple[TransferLimit, ...]) -> None:
    """Put off limits: something was transferred now."""
    now = asyncio.get_running_loop().time()
    for limit in limits:
        limit.put_off(now)
