"""Supervisors: run children, restart them with backoff, or give up."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from gentiantrestle import events

FIRST_DELAY = 0.1  # seconds
MAX_DELAY = 5.0  # seconds
MAX_RESTARTS = 5
RESTART_PERIOD = 60.0  # seconds


class Child(NamedTuple):
    """A part of the daemon that runs until it is cancelled."""

    name: str
    run: Callable[[], Awaitable[None]]


class RestartPolicy:
    """Decides what follows a child's failure."""

    def __init__(self) -> None:
        """Start with no failure seen."""
        self._failures: deque[float] = deque()

    def next_delay(self, now: float) -> float | None:
        """Return the delay before a restart in s, or None to give up."""
        self._failures.append(now)
        while now - self._failures[0] > RESTART_PERIOD:
            self._failures.popleft()
        count = len(self._failures)
        if count > MAX_RESTARTS:
            return None
        return min(MAX_DELAY, FIRST_DELAY * 2 ** (count - 1))


class RestartLimitError(Exception):
    """A child failed more often than its rule allows."""


class Supervisor:
    """Runs children side by side; one that fails is restarted."""

    def __init__(
        self,
        children: tuple[Child, ...],
        now: Callable[[], float],
    ) -> None:
        """Remember the children; the first one is started first."""
        self._children = children
        self._now = now

    async def run(self) -> None:
        """Run until cancelled, or raise when a child is beyond help."""
        async with asyncio.TaskGroup() as group:
            for child in self._children:
                group.create_task(self._keep(child), name=child.name)

    async def _keep(self, child: Child) -> None:
        rule = RestartPolicy()
        while True:
            try:
                await child.run()
            except Exception as exc:  # noqa: BLE001 (its very task)
                await self._recover(child, rule, exc)
            else:
                return

    async def _recover(
        self,
        child: Child,
        rule: RestartPolicy,
        exc: Exception,
    ) -> None:
        events.emit(events.CHILD_FAILED, child=child.name, error=repr(exc))
        delay = rule.next_delay(self._now())
        if delay is None:
            events.emit(events.CHILD_ABANDONED, child=child.name)
            raise RestartLimitError(child.name) from exc
        events.emit(events.CHILD_RESTARTED, child=child.name, delay=delay)
        await asyncio.sleep(delay)
