"""A server that answers before it has read the body of a request."""

import asyncio
import socket
import struct
from contextlib import suppress

NO_LINGER = struct.pack('ii', 1, 0)  # closing resets the connection
HEAD_END = b'\r\n\r\n'
PART = 65536  # bytes
PAUSE = 0.01  # seconds between the end of the answer and the reset
LENGTH = b'content-length: '
# To a request without a body; plain services have no reports.
NOT_FOUND = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'
STATUS_ZERO = b'HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nno'


class EarlyServer:
    """Sends ``answer`` at once, and ends its sending side.

    Then it resets the connection with most of the body unread, or reads the
    body to its end, with a pause before each part, and closes.
    """

    def __init__(self, answer: bytes, *, resets: bool) -> None:
        """Answer each request that has a body alike."""
        self.answer = answer
        self.resets = resets
        self.pause = float(0)
        self.requests: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection; one that only probes sends nothing."""
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(HEAD_END)
            if LENGTH in head.lower():
                await self._answer(head, reader, writer)
            else:
                writer.write(NOT_FOUND)
        writer.close()

    async def _answer(
        self,
        head: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.requests.append(head)
        length = head.lower().partition(LENGTH)[2].split()[0]
        writer.write(self.answer)
        writer.write_eof()
        if self.resets:
            await asyncio.sleep(PAUSE)
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )
        else:
            await self._read(reader, int(length))

    async def _read(self, reader: asyncio.StreamReader, size: int) -> None:
        while size > 0:
            await asyncio.sleep(self.pause)
            size -= len(await reader.read(PART))
