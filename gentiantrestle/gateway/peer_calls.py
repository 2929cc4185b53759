"""Calls between instances: copies of state, and results of jobs."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from gentiantrestle import events
from gentiantrestle.daemon.membership.peers import (
    PeerClient,
    PeerError,
    PeerServer,
)
from gentiantrestle.daemon.membership.sources import SourceCalls
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.membership.peers import Peer, PeerList
from gentiantrestle.gateway.model import ItemResult
from gentiantrestle.gateway.state_copier import StateCopier
from gentiantrestle.gateway.zone_watcher import CopySourceSelector
from gentiantrestle.models import Address
from gentiantrestle.wire.peer import ttypes

# An instance that is asked connects to upstreams before it answers.
REACH_TIMEOUT = 0.6  # seconds
SYNC_INTERVAL = 0.25  # seconds between checks for a peer with newer state
MS_PER_S = 1000


TellOrigins: TypeAlias = Callable[
    [ttypes.OriginRequest], Awaitable[ttypes.OriginAnswer]
]


class PeerCalls:
    """Calls the other instances and answers their calls."""

    def __init__(
        self,
        copier: StateCopier,
        peers: PeerList,
        selector: CopySourceSelector,
        port: int,
    ) -> None:
        """Call the others at ``port``, which is the same on all hosts."""
        self._copier = copier
        self._peers = peers
        self._selector = selector
        self._port = port
        self._client = PeerClient()
        # Large answers hold up no others on a connection of their own.
        self._copy_client = PeerClient()
        self._result_client = PeerClient()
        self._sources = SourceCalls()
        self._server = PeerServer(self._answer)
        # Returns a job if this instance runs it and knows all its results.
        self.find_current: Callable[[str], Awaitable[JobEntry | None]] = (
            _find_nothing
        )
        # Returns whether this instance reaches a service now.
        self.confirm_reach: Callable[[str], Awaitable[bool]] = _never
        # Tells where streams began, as far as is known here.
        self.tell_origins: TellOrigins = _know_nothing

    async def serve(self, host: str) -> None:
        """Answer the other instances until cancelled."""
        await self._server.run(Address(host, self._port))

    async def run(self, now: Callable[[], float]) -> None:
        """Copy newer state from other instances until cancelled."""
        try:
            while True:
                if not await self._ask_next(now()):
                    await asyncio.sleep(SYNC_INTERVAL)
        finally:
            self._sources.cancel()

    async def fetch_results(self, peer: Peer, entry: JobEntry) -> bool:
        """Add a job's new results from the instance that runs it.

        Returns False if that instance doesn't answer, or may not know all
        results.
        """
        request = ttypes.ResultsRequest(entry.job.id, len(entry.results))
        envelope = ttypes.Envelope(call=0, results_request=request)
        try:
            reply = (
                await self._call_by(self._result_client, peer, envelope)
            ).results
        except PeerError:
            return False
        if reply is None or not reply.known:
            return False
        # Results may have been added from elsewhere during the call.
        if request.after == len(entry.results):
            rows = [
                ItemResult(row.item, row.completed, row.output)
                for row in reply.rows
            ]
            entry.add_peer_results(rows, reply.chunks)
        return True

    async def ask_reach(self, peer: Peer, service: str) -> bool:
        """Return whether an instance reaches a service, as it finds now."""
        request = ttypes.ReachRequest(service)
        try:
            async with asyncio.timeout(REACH_TIMEOUT):
                envelope = await self._call(peer, reach_request=request)
        except (PeerError, TimeoutError):
            return False
        return bool(envelope.reach_answer and envelope.reach_answer.reached)

    async def ask_origins(
        self, peer: Peer, request: ttypes.OriginRequest
    ) -> ttypes.OriginAnswer | None:
        """Ask an instance where streams began; None if it doesn't answer."""
        try:
            return (
                await self._call(peer, origin_request=request)
            ).origin_answer
        except PeerError:
            return None

    async def _ask_next(self, now: float) -> bool:
        """Ask one source; return whether it is silent, so that one follows."""
        states = self._sources.states(now)
        peer = self._selector.choose(
            self._copier.revisions, self._peers.alive(now), states, now
        )
        if peer is None:
            return False
        ended = await self._sources.ask(
            peer.instance,
            self._copy_from(peer),
            lambda: self._copy_client.answer_silence(self._address(peer)),
        )
        if ended:
            return False
        events.emit(events.SOURCE_SILENT, instance=peer.instance)
        return True

    async def _copy_from(self, peer: Peer) -> bool:
        """Copy what is newer; return whether the instance has answered."""
        began = time.monotonic()
        request = self._copier.build_request()
        try:
            copy = (await self._fetch_copy(peer, request)).copy
        except PeerError:
            return False
        if copy is None:
            return False
        try:
            self._copier.apply_copy(copy)
        except Exception as exc:  # noqa: BLE001 (logged; copied again)
            events.emit(events.MESSAGE_FAILED, error=repr(exc))
            return False
        self._log_copied(peer, began)
        return True

    def _log_copied(self, peer: Peer, began: float) -> None:
        revisions = self._copier.revisions
        events.emit(
            events.STATE_COPIED,
            instance=peer.instance,
            version=revisions.config_version,
            revision=revisions.upstreams_revision,
            jobs=revisions.jobs_revision,
            took_ms=_since_ms(began),
        )

    async def _fetch_copy(
        self, peer: Peer, request: ttypes.CopyRequest
    ) -> ttypes.Envelope:
        envelope = ttypes.Envelope(call=0, copy_request=request)
        return await self._call_by(self._copy_client, peer, envelope)

    async def _call(self, peer: Peer, **call: object) -> ttypes.Envelope:
        envelope = ttypes.Envelope(call=0, **call)
        return await self._call_by(self._client, peer, envelope)

    async def _call_by(
        self, client: PeerClient, peer: Peer, envelope: ttypes.Envelope
    ) -> ttypes.Envelope:
        began = time.monotonic()
        try:
            return await client.call(self._address(peer), envelope)
        except PeerError as exc:
            events.emit(
                events.PEER_FAILED,
                instance=peer.instance,
                error=repr(exc),
                took_ms=_since_ms(began),
            )
            raise

    def _address(self, peer: Peer) -> Address:
        return Address(peer.host, self._port)

    async def _answer(self, envelope: ttypes.Envelope) -> ttypes.Envelope:
        answer = ttypes.Envelope(call=envelope.call)
        if envelope.copy_request is not None:
            answer.copy = self._copier.build_copy(envelope.copy_request)
        elif envelope.results_request is not None:
            answer.results = await self._build_results(envelope.results_request)
        elif envelope.reach_request is not None:
            service = envelope.reach_request.service_name
            reached = await self.confirm_reach(service)
            answer.reach_answer = ttypes.ReachAnswer(reached)
        elif envelope.origin_request is not None:
            request = envelope.origin_request
            answer.origin_answer = await self.tell_origins(request)
        return answer

    async def _build_results(
        self, request: ttypes.ResultsRequest
    ) -> ttypes.Results:
        entry = await self.find_current(request.job)
        if entry is None:
            return ttypes.Results(
                known=False, complete=False, rows=[], chunks=0
            )
        rows = entry.results[request.after :]
        return ttypes.Results(
            known=True,
            complete=entry.complete,
            rows=[ttypes.ResultRow(*row) for row in rows],
            chunks=entry.chunk_count,
        )


def _since_ms(began: float) -> int:
    return round((time.monotonic() - began) * MS_PER_S)


async def _never(service: str) -> bool:
    return False


async def _find_nothing(job_id: str) -> JobEntry | None:
    """Run no job until this is set."""


async def _know_nothing(
    request: ttypes.OriginRequest,
) -> ttypes.OriginAnswer:
    """Know of no stream until this is set."""
    return ttypes.OriginAnswer([])
