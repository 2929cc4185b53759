"""Admission of online requests: assign an upstream slot, queue or refuse."""

import asyncio
from typing import NamedTuple

from gentiantrestle.context import Context
from gentiantrestle.daemon.online.client_shares import ClientShares
from gentiantrestle.daemon.online.queue import FairQueue, Ticket
from gentiantrestle.daemon.upstreams.routing import POLICIES
from gentiantrestle.daemon.upstreams.service import Upstream, UpstreamRegistry
from gentiantrestle.errors import OVERLOADED, Refusal, RefusedError
from gentiantrestle.models import DeploymentDoc

ROUTING_POLICY = 'least_cost'
SMOOTHING = 0.1  # weight of a new sample
RETRY_AFTER = 1  # seconds


class SlotRequest(NamedTuple):
    """What admission needs to know of a request that asks for a slot.

    ``excluded`` names the upstreams that must not be chosen.
    """

    client: str
    deployment: DeploymentDoc
    prompt: str = ''
    excluded: frozenset[str] = frozenset()


def expected_wait(waiting: int, slots: int, service_time: float) -> float:
    """Estimate a queued request's wait for a slot, in seconds.

    ``waiting`` requests are ahead of it; each uses a slot for
    ``service_time`` seconds.
    """
    return waiting * service_time / max(1, slots)


class Admission:
    """Assigns upstream slots to online requests and queues the excess."""

    def __init__(self, ctx: Context, upstreams: UpstreamRegistry) -> None:
        """Start with an empty queue."""
        self._ctx = ctx
        self._upstreams = upstreams
        self._queue = FairQueue(ctx.cfg.queue_length)
        self._service_time = float(0)
        self._shares = ClientShares()
        self._policy = POLICIES[ROUTING_POLICY]

    async def acquire(self, request: SlotRequest) -> Upstream:
        """Take a slot on an upstream; wait for one if all are taken.

        The caller gives the slot back with ``release``. Raises
        ``RefusedError`` when no upstream is usable, the queue is full, or no
        slot is expected or becomes free within the ``queue_wait`` setting.
        """
        now = self._ctx.now()
        result = self._try_acquire(request)
        if isinstance(result, Upstream):
            return result
        if result.kind is not OVERLOADED:
            raise RefusedError(result)
        self._refuse_long_wait(request)
        return await self._wait_in_queue(
            request, now + self._ctx.cfg.queue_wait
        )

    def has_free_slot(self, request: SlotRequest) -> bool:
        """Tell whether an upstream has a free slot for a request.

        The limit of slots per client is not checked.
        """
        return isinstance(self._choose_upstream(request), str)

    def acquire_if_free(self, request: SlotRequest) -> Upstream | None:
        """Take a slot without waiting; return None if it is refused."""
        result = self._try_acquire(request)
        return result if isinstance(result, Upstream) else None

    def release(self, client: str, upstream: Upstream, seconds: float) -> None:
        """Give a slot back that was in use for ``seconds``."""
        self._shares.release(client)
        upstream.online -= 1
        self._service_time += SMOOTHING * (seconds - self._service_time)
        self._upstreams.loads.notify_change(upstream.name)
        self.dispatch(self._ctx.now())

    def dispatch(self, now: float) -> None:
        """Assign free slots to queued requests."""
        skipped: list[Ticket] = []
        clients = self._queue.client_count
        while len(skipped) < clients:
            ticket = self._queue.pop(now)
            if ticket is None:
                break
            if not self._resolve(ticket):
                skipped.append(ticket)
        for ticket in reversed(skipped):
            self._queue.push_front(ticket)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    def _resolve(self, ticket: Ticket) -> bool:
        """Give a queued request its slot or its refusal.

        Return False if it has to keep waiting.
        """
        request, fut = ticket.payload
        if fut.done():
            return True
        result = self._try_acquire(request)
        if isinstance(result, Upstream):
            fut.set_result(result)
            return True
        if result.kind is OVERLOADED:
            return False
        fut.set_exception(RefusedError(result))
        return True

    def _try_acquire(self, request: SlotRequest) -> Upstream | Refusal:
        now = self._ctx.now()
        self._shares.record_request(request.client, now)
        name = self._choose_upstream(request)
        if isinstance(name, Refusal):
            return name
        if self._is_client_at_limit(request, now):
            return Refusal(
                OVERLOADED,
                'This client has reached its limit of concurrent requests',
                RETRY_AFTER,
            )
        upstream = self._upstreams.find(name)
        upstream.online += 1
        self._shares.acquire(request.client)
        self._upstreams.loads.notify_change(name)
        return upstream

    def _choose_upstream(self, request: SlotRequest) -> str | Refusal:
        now = self._ctx.now()
        snapshot = self._upstreams.snapshot(
            request.deployment,
            now,
            request.prompt,
            request.excluded,
        )
        return self._policy(snapshot, now)

    def _is_client_at_limit(self, request: SlotRequest, now: float) -> bool:
        slots = sum(
            self._upstreams.local_share(name, now)
            for name in request.deployment['upstreams']
        )
        return self._shares.is_at_limit(request.client, slots, now)

    def _refuse_long_wait(self, request: SlotRequest) -> None:
        slots = self._upstreams.total_slots(request.deployment)
        wait = expected_wait(len(self._queue), slots, self._service_time)
        if wait > self._ctx.cfg.queue_wait:
            raise RefusedError(
                Refusal(
                    OVERLOADED,
                    f'The expected wait for a slot is {wait:.0f} s',
                    max(RETRY_AFTER, round(wait)),
                ),
            )

    async def _wait_in_queue(
        self, request: SlotRequest, deadline: float
    ) -> Upstream:
        fut = asyncio.get_running_loop().create_future()
        ticket = Ticket(request.client, deadline, (request, fut))
        evicted = self._queue.push(ticket)
        if isinstance(evicted, Refusal):
            raise RefusedError(evicted)
        if evicted is not None:
            _refuse_ticket(
                evicted,
                'The queue is full; this client has the most requests in it',
            )
        try:
            async with asyncio.timeout(deadline - self._ctx.now()):
                return await fut
        except TimeoutError:
            if _is_assigned(fut):
                return fut.result()
            raise RefusedError(
                Refusal(
                    OVERLOADED,
                    'No slot became free in time',
                    RETRY_AFTER,
                ),
            ) from None
        finally:
            self._queue.remove(ticket)
            self._release_if_cancelled(request.client, fut)

    def _release_if_cancelled(
        self,
        client: str,
        fut: asyncio.Future[Upstream],
    ) -> None:
        """Give back a slot that was assigned while the wait was cancelled."""
        task = asyncio.current_task()
        if task is None or not task.cancelling():
            return
        if _is_assigned(fut):
            self.release(client, fut.result(), 0)


def _is_assigned(fut: asyncio.Future[Upstream]) -> bool:
    """Return whether a waiting request was given a slot.

    That can be so although its wait has ended, if both fall into one turn of
    the event loop.
    """
    return fut.done() and not fut.cancelled() and fut.exception() is None


def _refuse_ticket(ticket: Ticket, reason: str) -> None:
    fut = ticket.payload[1]
    if not fut.done():
        fut.set_exception(
            RefusedError(Refusal(OVERLOADED, reason, RETRY_AFTER)),
        )
