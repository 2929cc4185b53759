"""Calls between instances: copies of what is known, results of jobs."""

import asyncio
from collections.abc import Awaitable, Callable

from gentiantrestle import events
from gentiantrestle.daemon.membership.peers import (
    PeerClient,
    PeerError,
    PeerServer,
)
from gentiantrestle.gateway.batch.job_index import JobEntry, JobIndex
from gentiantrestle.gateway.gossip import peer_address
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.peers import Peer, PeerList
from gentiantrestle.gateway.state_copier import StateCopier
from gentiantrestle.gateway.zone_watcher import CopySourceSelector
from gentiantrestle.models import Address
from gentiantrestle.wire.peer import ttypes

ROUND_TIME = 0.1  # seconds between looks at who is ahead


class Relay:
    """Fetches from and serves the other instances."""

    def __init__(
        self,
        copies: StateCopier,
        peers: PeerList,
        index: JobIndex,
        rule: CopySourceSelector,
        port: int,
    ) -> None:
        """Call the others at ``port``, which is the same on all hosts."""
        self._copies = copies
        self._peers = peers
        self._index = index
        self._rule = rule
        self._port = port
        self._client = PeerClient()
        self._server = PeerServer(self._answer)
        self.make_sure: Callable[[JobEntry], Awaitable[bool]] = _never

    async def serve(self, host: str) -> None:
        """Answer the other instances until cancelled."""
        await self._server.run(Address(host, self._port))

    async def run(
        self,
        now: Callable[[], float],
        on_round: Callable[[], None],
    ) -> None:
        """Keep up with those who watch the store."""
        while True:
            on_round()
            at = now()
            peer = self._rule.choose(
                self._copies.known, self._peers.alive(at), at
            )
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
            entry.add_peer_results(rows, told.chunks)
        return True

    async def _copy(self, peer: Peer) -> None:
        asked = self._copies.request()
        try:
            told = (await self._call(peer, copy_request=asked)).copy
        except PeerError as exc:
            events.emit(
                events.PEER_FAILED, instance=peer.instance, error=repr(exc)
            )
            return
        if told is not None:
            self._copies.take(told)
            self._log(peer)

    def _log(self, peer: Peer) -> None:
        known = self._copies.known
        events.emit(
            events.STATE_COPIED,
            instance=peer.instance,
            version=known.config_version,
            revision=known.upstreams_revision,
            jobs=known.jobs_revision,
        )

    async def _call(self, peer: Peer, **call: object) -> ttypes.Envelope:
        address = peer_address(peer, self._port)
        envelope = ttypes.Envelope(call=0, **call)
        return await self._client.call(address, envelope)

    async def _answer(self, envelope: ttypes.Envelope) -> ttypes.Envelope:
        answer = ttypes.Envelope(call=envelope.call)
        if envelope.copy_request is not None:
            answer.copy = self._copies.give(envelope.copy_request)
        elif envelope.results_request is not None:
            answer.results = await self._results(envelope.results_request)
        return answer

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
            chunks=entry.chunk_count,
        )


async def _never(entry: JobEntry) -> bool:
    return False
