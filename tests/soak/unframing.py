"""A proxy before an upstream that takes the framing from its answers."""

import asyncio
import random
from collections.abc import AsyncIterator

from gentiantrestle.models import Address
from tests.soak.proxy import DOWN, ProxiedConnection, Proxy

BREAK_SHARE = 0.1  # of the parts of answers


class UnframingProxy(Proxy):
    """Sends answers without length or chunks, and breaks some off.

    They end with their connection. Those broken off end within an event.
    """

    def __init__(
        self, listen: Address, target: Address, rng: random.Random
    ) -> None:
        """Break off answers by random choices of ``rng``."""
        super().__init__(listen, target)
        self._rng = rng
        self._break_share = BREAK_SHARE

    def clear_faults(self) -> None:
        """Break off no more answers, too."""
        super().clear_faults()
        self._break_share = 0

    async def pump(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        conn: ProxiedConnection,
    ) -> None:
        """Pass answers on without framing."""
        if direction != DOWN:
            await super().pump(direction, reader, writer, conn)
            return
        try:
            async for part in _iter_unframed(reader):
                if b'data:' in part and self._rng.random() < self._break_share:
                    await self.pass_on(direction, part[:-5], writer, conn)
                    break
                await self.pass_on(direction, part, writer, conn)
            writer.write_eof()
        except (OSError, asyncio.IncompleteReadError):
            conn.reset()


async def _iter_unframed(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield the head without framing, and then the parts of the body."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    lines = head.split('\r\n')[:-2]
    fields = dict(line.lower().split(': ', 1) for line in lines[1:])
    framing = ('content-length:', 'transfer-encoding:')
    kept = [line for line in lines if not line.lower().startswith(framing)]
    yield '\r\n'.join([*kept, '', '']).encode('latin-1')
    if 'content-length' in fields:
        yield await reader.readexactly(int(fields['content-length']))
        return
    while size := int(await reader.readuntil(b'\r\n'), 16):
        yield (await reader.readexactly(size + 2))[:-2]
