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
    COPY_TIME,
    OTHER_ZONE,
    VERSION,
    ZONE,
    Source,
    _sound,
    _state,
)
from tests.utils.http import until

PARTS = 30
STEP = 0.1  # seconds between two parts of a copy


class _SlowSource:
    """Sends ``sent`` of the parts of each copy, one each ``STEP``."""

    def __init__(self, sent: int = PARTS, pause: float = 0) -> None:
        """Count the copies that are asked for; ``pause`` s in the midst."""
        self.asked = 0
        self._sent = sent
        self._pause = pause
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
            paused = self._pause if number == PARTS // 4 else 0
            await asyncio.sleep(STEP + paused)
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


async def test_no_second_copy_is_asked_beside_one_that_arrives() -> None:
    sources = Source()
    slow = [_SlowSource() for _ in range(4)]
    async with _listening(sources, slow):
        rows = [
            sources.row(number, ZONE if number == 0 else OTHER_ZONE)
            for number in range(len(slow))
        ]
        took = await _Copying(sources, rows).time_copy()
    assert [source.asked for source in slow] == [1, 0, 0, 0]
    assert took <= PARTS * STEP + COPY_TIME


async def test_copy_that_stops_arriving_does_not_delay_a_configuration() -> (
    None
):
    sources = Source()
    async with (
        _listening(sources, [_SlowSource(sent=PARTS // 4)]),
        _sound(sources.address(1)),
    ):
        rows = [sources.row(0, ZONE), sources.row(1, OTHER_ZONE)]
        took = await _Copying(sources, rows).time_copy()
    assert took <= PARTS // 4 * STEP + COPY_TIME


async def test_copy_that_goes_on_again_is_waited_for() -> None:
    sources = Source()
    slow = [_SlowSource(pause=4 * STEP), *(_SlowSource() for _ in range(3))]
    async with _listening(sources, slow):
        rows = [
            sources.row(number, ZONE if number == 0 else OTHER_ZONE)
            for number in range(len(slow))
        ]
        await _Copying(sources, rows).time_copy()
    assert sum(source.asked for source in slow) == 2
