"""One HTTP/1.1 connection as an asyncio protocol over h11."""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import TypeAlias

import h11

from gentiantrestle.models import Address

HeaderPairs: TypeAlias = list[tuple[bytes, bytes]]
Role: TypeAlias = type[h11.CLIENT] | type[h11.SERVER]

# Before this version of HTTP a streamed body ends with its connection.
CHUNKED_SINCE = b'1.1'
HIGH_WATER = 262144  # bytes
MAX_INTERIM = 16  # interim (1xx) responses before a final one
TOO_LONG_HEAD = 431  # status
KEEPALIVE_IDLE = 1  # seconds of silence before the first probe
KEEPALIVE_INTERVAL = 1  # seconds between two probes
KEEPALIVE_COUNT = 2  # unanswered probes; Linux counts none beside the next one
UNACKED_TIMEOUT = 2500  # ms that sent bytes, or probes, may stay unacknowledged
# Linux takes a full window for silence. Whoever is sent more than that holds
# without being read may be alive and read on later.
WINDOW = 32768  # bytes
STALL_TIMEOUT = 30000  # ms

# The last two are raised for a host or port that can't exist.
CONNECT_ERRORS = (OSError, TimeoutError, OverflowError, ValueError)


class LinkLostError(Exception):
    """The connection was reset, or closed before the message was complete."""


class RequestNotSentError(Exception):
    """No byte of the request was sent: connecting or encoding it failed."""


class _Patience:
    """How long the kernel waits for the other side of a connection."""

    def __init__(self) -> None:
        self._unanswered = 0  # bytes sent since the last ones arrived
        self._is_long = False

    def note_sent(self, size: int, transport: asyncio.Transport) -> None:
        self._unanswered += size
        if self._unanswered > WINDOW:
            self._switch(transport, is_long=True)

    def note_received(self, transport: asyncio.Transport) -> None:
        self._unanswered = 0
        self._switch(transport, is_long=False)

    def _switch(self, transport: asyncio.Transport, *, is_long: bool) -> None:
        if is_long == self._is_long or transport.is_closing():
            return
        self._is_long = is_long
        limit = STALL_TIMEOUT if is_long else UNACKED_TIMEOUT
        transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit
        )


