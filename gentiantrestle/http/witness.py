"""Shows that the run of a server that began an answer is still there.

An answer that ends with its connection looks the same when its server ends. A
new connection doesn't tell them apart, as another run of the server may accept
it; one that was open while the answer came leads to the run of the answer.
"""

import asyncio
from typing import Self

import h11

from gentiantrestle.http.link import (
    Link,
    LinkLostError,
    RequestNotSentError,
    open_link,
)
from gentiantrestle.models import Address

MAX_HEADER = 16384  # bytes
# Asks whether a server is there, and for nothing else (RFC 9110, 9.3.7).
TARGET = '*'
METHOD = 'OPTIONS'
ASK_ERRORS = (LinkLostError, h11.ProtocolError, TimeoutError)


class Witness:
    """A second connection to a server, which asks nothing until ``answers``."""

    def __init__(self, address: Address, timeout: float) -> None:
        """Begin to connect; ``timeout`` in s is that of each step."""
        self._address = address
        self._timeout = timeout
        self._opening = asyncio.create_task(self._open())

    @classmethod
    async def opened(cls, address: Address, timeout: float) -> Self:
        """Return a witness once it is connected, or can't be."""
        witness = cls(address, timeout)
        await witness._opening
        return witness

    async def answers(self) -> bool:
        """Return whether the run that it leads to answers, in any way."""
        link = await self._opening
        if link is None or link.disconnected:
            return False
        try:
            async with asyncio.timeout(self._timeout):
                return await self._ask(link)
        except ASK_ERRORS:
            return False

    def close(self) -> None:
        """Close the connection."""
        self._opening.cancel()
        self._opening.add_done_callback(abort_opened)

    async def _open(self) -> Link | None:
        try:
            return await open_link(self._address, self._timeout, MAX_HEADER)
        except RequestNotSentError:
            return None

    async def _ask(self, link: Link) -> bool:
        head = h11.Request(
            method=METHOD, target=TARGET, headers=[('Host', str(self._address))]
        )
        await link.send(head, h11.EndOfMessage())
        event = await link.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await link.next_event()
        return isinstance(event, h11.Response)


def abort_opened(opening: asyncio.Task[Link | None]) -> None:
    """Close the connection that a task has opened, if it has."""
    if opening.cancelled():
        return
    link = opening.result()
    if link is not None:
        link.abort()
