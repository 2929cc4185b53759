"""A TCP proxy that can delay, block, reset or silence connections."""

import asyncio
from typing import Any

from gentiantrestle.http.link import reset_on_close
from gentiantrestle.models import Address

READ_SIZE = 65536  # bytes
POLL_INTERVAL = 0.02  # seconds between checks whether bytes may pass again
UP = 'up'  # from the connecting side to the target
DOWN = 'down'


class ProxiedConnection:
    """One connection through the proxy, with the writers of both ends."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, ...]) -> None:
        self._writers = writers
        self.silent = False

    @property
    def near_socket(self) -> Any:
        """The socket of the connecting side, as asyncio wraps it."""
        return self._writers[0].get_extra_info('socket')

    def abort(self) -> None:
        """Close both ends at once."""
        for writer in self._writers:
            writer.transport.abort()

    def reset(self) -> None:
        """Reset both ends, which no reader takes for the end of an answer."""
        for writer in self._writers:
            reset_on_close(writer.transport, enabled=True)
        self.abort()


class Proxy:
    """Forwards connections to one address, subject to the faults set."""

    def __init__(self, listen: Address, target: Address) -> None:
        """Set no fault; the proxy doesn't listen yet."""
        self.listen = listen
        self._target = target
        self._conns: set[ProxiedConnection] = set()
        self._server: asyncio.Server | None = None
        self.delay = float(0)
        self.blocked: set[str] = set()  # directions in which no bytes pass

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, *self.listen)

    async def stop(self) -> None:
        """Stop listening and reset all open connections."""
        self._server.close()
        self.reset()

    def clear_faults(self) -> None:
        """End delays and blocks; silenced connections stay silent."""
        self.delay = 0
        self.blocked.clear()

    def reset(self) -> None:
        """Reset every open connection."""
        for conn in tuple(self._conns):
            conn.reset()

    def silence(self) -> None:
        """Stop all bytes on open connections for good; new ones work."""
        for conn in self._conns:
            conn.silent = True

    async def pump(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        conn: ProxiedConnection,
    ) -> None:
        """Pass bytes on in one direction until they end."""
        try:
            while chunk := await reader.read(READ_SIZE):
                await self.pass_on(direction, chunk, writer, conn)
            writer.write_eof()
        except OSError:
            conn.abort()

    async def pass_on(
        self,
        direction: str,
        chunk: bytes,
        writer: asyncio.StreamWriter,
        conn: ProxiedConnection,
    ) -> None:
        """Write bytes as the faults allow."""
        await asyncio.sleep(self.delay)
        while conn.silent or direction in self.blocked:
            await asyncio.sleep(POLL_INTERVAL)
        writer.write(chunk)
        await writer.drain()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            target_streams = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        conn = ProxiedConnection((writer, target_streams[1]))
        self._conns.add(conn)
        pumps = (
            asyncio.create_task(self.pump(UP, reader, target_streams[1], conn)),
            asyncio.create_task(
                self.pump(DOWN, target_streams[0], writer, conn)
            ),
        )
        try:
            await asyncio.wait(pumps)
        except asyncio.CancelledError:
            return
        finally:
            self._end(conn, pumps)

    def _end(
        self, conn: ProxiedConnection, pumps: tuple[asyncio.Task[None], ...]
    ) -> None:
        for pump in pumps:
            pump.cancel()
        self._conns.discard(conn)
        conn.abort()
