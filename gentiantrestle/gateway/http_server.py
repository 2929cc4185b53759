"""HTTP server for callers: one request at a time on each connection."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from http import HTTPStatus
from typing import Any

import h11

from gentiantrestle import events
from gentiantrestle.errors import (
    INTERNAL,
    REQUEST_TIMEOUT,
    STOPPING,
    Refusal,
    RefusedError,
    refuse,
)
from gentiantrestle.gateway.exchange import (
    CONNECTION_CLOSE,
    CONTENT_LENGTH,
    Exchange,
)
from gentiantrestle.gateway.model import CallerLimits
from gentiantrestle.gateway.request_reading import (
    announces_body,
    check_framing,
    collect_body,
    read_event,
)
from gentiantrestle.http.link import HeaderPairs, Link, LinkLostError
from gentiantrestle.http.messages import may_have_body

# After a refusal the connection stays open this long, so that a reset does
# not discard the refusal before the caller has read it.
LINGER_TIME = 0.3  # seconds
# A busy process finds an idle limit exceeded before it has read what arrived
# meanwhile, so it waits once more before it closes a connection.
LAST_WAIT = 0.05  # seconds
MAX_HEADER_LIMIT = 1048576  # bytes that a configuration may allow
# For the last answers of a stop to be read.
ENDING_TIME = 0.4  # seconds


Handler = Callable[[Exchange], Awaitable[None]]
RefusalWriter = Callable[[Refusal], tuple[int, HeaderPairs, bytes]]


class HttpServer:
    """Serves callers; can stop without cutting off a request.

    A request read while ``stopping`` is set is the last of its connection.
    """

    def __init__(
        self,
        handle: Handler,
        write_refusal: RefusalWriter,
        limits: Callable[[], CallerLimits],
    ) -> None:
        """Answer with ``handle``; ``limits`` returns the limits in force."""
        self._handle = handle
        self._write_refusal = write_refusal
        self._limits = limits
        self._links: dict[Link, asyncio.Task[None]] = {}
        self._busy: dict[Link, bytes] = {}  # method in flight, once known
        self._waits: dict[Link, asyncio.Timeout] = {}
        self._reading: dict[Link, asyncio.Timeout] = {}
        self._running: dict[Link, asyncio.Task[None]] = {}
        self._closing = False
        self._ended = False
        self._server: asyncio.Server | None = None
        self.stopping = False
        # Called with the head of a request before its body is read; may raise
        # ``RefusedError``.
        self.check_head: Callable[[h11.Request], Any] = _accept_any

    @property
    def in_flight(self) -> int:
        """Count the connections with a request in flight."""
        return len(self._busy)

    @property
    def is_drained(self) -> bool:
        """Return whether no connection is left."""
        return not self._links

    async def start(self, host: str, port: int) -> None:
        """Listen for callers at an address and port."""
        self._server = await asyncio.get_running_loop().create_server(
            self._create_link,
            host,
            port,
            backlog=1024,
        )

    def close_idle(self) -> None:
        """Stop listening and close the connections that are idle.

        A request that has arrived, even in part, is answered.
        """
        if self._server is not None:
            self._server.close()
        self._closing = True
        now = asyncio.get_running_loop().time()
        for wait in self._waits.values():
            if not wait.expired():
                wait.reschedule(now + LAST_WAIT)

    async def end_requests(self) -> None:
        """Answer what is left now: refuse it, or cut an answer that began.

        A request that is not complete has not run; another may have.
        """
        self._ended = True
        now = asyncio.get_running_loop().time()
        for wait in self._reading.values():
            if not wait.expired():
                wait.reschedule(now)
        for task in tuple(self._running.values()):
            task.cancel()
        if self._links:
            await asyncio.wait(tuple(self._links.values()), timeout=ENDING_TIME)

    def _create_link(self) -> Link:
        return Link(h11.SERVER, MAX_HEADER_LIMIT, self._start_serving)

    def _start_serving(self, link: Link) -> None:
        task = asyncio.create_task(self._serve_connection(link))
        self._links[link] = task
        task.add_done_callback(lambda _: self._links.pop(link, None))

    async def _serve_connection(self, link: Link) -> None:
        try:
            with suppress(LinkLostError, TimeoutError):
                await self._serve_requests(link)
        except RefusedError as exc:
            await self._send_refusal(link, exc.refusal)
        except h11.ProtocolError:
            link.abort()
        finally:
            self._busy.pop(link, None)
            link.close()
        await link.wait_closed()

    async def _serve_requests(self, link: Link) -> None:
        while True:
            head = await self._read_head(link)
            if head is None:
                return
            check_framing(head)
            admitted = self.check_head(head) if announces_body(head) else None
            body = await self._read_body(link)
            exchange = Exchange(link, head, body)
            exchange.admitted = admitted
            exchange.close_after = self.stopping
            await self._run_handler(link, exchange)
            self._busy.pop(link, None)
            if not exchange.can_reuse:
                return
            link.machine.start_next_cycle()

    async def _read_head(self, link: Link) -> h11.Request | None:
        if not await self._is_requested(link):
            return None
        self._busy[link] = b''
        limits = self._limits()
        link.head_limit = limits.header_bytes
        async with self._limit_reading(link, limits.header_timeout):
            event = await read_event(link)
        if isinstance(event, h11.Request):
            self._busy[link] = event.method
            return event
        return None

    async def _is_requested(self, link: Link) -> bool:
        """Wait for a request as long as the idle limit in force allows."""
        now = asyncio.get_running_loop().time
        began = now()
        while not self._closing and not link.disconnected:
            left = began + self._limits().idle_timeout - now()
            if left <= 0:
                break
            if await self._wait_readable(link, left):
                return True
        return await self._wait_readable(link, LAST_WAIT)

    async def _wait_readable(self, link: Link, seconds: float) -> bool:
        try:
            async with asyncio.timeout(seconds) as wait:
                self._waits[link] = wait
                await link.wait_readable()
        except TimeoutError:
            return link.has_input
        finally:
            self._waits.pop(link, None)
        return link.has_input

    async def _read_body(self, link: Link) -> bytes:
        if link.machine.they_are_waiting_for_100_continue:
            await link.send(
                h11.InformationalResponse(
                    status_code=HTTPStatus.CONTINUE, headers=[]
                ),
            )
        limits = self._limits()
        async with self._limit_reading(link, limits.idle_timeout):
            return await collect_body(link, limits.body_bytes)

    @asynccontextmanager
    async def _limit_reading(
        self, link: Link, seconds: float
    ) -> AsyncIterator[None]:
        """Refuse a request that isn't complete in time, or before the end."""
        try:
            async with asyncio.timeout(0 if self._ended else seconds) as wait:
                self._reading[link] = wait
                yield
        except TimeoutError:
            if self._ended:
                raise refuse(STOPPING, 'This instance ends') from None
            raise refuse(
                REQUEST_TIMEOUT, 'The request was not complete in time'
            ) from None
        finally:
            self._reading.pop(link, None)

    async def _run_handler(self, link: Link, exchange: Exchange) -> None:
        """Run the handler; cancel it if the caller disconnects."""
        task = asyncio.create_task(self._handle_safely(exchange))
        self._running[link] = task
        link.cancel_on_disconnect(task)
        try:
            await task
        except asyncio.CancelledError:
            if link.disconnected:
                raise LinkLostError('the caller disconnected') from None
            if asyncio.current_task().cancelling():
                raise
            exchange.end(is_planned=self._ended)
        finally:
            link.cancel_on_disconnect(None)
            self._running.pop(link, None)

    async def _handle_safely(self, exchange: Exchange) -> None:
        try:
            await self._handle(exchange)
        except RefusedError as exc:
            if exchange.started:
                exchange.abort()
                return
            await exchange.respond(*self._write_refusal(exc.refusal))
        except Exception as exc:
            if isinstance(exc, LinkLostError) and exchange.disconnected:
                raise
            events.emit(events.REQUEST_FAILED, error=repr(exc))
            if exchange.started:
                exchange.abort()
                return
            failure = refuse(
                INTERNAL, 'The request failed with an internal error'
            ).refusal
            await exchange.respond(*self._write_refusal(failure))

    async def _send_refusal(self, link: Link, refusal: Refusal) -> None:
        """Refuse an invalid or incomplete request and close."""
        status, headers, body = self._write_refusal(refusal)
        has_body = may_have_body(self._busy.get(link, b''), status)
        events.emit(
            events.BAD_REQUEST_REFUSED, status=status, reason=refusal.reason
        )
        fields = [
            *headers,
            CONNECTION_CLOSE,
            (CONTENT_LENGTH, str(len(body)).encode()),
        ]
        with suppress(LinkLostError, h11.LocalProtocolError):
            await link.send(
                h11.Response(status_code=status, headers=fields),
                h11.Data(data=body if has_body else b''),
                h11.EndOfMessage(),
            )
        await asyncio.sleep(LINGER_TIME)
        link.close()


def _accept_any(head: h11.Request) -> None:
    """Refuse nothing; the default until a check is set."""
