"""Callers of a fleet whose upstreams crash, and who starts these again."""

import asyncio
import time
from collections.abc import Callable
from itertools import count
from types import MappingProxyType
from typing import Any, NamedTuple

from tests.gateway.fleet import UNREACHABLE, GatewayFleet
from tests.utils.http import Reply

CRASHING = 'c0ffee00'
SYSTEM = 'a11ce000'  # the first part of all prompts
RESTART_DELAY = 0.5  # seconds until an upstream that ended is back
CONTACT_TIME = 4.0  # seconds in which all instances hear of a crash
STREAM_BODY = MappingProxyType({'events': 5})
FAILURES = (*UNREACHABLE, OSError)


class Sent(NamedTuple):
    """A request of a caller: when it was sent, and its status (0: cut)."""

    at: float
    status: int
    request_id: str = ''


class Crowd:
    """Callers of a fleet, and who starts its upstreams again."""

    def __init__(self, fleet: GatewayFleet) -> None:
        """Send nothing yet."""
        self.fleet = fleet
        self.ends: list[float] = []
        self._numbers = count()
        self._restarts: dict[int, asyncio.Task[None]] = {}

    async def send(
        self,
        path: str,
        *parts: str,
        body: Any = STREAM_BODY,
        entry: int | None = None,
    ) -> Sent:
        """Send a request with these parts and one of its own.

        It goes to ``entry``, or else to the running ones in turn.
        """
        number = next(self._numbers)
        if entry is None:
            entry = self._next_entry(number)
        prompt = ','.join(f'{part}:10' for part in (*parts, f'own{number}'))
        headers = {'X-Prompt-Prefix': prompt}
        at = time.time()
        try:
            reply: Reply = await self.fleet.request(
                entry,
                f'r{number}',
                path,
                dict(body),
                **headers,
            )
        except FAILURES:
            return Sent(at, 0, f'r{number}')
        return Sent(at, reply.status, f'r{number}')

    async def send_sound(self) -> Sent:
        """Send a request that shares its first part with all others."""
        return await self.send('/chat/1', SYSTEM, f's{next(self._numbers)}')

    async def send_crashing(self) -> Sent:
        """Send a request with the crashing part."""
        return await self.send('/chat/1', SYSTEM, CRASHING)

    async def send_each(
        self, interval: float, until: float, send: Callable[[], Any]
    ) -> list[Sent]:
        """Send a request each ``interval`` s until a time."""
        tasks = []
        while time.time() < until:
            tasks.append(asyncio.create_task(send()))
            await asyncio.sleep(interval)
        return await asyncio.gather(*tasks)

    async def restart_upstreams(self) -> None:
        """Start each upstream that ends again, until cancelled."""
        while True:
            for number, address in enumerate(self.fleet.upstreams):
                running = self.fleet.standins[address].running
                if not running and number not in self._restarts:
                    self.ends.append(time.time())
                    self._restarts[number] = asyncio.create_task(
                        self._restart(number)
                    )
            await asyncio.sleep(0.02)

    def crashing_runs(self) -> list[float]:
        """Return when upstreams began requests with the crashing part."""
        return [
            run['at']
            for run in self.fleet.printed_runs()
            if CRASHING in run['prompt']
        ]

    async def finish_restarts(self, keeper: asyncio.Task[None]) -> None:
        """Begin no more restarts, and wait for those that have begun."""
        keeper.cancel()
        await asyncio.gather(*self._restarts.values())

    def _next_entry(self, number: int) -> int:
        running = [
            entry
            for entry, child in enumerate(self.fleet.entries)
            if child.running
        ]
        return running[number % len(running)]

    async def _restart(self, number: int) -> None:
        await asyncio.sleep(RESTART_DELAY)
        await self.fleet.start_upstream(number)
        await self.fleet.register(number)
        self._restarts.pop(number)


def served_share(sent: list[Sent], since: float = 0) -> float:
    """Return the share of requests sent later than ``since`` with 200."""
    statuses = [req.status for req in sent if req.at > since]
    return statuses.count(200) / len(statuses)
