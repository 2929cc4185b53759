"""Calls between instances: framed thrift over persistent connections."""

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
from gentiantrestle.http.link import enable_keepalive
from gentiantrestle.models import Address
from gentiantrestle.wire.peer.ttypes import Envelope

CALL_TIMEOUT = 1.0  # seconds without a byte of an answer
MAX_CALL_TIME = 12.0  # seconds for an answer that keeps arriving
NEVER = float('-inf')
MAX_INBOUND_CONNECTIONS = 2000
MAX_CALLS = 32  # of one connection that are answered at the same time

PeerHandler: TypeAlias = Callable[[Envelope], Awaitable[Envelope]]


class PeerError(Exception):
    """A call failed: no connection, no answer in time or no usable answer."""


class PeerConnection:
    """One connection to a peer; answers are matched by call number."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Start a task that reads the answers."""
        enable_keepalive(writer.get_extra_info('socket'))
        self._writer = writer
        self._call_numbers = count(1)
        self._pending: dict[int, asyncio.Future[Envelope]] = {}
        self._answers = 0
        self._received = 0  # bytes of answers that arrived in parts
        self._heard_at = NEVER  # when a part of an unfinished answer arrived
        self._read_task = asyncio.create_task(self._read(reader))

    @property
    def usable(self) -> bool:
        """Tell whether the connection is open and being read."""
        return not self._read_task.done() and not self._writer.is_closing()

    @property
    def silence(self) -> float:
        """Return for how many s no part of an unfinished answer has come."""
        return asyncio.get_running_loop().time() - self._heard_at

    async def call(self, envelope: Envelope, timeout: float) -> Envelope:
        """Send a call and return its answer.

        Raises ``PeerError`` if no part of any answer has arrived for
        ``timeout`` s, after ``MAX_CALL_TIME``, and when the connection is
        lost. It is closed if no call was answered meanwhile.
        """
        envelope.call = next(self._call_numbers)
        answers, received = self._answers, self._received
        fut = asyncio.get_running_loop().create_future()
        self._pending[envelope.call] = fut
        try:
            self._writer.write(encode(envelope))
            return await self._wait(fut, timeout)
        except (TimeoutError, ConnectionError) as exc:
            if self._answers == answers:
                self.close()
            arrived = self._received - received
            raise PeerError(f'{exc!r} after {arrived} bytes') from exc
        finally:
            self._pending.pop(envelope.call, None)

    def close(self) -> None:
        """Stop reading and close the connection."""
        self._read_task.cancel()
        self._writer.close()

    async def _wait(
        self, fut: asyncio.Future[Envelope], timeout: float
    ) -> Envelope:
        """Return an answer; raise ``TimeoutError`` if it stops arriving."""
        now = asyncio.get_running_loop().time
        asked_at = now()
        left = timeout
        while left > 0:
            await asyncio.wait({fut}, timeout=left)
            if fut.done():
                return fut.result()
            left = self._time_left(asked_at, timeout, now())
        raise TimeoutError

    def _time_left(self, asked_at: float, timeout: float, now: float) -> float:
        """Return for how long to wait on for an answer, in s."""
        quiet_until = max(asked_at, self._heard_at) + timeout
        last = asked_at + max(timeout, MAX_CALL_TIME)
        return min(quiet_until, last) - now

    def _note_part(self, size: int) -> None:
        self._received += size
        self._heard_at = asyncio.get_running_loop().time()

    def _resolve(self, envelope: Envelope) -> None:
        """Hand an answer to its call; drop it if none is pending."""
        self._answers += 1
        fut = self._pending.pop(envelope.call, None)
        if fut is None or fut.done():
            events.emit(events.LATE_ANSWER, call=envelope.call)
            return
        fut.set_result(envelope)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                self._resolve(await read_frame(reader, self._note_part))
        except (BadFrameError, EOFError, OSError):
            self._writer.close()
        finally:
            for fut in self._pending.values():
                if not fut.done():
                    fut.set_exception(PeerError('connection lost'))


class PeerClient:
    """Connections to peers, one per address, opened on first use."""

    def __init__(self) -> None:
        """Start without connections."""
        self._conns: dict[Address, PeerConnection] = {}
        self._connect_locks: dict[Address, asyncio.Lock] = {}

    async def call(
        self,
        address: Address,
        envelope: Envelope,
        timeout: float = CALL_TIMEOUT,
    ) -> Envelope:
        """Call a peer; raise ``PeerError`` if no answer comes.

        ``timeout`` in s applies to connecting and to each wait for a part of
        an answer; those that wait for one connection wait no longer.
        """
        conn = await self._connect(address, timeout)
        return await conn.call(envelope, timeout)

    def answer_silence(self, address: Address) -> float:
        """Return for how many s no part of a peer's answer has arrived."""
        conn = self._conns.get(address)
        return conn.silence if conn else float('inf')

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
        try:
            async with asyncio.timeout(timeout):
                return await self._share_connection(address)
        except (OSError, TimeoutError) as exc:
            raise PeerError(f'{address}: {exc!r}') from exc

    async def _share_connection(self, address: Address) -> PeerConnection:
        async with self._connect_locks.setdefault(address, asyncio.Lock()):
            conn = self._conns.get(address)
            if conn is not None and conn.usable:
                return conn
            conn = PeerConnection(*await asyncio.open_connection(*address))
            self._conns[address] = conn
            return conn


class PeerServer:
    """Answers the calls of other instances."""

    def __init__(self, handle: PeerHandler) -> None:
        """Answer calls with ``handle``, whose answers need no call number."""
        self._handle = handle
        self._connection_tasks: set[asyncio.Task[None]] = set()

    async def run(self, address: Address) -> None:
        """Listen on an address until cancelled."""
        server = await asyncio.start_server(self._accept, *address)
        try:
            await server.serve_forever()
        finally:
            server.close()
            for task in tuple(self._connection_tasks):
                task.cancel()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        self._connection_tasks.add(task)
        enable_keepalive(writer.get_extra_info('socket'))
        try:
            if len(self._connection_tasks) <= MAX_INBOUND_CONNECTIONS:
                await self._serve(reader, writer)
        except (BadFrameError, EOFError, OSError):
            return
        except asyncio.CancelledError:
            return
        except Exception as exc:  # noqa: BLE001 (logged; the caller is told)
            events.emit(events.MESSAGE_FAILED, error=repr(exc))
        finally:
            self._connection_tasks.discard(task)
            with suppress(ConnectionError):
                writer.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer the calls of a connection, none of which holds up another."""
        calls: set[asyncio.Task[None]] = set()
        reading = asyncio.current_task()
        try:
            while True:
                envelope = await read_frame(reader)
                call = asyncio.create_task(
                    self._answer(envelope, writer, reading)
                )
                calls.add(call)
                call.add_done_callback(calls.discard)
                if len(calls) >= MAX_CALLS:
                    await asyncio.wait(
                        calls, return_when=asyncio.FIRST_COMPLETED
                    )
        finally:
            for call in calls:
                call.cancel()

    async def _answer(
        self,
        envelope: Envelope,
        writer: asyncio.StreamWriter,
        reading: asyncio.Task[None],
    ) -> None:
        """Answer a call; if that fails, end the connection."""
        try:
            answer = await self._handle(envelope)
            answer.call = envelope.call
            writer.write(encode(answer))
            await writer.drain()
        except OSError:
            reading.cancel()
        except Exception as exc:  # noqa: BLE001 (logged; the caller is told)
            events.emit(events.MESSAGE_FAILED, error=repr(exc))
            reading.cancel()
