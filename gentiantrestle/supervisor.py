"""Run child tasks; restart failed ones with backoff up to a limit."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from gentiantrestle import events

FIRST_DELAY = 0.1  # seconds
MAX_DELAY = 5.0  # seconds
MAX_RESTARTS = 5  # in RESTART_PERIOD
RESTART_PERIOD = 60.0  # seconds


class Child(NamedTuple):
    """A part of the daemon that the supervisor runs as a task."""

    name: str
    run: Callable[[], Awaitable[None]]


class RestartPolicy:
    """Decides whether and when a failed child is restarted."""

    def __init__(self) -> None:
        """Start without recorded failures."""
        self._failures: deque[float] = deque()

    def next_delay(self, now: float) -> float | None:
        """Record a failure at ``now``, a time in s.

        Return the delay before the restart in s, or ``None`` if the restart
        limit is exceeded.
        """
        self._failures.append(now)
        while now - self._failures[0] > RESTART_PERIOD:
            self._failures.popleft()
        count = len(self._failures)
        if count > MAX_RESTARTS:
            return None
        return min(MAX_DELAY, FIRST_DELAY * 2 ** (count - 1))


class RestartLimitError(Exception):
    """A child failed more often than its restart policy allows."""


class Supervisor:
    """Runs children concurrently and restarts those that fail."""

    def __init__(
        self,
        children: tuple[Child, ...],
        now: Callable[[], float],
    ) -> None:
        """Set the children, started in this order, and the clock in s."""
        self._children = children
        self._now = now
        # Awaited once a child has exceeded the restart limit, while the others
        # still run.
        self.before_end: Callable[[], Awaitable[object]] = _end_at_once

    async def run(self) -> None:
        """Run all children until they return or this task is cancelled.

        Raise an ``ExceptionGroup`` with ``RestartLimitError`` if a child
        exceeds the restart limit; the other children are cancelled after
        ``before_end``.
        """
        async with asyncio.TaskGroup() as group:
            for child in self._children:
                group.create_task(self._run_child(child), name=child.name)

    async def _run_child(self, child: Child) -> None:
        policy = RestartPolicy()
        while True:
            try:
                await child.run()
            except Exception as exc:  # noqa: BLE001 (any failure restarts)
                await self._handle_failure(child, policy, exc)
            else:
                return

    async def _handle_failure(
        self,
        child: Child,
        policy: RestartPolicy,
        exc: Exception,
    ) -> None:
        events.emit(events.CHILD_FAILED, child=child.name, error=repr(exc))
        delay = policy.next_delay(self._now())
        if delay is None:
            events.emit(events.CHILD_ABANDONED, child=child.name)
            await self._prepare_end()
            raise RestartLimitError(child.name) from exc
        events.emit(events.CHILD_RESTARTED, child=child.name, delay=delay)
        await asyncio.sleep(delay)

    async def _prepare_end(self) -> None:
        try:
            await self.before_end()
        except Exception as exc:  # noqa: BLE001 (logged; the end follows)
            events.emit(events.CHILD_FAILED, child='stop', error=repr(exc))


async def _end_at_once() -> None:
    """Do nothing; the default of children that owe nobody an answer."""
