"""A TCP proxy that can delay, block, reset or silence connections."""

import asyncio

from gentiantrestle.models import Address

READ_SIZE = 65536  # bytes
POLL_INTERVAL = 0.02  # seconds between checks whether bytes may pass again
UP = 'up'  # from the connecting side to the target
DOWN = 'down'


class _ProxiedConnection:
    """One connection through the proxy, with the writers of both ends."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, ...]) -> None:
        self._writers = writers
        self.silent = False

    def abort(self) -> None:
        """Reset both ends."""
        for writer in self._writers:
            writer.transport.abort()


class Proxy:
    """Forwards connections to one address, subject to the faults set."""

    def __init__(self, listen: Address, target: Address) -> None:
        """Set no fault; the proxy doesn't listen yet."""
        self._listen = listen
        self._target = target
        self._conns: set[_ProxiedConnection] = set()
        self._server: asyncio.Server | None = None
        self.delay = float(0)
        self.blocked: set[str] = set()  # directions in which no bytes pass

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, *self._listen)

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
            conn.abort()

    def silence(self) -> None:
        """Stop all bytes on open connections for good; new ones work."""
        for conn in self._conns:
            conn.silent = True

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
        conn = _ProxiedConnection((writer, target_streams[1]))
        self._conns.add(conn)
        pumps = (
            asyncio.create_task(
                self._pump(UP, reader, target_streams[1], conn)
            ),
            asyncio.create_task(
                self._pump(DOWN, target_streams[0], writer, conn)
            ),
        )
        try:
            await asyncio.wait(pumps)
        except asyncio.CancelledError:
            return
        finally:
            self._end(conn, pumps)

    def _end(
        self, conn: _ProxiedConnection, pumps: tuple[asyncio.Task[None], ...]
    ) -> None:
        for pump in pumps:
            pump.cancel()
        self._conns.discard(conn)
        conn.abort()

    async def _pump(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        conn: _ProxiedConnection,
    ) -> None:
        try:
            while chunk := await reader.read(READ_SIZE):
                await asyncio.sleep(self.delay)
                while conn.silent or direction in self.blocked:
                    await asyncio.sleep(POLL_INTERVAL)
                writer.write(chunk)
                await writer.drain()
            writer.write_eof()
        except OSError:
            conn.abort()
