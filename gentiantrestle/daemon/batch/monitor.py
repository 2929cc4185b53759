"""Complete finished jobs and reopen chunks whose holders are gone."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.records import (
    HELD,
    ChunkRecord,
    Holder,
    JobRecord,
    chunk_name,
    finish_job,
    job_name,
    reopen_chunk,
)
from gentiantrestle.daemon.batch.schedule import (
    CachedChunk,
    ChunkKey,
    LeaseTracker,
    order_jobs,
)
from gentiantrestle.daemon.batch.tracker import JobTracker
from gentiantrestle.daemon.membership.rendezvous import owner
from gentiantrestle.daemon.membership.view import MembershipView
from gentiantrestle.store.client import (
    ABSENT,
    StoreClient,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionedDocument,
)

CHECK_PERIOD = 1.0  # seconds
RENEWALS_PER_LEASE = 3
STORE_ERRORS = (StoreUnavailableError, StoreOutcomeUnknownError)


class JobMonitor:
    """Monitors the jobs that are assigned to this instance."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        view: MembershipView,
        tracker: JobTracker,
    ) -> None:
        """Watch holders by their heartbeats and, if these stop, by leases.

        Until ``is_running_here`` is set, no chunk counts as running here.
        """
        self._ctx = ctx
        self._store = store
        self._view = view
        self._tracker = tracker
        self._leases = LeaseTracker(ctx.cfg.lease)
        self._me = Holder(ctx.cfg.instance, ctx.incarnation)
        self.is_running_here: Callable[[ChunkKey], bool] = _never

    async def run(self) -> None:
        """Check the assigned jobs periodically until cancelled."""
        while True:
            jitter = self._ctx.random.random()
            await asyncio.sleep(CHECK_PERIOD * (0.5 + jitter))
            for job in order_jobs(self._tracker.running_jobs()):
                workers = self._tracker.workers(job)
                if owner(job['id'], workers) == self._me.instance:
                    await self._check_job(job)

    async def renew_lease(self, holds_chunks: Callable[[], bool]) -> None:
        """Renew this instance's lease while it holds chunks.

        One lease covers all of its chunks. Runs until cancelled.
        """
        version = ABSENT
        while True:
            await asyncio.sleep(self._ctx.cfg.lease / RENEWALS_PER_LEASE)
            if holds_chunks():
                with suppress(*STORE_ERRORS):
                    version = await self._write_lease(version)

    def is_holder_gone(self, record: ChunkRecord, key: ChunkKey) -> bool:
        """Tell whether a chunk's holder no longer works on it."""
        holder = Holder(record['owner'], record['incarnation'])
        if holder == self._me:
            return not self.is_running_here(key)
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
        return self._leases.has_expired(holder.instance, now)

    async def _check_job(self, job: JobRecord) -> None:
        with suppress(*STORE_ERRORS):
            await self._tracker.refresh_chunks(job)
            for key, cached in tuple(self._tracker.cached_chunks(job)):
                if cached.record['state'] == HELD:
                    await self._reopen_if_abandoned(key, cached)
            await self._finish_if_done(job)

    async def _reopen_if_abandoned(
        self, key: ChunkKey, cached: CachedChunk
    ) -> None:
        """Open a chunk whose holder is gone; this fences the holder off."""
        if self.is_running_here(key):
            return
        await self._observe_lease(cached.record)
        if not self.is_holder_gone(cached.record, key):
            return
        reopened = reopen_chunk(cached.record)
        written = await self._store.put(
            chunk_name(key.job_id, key.index),
            dict(reopened),
            cached.version,
        )
        if isinstance(written, VersionedDocument):
            self._tracker.update_chunk(key, written.version, reopened)

    async def _observe_lease(self, record: ChunkRecord) -> None:
        now = self._ctx.now()
        if self._view.is_alive(record['owner'], record['incarnation'], now):
            return
        found = await self._store.get(_lease_name(record['owner']))
        version = found.version if found else ABSENT
        self._leases.observe(record['owner'], version, self._ctx.now())

    async def _finish_if_done(self, job: JobRecord) -> None:
        records = [
            cached.record for _, cached in self._tracker.cached_chunks(job)
        ]
        wall_time = self._ctx.wall()
        finished = finish_job(job, records, wall_time, self._me.instance)
        if finished is None:
            return
        name = job_name(job['id'])
        version = self._tracker.job_version(job['id'])
        written = await self._store.put(name, dict(finished), version)
        current = written or await self._store.get(name)
        if current is not None:
            self._tracker.update_job(current.version, current.document)

    async def _write_lease(self, version: int) -> int:
        name = _lease_name(self._me.instance)
        document = {'incarnation': self._me.incarnation}
        written = await self._store.put(name, document, version)
        current = written or await self._store.get(name)
        return current.version if current else ABSENT


def _lease_name(instance: str) -> str:
    return f'leases/{instance}'


def _never(key: ChunkKey) -> bool:
    return False
