"""Copies of a configuration over links on which they take long."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from gentiantrestle.daemon.membership.codec import encode, read_frame
from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.membership.peers import Peer, PeerList
from gentiantrestle.gateway.peer_calls import PeerCalls
from gentiantrestle.gateway.state_copier import StateCopier
from gentiantrestle.gateway.zone_watcher import CopySourceSelector
from gentiantrestle.wire.peer import ttypes
from tests.gateway.test_silent_sources import (
    VERSION,
    ZONE,
    Source,
    _state,
)
from tests.utils.http import until

PARTS = 30
STEP = 0.1  # seconds between two parts of a copy


class _SlowSource:
    """Sends ``sent`` of the parts of each copy, one each ``STEP``."""

    def __init__(self, sent: int = PARTS) -> None:
        """Count the copies that are asked for."""
        self.asked = 0
        self._sent = sent
        self._copier = _state(VERSION)[1]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of a connection one after the other."""
        with suppress(EOFError, ConnectionError):
            while True:
                envelope = await read_frame(reader)
                if envelope.copy_request is None:
                    reached = ttypes.ReachAnswer(reached=True)
                    writer.write(
                        encode(
                            ttypes.Envelope(envelope.call, reach_answer=reached)
                        )
                    )
                    continue
                self.asked += 1
                await self._send_copy(envelope, writer)

    async def _send_copy(
        self, envelope: ttypes.Envelope, writer: asyncio.StreamWriter
    ) -> None:
        copy = self._copier.build_copy(envelope.copy_request)
        frame = encode(ttypes.Envelope(envelope.call, copy=copy))
        size = -(-len(frame) // PARTS)
        for number in range(self._sent):
            writer.write(frame[number * size : (number + 1) * size])
            await asyncio.sleep(STEP)
            if writer.is_closing():
                return


@asynccontextmanager
async def _listening(
    sources: Source, slow: list[_SlowSource]
) -> AsyncIterator[None]:
    servers = [
        await asyncio.start_server(source.serve, *sources.address(number))
        for number, source in enumerate(slow)
    ]
    try:
        yield
    finally:
        for server in servers:
            server.close()


class _Copying:
    """An instance without a configuration that copies from ``rows``."""

    def __init__(self, sources: Source, rows: list[Peer]) -> None:
        self.state: FleetState
        copier: StateCopier
        self.state, copier = _state(0)
        self.rows = rows
        peers = PeerList('own', '127.0.0.1', ZONE, ())
        for row in rows:
            peers.update(row)
        self.calls = PeerCalls(
            copier,
            peers,
            CopySourceSelector(ZONE, random.Random(1).random),
            sources.port,
        )

    @property
    def has_copied(self) -> bool:
        """Return whether the configuration is there."""
        return self.state.config_version == VERSION

    async def time_copy(self) -> float:
        """Return after how many s the configuration is there."""
        now = asyncio.get_running_loop().time
        began = now()
        copying = asyncio.create_task(self.calls.run(now))
        try:
            await until(lambda: self.has_copied, timeout=10)
        finally:
            copying.cancel()
        return now() - began


async def test_small_calls_are_answered_while_a_copy_arrives() -> None:
    sources = Source()
    async with _listening(sources, [_SlowSource()]):
        copying = _Copying(sources, [sources.row(0, ZONE)])
        task = asyncio.create_task(copying.time_copy())
        await asyncio.sleep(3 * STEP)
        assert await copying.calls.ask_reach(copying.rows[0], 'any')
        assert not copying.has_copied
        await task
