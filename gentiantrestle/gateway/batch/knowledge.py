"""Who can say what the results of a job are: memory, its runner, the store."""

from collections.abc import Awaitable, Callable

from gentiantrestle import events
from gentiantrestle.gateway.batch.book import Entry
from gentiantrestle.gateway.batch.duty import runner_of
from gentiantrestle.gateway.batch.keeper import Keeper
from gentiantrestle.gateway.batch.runner import Runner
from gentiantrestle.gateway.fellows import Fellow, Fellows
from gentiantrestle.store.client import StoreUnavailableError


class Knowledge:
    """Brings a job's results up to date where memory may lack some."""

    def __init__(
        self,
        keeper: Keeper,
        runner: Runner,
        fellows: Fellows,
        now: Callable[[], float],
    ) -> None:
        """Ask the store through ``keeper``, other instances by ``ask``."""
        self._keeper = keeper
        self._runner = runner
        self._fellows = fellows
        self._now = now
        self.ask: Callable[[Fellow, Entry], Awaitable[bool]] = _ask_nobody

    def is_sure(self, entry: Entry) -> bool:
        """Tell whether this process knows all results without the store.

        It does for jobs that it accepted itself, unless another instance may
        have taken them over without being heard.
        """
        settled = self._fellows.settled(self._now())
        return entry.sole and settled and not self._runner.stopping

    async def make_sure(self, entry: Entry) -> bool:
        """Have a job's results known here, if this process runs it."""
        if self.is_sure(entry):
            return True
        if self._runner.stopping or not self._runner.is_own(entry):
            return False
        try:
            await self._keeper.refresh(entry)
        except StoreUnavailableError as exc:
            events.emit(events.WRITE_FAILED, name=entry.job.id, error=repr(exc))
            return False
        return True

    async def look(self, entry: Entry) -> None:
        """Learn a job's new results; raise ``StoreUnavailableError``."""
        if entry.complete or self.is_sure(entry):
            return
        name = runner_of(entry, self._fellows.workers(self._now()))
        fellow = self._fellows.find(name) if name else None
        if self._runner.is_own(entry):
            fellow = None
        if fellow is None or not await self.ask(fellow, entry):
            await self._keeper.refresh(entry)


async def _ask_nobody(fellow: Fellow, entry: Entry) -> bool:
    return False
