"""The child that works on batch jobs."""

import asyncio
from collections.abc import Iterator
from contextlib import suppress

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.accept import Acceptance
from gentiantrestle.daemon.batch.gate import Gate
from gentiantrestle.daemon.batch.reader import Reader
from gentiantrestle.daemon.batch.records import (
    JOBS,
    RUNNING,
    ChunkRecord,
    Holder,
    JobRecord,
    chunk_index,
    chunk_name,
    chunk_prefix,
    claim,
    finish_job,
    input_name,
    job_name,
    release,
)
from gentiantrestle.daemon.batch.run import (
    ChunkLostError,
    ChunkRun,
    Held,
    Tools,
)
from gentiantrestle.daemon.batch.schedule import (
    ChunkBook,
    ChunkKey,
    LeaseBook,
    Seen,
    held_chunks,
    next_any,
    next_own,
    order_jobs,
)
from gentiantrestle.daemon.configuration.mirror import Copied
from gentiantrestle.daemon.configuration.service import Configuration
from gentiantrestle.daemon.membership.rendezvous import owner
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.upstreams.service import Fleet
from gentiantrestle.errors import Refusal
from gentiantrestle.models import DeploymentDoc
from gentiantrestle.store.client import (
    ABSENT,
    StoreClient,
    StoreUnavailableError,
    StoreUnsureError,
    Versioned,
)

TICK = 0.05  # seconds
MAX_HELD = 4
SURVEY_PERIOD = 1.0  # seconds
RENEWALS_PER_LEASE = 3
STORE_ERRORS = (StoreUnavailableError, StoreUnsureError)


