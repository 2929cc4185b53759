"""Calls between instances: framed thrift over kept connections."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import count
from typing import TypeAlias

from gentiantrestle import events
from gentiantrestle.daemon.membership.codec import (
    BadFrameError,
    encode,
    read_frame,
)
from gentiantrestle.models import Address
from gentiantrestle.wire.peer.ttypes import Envelope

CALL_TIMEOUT = 1.0  # seconds
MAX_INBOUND = 2000

PeerHandler: TypeAlias = Callable[[Envelope], Awaitable[Envelope]]


class PeerError(Exception):
    """The peer did not answer."""


class PeerConnection:
    """One connection to a peer; calls are matched by their number."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Start reading answers."""
        self._writer = writer
        self._calls = count(1)
        self._pending: dict[int, asyncio.Future[Envelope]] = {}
        self._task = asyncio.create_task(self._read(reader))

    @property
    def usable(self) -> bool:
        """Tell whether calls can be sent."""
        return not self._task.done() and not self._writer.is_closing()

    async def call(self, envelope: Envelope, timeout: float) -> Envelope:
        """Send a call and wait for the answer with its number."""
        envelope.call = next(self._calls)
        fut = asyncio.get_running_loop().create_future()
        self._pending[envelope.call] = fut
        try:
            async with asyncio.timeout(timeout):
                self._writer.write(encode(envelope))
                return await fut
        except (TimeoutError, ConnectionError) as exc:
            raise PeerError(repr(exc)) from exc
        finally:
            self._pending.pop(envelope.call, None)

    def close(self) -> None:
        """Stop reading and close."""
        self._task.cancel()
        self._writer.close()

    def _match(self, envelope: Envelope) -> None:
        """Give an answer to its call; one that nobody awaits is dropped."""
        fut = self._pending.pop(envelope.call, None)
        if fut is None or fut.done():
            events.emit(events.LATE_ANSWER, call=envelope.call)
            return
        fut.set_result(envelope)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                self._match(await read_frame(reader))
        except (BadFrameError, EOFError, ConnectionError):
            self._writer.close()
        finally:
            for fut in self._pending.values():
                if not fut.done():
                    fut.set_exception(PeerError('connection lost'))


class PeerClient:
    """Connections to all peers, opened when needed."""

    def __init__(self) -> None:
        """Start without connections."""
        self._conns: dict[Address, PeerConnection] = {}
        self._opening: dict[Address, asyncio.Lock] = {}

    async def call(
        self,
        address: Address,
        envelope: Envelope,
        timeout: float = CALL_TIMEOUT,
    ) -> Envelope:
        """Call a peer; raise ``PeerError`` if no answer comes."""
        conn = await self._connect(address, timeout)
        try:
            return await conn.call(envelope, timeout)
        except PeerError:
            conn.close()
            raise

    def close(self) -> None:
        """Close all connections."""
        for conn in self._conns.values():
            conn.close()
        self._conns.clear()

    async def _connect(
        self,
        address: Address,
        timeout: float,
    ) -> PeerConnection:
        async with self._opening.setdefault(address, asyncio.Lock()):
            conn = self._conns.get(address)
            if conn is not None and conn.usable:
                return conn
            try:
                async with asyncio.timeout(timeout):
                    streams = await asyncio.open_connection(*address)
            except (OSError, TimeoutError) as exc:
                raise PeerError(f'{address}: {exc!r}') from exc
            conn = PeerConnection(*streams)
            self._conns[address] = conn
            return conn


class PeerServer:
    """Answers the calls of other instances."""

    def __init__(self, handle: PeerHandler) -> None:
        """Serve with ``handle``; its answer gets the call's number."""
        self._handle = handle
        self._open: set[asyncio.Task[None]] = set()

    async def run(self, address: Address) -> None:
        """Listen until cancelled."""
        server = await asyncio.start_server(self._accept, *address)
        try:
            await server.serve_forever()
        finally:
            server.close()
            for task in tuple(self._open):
                task.cancel()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        self._open.add(task)
        try:
            if len(self._open) <= MAX_INBOUND:
                await self._serve(reader, writer)
        except (BadFrameError, EOFError, ConnectionError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self._open.discard(task)
            with suppress(ConnectionError):
                writer.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            envelope = await read_frame(reader)
            answer = await self._handle(envelope)
            answer.call = envelope.call
            writer.write(encode(answer))
            await writer.drain()
