"""The child that runs batch jobs."""

import asyncio
from contextlib import suppress

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.acceptance import JobAcceptor
from gentiantrestle.daemon.batch.allocator import SlotAllocator
from gentiantrestle.daemon.batch.chunk_run import ChunkLostError, ChunkRun
from gentiantrestle.daemon.batch.client_jobs import ClientJobs
from gentiantrestle.daemon.batch.item_run import ClaimedChunk, Services
from gentiantrestle.daemon.batch.monitor import (
    CHECK_PERIOD,
    STORE_ERRORS,
    JobMonitor,
)
from gentiantrestle.daemon.batch.records import (
    JOB_PREFIX,
    RUNNING,
    ChunkRecord,
    Holder,
    ItemLine,
    JobRecord,
    chunk_name,
    claim_chunk,
    input_name,
)
from gentiantrestle.daemon.batch.schedule import (
    ChunkKey,
    next_assigned_chunk,
    order_jobs,
    random_open_chunk,
)
from gentiantrestle.daemon.batch.tracker import JobTracker
from gentiantrestle.daemon.configuration.mirror import MirroredObject
from gentiantrestle.daemon.configuration.service import Configuration
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.upstreams.service import UpstreamRegistry
from gentiantrestle.errors import Refusal
from gentiantrestle.store.client import (
    ABSENT,
    StoreClient,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionedDocument,
)

CLAIM_PERIOD = 0.05  # seconds
IDLE_CLAIM_PERIOD = 0.25  # seconds
MAX_RUNNING_CHUNKS = 4
SLOTLESS_TIMEOUT = 1.0  # seconds
MISSING = 'its items are missing in the store; reading again'


