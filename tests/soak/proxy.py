"""A loopback proxy that delays, resets, holds back one way, or falls silent."""

import asyncio

from gentiantrestle.models import Address

READ_SIZE = 65536  # bytes
STEP = 0.02  # seconds between looks whether bytes may pass again
UP = 'up'  # from who connects
DOWN = 'down'


class _Pair:
    """One connection through the proxy, with both its ends."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, ...]) -> None:
        self._writers = writers
        self.silent = False

    def abort(self) -> None:
        """Reset both ends."""
        for writer in self._writers:
            writer.transport.abort()


class Proxy:
    """Passes bytes on to one address, as long as no fault is in force."""

    def __init__(self, listen: Address, target: Address) -> None:
        """Pass everything on; nothing listens yet."""
        self._listen = listen
        self._target = target
        self._pairs: set[_Pair] = set()
        self._server: asyncio.Server | None = None
        self.delay = float(0)
        self.held: set[str] = set()  # ways in which nothing passes

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, *self._listen)

    async def stop(self) -> None:
        """Stop listening and reset everything."""
        self._server.close()
        self.reset()

    def heal(self) -> None:
        """Pass everything on again; what is silent stays so."""
        self.delay = 0
        self.held.clear()

    def reset(self) -> None:
        """Reset every open connection."""
        for pair in tuple(self._pairs):
            pair.abort()

    def silence(self) -> None:
        """Let open connections be silent for good; new ones work."""
        for pair in self._pairs:
            pair.silent = True

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            far = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair((writer, far[1]))
        self._pairs.add(pair)
        ways = (
            asyncio.create_task(self._pump(UP, reader, far[1], pair)),
            asyncio.create_task(self._pump(DOWN, far[0], writer, pair)),
        )
        try:
            await asyncio.wait(ways)
        except asyncio.CancelledError:
            return
        finally:
            self._end(pair, ways)

    def _end(self, pair: _Pair, ways: tuple[asyncio.Task[None], ...]) -> None:
        for way in ways:
            way.cancel()
        self._pairs.discard(pair)
        pair.abort()

    async def _pump(
        self,
        way: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: _Pair,
    ) -> None:
        try:
            while piece := await reader.read(READ_SIZE):
                await asyncio.sleep(self.delay)
                while pair.silent or way in self.held:
                    await asyncio.sleep(STEP)
                writer.write(piece)
                await writer.drain()
            writer.write_eof()
        except OSError:
            pair.abort()