class Batch:
    """Claims chunks as slots come free, and ends jobs that are done."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        configuration: Configuration,
        membership: Membership,
        fleet: Fleet,
    ) -> None:
        """Hold no chunk at first."""
        self._ctx = ctx
        self._store = store
        self._configuration = configuration
        self._view = membership.view
        self._fleet = fleet
        self._gate = Gate(ctx, fleet)
        self._tools = Tools(ctx, store, self._gate, fleet)
        self._book = ChunkBook()
        self._leases = LeaseBook(ctx.cfg.lease)
        self._runs: dict[ChunkKey, asyncio.Task[None]] = {}
        self._me = Holder(ctx.cfg.instance, ctx.incarnation)
        self._stopping = False
        self._unsure: set[ChunkKey] = set()
        self._next_search = 0.0
        self.acceptance = Acceptance(ctx, store, configuration)
        self.reader = Reader(ctx, store, configuration)
        configuration.mirror.listen(JOBS, self._heed_job)

    async def run(self) -> None:
        """Work on batch jobs until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._claim_for_ever())
                group.create_task(self._survey_for_ever())
                group.create_task(self._renew_for_ever())
        finally:
            for task in self._runs.values():
                task.cancel()

    async def stop(self) -> None:
        """Hand all chunks over to other instances."""
        self._stopping = True
        tasks = tuple(self._runs.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _claim_for_ever(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            self._gate.tick()
            if self._stopping or len(self._runs) >= MAX_HELD:
                continue
            with suppress(*STORE_ERRORS):
                await self._claim_next()

    async def _claim_next(self) -> None:
        await self._recheck_claims()
        jobs = [job for job in self._jobs() if self._has_room(job)]
        if not jobs:
            return
        key = next_own(jobs, self._book, self._me.instance, self._workers)
        if key is None:
            key = await self._find_other(order_jobs(jobs))
        if key is not None:
            await self._claim(key)

    async def _find_other(self, jobs: list[JobRecord]) -> ChunkKey | None:
        """Now and then, look for a chunk that fell to another instance."""
        now = self._ctx.now()
        if now < self._next_search:
            return None
        jitter = self._ctx.random.random()
        self._next_search = now + SURVEY_PERIOD * (0.5 + jitter)
        for job in jobs:
            await self._survey(job)
            key = next_any((job,), self._book, self._ctx.random.random())
            if key is not None:
                return key
        return None

    async def _recheck_claims(self) -> None:
        """Look at claims whose writes were not answered."""
        for key in tuple(self._unsure):
            found = await self._store.get(chunk_name(*key))
            self._unsure.discard(key)
            if found is not None:
                self._note(key, found.version, found.document)
            mine = found is not None and self._is_gone(found.document, key)
            if mine and key not in self._runs:
                await self._claim(key)

    async def _claim(self, key: ChunkKey) -> None:
        """Try to take a chunk; start to work on it on success."""
        known = self._book.find(key)
        found = known.record if known else None
        gone = known is not None and self._is_gone(known.record, key)
        wanted = claim(found, self._me, holder_gone=gone)
        if isinstance(wanted, Refusal):
            return
        name = chunk_name(*key)
        expected = known.version if known else ABSENT
        try:
            written = await self._store.put(name, dict(wanted), expected)
        except StoreUnsureError:
            self._unsure.add(key)
            raise
        if isinstance(written, Versioned):
            self._note(key, written.version, wanted)
            events.emit(events.CHUNK_CLAIMED, chunk=name, epoch=wanted['epoch'])
            self._start(key, written.version, wanted)
            return
        current = await self._store.get(name)
        if current is not None:
            self._note(key, current.version, current.document)

    def _start(self, key: ChunkKey, version: int, record: ChunkRecord) -> None:
        task = asyncio.create_task(self._work(key, version, record))
        self._runs[key] = task
        task.add_done_callback(lambda _: self._runs.pop(key, None))

    async def _work(
        self,
        key: ChunkKey,
        version: int,
        record: ChunkRecord,
    ) -> None:
        job = self._job(key.job)
        if job is None:
            return
        items = await self._read_items(job, key.index)
        deployment = self._deployment(job)
        held = Held(job, key.index, version, record, items, deployment)
        run = ChunkRun(self._tools, held)
        try:
            await self._drive(run)
        except asyncio.CancelledError:
            await self._hand_over(run)
        self._note(key, run.version, run.record)

    async def _drive(self, run: ChunkRun) -> None:
        try:
            await run.run()
        except* ChunkLostError:
            self._book.forget((run.job,))
        except* Exception as group:
            error = repr(group.exceptions)
            events.emit(events.BATCH_FAILED, chunk=run.name, error=error)
            await self._hand_over(run)

    async def _hand_over(self, run: ChunkRun) -> None:
        if not self._is_running(run.job):
            return
        with suppress(ChunkLostError, TimeoutError):
            async with asyncio.timeout(self._ctx.cfg.store_timeout):
                await run.hand_over()

    async def _read_items(self, job: JobRecord, index: int) -> list:
        while True:
            try:
                found = await self._store.get(input_name(job['upload'], index))
            except StoreUnavailableError:
                await asyncio.sleep(SURVEY_PERIOD)
                continue
            return found.document['items']

    async def _survey_for_ever(self) -> None:
        """See to the jobs whose end, or whose lost holders, fall to us."""
        while True:
            jitter = self._ctx.random.random()
            await asyncio.sleep(SURVEY_PERIOD * (0.5 + jitter))
            if self._stopping:
                continue
            for job in order_jobs(self._jobs()):
                if owner(job['id'], self._workers(job)) != self._me.instance:
                    continue
                with suppress(*STORE_ERRORS):
                    await self._survey(job)
                    await self._rescue(job)
                    await self._finish(job)

    async def _survey(self, job: JobRecord) -> None:
        """Read what all chunks of a job are at."""
        listing = await self._store.list_documents(chunk_prefix(job['id']))
        for listed in listing['objects']:
            key = ChunkKey(job['id'], chunk_index(listed['name']))
            self._note(key, listed['version'], listed['body'])

    async def _rescue(self, job: JobRecord) -> None:
        """Open the chunks whose holders are gone."""
        for key in tuple(held_chunks(job, self._book)):
            if key in self._runs:
                continue
            seen = self._book.find(key)
            await self._look_at_lease(seen.record)
            if self._is_gone(seen.record, key):
                await self._release(key, seen)

    async def _release(self, key: ChunkKey, seen: Seen) -> None:
        """Fence a lost holder off and open its chunk to all."""
        name = chunk_name(*key)
        opened = release(seen.record)
        written = await self._store.put(name, dict(opened), seen.version)
        if isinstance(written, Versioned):
            self._note(key, written.version, opened)

    async def _look_at_lease(self, record: ChunkRecord) -> None:
        now = self._ctx.now()
        if self._view.is_alive(record['owner'], record['incarnation'], now):
            return
        found = await self._store.get(_lease_name(record['owner']))
        version = found.version if found else ABSENT
        self._leases.note(record['owner'], version, self._ctx.now())

    def _is_gone(self, record: ChunkRecord, key: ChunkKey) -> bool:
        """Tell whether a chunk's holder can't be working on it any more."""
        holder = Holder(record['owner'], record['incarnation'])
        if holder == self._me:
            return key not in self._runs
        if holder.instance == self._me.instance:
            return True
        now = self._ctx.now()
        if self._view.is_alive(*holder, now):
            return False
        member = self._view.find(holder.instance)
        if member is not None and member.incarnation > holder.incarnation:
            return True
        return self._leases.has_lapsed(holder.instance, now)

    async def _finish(self, job: JobRecord) -> None:
        records = self._records(job)
        finished = finish_job(job, records, self._ctx.wall())
        if finished is None:
            return
        name = job_name(job['id'])
        copied = self._configuration.mirror.get(name)
        written = await self._store.put(name, dict(finished), copied.version)
        if isinstance(written, Versioned):
            self._configuration.take(name, written.version, written.document)
            return
        current = await self._store.get(name)
        if current is not None:
            self._configuration.take(name, current.version, current.document)

    async def _renew_for_ever(self) -> None:
        """Keep one lease for all held chunks."""
        name = _lease_name(self._me.instance)
        version = ABSENT
        while True:
            await asyncio.sleep(self._ctx.cfg.lease / RENEWALS_PER_LEASE)
            if not self._runs:
                continue
            with suppress(*STORE_ERRORS):
                document = {'incarnation': self._me.incarnation}
                written = await self._store.put(name, document, version)
                if isinstance(written, Versioned):
                    version = written.version
                    continue
                found = await self._store.get(name)
                version = found.version if found else ABSENT

    def _jobs(self) -> list[JobRecord]:
        return [
            copied.document
            for copied in self._configuration.mirror.below(JOBS)
            if copied.document['state'] == RUNNING
        ]

    def _job(self, job: str) -> JobRecord | None:
        copied = self._configuration.mirror.get(job_name(job))
        return copied.document if copied else None

    def _is_running(self, job: str) -> bool:
        record = self._job(job)
        return record is not None and record['state'] == RUNNING

    def _deployment(self, job: JobRecord) -> DeploymentDoc | None:
        fleet = self._configuration.fleet
        endpoint = fleet['endpoints'].get(job['endpoint'])
        if endpoint is None:
            return None
        return fleet['deployments'][endpoint['deployment']]

    def _has_room(self, job: JobRecord) -> bool:
        deployment = self._deployment(job)
        return deployment is not None and self._gate.free(deployment) > 0

    def _workers(self, job: JobRecord) -> list[str]:
        """Name the instances that may send this job's items upstream."""
        deployment = self._deployment(job)
        if deployment is None:
            return []
        now = self._ctx.now()
        names = {
            self._fleet.batch_owner(name, now)
            for name in deployment['upstreams']
        }
        return sorted(names - {None})

    def _records(self, job: JobRecord) -> Iterator[ChunkRecord]:
        for index in range(job['chunks']):
            seen = self._book.find(ChunkKey(job['id'], index))
            if seen is not None:
                yield seen.record

    def _note(self, key: ChunkKey, version: int, record: ChunkRecord) -> None:
        self._book.note(key, version, record, self._ctx.now())

    def _heed_job(self, copied: Copied) -> None:
        """Stop working on a job that has ended."""
        document = copied.document or {}
        if document.get('state') == RUNNING:
            return
        job = copied.name.removeprefix(JOBS)
        self._book.forget((job,))
        for key, task in tuple(self._runs.items()):
            if key.job == job:
                task.cancel()
        if document:
            events.emit(events.JOB_FINISHED, job=job, state=document['state'])


def _lease_name(instance: str) -> str:
    return f'leases/{instance}'