class Batch:
    """Claims chunks while batch slots are free, and runs them."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        configuration: Configuration,
        membership: Membership,
        upstreams: UpstreamRegistry,
    ) -> None:
        """Start without any chunk."""
        self._ctx = ctx
        self._store = store
        self._allocator = SlotAllocator(ctx, upstreams)
        self._services = Services(ctx, store, self._allocator, upstreams)
        self._tracker = JobTracker(ctx, store, configuration, upstreams)
        self._monitor = JobMonitor(ctx, store, membership.view, self._tracker)
        self._monitor.is_running_here = self._is_running_here
        self._me = Holder(ctx.cfg.instance, ctx.incarnation)
        self._runs: dict[ChunkKey, asyncio.Task[None]] = {}
        self._unresolved_claims: set[ChunkKey] = set()
        self._slotless_since: dict[ChunkKey, float] = {}
        self._next_search = ctx.now()
        self._stopping = False
        self.acceptor = JobAcceptor(ctx, store, configuration)
        self.client_jobs = ClientJobs(ctx, store, configuration)
        configuration.mirror.add_listener(JOB_PREFIX, self._on_job_change)

    async def run(self) -> None:
        """Claim and run chunks until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._claim_periodically())
                group.create_task(self._monitor.run())
                group.create_task(
                    self._monitor.renew_lease(lambda: bool(self._runs))
                )
        finally:
            for task in self._runs.values():
                task.cancel()

    async def stop(self) -> None:
        """Stop claiming and hand over all chunks, within the grace period."""
        self._stopping = True
        tasks = tuple(self._runs.values())
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=self._ctx.cfg.grace)

    def _is_running_here(self, key: ChunkKey) -> bool:
        return key in self._runs

    async def _claim_periodically(self) -> None:
        while True:
            await asyncio.sleep(
                CLAIM_PERIOD if self._tracker.has_jobs else IDLE_CLAIM_PERIOD
            )
            self._allocator.refresh()
            self._cancel_slotless(self._ctx.now())
            if self._stopping or len(self._runs) >= MAX_RUNNING_CHUNKS:
                continue
            with suppress(*STORE_ERRORS):
                await self._resolve_claims()
                await self._claim_next()

    def _cancel_slotless(self, now: float) -> None:
        """Hand over chunks for which this instance owns no slots any more."""
        for key, task in tuple(self._runs.items()):
            job = self._tracker.find_job(key.job_id)
            deployment = self._tracker.deployment(job) if job else None
            if deployment and any(
                self._allocator.owned_upstreams(deployment, now)
            ):
                self._slotless_since.pop(key, None)
            elif (
                now - self._slotless_since.setdefault(key, now)
                > SLOTLESS_TIMEOUT
            ):
                self._slotless_since.pop(key)
                task.cancel()

    async def _claim_next(self) -> None:
        jobs = [
            job
            for job in self._tracker.running_jobs()
            if self._has_free_slots(job)
        ]
        if not jobs:
            return
        key = next_assigned_chunk(
            jobs,
            self._tracker.chunk_cache,
            self._me.instance,
            self._tracker.workers,
        )
        if key is None:
            key = await self._find_any_open_chunk(order_jobs(jobs))
        if key is not None:
            await self._claim_chunk(key)

    async def _find_any_open_chunk(
        self, jobs: list[JobRecord]
    ) -> ChunkKey | None:
        """Find an open chunk that may be assigned to any instance.

        A search reads chunk records from the store, so there is only about
        one per ``CHECK_PERIOD``; returns None until the next one is due.
        """
        now = self._ctx.now()
        if now < self._next_search:
            return None
        jitter = self._ctx.random.random()
        self._next_search = now + CHECK_PERIOD * (0.5 + jitter)
        for job in jobs:
            await self._tracker.refresh_chunks(job)
            draw = self._ctx.random.random()
            key = random_open_chunk((job,), self._tracker.chunk_cache, draw)
            if key is not None:
                return key
        return None

    async def _resolve_claims(self) -> None:
        """Check claims whose writes got no answer from the store."""
        for key in tuple(self._unresolved_claims):
            found = await self._store.get(chunk_name(key.job_id, key.index))
            self._unresolved_claims.discard(key)
            if found is None:
                continue
            self._tracker.update_chunk(key, found.version, found.document)
            if self._monitor.is_holder_gone(found.document, key):
                await self._claim_chunk(key)

    async def _claim_chunk(self, key: ChunkKey) -> None:
        """Claim a chunk if it is available, and start to run it."""
        cached = self._tracker.chunk_cache.find(key)
        current_record = cached.record if cached else None
        holder_gone = cached is not None and self._monitor.is_holder_gone(
            current_record, key
        )
        wanted = claim_chunk(current_record, self._me, holder_gone=holder_gone)
        if isinstance(wanted, Refusal):
            return
        name = chunk_name(key.job_id, key.index)
        expected = cached.version if cached else ABSENT
        try:
            written = await self._store.put(name, dict(wanted), expected)
        except StoreOutcomeUnknownError:
            self._unresolved_claims.add(key)
            raise
        if isinstance(written, VersionedDocument):
            self._start_run(key, written.version, wanted)
            return
        existing = await self._store.get(name)
        if existing is not None:
            self._tracker.update_chunk(key, existing.version, existing.document)

    def _start_run(
        self, key: ChunkKey, version: int, record: ChunkRecord
    ) -> None:
        self._tracker.update_chunk(key, version, record)
        events.emit(
            events.CHUNK_CLAIMED,
            chunk=chunk_name(key.job_id, key.index),
            epoch=record['epoch'],
        )
        task = asyncio.create_task(self._run_chunk(key, version, record))
        self._runs[key] = task
        task.add_done_callback(lambda _: self._remove_run(key))

    def _remove_run(self, key: ChunkKey) -> None:
        self._runs.pop(key, None)
        self._slotless_since.pop(key, None)

    async def _run_chunk(
        self,
        key: ChunkKey,
        version: int,
        record: ChunkRecord,
    ) -> None:
        job = self._tracker.find_job(key.job_id)
        if job is None:
            return
        items = await self._read_items(job, key.index)
        deployment = self._tracker.deployment(job)
        chunk = ClaimedChunk(job, key.index, version, record, items, deployment)
        run = ChunkRun(self._services, chunk)
        try:
            await self._run_until_lost(run)
        except asyncio.CancelledError:
            await self._hand_over(run)
        self._tracker.update_chunk(key, run.version, run.record)

    async def _run_until_lost(self, run: ChunkRun) -> None:
        try:
            await run.run()
        except* ChunkLostError:
            self._tracker.chunk_cache.forget_jobs((run.job_id,))
        except* Exception as group:  # noqa: BLE001 (only this chunk fails)
            error = repr(group.exceptions)
            events.emit(events.BATCH_FAILED, chunk=run.name, error=error)
            await self._hand_over(run)

    async def _hand_over(self, run: ChunkRun) -> None:
        if not self._tracker.is_running(run.job_id):
            return
        with suppress(ChunkLostError, TimeoutError):
            async with asyncio.timeout(self._ctx.cfg.store_timeout):
                await run.hand_over()

    async def _read_items(self, job: JobRecord, index: int) -> list[ItemLine]:
        name = input_name(job['upload'], index)
        while True:
            with suppress(StoreUnavailableError):
                found = await self._store.get(name)
                if found is not None:
                    return found.document['items']
                events.emit(events.BATCH_FAILED, chunk=name, error=MISSING)
            await asyncio.sleep(CHECK_PERIOD)

    def _has_free_slots(self, job: JobRecord) -> bool:
        deployment = self._tracker.deployment(job)
        return (
            deployment is not None
            and self._allocator.free_slots(deployment) > 0
        )

    def _on_job_change(self, mirrored: MirroredObject) -> None:
        """Stop running the chunks of a job that has ended."""
        document = mirrored.document or {}
        if document.get('state') == RUNNING:
            return
        job_id = mirrored.name.removeprefix(JOB_PREFIX)
        self._tracker.chunk_cache.forget_jobs((job_id,))
        for key, task in tuple(self._runs.items()):
            if key.job_id == job_id:
                task.cancel()
        if document:
            events.emit(
                events.JOB_FINISHED, job=job_id, state=document['state']
            )
