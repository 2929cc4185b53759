"""An upstream that sends prepared bytes, one answer after the other."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

from tests.gateway.fleet import GatewayFleet
from tests.gateway.reports import read_head

HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: stamp\r\n\r\n'

NO_LINGER = struct.pack('ii', 1, 0)  # closing resets the connection


class ScriptedUpstream:
    """Sends prepared bytes to each request, one answer after the other."""

    def __init__(self, fleet: GatewayFleet) -> None:
        """Take the place of the fleet's only upstream.

        Answers that don't begin with a head get one without framing.
        """
        self._fleet = fleet
        self.answers: list[bytes] = []
        self.requests: list[bytes] = []
        self.reset = False

    async def start(self) -> asyncio.Server:
        """Listen at the upstream's address."""
        address = self._fleet.upstreams[0]
        await self._fleet.standins[address].end()
        return await asyncio.start_server(
            self._answer, address.host, address.port
        )

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # Connections that only probe whether it is there send no request.
        with suppress(asyncio.IncompleteReadError):
            self.requests.append(await read_head(reader, writer))
            await self._send(_with_head(self.answers.pop(0)), writer)
        writer.close()

    async def _send(self, answer: bytes, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            writer.write(answer)
            await writer.drain()
        if self.reset:
            await asyncio.sleep(0.05)
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )


def _with_head(answer: bytes) -> bytes:
    return answer if answer.startswith(b'HTTP/') else HEAD + answer


@asynccontextmanager
async def scripted_upstream(folder: Path) -> AsyncIterator[ScriptedUpstream]:
    """Start a fleet of one entry before an upstream that sends raw bytes."""
    fleet = GatewayFleet(folder, 1, 1)
    raw = ScriptedUpstream(fleet)
    try:
        await fleet.start()
        async with await raw.start():
            raw.fleet = fleet
            yield raw
    finally:
        await fleet.stop()
