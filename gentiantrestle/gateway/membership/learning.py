"""Decides when an instance that starts knows what the others know."""

import asyncio
from collections.abc import Callable, Collection

from gentiantrestle.http.probe import accepts_connections
from gentiantrestle.models import Address

ANSWER_TIME = 0.5  # seconds in which others answer, unless they are busy
# Others that accept connections may be busy, or stand still.
MAX_TIME = 2.0  # seconds
PROBE_TIMEOUT = 0.3  # seconds
PROBE_INTERVAL = 0.1  # seconds


class Learning:
    """The time from a start until another instance has been heard."""

    def __init__(
        self,
        seeds: Collection[Address],
        has_heard: Callable[[], bool],
        now: Callable[[], float],
    ) -> None:
        """Begin now; ``seeds`` are where others are expected to listen."""
        self._seeds = seeds
        self._has_heard = has_heard
        self._now = now
        self._started = now()
        self._others_run = True

    def is_over(self, now: float) -> bool:
        """Return whether to serve: others were heard, or there are none."""
        if self._has_heard() or not self._seeds:
            return True
        uptime = now - self._started
        if uptime < ANSWER_TIME:
            return False
        return uptime > MAX_TIME or not self._others_run

    async def run(self) -> None:
        """Look for others until learning is over."""
        while not self.is_over(self._now()):
            found = await asyncio.gather(
                *(
                    accepts_connections(seed, PROBE_TIMEOUT)
                    for seed in self._seeds
                )
            )
            self._others_run = any(found)
            await asyncio.sleep(PROBE_INTERVAL)
