"""Who can say what the results of a job are: memory, its runner, the store."""

from collections.abc import Awaitable, Callable

from gentiantrestle import events
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.batch.runner import Runner
from gentiantrestle.gateway.batch.scheduling import runner_of
from gentiantrestle.gateway.peers import Peer, PeerList
from gentiantrestle.store.client import StoreUnavailableError


class ResultReader:
    """Brings a job's results up to date where memory may lack some."""

    def __init__(
        self,
        job_store: JobStore,
        runner: Runner,
        peers: PeerList,
        now: Callable[[], float],
    ) -> None:
        """Ask the store through ``job_store``, other instances by ``ask``."""
        self._job_store = job_store
        self._runner = runner
        self._peers = peers
        self._now = now
        self.fetch_from_peer: Callable[[Peer, JobEntry], Awaitable[bool]] = (
            _ask_nobody
        )

    def is_sure(self, entry: JobEntry) -> bool:
        """Tell whether this process knows all results without the store.

        It does for jobs that it accepted itself, unless another instance may
        have taken them over without being heard.
        """
        settled = self._peers.no_recent_losses(self._now())
        return entry.sole and settled and not self._runner.stopping

    async def ensure_current(self, entry: JobEntry) -> bool:
        """Have a job's results known here, if this process runs it."""
        if self.is_sure(entry):
            return True
        if self._runner.stopping or not self._runner.is_own(entry):
            return False
        try:
            await self._job_store.refresh(entry)
        except StoreUnavailableError as exc:
            events.emit(
                events.STORE_CALL_FAILED, name=entry.job.id, error=repr(exc)
            )
            return False
        return True

    async def look(self, entry: JobEntry) -> None:
        """Learn a job's new results; raise ``StoreUnavailableError``."""
        if entry.complete or self.is_sure(entry):
            return
        name = runner_of(entry, self._peers.working_runs(self._now()))
        peer = self._peers.find_run(name) if name else None
        if self._runner.is_own(entry):
            peer = None
        if peer is None or not await self.fetch_from_peer(peer, entry):
            await self._job_store.refresh(entry)


async def _ask_nobody(peer: Peer, entry: JobEntry) -> bool:
    return False
