"""Callers' connections: requests in turn, answers forwarded, never cut."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from http import HTTPStatus

import h11

from gentiantrestle import events
from gentiantrestle.errors import (
    BAD_REQUEST,
    HEADERS_TOO_LARGE,
    INTERNAL,
    REQUEST_TIMEOUT,
    TOO_LARGE,
    Refusal,
    RefusedError,
    refuse,
)
from gentiantrestle.gateway.model import CallerLimits
from gentiantrestle.http.link import HeaderPairs, Link, LinkLostError

LENGTH = b'content-length'
CODING = b'transfer-encoding'
CLOSE = (b'Connection', b'close')
# How long a refused caller's rest is read, so that a reset does not eat the
# refusal.
LINGER = 0.3  # seconds


class Exchange:
    """One request of a caller, and the one answer it gets."""

    def __init__(self, link: Link, head: h11.Request, body: bytes) -> None:
        """Take the whole request; nothing is answered yet."""
        self.head = head
        self.body = body
        self.begun = False
        self.finished = False
        self.closing = False
        self._link = link

    async def respond(
        self,
        status: int,
        headers: HeaderPairs,
        body: bytes = b'',
    ) -> None:
        """Send a whole answer."""
        length = (LENGTH, str(len(body)).encode())
        fields = [pair for pair in headers if pair[0].lower() != LENGTH]
        self.begun = True
        await self._link.send(
            self._head(status, [*fields, length]),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        self.finished = True

    async def begin(
        self,
        status: int,
        headers: HeaderPairs,
        first: bytes,
    ) -> None:
        """Send the head and the first part of a streamed answer."""
        self.begun = True
        await self._link.send(
            self._head(status, headers),
            h11.Data(data=first),
        )

    async def part(self, piece: bytes) -> None:
        """Pass one more part on."""
        await self._link.send(h11.Data(data=piece))

    async def end(self) -> None:
        """Mark a streamed answer as complete."""
        await self._link.send(h11.EndOfMessage())
        self.finished = True

    def cut(self) -> None:
        """End the connection so that the answer does not look complete."""
        self._link.abort()

    def _head(self, status: int, headers: HeaderPairs) -> h11.Response:
        fields = list(headers)
        if self.closing:
            fields.append(CLOSE)
        return h11.Response(
            status_code=status,
            headers=fields,
            reason=_phrase(status),
        )


Handler = Callable[[Exchange], Awaitable[None]]
RefusalWriter = Callable[[Refusal], tuple[int, HeaderPairs, bytes]]


class HttpServer:
    """Accepts callers and stops without cutting a request."""

    def __init__(
        self,
        handle: Handler,
        write_refusal: RefusalWriter,
        limits: Callable[[], CallerLimits],
    ) -> None:
        """Answer with ``handle`` within the limits in force."""
        self._handle = handle
        self._write_refusal = write_refusal
        self._limits = limits
        self._links: dict[Link, asyncio.Task[None]] = {}
        self._busy: set[Link] = set()
        self._server: asyncio.Server | None = None
        self.stopping = False

    @property
    def active(self) -> int:
        """Count the requests that are being answered."""
        return len(self._busy)

    async def start(self, host: str, port: int) -> None:
        """Listen for callers."""
        self._server = await asyncio.get_running_loop().create_server(
            self._connect,
            host,
            port,
            backlog=1024,
        )

    def close_idle(self) -> None:
        """Stop listening and close the connections without a request."""
        if self._server is not None:
            self._server.close()
        for link in tuple(self._links):
            if link not in self._busy:
                link.close()

    def _connect(self) -> Link:
        return Link(h11.SERVER, self._limits().header_bytes, self._begin)

    def _begin(self, link: Link) -> None:
        task = asyncio.create_task(self._serve(link))
        self._links[link] = task
        task.add_done_callback(lambda _: self._links.pop(link, None))

    async def _serve(self, link: Link) -> None:
        try:
            await self._serve_in_turn(link)
        except RefusedError as exc:
            await self._refuse(link, exc.refusal)
        except (LinkLostError, TimeoutError):
            link.close()
        except h11.ProtocolError:
            link.abort()
        else:
            link.close()
        finally:
            self._busy.discard(link)

    async def _serve_in_turn(self, link: Link) -> None:
        while True:
            head = await self._read_head(link)
            if head is None:
                return
            self._busy.add(link)
            body = await self._read_body(link, head)
            exchange = Exchange(link, head, body)
            exchange.closing = self.stopping
            await self._answer(link, exchange)
            self._busy.discard(link)
            if not _may_go_on(link, exchange):
                return
            link.machine.start_next_cycle()

    async def _read_head(self, link: Link) -> h11.Request | None:
        limits = self._limits()
        async with asyncio.timeout(limits.idle_timeout):
            if not await link.readable():
                return None
        try:
            async with asyncio.timeout(limits.header_timeout):
                event = await self._event(link)
        except TimeoutError:
            raise refuse(
                REQUEST_TIMEOUT, 'The header came too slowly'
            ) from None
        return event if isinstance(event, h11.Request) else None

    async def _read_body(self, link: Link, head: h11.Request) -> bytes:
        _check_framing(head)
        if link.machine.they_are_waiting_for_100_continue:
            await link.send(
                h11.InformationalResponse(
                    status_code=HTTPStatus.CONTINUE, headers=[]
                ),
            )
        limit = self._limits().body_bytes
        body = bytearray()
        async with asyncio.timeout(self._limits().idle_timeout):
            while True:
                event = await self._event(link)
                if not isinstance(event, h11.Data):
                    break
                body += event.data
                if len(body) > limit:
                    raise refuse(TOO_LARGE, f'The body is above {limit} bytes')
        if not isinstance(event, h11.EndOfMessage):
            raise LinkLostError('body cut')
        return bytes(body)

    async def _event(self, link: Link) -> h11.Event:
        try:
            return await link.event()
        except h11.RemoteProtocolError as exc:
            if link.ended:
                raise LinkLostError('cut') from exc
            kind = BAD_REQUEST
            if exc.error_status_hint == HEADERS_TOO_LARGE.status:
                kind = HEADERS_TOO_LARGE
            raise refuse(kind, f'Not valid HTTP: {exc}') from None

    async def _answer(self, link: Link, exchange: Exchange) -> None:
        """Run the handler; it is cancelled when its caller leaves."""
        task = asyncio.create_task(self._safe_handle(exchange))
        link.cancel_on_leave(task)
        try:
            await task
        except asyncio.CancelledError:
            if not link.gone:
                raise
            raise LinkLostError('caller left') from None
        finally:
            link.cancel_on_leave(None)

    async def _safe_handle(self, exchange: Exchange) -> None:
        try:
            await self._handle(exchange)
        except RefusedError as exc:
            if exchange.begun:
                exchange.cut()
                return
            await exchange.respond(*self._write_refusal(exc.refusal))
        except (LinkLostError, h11.ProtocolError):
            raise
        except Exception as exc:  # noqa: BLE001 (answered and logged)
            events.emit(events.REQUEST_FAILED, error=repr(exc))
            if exchange.begun:
                exchange.cut()
                return
            failure = refuse(INTERNAL, 'The request failed inside').refusal
            await exchange.respond(*self._write_refusal(failure))

    async def _refuse(self, link: Link, refusal: Refusal) -> None:
        """Refuse what is not a whole request, and close."""
        status, headers, body = self._write_refusal(refusal)
        events.emit(
            events.BAD_REQUEST_REFUSED, status=status, reason=refusal.reason
        )
        fields = [*headers, CLOSE, (LENGTH, str(len(body)).encode())]
        with suppress(LinkLostError, h11.LocalProtocolError):
            await link.send(
                h11.Response(status_code=status, headers=fields),
                h11.Data(data=body),
                h11.EndOfMessage(),
            )
        await asyncio.sleep(LINGER)
        link.close()


def _check_framing(head: h11.Request) -> None:
    """Refuse a request whose end two fields tell differently."""
    names = [name.lower() for name, _ in head.headers]
    if LENGTH in names and CODING in names:
        raise refuse(
            BAD_REQUEST,
            'Content-Length and Transfer-Encoding stand together',
        )


def _may_go_on(link: Link, exchange: Exchange) -> bool:
    if not exchange.finished or exchange.closing or link.gone:
        return False
    states = (link.machine.our_state, link.machine.their_state)
    return states == (h11.DONE, h11.DONE)


def _phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b''
