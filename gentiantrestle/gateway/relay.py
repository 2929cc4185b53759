"""Calls between instances: copies for those cut off, results of jobs."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec

from gentiantrestle import events
from gentiantrestle.daemon.membership.peers import (
    PeerClient,
    PeerError,
    PeerServer,
)
from gentiantrestle.gateway.batch.index import JobEntry, JobIndex
from gentiantrestle.gateway.gossip import peer_address
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.peers import Peer, PeerList
from gentiantrestle.gateway.ports import Stored
from gentiantrestle.gateway.state import State
from gentiantrestle.models import Address
from gentiantrestle.wire.peer import ttypes

ROUND_TIME = 0.25  # seconds between looks at who is ahead
# The own watch brings a change within this time unless it is cut off.
OWN_WATCH_TIME = 0.3  # seconds
COPY_GAP = 1.0  # seconds between two copies of the upstreams' list
CONFIG = 'config'
UPSTREAM = 'upstream/'


class Reach(NamedTuple):
    """How this instance stands to the store."""

    version: Callable[[], int]
    revision: Callable[[], int]
    connected: Callable[[], bool]


class Relay:
    """Fetches from and serves the other instances."""

    def __init__(
        self,
        state: State,
        peers: PeerList,
        index: JobIndex,
        reach: Reach,
        port: int,
    ) -> None:
        """Call the others at ``port``, which is the same on all hosts."""
        self._state = state
        self._peers = peers
        self._index = index
        self._reach = reach
        self._port = port
        self._client = PeerClient()
        self._server = PeerServer(self._answer)
        self._behind_since: float | None = None
        self._copied_at = float(0)
        self.make_sure: Callable[[JobEntry], Awaitable[bool]] = _never

    async def serve(self, host: str) -> None:
        """Answer the other instances until cancelled."""
        await self._server.run(Address(host, self._port))

    async def run(self, now: Callable[[], float]) -> None:
        """Keep up with the others while the store is out of reach."""
        while True:
            peer = self._choose(now())
            if peer is not None:
                await self._copy(peer)
            await asyncio.sleep(ROUND_TIME)

    async def results(self, peer: Peer, entry: JobEntry) -> bool:
        """Read a job's new results from its runner; False if it can't say."""
        asked = ttypes.ResultsRequest(entry.job.id, len(entry.results))
        try:
            told = (await self._call(peer, results_request=asked)).results
        except PeerError as exc:
            events.emit(
                events.PEER_FAILED, instance=peer.instance, error=repr(exc)
            )
            return False
        if told is None or not told.known:
            return False
        if asked.after == len(entry.results):
            rows = [
                ItemResult(row.item, row.completed, row.output)
                for row in told.rows
            ]
            entry.take_over(rows, told.chunks)
        return True

    def _choose(self, now: float) -> Peer | None:
        """Decide whom to copy from, if this instance has fallen behind."""
        ahead = self._peers.ahead(self._reach.version(), now)
        if ahead is None:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since >= OWN_WATCH_TIME:
            return ahead
        if self._reach.connected() or now - self._copied_at < COPY_GAP:
            return None
        self._copied_at = now
        reachable = self._peers.with_store(now)
        return random.choice(reachable) if reachable else None

    async def _copy(self, peer: Peer) -> None:
        asked = ttypes.ChangesRequest(after=self._reach.revision())
        try:
            told = (await self._call(peer, changes_request=asked)).changes
        except PeerError as exc:
            events.emit(
                events.PEER_FAILED, instance=peer.instance, error=repr(exc)
            )
            return
        if told is not None:
            self._apply(told, peer)

    def _apply(self, told: ttypes.Changes, peer: Peer) -> None:
        upstreams = []
        for change in told.changes:
            stored = _unpack(change)
            if change.name == CONFIG:
                self._state.apply_config(stored)
            else:
                upstreams.append(stored)
        if told.revision > self._reach.revision():
            self._state.replace_upstreams(upstreams, told.revision)
        events.emit(
            events.STATE_COPIED,
            instance=peer.instance,
            version=self._reach.version(),
            revision=told.revision,
        )

    async def _call(self, peer: Peer, **call: object) -> ttypes.Envelope:
        address = peer_address(peer, self._port)
        envelope = ttypes.Envelope(call=0, **call)
        return await self._client.call(address, envelope)

    async def _answer(self, envelope: ttypes.Envelope) -> ttypes.Envelope:
        answer = ttypes.Envelope(call=envelope.call)
        if envelope.changes_request is not None:
            answer.changes = self._changes()
        elif envelope.results_request is not None:
            answer.results = await self._results(envelope.results_request)
        return answer

    def _changes(self) -> ttypes.Changes:
        changes = [
            _pack(f'{UPSTREAM}{name}', stored)
            for name, stored in self._state.upstreams.items()
        ]
        if self._state.config is not None:
            changes.append(_pack(CONFIG, self._state.config))
        return ttypes.Changes(
            revision=self._reach.revision(), complete=True, changes=changes
        )

    async def _results(self, asked: ttypes.ResultsRequest) -> ttypes.Results:
        entry = self._index.entries.get(asked.job)
        if entry is None or not await self.make_sure(entry):
            return ttypes.Results(
                known=False, complete=False, rows=[], chunks=0
            )
        rows = entry.results[asked.after :]
        return ttypes.Results(
            known=True,
            complete=entry.complete,
            rows=[ttypes.ResultRow(*row) for row in rows],
            chunks=entry.chunks,
        )


def _pack(name: str, stored: Stored) -> ttypes.Change:
    payload = msgspec.json.encode([stored.name, stored.content])
    return ttypes.Change(name=name, version=stored.revision, payload=payload)


def _unpack(change: ttypes.Change) -> Stored:
    name, content = msgspec.json.decode(change.payload)
    return Stored(name, change.version, content)


async def _never(entry: JobEntry) -> bool:
    return False
