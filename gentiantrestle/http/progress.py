"""Time limits that are put off while a transfer makes progress.

A transfer whose size grows would else be given up at the same byte each time.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from contextvars import ContextVar
from typing import Self

MAX_TRANSFER = 12.0  # seconds that a limit may be put off
# What the nearest kernel has taken may wait in buffers on its way.
SLOW_LINK = 256000  # bytes a second


class TransferLimit:
    """The limit of a call, and how far progress puts it off."""

    def __init__(self, limit: asyncio.Timeout, stall: float) -> None:
        """Let ``stall`` s pass without progress."""
        self._limit = limit
        self._stall = stall
        self._ends_at = limit.when() + MAX_TRANSFER
        self._is_over = False

    def __enter__(self) -> Self:
        """Return the limit."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Note that the call is over; tasks that it began may go on."""
        self._is_over = True

    def put_off(self, now: float, transfer: float) -> None:
        """Let a call that isn't over go on for ``stall`` and ``transfer`` s."""
        if self._is_over or self._limit.expired():
            return
        until = min(now + self._stall + transfer, self._ends_at)
        if until > self._limit.when():
            self._limit.reschedule(until)


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
        with TransferLimit(limit, stall) as present:
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


def put_off(limits: tuple[TransferLimit, ...], size: int = 0) -> None:
    """Put off limits: something was transferred now.

    ``size`` bytes are on their way, where their progress isn't seen.
    """
    now = asyncio.get_running_loop().time()
    for limit in limits:
        limit.put_off(now, size / SLOW_LINK)