class Link(asyncio.Protocol):
    """One connection whose bytes are fed into an h11 state machine."""

    def __init__(
        self,
        role: Role,
        header_limit: int,
        on_connected: Callable[['Link'], None] | None = None,
    ) -> None:
        """Act as client or server; ``header_limit`` is in bytes.

        ``on_connected`` is called once the connection is made.
        """
        self._on_connected = on_connected
        self.machine = h11.Connection(
            role,
            max_incomplete_event_size=header_limit,
        )
        self.eof_seen = False
        # Whether bytes arrived while some of ours were not sent yet.
        self.read_while_writing = False
        self.lost = False
        # Why the kernel closed the connection; empty if the peer ended it.
        self.lost_reason = ''
        # The most bytes of a head, a chunk's line or trailers; may change.
        self.head_limit = header_limit
        # Unread bytes above which reading is paused.
        self.high_water = HIGH_WATER
        self._task_to_cancel: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport | None = None
        self._arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._unread = 0
        self._interim = 0
        self._patience = _Patience()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and enable TCP keepalive."""
        self.transport = transport
        enable_keepalive(transport.get_extra_info('socket'))
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, received: bytes) -> None:
        """Feed the state machine; pause reading above the high-water mark."""
        self.machine.receive_data(received)
        self._patience.note_received(self.transport)
        if self.transport.get_write_buffer_size():
            self.read_while_writing = True
        self._unread += len(received)
        if self._unread > self.high_water:
            self.transport.pause_reading()
        self._arrived.set()

    def eof_received(self) -> bool:
        """Handle the peer's EOF as a disconnect; keep our side open."""
        self.eof_seen = True
        self.machine.receive_data(b'')
        self._arrived.set()
        self._cancel_task()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake readers and writers: nothing more will arrive."""
        self.lost = True
        self.lost_reason = repr(exc) if exc else ''
        self._arrived.set()
        self._writable.set()
        self._cancel_task()

    def pause_writing(self) -> None:
        """Make ``send`` wait until the peer reads on."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let ``send`` continue."""
        self._writable.set()

    @property
    def disconnected(self) -> bool:
        """Whether the peer has sent EOF or the connection is lost."""
        return self.eof_seen or self.lost

    @property
    def has_input(self) -> bool:
        """Whether bytes have arrived that no event contains yet."""
        return bool(self.machine.trailing_data[0])

    def cancel_on_disconnect(self, task: asyncio.Task[None] | None) -> None:
        """Cancel ``task`` once the peer disconnects; None: cancel nothing."""
        self._task_to_cancel = task
        if task is not None and self.disconnected:
            task.cancel()

    async def wait_readable(self) -> bool:
        """Wait for the first bytes of a message; False if none will come."""
        while not self.has_input:
            if self.disconnected:
                return False
            await self._receive()
        return True

    async def next_event(self) -> h11.Event:
        """Return the next h11 event; raise ``LinkLostError`` on a reset.

        Also raised after ``MAX_INTERIM`` interim responses without a final
        one. Raises ``h11.RemoteProtocolError`` for invalid HTTP.
        """
        while True:
            event = self.machine.next_event()
            if event is not h11.NEED_DATA:
                self._count_interim(event)
                return event
            _check_incomplete(self.machine, self.head_limit)
            if self.lost:
                raise LinkLostError('reset')
            await self._receive()

    async def send(self, *parts: h11.Event) -> None:
        """Write events at once; wait while the write buffer is full.

        Raises ``LinkLostError`` and ``h11.LocalProtocolError``.
        """
        payload = b''.join(self.machine.send(part) or b'' for part in parts)
        if self.lost:
            raise LinkLostError('reset')
        self._patience.note_sent(len(payload), self.transport)
        self.transport.write(payload)
        if not self._writable.is_set():
            await self._writable.wait()

    def close(self) -> None:
        """Close once all buffered bytes are written."""
        if self.transport is not None:
            self.transport.close()

    async def wait_closed(self) -> None:
        """Wait until the connection is closed, with all bytes written."""
        while not self.lost:
            self._arrived.clear()
            await self._arrived.wait()

    def reset_on_close(self, *, enabled: bool) -> None:
        """Let a close be a reset, for a body that ends with the connection."""
        if self.transport is not None:
            reset_on_close(self.transport, enabled=enabled)

    def abort(self) -> None:
        """Close at once and drop unsent bytes: the peer sees the cut."""
        if self.transport is not None:
            self.transport.abort()

    async def _receive(self) -> None:
        self._unread = 0
        self._arrived.clear()
        if not self.disconnected:
            self.transport.resume_reading()
        await self._arrived.wait()

    def _count_interim(self, event: h11.Event) -> None:
        if not isinstance(event, h11.InformationalResponse):
            self._interim = 0
            return
        self._interim += 1
        if self._interim > MAX_INTERIM:
            raise LinkLostError('interim responses without end')

    def _cancel_task(self) -> None:
        if self._task_to_cancel is not None:
            self._task_to_cancel.cancel()


def _check_incomplete(machine: h11.Connection, limit: int) -> None:
    """Raise ``h11.RemoteProtocolError`` if what isn't complete is too long.

    That is the beginning of a head, of a chunk's first line, or of trailers.
    """
    if len(machine.trailing_data[0]) > limit:
        raise h11.RemoteProtocolError(
            'a head, a chunk line or trailers are too long',
            error_status_hint=TOO_LONG_HEAD,
        )


async def open_link(
    address: Address,
    timeout: float,
    header_limit: int,
) -> Link:
    """Connect within ``timeout`` s, or raise ``RequestNotSentError``."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, link = await loop.create_connection(
                lambda: Link(h11.CLIENT, header_limit),
                address.host,
                address.port,
            )
    except CONNECT_ERRORS as exc:
        raise RequestNotSentError(f'{address}: {exc!r}') from exc
    return link


def reset_on_close(transport: asyncio.BaseTransport, *, enabled: bool) -> None:
    """Let a close of a connection, also by the end of the process, reset it.

    A body without length or chunks ends with its connection: only a reset tells
    its reader that it is not complete.
    """
    if not transport.is_closing():
        linger = struct.pack('ii', enabled, 0)
        transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, linger
        )


def enable_keepalive(sock: socket.socket | None) -> None:
    """Let the kernel close a connection whose peer is silent for seconds."""
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, limit in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
        (socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
        (socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, limit)
