"""Asks other instances where streams began.

The instance at which a stream began knows it, and so do the coordinators that
it has told. Who can't read the store has one that can read it.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable

from gentiantrestle.gateway.membership.peers import Peer, PeerList
from gentiantrestle.gateway.streams.evidence import StreamEvidence
from gentiantrestle.gateway.streams.origins import StreamOrigin
from gentiantrestle.gateway.streams.rounds import Rounds
from gentiantrestle.gateway.streams.versions import Versions
from gentiantrestle.wire.peer import ttypes

# Instances of a zone answer from memory.
ZONE_TIMEOUT = 0.15  # seconds
# One that is asked to read the store makes two calls to it.
READ_TIMEOUT = 0.4  # seconds
MAX_READERS = 3  # instances that are asked to read, one after the other
Ask = Callable[
    [Peer, ttypes.OriginRequest], Awaitable[ttypes.OriginAnswer | None]
]


class PeerOrigins:
    """Asks the instances of this one's zone, and those that reach the store."""

    def __init__(
        self, zone: str, peers: PeerList, now: Callable[[], float]
    ) -> None:
        """Ask live ones of ``peers``; nobody answers until ``ask`` is set."""
        self._zone = zone
        self._peers = peers
        self._now = now
        self._found = Rounds(self._ask_zone)
        self._read = Rounds(self._ask_readers)
        self._calls: set[asyncio.Task[StreamEvidence | None]] = set()
        self.ask: Ask = _no_answer
        self.rng = random.Random()

    async def find(self, attempt_id: str) -> StreamOrigin | None:
        """Return where a stream began, as one of the zone's instances says."""
        return (await self._found.get(attempt_id)).get(attempt_id)

    async def read(self, attempt_id: str) -> StreamEvidence | None:
        """Return what another instance reads from the store now, or None."""
        return await self._read.get(attempt_id)

    async def _ask_zone(
        self, wanted: frozenset[str]
    ) -> dict[str, StreamOrigin]:
        request = ttypes.OriginRequest(sorted(wanted), confirm=False)
        peers = self._peers.alive_in(self._zone, self._now())
        calls = [self._start(peer, request) for peer in peers]
        found: dict[str, StreamOrigin] = {}
        for call in asyncio.as_completed(calls, timeout=ZONE_TIMEOUT):
            try:
                evidence = await call
            except TimeoutError:
                break
            found.update(evidence.origins if evidence else {})
            if wanted <= found.keys():
                break
        return found

    async def _ask_readers(
        self, wanted: frozenset[str]
    ) -> StreamEvidence | None:
        request = ttypes.OriginRequest(sorted(wanted), confirm=True)
        origins: dict[str, StreamOrigin] = {}
        for peer in self._readers():
            call = self._start(peer, request)
            await asyncio.wait((call,), timeout=READ_TIMEOUT)
            evidence = call.result() if call.done() else None
            if evidence is not None:
                origins.update(evidence.origins)
            if evidence is not None and evidence.versions:
                return StreamEvidence(origins, evidence.versions)
        return StreamEvidence(origins, {}) if origins else None

    def _readers(self) -> list[Peer]:
        """Return instances that reach the store, those of the zone first."""
        able = [
            peer
            for peer in self._peers.alive(self._now())
            if peer.store_reached
        ]
        self.rng.shuffle(able)
        able.sort(key=lambda peer: peer.zone != self._zone)
        return able[:MAX_READERS]

    def _start(
        self, peer: Peer, request: ttypes.OriginRequest
    ) -> 'asyncio.Task[StreamEvidence | None]':
        """Begin a call; its answer may come too late to be used."""
        call = asyncio.create_task(self._call(peer, request))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        return call

    async def _call(
        self, peer: Peer, request: ttypes.OriginRequest
    ) -> StreamEvidence | None:
        answer = await self.ask(peer, request)
        return None if answer is None else read_answer(answer)


def write_answer(
    origins: Iterable[StreamOrigin], versions: Versions | None
) -> ttypes.OriginAnswer:
    """Encode what an instance knows; ``versions`` only if confirmed."""
    answer = ttypes.OriginAnswer(
        [
            ttypes.BegunStreams(
                origin.service, origin.version, [origin.attempt_id]
            )
            for origin in origins
        ]
    )
    if versions is not None:
        answer.versions = [
            ttypes.ServiceVersions(service, sorted(names))
            for service, names in versions.items()
        ]
    return answer


def read_answer(answer: ttypes.OriginAnswer) -> StreamEvidence:
    """Decode what another instance knows; no versions if none are confirmed."""
    origins = {
        attempt_id: StreamOrigin(
            attempt_id, streams.service_name, streams.version
        )
        for streams in answer.known
        for attempt_id in streams.attempts
    }
    versions = {
        listed.service_name: frozenset(listed.versions)
        for listed in answer.versions or ()
    }
    return StreamEvidence(origins, versions)


async def _no_answer(peer: Peer, request: ttypes.OriginRequest) -> None:
    """Know nobody until there are calls between instances."""
