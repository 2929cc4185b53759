"""Runs an attempt, and seeks another upstream while its own one is silent.

Silence ends no answer: an attempt is only given up for another one.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, NamedTuple

from gentiantrestle.gateway.model import Route
from gentiantrestle.gateway.retry_policy import (
    AttemptOutcome,
    RequestProgress,
    Step,
    next_step,
)
from gentiantrestle.gateway.slots.client import SlotLease

# A sound upstream may pause for about a second, and callers abandon a stream
# after two.
MIN_SILENCE = 1.4  # seconds
SEARCH_INTERVAL = 0.25  # seconds


def silence_limit(
    route: Route, progress: RequestProgress, left: float
) -> float | None:
    """Return after how long a silence another upstream is sought, in s.

    None if the next attempt, with ``left`` s until the deadline, is the last
    one that ``progress`` allows.
    """
    after = progress._replace(runs=progress.runs + 1)
    if next_step(AttemptOutcome.LOST, after, left) is not Step.RETRY:
        return None
    return max(MIN_SILENCE, route.latency_target)


class Silence:
    """Measures how long an attempt has been waiting for its upstream; no I/O.

    It ends with an event or a part of a plain body. ``trickles`` is set while
    there are bytes that complete no event.
    """

    def __init__(self, limit: float | None) -> None:
        """Start without waiting; ``limit`` is in s, None for no limit."""
        self._limit = limit
        self._since: float | None = None
        self.trickles = False

    def begin(self, now: float) -> None:
        """Note that the upstream is waited for from now on."""
        self._since = now
        self.trickles = False

    def end(self) -> None:
        """Note that the upstream isn't waited for."""
        self._since = None

    def left(self, now: float) -> float | None:
        """Return the time to the limit in s; None if there is no limit."""
        if self._limit is None or self._since is None:
            return self._limit
        return max(0, self._since + self._limit - now)


class SlotSearch(NamedTuple):
    """How to find a slot on another upstream, and to give it back unused."""

    find: Callable[[], Awaitable[SlotLease | None]]
    release: Callable[[SlotLease], None]


class WatchedAttempt:
    """An attempt that is given up once it is silent and has a successor."""

    def __init__(
        self,
        silence: Silence,
        search: SlotSearch,
        now: Callable[[], float],
    ) -> None:
        """Watch ``silence``, which the attempt updates."""
        self._silence = silence
        self._search = search
        self._now = now

    async def run(self, attempt: Coroutine[Any, Any, None]) -> SlotLease | None:
        """Run an attempt to its end, and raise what it raises.

        Returns a slot on another upstream if the attempt was given up for it.
        """
        sending = asyncio.create_task(attempt)
        successor = None
        try:
            successor = await self._watch(sending)
        finally:
            await self._end(sending, successor)
        if successor is None:
            sending.result()
        return successor

    async def _end(
        self, sending: asyncio.Task[None], successor: SlotLease | None
    ) -> None:
        try:
            await _cancel(sending)
        except asyncio.CancelledError:
            if successor is not None:
                self._search.release(successor)
            raise

    async def _watch(self, sending: asyncio.Task[None]) -> SlotLease | None:
        while not sending.done():
            left = self._silence.left(self._now())
            if left != 0:
                await asyncio.wait((sending,), timeout=left)
                continue
            successor = await self._find_successor(sending)
            if successor is not None:
                return successor
            await asyncio.wait((sending,), timeout=SEARCH_INTERVAL)
        return None

    async def _find_successor(
        self, sending: asyncio.Task[None]
    ) -> SlotLease | None:
        """Seek a slot; return it if the upstream is silent up to then."""
        searching = asyncio.ensure_future(self._search.find())
        successor = None
        try:
            await asyncio.wait(
                (sending, searching), return_when=asyncio.FIRST_COMPLETED
            )
            is_silent = self._silence.left(self._now()) == 0
            if is_silent and searching.done() and not sending.done():
                successor = searching.result()
        finally:
            await _cancel(searching)
            if successor is None:
                self._give_back(searching)
        return successor

    def _give_back(self, searching: asyncio.Future[SlotLease | None]) -> None:
        if searching.cancelled() or searching.exception() is not None:
            return
        lease = searching.result()
        if lease is not None:
            self._search.release(lease)


async def _cancel(fut: asyncio.Future[Any]) -> None:
    """Cancel what still runs, and wait for its end."""
    if not fut.done():
        fut.cancel()
        await asyncio.wait((fut,))
    if not fut.cancelled():
        fut.exception()  # marks it as retrieved
