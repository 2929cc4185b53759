"""See to jobs that are done, and to chunks whose holders are gone."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.board import Board
from gentiantrestle.daemon.batch.records import (
    HELD,
    ChunkRecord,
    Holder,
    JobRecord,
    chunk_name,
    finish_job,
    job_name,
    release,
)
from gentiantrestle.daemon.batch.schedule import (
    ChunkKey,
    LeaseBook,
    Seen,
    order_jobs,
)
from gentiantrestle.daemon.membership.rendezvous import owner
from gentiantrestle.daemon.membership.view import View
from gentiantrestle.store.client import (
    ABSENT,
    StoreClient,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionedDocument,
)

SURVEY_PERIOD = 1.0  # seconds
RENEWALS_PER_LEASE = 3
STORE_ERRORS = (StoreUnavailableError, StoreOutcomeUnknownError)


class Watch:
    """The duties of an instance for the jobs that fall to it."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        view: View,
        board: Board,
    ) -> None:
        """Judge holders by heartbeats first, by leases second."""
        self._ctx = ctx
        self._store = store
        self._view = view
        self._board = board
        self._leases = LeaseBook(ctx.cfg.lease)
        self._me = Holder(ctx.cfg.instance, ctx.incarnation)
        self.works_on: Callable[[ChunkKey], bool] = _never

    async def run(self) -> None:
        """Look after the jobs that fall to this instance, for ever."""
        while True:
            jitter = self._ctx.random.random()
            await asyncio.sleep(SURVEY_PERIOD * (0.5 + jitter))
            for job in order_jobs(self._board.jobs()):
                workers = self._board.workers(job)
                if owner(job['id'], workers) == self._me.instance:
                    await self._look_after(job)

    async def renew(self, holding: Callable[[], bool]) -> None:
        """Keep one lease for all chunks while any is held, for ever."""
        version = ABSENT
        while True:
            await asyncio.sleep(self._ctx.cfg.lease / RENEWALS_PER_LEASE)
            if holding():
                with suppress(*STORE_ERRORS):
                    version = await self._renew(version)

    def is_gone(self, record: ChunkRecord, key: ChunkKey) -> bool:
        """Tell whether a chunk's holder no longer works on it."""
        holder = Holder(record['owner'], record['incarnation'])
        if holder == self._me:
            return not self.works_on(key)
        if holder.instance == self._me.instance:
            return True
        now = self._ctx.now()
        if self._view.is_alive(holder.instance, holder.incarnation, now):
            return False
        member = self._view.find(holder.instance)
        if member is not None and member.incarnation > holder.incarnation:
            return True
        if self._view.is_missing(holder.instance, now):
            return True
        return self._leases.has_lapsed(holder.instance, now)

    async def _look_after(self, job: JobRecord) -> None:
        with suppress(*STORE_ERRORS):
            await self._board.survey(job)
            for key, seen in tuple(self._board.seen(job)):
                if seen.record['state'] == HELD:
                    await self._rescue(key, seen)
            await self._finish(job)

    async def _rescue(self, key: ChunkKey, seen: Seen) -> None:
        """Open a chunk whose holder is gone, and fence the holder off."""
        if self.works_on(key):
            return
        await self._look_at_lease(seen.record)
        if not self.is_gone(seen.record, key):
            return
        opened = release(seen.record)
        written = await self._store.put(
            chunk_name(key.job, key.index),
            dict(opened),
            seen.version,
        )
        if isinstance(written, VersionedDocument):
            self._board.note(key, written.version, opened)

    async def _look_at_lease(self, record: ChunkRecord) -> None:
        now = self._ctx.now()
        if self._view.is_alive(record['owner'], record['incarnation'], now):
            return
        found = await self._store.get(_lease_name(record['owner']))
        version = found.version if found else ABSENT
        self._leases.note(record['owner'], version, self._ctx.now())

    async def _finish(self, job: JobRecord) -> None:
        records = [seen.record for _, seen in self._board.seen(job)]
        wall = self._ctx.wall()
        finished = finish_job(job, records, wall, self._me.instance)
        if finished is None:
            return
        name = job_name(job['id'])
        version = self._board.job_version(job['id'])
        written = await self._store.put(name, dict(finished), version)
        current = written or await self._store.get(name)
        if current is not None:
            self._board.take_job(current.version, current.document)

    async def _renew(self, version: int) -> int:
        name = _lease_name(self._me.instance)
        document = {'incarnation': self._me.incarnation}
        written = await self._store.put(name, document, version)
        current = written or await self._store.get(name)
        return current.version if current else ABSENT


def _lease_name(instance: str) -> str:
    return f'leases/{instance}'


def _never(key: ChunkKey) -> bool:
    return False
