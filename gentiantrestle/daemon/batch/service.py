"""The child that works on batch jobs."""

import asyncio
from contextlib import suppress

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.acceptance import JobAcceptor
from gentiantrestle.daemon.batch.board import Board
from gentiantrestle.daemon.batch.client_jobs import ClientJobs
from gentiantrestle.daemon.batch.gate import Gate
from gentiantrestle.daemon.batch.item import Held, Tools
from gentiantrestle.daemon.batch.records import (
    JOB_PREFIX,
    RUNNING,
    ChunkRecord,
    Holder,
    ItemLine,
    JobRecord,
    chunk_name,
    claim,
    input_name,
)
from gentiantrestle.daemon.batch.run import ChunkLostError, ChunkRun
from gentiantrestle.daemon.batch.schedule import (
    ChunkKey,
    next_any,
    next_own,
    order_jobs,
)
from gentiantrestle.daemon.batch.watch import (
    STORE_ERRORS,
    SURVEY_PERIOD,
    Watch,
)
from gentiantrestle.daemon.configuration.mirror import Copied
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

TICK = 0.05  # seconds
IDLE_TICK = 0.25  # seconds
MAX_HELD = 4
STRANDED_AFTER = 1.0  # seconds


class Batch:
    """Claims chunks as slots come free, and works on them."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        configuration: Configuration,
        membership: Membership,
        fleet: UpstreamRegistry,
    ) -> None:
        """Hold no chunk at first."""
        self._ctx = ctx
        self._store = store
        self._gate = Gate(ctx, fleet)
        self._tools = Tools(ctx, store, self._gate, fleet)
        self._board = Board(ctx, store, configuration, fleet)
        self._watch = Watch(ctx, store, membership.view, self._board)
        self._watch.works_on = self._works_on
        self._me = Holder(ctx.cfg.instance, ctx.incarnation)
        self._runs: dict[ChunkKey, asyncio.Task[None]] = {}
        self._unsure: set[ChunkKey] = set()
        self._stranded: dict[ChunkKey, float] = {}
        self._next_search = ctx.now()
        self._stopping = False
        self.acceptor = JobAcceptor(ctx, store, configuration)
        self.client_jobs = ClientJobs(ctx, store, configuration)
        configuration.mirror.listen(JOB_PREFIX, self._heed_job)

    async def run(self) -> None:
        """Work on batch jobs until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._claim_for_ever())
                group.create_task(self._watch.run())
                group.create_task(self._watch.renew(lambda: bool(self._runs)))
        finally:
            for task in self._runs.values():
                task.cancel()

    async def stop(self) -> None:
        """Hand all chunks over to other instances."""
        self._stopping = True
        tasks = tuple(self._runs.values())
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=self._ctx.cfg.grace)

    def _works_on(self, key: ChunkKey) -> bool:
        return key in self._runs

    async def _claim_for_ever(self) -> None:
        while True:
            await asyncio.sleep(TICK if self._board.has_jobs else IDLE_TICK)
            self._gate.tick()
            self._give_up_stranded(self._ctx.now())
            if self._stopping or len(self._runs) >= MAX_HELD:
                continue
            with suppress(*STORE_ERRORS):
                await self._recheck_claims()
                await self._claim_next()

    def _give_up_stranded(self, now: float) -> None:
        """Hand over chunks for which this instance owns no slots any more."""
        for key, task in tuple(self._runs.items()):
            job = self._board.job(key.job)
            deployment = self._board.deployment(job) if job else None
            if deployment and any(self._gate.owned(deployment, now)):
                self._stranded.pop(key, None)
            elif now - self._stranded.setdefault(key, now) > STRANDED_AFTER:
                self._stranded.pop(key)
                task.cancel()

    async def _claim_next(self) -> None:
        jobs = [job for job in self._board.jobs() if self._has_room(job)]
        if not jobs:
            return
        key = next_own(
            jobs,
            self._board.book,
            self._me.instance,
            self._board.workers,
        )
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
            await self._board.survey(job)
            draw = self._ctx.random.random()
            key = next_any((job,), self._board.book, draw)
            if key is not None:
                return key
        return None

    async def _recheck_claims(self) -> None:
        """Look at claims whose writes were not answered."""
        for key in tuple(self._unsure):
            found = await self._store.get(chunk_name(key.job, key.index))
            self._unsure.discard(key)
            if found is None:
                continue
            self._board.note(key, found.version, found.document)
            if self._watch.is_gone(found.document, key):
                await self._claim(key)

    async def _claim(self, key: ChunkKey) -> None:
        """Try to take a chunk; start to work on it on success."""
        known = self._board.book.find(key)
        found = known.record if known else None
        gone = known is not None and self._watch.is_gone(found, key)
        wanted = claim(found, self._me, holder_gone=gone)
        if isinstance(wanted, Refusal):
            return
        name = chunk_name(key.job, key.index)
        expected = known.version if known else ABSENT
        try:
            written = await self._store.put(name, dict(wanted), expected)
        except StoreOutcomeUnknownError:
            self._unsure.add(key)
            raise
        if isinstance(written, VersionedDocument):
            self._start(key, written.version, wanted)
            return
        current = await self._store.get(name)
        if current is not None:
            self._board.note(key, current.version, current.document)

    def _start(self, key: ChunkKey, version: int, record: ChunkRecord) -> None:
        self._board.note(key, version, record)
        events.emit(
            events.CHUNK_CLAIMED,
            chunk=chunk_name(key.job, key.index),
            epoch=record['epoch'],
        )
        task = asyncio.create_task(self._work(key, version, record))
        self._runs[key] = task
        task.add_done_callback(lambda _: self._drop(key))

    def _drop(self, key: ChunkKey) -> None:
        self._runs.pop(key, None)
        self._stranded.pop(key, None)

    async def _work(
        self,
        key: ChunkKey,
        version: int,
        record: ChunkRecord,
    ) -> None:
        job = self._board.job(key.job)
        if job is None:
            return
        items = await self._read_items(job, key.index)
        deployment = self._board.deployment(job)
        held = Held(job, key.index, version, record, items, deployment)
        run = ChunkRun(self._tools, held)
        try:
            await self._drive(run)
        except asyncio.CancelledError:
            await self._hand_over(run)
        self._board.note(key, run.version, run.record)

    async def _drive(self, run: ChunkRun) -> None:
        try:
            await run.run()
        except* ChunkLostError:
            self._board.book.forget((run.job,))
        except* Exception as group:  # noqa: BLE001 (a chunk's own failure)
            error = repr(group.exceptions)
            events.emit(events.BATCH_FAILED, chunk=run.name, error=error)
            await self._hand_over(run)

    async def _hand_over(self, run: ChunkRun) -> None:
        if not self._board.is_running(run.job):
            return
        with suppress(ChunkLostError, TimeoutError):
            async with asyncio.timeout(self._ctx.cfg.store_timeout):
                await run.hand_over()

    async def _read_items(self, job: JobRecord, index: int) -> list[ItemLine]:
        name = input_name(job['upload'], index)
        while True:
            with suppress(StoreUnavailableError):
                found = await self._store.get(name)
                return found.document['items']
            await asyncio.sleep(SURVEY_PERIOD)

    def _has_room(self, job: JobRecord) -> bool:
        deployment = self._board.deployment(job)
        return deployment is not None and self._gate.free(deployment) > 0

    def _heed_job(self, copied: Copied) -> None:
        """Stop working on a job that has ended."""
        document = copied.document or {}
        if document.get('state') == RUNNING:
            return
        job = copied.name.removeprefix(JOB_PREFIX)
        self._board.book.forget((job,))
        for key, task in tuple(self._runs.items()):
            if key.job == job:
                task.cancel()
        if document:
            events.emit(events.JOB_FINISHED, job=job, state=document['state'])
