"""Asks the coordinators of a zone for a slot, and waits in their queues."""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress

from gentiantrestle.gateway.slots.client import SlotClient
from gentiantrestle.gateway.slots.messages import Verdict
from gentiantrestle.gateway.slots.pending import PendingAsk

# A zone's coordinator answers within a few ms, unless it is busy or gone.
ANSWER_TIMEOUT = 0.025  # seconds
# How often the first coordinator is asked before the next one is.
ASKS_PER_COORDINATOR = (3, 2)
# One of another region is further away.
FAR_ANSWER_TIMEOUT = 0.1  # seconds
ASKS_FAR = 2
# Zones that a refused request is asked for in, one after the other.
MAX_ZONES = 3
# A queued request is asked for again, in case its grant was lost.
QUEUED_INTERVAL = 0.1  # seconds


class CoordinatorAsks:
    """Sends the asks of one instance until they are answered."""

    def __init__(
        self, zone: str, client: SlotClient, now: Callable[[], float]
    ) -> None:
        """Ask the coordinators of ``zone``, the own one."""
        self._zone = zone
        self._client = client
        self._now = now

    async def ask(self, pending: PendingAsk) -> bool:
        """Ask one coordinator after the other; return whether one answered."""
        targets = self._client.targets(self._zone, self._now())
        for target, asks in zip(targets, ASKS_PER_COORDINATOR, strict=False):
            if await self._ask(pending, target.host, asks):
                return True
            self._client.suspect(target.instance, self._now())
        return False

    async def outwait_queue(self, pending: PendingAsk, until: float) -> bool:
        """Wait until a queued ask is granted or refused, or ``until``.

        Where its coordinator has fallen silent, the next one is asked. Returns
        whether any of them still answers.
        """
        is_live = True
        while is_live and pending.answer.verdict is Verdict.QUEUED:
            if self._now() >= until:
                break
            is_live = await self._outwait_round(pending, until)
        return is_live

    async def ask_there(self, pending: PendingAsk, host: str) -> bool:
        """Ask the coordinator at ``host`` to place or queue the ask itself.

        Returns whether it answered.
        """
        whole = pending.ask
        pending.ask = whole._replace(passed_on=True)
        pending.answered.clear()
        answered = await self._ask(pending, host, ASKS_FAR, FAR_ANSWER_TIMEOUT)
        pending.ask = whole
        return answered

    async def ask_zones(
        self, pending: PendingAsk, zones: Iterable[str], until: float
    ) -> None:
        """Ask the coordinators of some zones until one does not refuse.

        The ask has been refused by the coordinator that answered last.
        """
        asked = {pending.answer.host}
        for host in self._first_hosts(zones):
            now = self._now()
            if len(asked) > MAX_ZONES or not pending.refused or now >= until:
                return
            if host not in asked:
                asked.add(host)
                pending.ask = pending.ask._replace(wait=until - now)
                await self.ask_there(pending, host)

    def _first_hosts(self, zones: Iterable[str]) -> Iterator[str]:
        for zone in zones:
            for target in self._client.targets(zone, self._now())[:1]:
                yield target.host

    async def _outwait_round(self, pending: PendingAsk, until: float) -> bool:
        keeper = pending.answer.host
        pending.answered.clear()
        left = until - self._now()
        if await _is_answered(pending, min(left, QUEUED_INTERVAL)):
            return True
        if self._now() >= until:
            return True
        targets = self._client.targets(self._zone, self._now())
        is_elsewhere = keeper not in {target.host for target in targets}
        if is_elsewhere and await self.ask_there(pending, keeper):
            return True
        return await self.ask(pending)

    async def _ask(
        self,
        pending: PendingAsk,
        host: str,
        asks: int,
        timeout: float = ANSWER_TIMEOUT,
    ) -> bool:
        """Ask one coordinator up to ``asks`` times."""
        for tries in range(asks):
            self._client.send_ask(pending, host)
            if await _is_answered(pending, timeout):
                if tries:
                    self._client.note_loss(self._now())
                return True
        return False


async def _is_answered(pending: PendingAsk, timeout: float) -> bool:
    with suppress(TimeoutError):
        async with asyncio.timeout(timeout):
            await pending.answered.wait()
    return pending.answer is not None and pending.answered.is_set()
