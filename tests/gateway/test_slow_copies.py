"""Copies of a configuration over links on which they take long."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import NamedTuple

import pytest

from gentiantrestle.daemon.membership.codec import encode, read_frame
from gentiantrestle.daemon.membership.peers import PeerServer
from gentiantrestle.daemon.membership.sources import SLOW_ANSWER
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.records import JobRecord
from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.membership.peers import Peer, PeerList
from gentiantrestle.gateway.peer_calls import REACH_TIMEOUT, PeerCalls
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.gateway.state_copier import StateCopier
from gentiantrestle.gateway.zone_watcher import CopySourceSelector
from gentiantrestle.models import Address
from gentiantrestle.wire.peer import ttypes
from tests.gateway.samples import make_job
from tests.gateway.test_silent_sources import (
    COPY_TIME,
    OTHER_ZONE,
    VERSION,
    ZONE,
    Source,
    _sound,
    _state,
)
from tests.gateway.wire_samples import config_doc
from tests.utils.http import until

PARTS = 30
STEP = 0.1  # seconds between two parts of a copy
BRISK_STEP = 0.03  # seconds
RESULT_SIZE = 100000  # characters


class _SlowKind(NamedTuple):
    """How a slow source sends: ``sent`` parts, after some a pause; in s."""

    sent: int = PARTS
    pause: float = 0
    step: float = STEP


STEADY = _SlowKind()


class _SlowSource:
    """Sends parts of copies one after the other."""

    def __init__(self, kind: _SlowKind = STEADY) -> None:
        """Count the copies that are asked for."""
        self.asked = 0
        self._kind = kind
        self._copier = _state(VERSION)[1]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of a connection one after the other."""
        with suppress(EOFError, ConnectionError):
            while True:
                envelope = await read_frame(reader)
                if envelope.results_request is not None:
                    await self._send_results(envelope, writer)
                    continue
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
        answer = ttypes.Envelope(envelope.call, copy=copy)
        await self._send_parts(encode(answer), writer)

    async def _send_results(
        self, envelope: ttypes.Envelope, writer: asyncio.StreamWriter
    ) -> None:
        row = ttypes.ResultRow('job1-0', True, 'x' * RESULT_SIZE)
        results = ttypes.Results(True, False, [row], 1)
        answer = ttypes.Envelope(envelope.call, results=results)
        await self._send_parts(encode(answer), writer)

    async def _send_parts(
        self, frame: bytes, writer: asyncio.StreamWriter
    ) -> None:
        size = -(-len(frame) // PARTS)
        for number in range(self._kind.sent):
            writer.write(frame[number * size : (number + 1) * size])
            paused = self._kind.pause if number == PARTS // 4 else 0
            await asyncio.sleep(self._kind.step + paused)
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
        self.peers = PeerList('own', '127.0.0.1', ZONE, ())
        for row in rows:
            self.peers.update(row)
        self.calls = PeerCalls(
            copier,
            self.peers,
            CopySourceSelector(ZONE, random.Random(1).random),
            sources.port,
        )

    @property
    def has_copied(self) -> bool:
        """Return whether the configuration is there."""
        return self.state.config_version == VERSION

    def announce(self, row: Peer, version: int) -> None:
        """Tell that the instance of a row has another configuration."""
        now = asyncio.get_running_loop().time()
        self.peers.update(
            row._replace(sequence=2, config_version=version, received_at=now)
        )

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


async def test_small_calls_are_answered_while_results_arrive() -> None:
    sources = Source()
    async with _listening(sources, [_SlowSource()]):
        row = sources.row(0, ZONE)
        copying = _Copying(sources, [row])
        job = make_job()
        entry = JobEntry(JobRecord(job, StoredObject(job.id, 1, {})))
        task = asyncio.create_task(copying.calls.fetch_results(row, entry))
        await asyncio.sleep(3 * STEP)
        async with asyncio.timeout(REACH_TIMEOUT):
            assert await copying.calls.ask_reach(row, 'any')
        assert not task.done()
        assert await task


async def test_no_second_copy_is_asked_beside_one_that_arrives() -> None:
    sources = Source()
    slow = [_SlowSource(_SlowKind(step=BRISK_STEP)) for _ in range(4)]
    async with _listening(sources, slow):
        rows = [
            sources.row(number, ZONE if number == 0 else OTHER_ZONE)
            for number in range(len(slow))
        ]
        took = await _Copying(sources, rows).time_copy()
    assert [source.asked for source in slow] == [1, 0, 0, 0]
    assert took <= PARTS * BRISK_STEP + COPY_TIME


async def test_no_third_copy_is_asked_beside_two_that_arrive() -> None:
    sources = Source()
    slow = [_SlowSource() for _ in range(4)]
    async with _listening(sources, slow):
        rows = [
            sources.row(number, ZONE if number == 0 else OTHER_ZONE)
            for number in range(len(slow))
        ]
        took = await _Copying(sources, rows).time_copy()
    assert sum(source.asked for source in slow) == 2
    assert took <= PARTS * STEP + COPY_TIME


async def test_slow_source_does_not_keep_a_sound_one_from_being_asked() -> None:
    sources = Source()
    async with (
        _listening(sources, [_SlowSource(_SlowKind(step=2 * STEP))]),
        _sound(sources.address(1)),
    ):
        rows = [sources.row(0, ZONE), sources.row(1, OTHER_ZONE)]
        took = await _Copying(sources, rows).time_copy()
    assert took <= SLOW_ANSWER + COPY_TIME


async def test_copy_that_stops_arriving_does_not_delay_a_configuration() -> (
    None
):
    sources = Source()
    async with (
        _listening(sources, [_SlowSource(_SlowKind(sent=PARTS // 4))]),
        _sound(sources.address(1)),
    ):
        rows = [sources.row(0, ZONE), sources.row(1, OTHER_ZONE)]
        took = await _Copying(sources, rows).time_copy()
    assert took <= PARTS // 4 * STEP + COPY_TIME


async def test_copy_that_goes_on_again_is_waited_for() -> None:
    sources = Source()
    slow = [
        _SlowSource(_SlowKind(pause=4 * STEP)),
        *(_SlowSource() for _ in range(3)),
    ]
    async with _listening(sources, slow):
        rows = [
            sources.row(number, ZONE if number == 0 else OTHER_ZONE)
            for number in range(len(slow))
        ]
        await _Copying(sources, rows).time_copy()
    assert sum(source.asked for source in slow) == 2


@asynccontextmanager
async def _growing(address: Address) -> AsyncIterator[FleetState]:
    """Answer at once with what the state holds."""
    state, copier = _state(VERSION)

    async def answer(envelope: ttypes.Envelope) -> ttypes.Envelope:
        return ttypes.Envelope(copy=copier.build_copy(envelope.copy_request))

    serving = asyncio.create_task(PeerServer(answer).run(address))
    try:
        yield state
    finally:
        serving.cancel()


async def _time_newer(copying: _Copying, state: FleetState, row: Peer) -> float:
    """Return after how many s a newer configuration of a source is there."""
    document = config_doc(VERSION + 1)
    state.apply_config(StoredObject('main', VERSION + 1, document))
    copying.announce(row, VERSION + 1)
    now = asyncio.get_running_loop().time
    began = now()
    await until(lambda: copying.state.config_version > VERSION)
    return now() - began


@pytest.mark.parametrize(
    'slow',
    [
        [_SlowKind(pause=4 * STEP)],
        # The second is asked while the first pauses, and is overtaken by it.
        [_SlowKind(pause=4 * STEP), _SlowKind(step=2 * STEP)],
    ],
)
async def test_slow_copy_of_what_is_known_by_now_delays_no_newer_one(
    slow: list[_SlowKind],
) -> None:
    sources = Source()
    zones = [ZONE, OTHER_ZONE, OTHER_ZONE]
    rows = [sources.row(number, zone) for number, zone in enumerate(zones)]
    async with (
        _listening(sources, [_SlowSource(kind) for kind in slow]),
        _growing(sources.address(len(slow))) as state,
    ):
        copying = _Copying(sources, rows[:2])
        now = asyncio.get_running_loop().time
        task = asyncio.create_task(copying.calls.run(now))
        await until(lambda: copying.has_copied)
        await asyncio.sleep(4 * STEP)
        took = await _time_newer(copying, state, rows[len(slow)])
        task.cancel()
    assert took <= COPY_TIME
