"""One HTTP/1.1 connection as a protocol: raw headers, leaving, resets."""

import asyncio
import socket
from collections.abc import Callable
from typing import TypeAlias

import h11

from gentiantrestle.models import Address

HeaderPairs: TypeAlias = list[tuple[bytes, bytes]]
Role: TypeAlias = type[h11.CLIENT] | type[h11.SERVER]

HIGH_WATER = 262144  # bytes unread before the peer is told to pause
KEEPALIVE_IDLE = 1  # seconds of silence before the first probe
KEEPALIVE_INTERVAL = 1  # seconds between two probes
KEEPALIVE_COUNT = 2  # unanswered probes that end a connection
UNACKED_LIMIT = 2500  # ms that sent bytes may stay unacknowledged


class LinkLostError(Exception):
    """The connection was reset, or ended before the message was whole."""


class RequestNotSentError(Exception):
    """The connection was never made: no byte of a request has left."""


class Link(asyncio.Protocol):
    """Feeds one connection's bytes into the protocol's state machine."""

    def __init__(
        self,
        role: Role,
        header_limit: int,
        made: Callable[['Link'], None] | None = None,
    ) -> None:
        """Take the side to play; ``header_limit`` is in bytes.

        ``made`` is called once the connection stands.
        """
        self._made = made
        self.machine = h11.Connection(
            role,
            max_incomplete_event_size=header_limit,
        )
        self.eof_seen = False
        self.lost = False
        self._leave_hook: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._unread = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and let the kernel probe silent peers."""
        self._transport = transport
        probe_silence(transport.get_extra_info('socket'))
        if self._made is not None:
            self._made(self)

    def data_received(self, received: bytes) -> None:
        """Feed the state machine; pause a peer that is far ahead."""
        self.machine.receive_data(received)
        self._unread += len(received)
        if self._unread > HIGH_WATER:
            self._transport.pause_reading()
        self._arrived.set()

    def eof_received(self) -> bool:
        """Note the peer's orderly end; it counts as leaving."""
        self.eof_seen = True
        self.machine.receive_data(b'')
        self._arrived.set()
        self._tell_leaving()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake whoever reads or writes: nothing more will come."""
        self.lost = True
        self._arrived.set()
        self._writable.set()
        self._tell_leaving()

    def pause_writing(self) -> None:
        """Make writers wait until the peer reads on."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writable.set()

    @property
    def disconnected(self) -> bool:
        """Tell whether the peer has ended or lost the connection."""
        return self.eof_seen or self.lost

    def cancel_on_disconnect(self, task: asyncio.Task[None] | None) -> None:
        """Cancel ``task`` as soon as the peer leaves; None stops that."""
        self._leave_hook = task
        if task is not None and self.disconnected:
            task.cancel()

    async def wait_readable(self) -> bool:
        """Wait for the first bytes of a message; False when none come."""
        while not self.machine.trailing_data[0]:
            if self.disconnected:
                return False
            await self._receive()
        return True

    async def next_event(self) -> h11.Event:
        """Return the next event, or raise ``LinkLostError``.

        Raises ``h11.RemoteProtocolError`` for bytes that are not HTTP.
        """
        while True:
            event = self.machine.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.lost:
                raise LinkLostError('reset')
            await self._receive()

    async def send(self, *parts: h11.Event) -> None:
        """Write events in one go; wait while the peer does not read."""
        payload = b''.join(self.machine.send(part) or b'' for part in parts)
        if self.lost:
            raise LinkLostError('reset')
        self._transport.write(payload)
        if not self._writable.is_set():
            await self._writable.wait()

    def close(self) -> None:
        """Close after what was written has left."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection: the peer sees that it was cut."""
        if self._transport is not None:
            self._transport.abort()

    async def _receive(self) -> None:
        self._unread = 0
        self._arrived.clear()
        if not self.disconnected:
            self._transport.resume_reading()
        await self._arrived.wait()

    def _tell_leaving(self) -> None:
        if self._leave_hook is not None:
            self._leave_hook.cancel()


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
    except (OSError, TimeoutError) as exc:
        raise RequestNotSentError(f'{address}: {exc!r}') from exc
    return link


def probe_silence(sock: socket.socket | None) -> None:
    """Make the kernel end a connection whose peer is silent for seconds."""
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, bound in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
        (socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
        (socket.TCP_USER_TIMEOUT, UNACKED_LIMIT),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, bound)
