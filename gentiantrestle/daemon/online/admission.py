"""Let a request go to an upstream, or make it wait for a slot."""

import asyncio
from typing import NamedTuple

from gentiantrestle.context import Context
from gentiantrestle.daemon.online.clients import ClientShares
from gentiantrestle.daemon.online.queue import FairQueue, Ticket
from gentiantrestle.daemon.upstreams.routing import POLICIES
from gentiantrestle.daemon.upstreams.service import Upstream, UpstreamRegistry
from gentiantrestle.errors import OVERLOADED, Refusal, RefusedError
from gentiantrestle.models import DeploymentDoc

ROUTING = 'least_cost'
SMOOTHING = 0.1
RETRY_AFTER = 1  # seconds


class Wanted(NamedTuple):
    """What a request needs of an upstream."""

    client: str
    deployment: DeploymentDoc
    prompt: str = ''
    excluded: frozenset[str] = frozenset()


def expected_wait(waiting: int, slots: int, service_time: float) -> float:
    """Estimate the wait in s behind requests that are ahead."""
    return waiting * service_time / max(1, slots)


class Admission:
    """Slots of the upstreams, and the queue before them."""

    def __init__(self, ctx: Context, fleet: UpstreamRegistry) -> None:
        """Start with an empty queue."""
        self._ctx = ctx
        self._fleet = fleet
        self._queue = FairQueue(ctx.cfg.queue_length)
        self._service_time = float(0)
        self._shares = ClientShares()
        self._choose = POLICIES[ROUTING]

    async def enter(self, wanted: Wanted) -> Upstream:
        """Take a slot, at once or after a wait; or raise a refusal."""
        now = self._ctx.now()
        chosen = self._try(wanted)
        if isinstance(chosen, Upstream):
            return chosen
        if chosen.kind is not OVERLOADED:
            raise RefusedError(chosen)
        self._refuse_early(wanted)
        return await self._wait(wanted, now + self._ctx.cfg.queue_wait)

    def has_free(self, wanted: Wanted) -> bool:
        """Tell whether a request could go at once."""
        return isinstance(self._choose_now(wanted), str)

    def take_free(self, wanted: Wanted) -> Upstream | None:
        """Take a slot only if one is free."""
        chosen = self._try(wanted)
        return chosen if isinstance(chosen, Upstream) else None

    def leave(self, client: str, upstream: Upstream, seconds: float) -> None:
        """Give a slot back after ``seconds`` of use."""
        self._shares.leave(client)
        upstream.online -= 1
        self._service_time += SMOOTHING * (seconds - self._service_time)
        self._fleet.loads.note(upstream.name)
        self.pump(self._ctx.now())

    def pump(self, now: float) -> None:
        """Let waiting requests go while there are free slots."""
        put_back: list[Ticket] = []
        clients = self._queue.clients
        while len(put_back) < clients:
            ticket = self._queue.pop(now)
            if ticket is None:
                break
            if not self._settle(ticket):
                put_back.append(ticket)
        for ticket in reversed(put_back):
            self._queue.push_front(ticket)

    @property
    def waiting(self) -> int:
        """Count the requests that wait for a slot."""
        return len(self._queue)

    def _settle(self, ticket: Ticket) -> bool:
        """Tell a waiting request its slot or refusal, if there is one."""
        wanted, fut = ticket.token
        if fut.done():
            return True
        chosen = self._try(wanted)
        if isinstance(chosen, Upstream):
            fut.set_result(chosen)
            return True
        if chosen.kind is OVERLOADED:
            return False
        fut.set_exception(RefusedError(chosen))
        return True

    def _try(self, wanted: Wanted) -> Upstream | Refusal:
        now = self._ctx.now()
        self._shares.note(wanted.client, now)
        name = self._choose_now(wanted)
        if isinstance(name, Refusal):
            return name
        if self._is_over_share(wanted, now):
            return Refusal(
                OVERLOADED,
                'This account uses its share of the slots',
                RETRY_AFTER,
            )
        upstream = self._fleet.find(name)
        upstream.online += 1
        self._shares.enter(wanted.client)
        self._fleet.loads.note(name)
        return upstream

    def _choose_now(self, wanted: Wanted) -> str | Refusal:
        now = self._ctx.now()
        snapshot = self._fleet.snapshot(
            wanted.deployment,
            now,
            wanted.prompt,
            wanted.excluded,
        )
        return self._choose(snapshot, now)

    def _is_over_share(self, wanted: Wanted, now: float) -> bool:
        slots = sum(
            self._fleet.share(name, now)
            for name in wanted.deployment['upstreams']
        )
        return self._shares.is_over(wanted.client, slots, now)

    def _refuse_early(self, wanted: Wanted) -> None:
        slots = self._fleet.total_slots(wanted.deployment)
        wait = expected_wait(len(self._queue), slots, self._service_time)
        if wait > self._ctx.cfg.queue_wait:
            raise RefusedError(
                Refusal(
                    OVERLOADED,
                    f'The wait would be about {wait:.0f} s',
                    max(RETRY_AFTER, round(wait)),
                ),
            )

    async def _wait(self, wanted: Wanted, deadline: float) -> Upstream:
        fut = asyncio.get_running_loop().create_future()
        ticket = Ticket(wanted.client, deadline, (wanted, fut))
        evicted = self._queue.push(ticket)
        if isinstance(evicted, Refusal):
            raise RefusedError(evicted)
        if evicted is not None:
            _refuse_waiting(evicted, 'Others had waited with less')
        try:
            async with asyncio.timeout(deadline - self._ctx.now()):
                return await fut
        except TimeoutError:
            raise RefusedError(
                Refusal(
                    OVERLOADED,
                    'No slot came free in time',
                    RETRY_AFTER,
                ),
            ) from None
        finally:
            self._queue.remove(ticket)
            self._return_unused(wanted.client, fut)

    def _return_unused(
        self,
        client: str,
        fut: asyncio.Future[Upstream],
    ) -> None:
        """Give a slot back that came as the wait was cut off."""
        task = asyncio.current_task()
        if task is None or not task.cancelling():
            return
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.leave(client, fut.result(), 0)


def _refuse_waiting(ticket: Ticket, reason: str) -> None:
    fut = ticket.token[1]
    if not fut.done():
        fut.set_exception(
            RefusedError(Refusal(OVERLOADED, reason, RETRY_AFTER)),
        )
