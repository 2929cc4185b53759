"""Copies of a configuration while instances that have it are silent."""

import asyncio
import random
import socket
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

import pytest

from gentiantrestle.daemon.membership.peers import PeerServer
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.membership.peers import Peer, PeerList
from gentiantrestle.gateway.peer_calls import PeerCalls
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.gateway.state_copier import StateCopier
from gentiantrestle.gateway.zone_watcher import CopySourceSelector
from gentiantrestle.models import Address
from gentiantrestle.platform.document_decoder import StoreDocumentDecoder
from gentiantrestle.wire.peer.ttypes import Envelope
from tests.gateway.memory import MemoryStore
from tests.gateway.wire_samples import config_doc
from tests.utils.http import until
from tests.utils.ports import free_ports, worker_number

ZONE = 'a1'
OTHER_ZONE = 'a2'
# A configuration is in force 2.5 s after the store has confirmed it. The hops
# to the row that names a source take up to 1.2 s of that.
COPY_TIME = 1.3  # seconds
ROUNDS = 8
VERSION = 4


def _state(version: int) -> tuple[FleetState, StateCopier]:
    loop = asyncio.get_running_loop()
    state = FleetState(StoreDocumentDecoder(), 'main', loop.time)
    if version:
        document = config_doc(version)
        state.apply_config(StoredObject('main', version, document))
    store = JobStore(MemoryStore(), JobIndex(), random.Random(1), loop.time)
    return state, StateCopier(state, store, loop.time)


@contextmanager
def _never_accepting(address: Address) -> Iterator[None]:
    """Listen with a full queue, so that connecting gets no answer."""
    with socket.socket() as server, socket.socket() as waiting:
        server.bind(address)
        server.listen(0)
        waiting.connect(address)
        yield


@asynccontextmanager
async def _never_answering(address: Address) -> AsyncIterator[None]:
    writers: list[asyncio.StreamWriter] = []

    async def keep_open(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers.append(writer)

    server = await asyncio.start_server(keep_open, *address)
    try:
        yield
    finally:
        server.close()
        for writer in writers:
            writer.close()


@asynccontextmanager
async def _silent(address: Address, kind: str) -> AsyncIterator[None]:
    if kind == 'connecting':
        with _never_accepting(address):
            yield
        return
    async with _never_answering(address):
        yield


@asynccontextmanager
async def _sound(address: Address) -> AsyncIterator[None]:
    copier = _state(VERSION)[1]

    async def answer(envelope: Envelope) -> Envelope:
        return Envelope(copy=copier.build_copy(envelope.copy_request))

    serving = asyncio.create_task(PeerServer(answer).run(address))
    await asyncio.sleep(0.05)
    try:
        yield
    finally:
        serving.cancel()


class Source:
    """Hosts of the instances that are ahead, on one port."""

    def __init__(self) -> None:
        """Choose addresses that no other test uses."""
        self.port = free_ports(1)[0]
        self._block = f'127.{worker_number() + 60}.{self.port % 250}'

    def address(self, number: int) -> Address:
        """Return the address of a source."""
        return Address(f'{self._block}.{number + 1}', self.port)

    def row(self, number: int, zone: str) -> Peer:
        """Return the row of a source that has the newer configuration."""
        now = asyncio.get_running_loop().time()
        host = self.address(number).host
        return Peer(
            f'{number}', 1, 1, host, zone, False, VERSION, True, now, 0, 0
        )


async def _time_copy(
    sources: Source, rows: list[Peer], rand: Callable[[], float]
) -> float:
    """Return after how many s an instance has the configuration of ``rows``."""
    now = asyncio.get_running_loop().time
    state, copier = _state(0)
    peers = PeerList('own', '127.0.0.1', ZONE, ())
    for row in rows:
        peers.update(row)
    calls = PeerCalls(
        copier,
        peers,
        CopySourceSelector(ZONE, rand),
        sources.port,
    )
    began = now()
    copying = asyncio.create_task(calls.run(now))
    try:
        await until(lambda: state.config_version == VERSION)
    finally:
        copying.cancel()
    return now() - began


@pytest.mark.parametrize('kind', ['connecting', 'answering'])
async def test_silent_watcher_does_not_delay_a_configuration(
    kind: str,
) -> None:
    for number in range(ROUNDS):
        sources = Source()
        async with (
            _silent(sources.address(0), kind),
            _sound(sources.address(1)),
        ):
            rows = [sources.row(0, ZONE), sources.row(1, OTHER_ZONE)]
            took = await _time_copy(sources, rows, random.Random(number).random)
        assert took <= COPY_TIME


async def test_several_silent_sources_do_not_delay_a_configuration() -> None:
    for number in range(ROUNDS):
        sources = Source()
        async with (
            _silent(sources.address(0), 'answering'),
            _silent(sources.address(1), 'connecting'),
            _silent(sources.address(2), 'answering'),
            _sound(sources.address(3)),
        ):
            rows = [
                sources.row(0, ZONE),
                sources.row(1, OTHER_ZONE),
                sources.row(2, OTHER_ZONE),
                sources.row(3, 'b1'),
            ]
            took = await _time_copy(sources, rows, random.Random(number).random)
        assert took <= COPY_TIME
