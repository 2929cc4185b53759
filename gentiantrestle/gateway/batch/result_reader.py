"""Reads job results from the instance that runs a job, or from the store.

Instances that don't know of each other may run the same job. So what is in
memory is never taken for all that the store holds.
"""

from collections.abc import Awaitable, Callable

from gentiantrestle import events
from gentiantrestle.gateway.batch.job_calls import Step, reach
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.runner import Runner
from gentiantrestle.gateway.batch.scheduling import job_owner
from gentiantrestle.gateway.membership.peers import Peer, PeerList
from gentiantrestle.store.client import StoreUnavailableError


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
        if peer is not None:
            reach(Step.OWNER)
            if await self.fetch_from_peer(peer, entry):
                return
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


async def _fetch_nothing(peer: Peer, entry: JobEntry) -> bool:
    return False
