"""Reads job results from the instance that runs a job, or from the store.

Instances that don't know of each other may run the same job. So what is in
memory is never taken for all that the store holds.
"""

import asyncio
from collections.abc import Awaitable, Callable

from gentiantrestle import events
from gentiantrestle.gateway.batch.job_calls import Step, reach
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.runner import Runner
from gentiantrestle.gateway.batch.scheduling import job_owner
from gentiantrestle.gateway.membership.peers import Peer, PeerList
from gentiantrestle.store.client import StoreUnavailableError

# Callers of a read may wait 1.5 s in all.
OWNER_PATIENCE = 0.3  # seconds until the store is read, too


class ResultReader:
    """Brings the results of jobs in memory up to date where needed."""

    def __init__(
        self,
        job_store: JobStore,
        runner: Runner,
        peers: PeerList,
        now: Callable[[], float],
    ) -> None:
        """Read from ``job_store`` only, until ``fetch_from_peer`` is set.

        ``fetch_from_peer`` reads a job's results from another instance, and
        returns False if that one can't give them.
        """
        self._job_store = job_store
        self._runner = runner
        self._peers = peers
        self._now = now
        self.fetch_from_peer: Callable[[Peer, JobEntry], Awaitable[bool]] = (
            _fetch_nothing
        )

    def runs_here(self, entry: JobEntry) -> bool:
        """Return whether this instance runs a job, as far as it knows."""
        return not self._runner.stopping and self._runner.owns(entry)

    async def ensure_current(self, entry: JobEntry) -> bool:
        """Bring a job's results up to date, if this instance runs it.

        Returns False if it doesn't, or if the store is unavailable.
        """
        if not self.runs_here(entry):
            return False
        try:
            await self._job_store.refresh(entry)
        except StoreUnavailableError as exc:
            events.emit(
                events.STORE_CALL_FAILED, name=entry.job.id, error=repr(exc)
            )
            return False
        return True

    async def find_current(self, job_id: str) -> JobEntry | None:
        """Return a job with all its results, if this instance runs it.

        One that others know, but that wasn't known here, is read from the store
        and run from now on. Returns None also if the store is unavailable.
        """
        entry = self._job_store.index.entries.get(job_id)
        if entry is None:
            entry = await self._learn(job_id)
        if entry is None or not await self.ensure_current(entry):
            return None
        return entry

    async def refresh(self, entry: JobEntry) -> None:
        """Read a job's new results from its owner, or else from the store.

        Raises ``StoreUnavailableError``.
        """
        if entry.complete:
            return
        others = set(self._peers.working_runs(self._now()))
        owner = job_owner(entry, others - self._runner.find_stranded(entry.job))
        peer = self._peers.find_run(owner) if owner else None
        if self._runner.owns(entry):
            peer = None
        if peer is None:
            await self._read_store(entry)
            return
        reach(Step.OWNER)
        asked = asyncio.create_task(self._ask(peer, entry))
        try:
            await self._read_beside(asked, entry)
        finally:
            asked.cancel()

    async def _ask(self, peer: Peer, entry: JobEntry) -> bool:
        """Return whether an owner's answer was added to what is known.

        It isn't if other results were added during the call.
        """
        before = entry.peer_answers
        answered = await self.fetch_from_peer(peer, entry)
        return answered and entry.peer_answers > before

    async def _read_beside(
        self, asked: asyncio.Task[bool], entry: JobEntry
    ) -> None:
        """Read the store, too, unless an owner that was asked answers soon."""
        await asyncio.wait([asked], timeout=OWNER_PATIENCE)
        if asked.done() and await asked:
            return
        read = asyncio.create_task(self._read_store(entry))
        try:
            await asyncio.wait(
                [asked, read], return_when=asyncio.FIRST_COMPLETED
            )
            await _use_either(asked, read, entry)
        finally:
            read.cancel()

    async def _read_store(self, entry: JobEntry) -> None:
        reach(Step.CHUNKS)
        await self._job_store.refresh(entry)

    async def _learn(self, job_id: str) -> JobEntry | None:
        try:
            entry = await self._job_store.find(job_id)
        except StoreUnavailableError as exc:
            events.emit(events.STORE_CALL_FAILED, name=job_id, error=repr(exc))
            return None
        events.emit(events.JOB_LEARNED, job=job_id, found=entry is not None)
        self._runner.wake()
        return entry


async def _use_either(
    asked: asyncio.Task[bool], read: asyncio.Task[None], entry: JobEntry
) -> None:
    """Wait until the owner or the store has given the results."""
    failure = read.exception() if read.done() else None
    if read.done() and failure is None:
        return
    if not await asked:
        await read
    elif failure is not None:
        events.emit(
            events.STORE_CALL_FAILED, name=entry.job.id, error=repr(failure)
        )


async def _fetch_nothing(peer: Peer, entry: JobEntry) -> bool:
    return False
