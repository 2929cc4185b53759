"""How much of a request a server's kernel has taken."""

import asyncio
import fcntl
import select
import socket
import struct
import sys
import termios
from collections.abc import Iterator
from contextlib import contextmanager

from gentiantrestle import events
from gentiantrestle.http.link import Link
from gentiantrestle.http.progress import (
    TransferLimit,
    present_limits,
    put_off,
)

# A longer request may be unread in the server's kernel as the answer ends.
LONG_REQUEST = 16384  # bytes
DELIVERY_TIMEOUT = 2.0  # seconds
# A reset follows the end of an answer at once, or not at all.
SETTLE_TIME = 0.1  # seconds
POLL_INTERVAL = 0.01  # seconds
PROGRESS_INTERVAL = 0.05  # seconds between two looks at a request being sent
CLOSED = select.POLLERR | select.POLLHUP | select.POLLNVAL


@contextmanager
def delivery_as_progress(link: Link, size: int) -> Iterator[None]:
    """Put off the limits of a call while a long request is being taken.

    To be entered before it is written; ``size`` is as for ``is_taken``.
    """
    limits = present_limits()
    if not limits or size <= LONG_REQUEST:
        yield
        return
    sending = _Sending(link, size, limits)
    try:
        yield
    finally:
        sending.stop()


class _Sending:
    """Looks at what is left of a request until all of it was taken."""

    def __init__(
        self, link: Link, size: int, limits: tuple[TransferLimit, ...]
    ) -> None:
        self._link = link
        self._size = size
        self._left = size
        self._limits = limits
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(PROGRESS_INTERVAL, self._look)

    def stop(self) -> None:
        self._timer.cancel()

    def _look(self) -> None:
        if self._link.lost:
            return
        left = undelivered(self._link)
        if not left:
            put_off(self._limits, self._size)
            return
        if left < self._left:
            put_off(self._limits)
        self._left = left
        self._timer = self._loop.call_later(PROGRESS_INTERVAL, self._look)


async def is_taken(link: Link, size: int) -> bool:
    """Return whether the server's kernel has all of a request, without a reset.

    An answer without length ends with its connection. A server that ends its
    sending side and resets the connection while the request is still being
    written has not completed the answer, though what arrived looks so.

    To be called once the server has ended its sending side; ``size`` is that of
    the request's body in bytes. Waits while bytes are being delivered, and a
    moment longer for a reset; a server that takes none for ``DELIVERY_TIMEOUT``
    s has not taken the request. One that resets the connection later than that
    moment, after its kernel has acknowledged everything, can't be told from one
    that has read the request.
    """
    if link.read_while_writing or size > LONG_REQUEST:
        return await _settle(link)
    return not link.lost


async def _settle(link: Link) -> bool:
    now = asyncio.get_running_loop().time
    sock = link.transport.get_extra_info('socket')
    moved_at = now()
    before = sys.maxsize
    while not (link.lost or _is_closed(sock)):
        left = undelivered(link)
        if left < before:
            moved_at = now()
        before = left
        limit = DELIVERY_TIMEOUT if left else SETTLE_TIME
        if now() - moved_at >= limit:
            return not left
        await asyncio.sleep(POLL_INTERVAL)
    return False


def _is_closed(sock: socket.socket) -> bool:
    """Return whether a connection was reset; it may be closed here, too."""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), 0)
    return any(found & CLOSED for _, found in poll.poll(0))


def undelivered(link: Link) -> int:
    """Count the bytes that the server's kernel has not acknowledged."""
    unsent = link.transport.get_write_buffer_size()
    sock = link.transport.get_extra_info('socket')
    try:
        raw = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError as exc:
        events.emit(events.DELIVERY_UNKNOWN, error=repr(exc))
        return unsent
    return unsent + struct.unpack('i', raw)[0]
