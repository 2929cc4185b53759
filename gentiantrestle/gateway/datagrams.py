"""The UDP port for short messages between instances."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from gentiantrestle import events
from gentiantrestle.daemon.membership.codec import (
    LENGTH,
    BadFrameError,
    decode,
    encode,
)
from gentiantrestle.models import Address
from gentiantrestle.wire.peer import ttypes

Handler = Callable[[Any], None]


class DatagramPort(asyncio.DatagramProtocol):
    """Sends and receives envelopes; each kind of message has one handler.

    Messages to this instance's own host are handled without a datagram, in a
    later turn of the event loop.
    """

    def __init__(self, address: Address) -> None:
        """Use ``address``; the port number is the same on all hosts."""
        self.address = address
        self._handlers: dict[str, Handler] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def on(self, kind: str, handler: Handler) -> None:
        """Call ``handler`` with each message of a kind.

        ``kind`` is the message's field in the envelope.
        """
        self._handlers[kind] = handler

    async def run(self) -> None:
        """Receive until cancelled."""
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address.host, self.address.port)
        )
        self._transport = endpoint[0]
        try:
            await loop.create_future()
        finally:
            self._transport.close()
            self._transport = None

    def send(self, hosts: Iterable[str], kind: str, message: Any) -> None:
        """Send a message to some hosts; it is dropped before ``run``."""
        payload = b''
        for host in hosts:
            if host == self.address.host:
                asyncio.get_running_loop().call_soon(
                    self._handlers[kind], message
                )
            elif self._transport is not None:
                payload = payload or _encode(kind, message)
                self._transport.sendto(payload, (host, self.address.port))

    def datagram_received(
        self, payload: bytes, sender: tuple[str, int]
    ) -> None:
        """Handle a message; one that can't be decoded is logged and dropped."""
        try:
            envelope = decode(payload)
        except BadFrameError as exc:
            events.emit(events.PULSE_UNREADABLE, error=repr(exc))
            return
        for kind, handler in self._handlers.items():
            message = getattr(envelope, kind)
            if message is not None:
                _handle(handler, message)

    def error_received(self, exc: Exception) -> None:
        """Log that a host could not be reached; lost messages are repeated."""
        events.emit(events.DATAGRAM_UNSENT, error=repr(exc))


def _handle(handler: Handler, message: Any) -> None:
    try:
        handler(message)
    except Exception as exc:  # noqa: BLE001 (logged; senders repeat messages)
        events.emit(events.MESSAGE_FAILED, error=repr(exc))


def _encode(kind: str, message: Any) -> bytes:
    envelope = ttypes.Envelope(call=0, **{kind: message})
    return encode(envelope)[LENGTH.size :]
