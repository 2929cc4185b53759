"""Refuses jobs that exceed the token quota of their route."""

import asyncio
from collections.abc import Iterable, Iterator
from contextlib import suppress
from itertools import count

from gentiantrestle import events
from gentiantrestle.errors import OVERLOADED, refuse
from gentiantrestle.gateway.batch.context import BatchContext
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.result_reader import ResultReader
from gentiantrestle.gateway.batch.store_refusals import refusing_unavailable
from gentiantrestle.gateway.model import Job, Route
from gentiantrestle.store.client import StoreUnavailableError

# Up to this share of a quota only the jobs known here are counted: those not
# known yet can't use up the rest.
LOCAL_SHARE = 0.5
RETRY_AFTER = 1.0  # seconds, while a quota is used up
# Callers want to know within about a second whether a job is accepted.
READ_TIMEOUT = 0.8  # seconds
PARALLEL_READS = 16  # jobs


class QuotaCheck:
    """Counts the tokens of unfinished items; with accounts, those of each."""

    def __init__(self, context: BatchContext, reader: ResultReader) -> None:
        """Read results with ``reader`` before a job is refused."""
        self._index = context.index
        self._job_store = context.job_store
        self._router = context.router
        self._reader = reader
        self._reading = asyncio.Lock()
        # When open jobs were last read, by order of the reads.
        self._turns: dict[str, int] = {}
        self._numbers = count()

    async def check(self, job: Job, route: Route) -> None:
        """Refuse a job that exceeds its quota with ``OVERLOADED``.

        Up to ``LOCAL_SHARE`` of the quota, only the jobs known here are
        counted. Above that, jobs are listed again, and results are read again
        for up to ``READ_TIMEOUT`` before a job is refused: what isn't read by
        then counts as unfinished. Also refused with ``STORE_UNAVAILABLE``.
        """
        if self._fits(job, route, LOCAL_SHARE):
            return
        with refusing_unavailable():
            await self._job_store.relist()
            # Accepted at another instance, it counts already.
            if job.id in self._index.entries or self._fits_now(job, route):
                return
            with suppress(TimeoutError):
                async with asyncio.timeout(READ_TIMEOUT):
                    await self._read_until_it_fits(job, route)
        if not self._fits_now(job, route):
            raise refuse(
                OVERLOADED,
                'The token quota of this route is used up',
                RETRY_AFTER,
            )

    async def _read_until_it_fits(self, job: Job, route: Route) -> None:
        """Read results of the jobs that count, least recently read first."""
        async with self._reading:
            waiting = self._by_turn(
                self._counted(job, self._route_now(job, route))
            )
            while waiting and not self._fits_now(job, route):
                first = waiting[:PARALLEL_READS]
                waiting = waiting[PARALLEL_READS:]
                await asyncio.gather(*map(self._read, first))

    async def _read(self, entry: JobEntry) -> None:
        """Read results; a job that can't be read counts as it is known."""
        job_id = entry.job.id
        self._turns[job_id] = next(self._numbers)
        try:
            await self._reader.refresh(entry)
        except StoreUnavailableError as exc:
            events.emit(events.STORE_CALL_FAILED, name=job_id, error=repr(exc))

    def _by_turn(self, counted: Iterable[JobEntry]) -> list[JobEntry]:
        entries = self._index.entries
        self._turns = {
            job_id: turn
            for job_id, turn in self._turns.items()
            if job_id in entries and entries[job_id].open
        }
        return sorted(
            counted, key=lambda entry: self._turns.get(entry.job.id, -1)
        )

    def _fits_now(self, job: Job, route: Route) -> bool:
        """Return whether a job fits the quota that is in force by now."""
        return self._fits(job, self._route_now(job, route))

    def _route_now(self, job: Job, route: Route) -> Route:
        return self._router.match_job(job) or route

    def _fits(self, job: Job, route: Route, share: float = 1.0) -> bool:
        if not route.max_tokens:
            return True
        counted = self._counted(job, route)
        waiting = sum(entry.waiting_tokens for entry in counted)
        return waiting + job.tokens <= route.max_tokens * share

    def _counted(self, job: Job, route: Route) -> Iterator[JobEntry]:
        """Yield the open jobs that count toward the quota of a job."""
        for entry in self._index.open_entries():
            other = entry.job
            if job.account is not None and other.account != job.account:
                continue
            found = self._router.match_job(other)
            if found is not None and found.key == route.key:
                yield entry
