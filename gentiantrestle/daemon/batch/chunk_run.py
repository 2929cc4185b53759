"""Run the items of a claimed chunk and save their results."""

import asyncio
from typing import Any
from uuid import uuid4

from gentiantrestle import events
from gentiantrestle.daemon.batch.item_run import (
    AttemptResult,
    ClaimedChunk,
    ItemRun,
    Outcome,
    Services,
    final_refusal,
)
from gentiantrestle.daemon.batch.records import (
    DONE,
    OPEN,
    ChunkRecord,
    Holder,
    ResultLine,
    chunk_name,
    decode_positions,
    encode_positions,
    is_held_by,
    part_name,
)
from gentiantrestle.daemon.batch.result_parts import (
    MAX_PART_BYTES,
    encoded_size,
    group_lines,
)
from gentiantrestle.errors import (
    TOO_LARGE,
    UPSTREAM_OUTCOME_UNKNOWN,
    Refusal,
)
from gentiantrestle.store.client import (
    ABSENT,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionedDocument,
)

RETRY_BACKOFF = 0.2  # seconds
SAVE_CHECK_PERIOD = 1.0  # seconds
MIN_SAVE_INTERVAL = 20.0  # seconds
STORE_RETRY_DELAY = 0.5  # seconds
PART_ID_LENGTH = 12  # hex digits


class ChunkLostError(Exception):
    """Another holder has the chunk; unsaved results are dropped."""


class ChunkRun:
    """Runs a chunk under one epoch until it is done, lost or handed over.

    Each write to the store is retried until its outcome is known.
    """

    def __init__(self, services: Services, chunk: ClaimedChunk) -> None:
        """Continue from the results that the record has."""
        self._services = services
        self._chunk = chunk
        self._record = chunk.record
        self._version = chunk.version
        self._settled = set(decode_positions(chunk.record['settled']))
        self._started = set(decode_positions(chunk.record['started']))
        self._unsaved: dict[int, ResultLine] = {}
        self._lock = asyncio.Lock()
        self.job_id = chunk.job['id']
        self.name = chunk_name(chunk.job['id'], chunk.index)

    @property
    def record(self) -> ChunkRecord:
        """The chunk record as last written or read by this run."""
        return self._record

    @property
    def version(self) -> int:
        """The version of ``record``."""
        return self._version

    async def run(self) -> None:
        """Run the items without a result, then save the chunk as done.

        Raises ``ChunkLostError``, alone or in an exception group, if another
        holder has the chunk.
        """
        async with asyncio.TaskGroup() as group:
            saver = group.create_task(self._save_periodically())
            await self._run_items()
            saver.cancel()
        await self._save(DONE)
        events.emit(events.CHUNK_DONE, chunk=self.name)

    async def hand_over(self) -> None:
        """Save the results so far and open the chunk for another instance.

        Raises ``ChunkLostError`` if another holder has the chunk.
        """
        await self._save(OPEN)

    async def _run_items(self) -> None:
        repeatable = self._chunk.job['repeatable']
        async with asyncio.TaskGroup() as group:
            for position, _ in enumerate(self._chunk.items):
                if position in self._settled:
                    continue
                if position in self._started and not repeatable:
                    self._fail_interrupted(position)
                    continue
                group.create_task(self._run_item(position))

    def _fail_interrupted(self, position: int) -> None:
        item = ItemRun(self._services, self._chunk, position)
        refusal = Refusal(
            UPSTREAM_OUTCOME_UNKNOWN,
            'The instance that ran this item was lost after it had started it',
        )
        self._unsaved[position] = item.failure(refusal)

    async def _run_item(self, position: int) -> None:
        item = ItemRun(self._services, self._chunk, position)
        failures = 0
        while True:
            attempt = await self._attempt(item, position)
            if attempt.outcome is Outcome.COMPLETED:
                self._unsaved[position] = self._checked_result(item)
                return
            failures += attempt.outcome in {
                Outcome.LOST,
                Outcome.REJECTED,
            }
            refusal = final_refusal(
                attempt, failures, repeatable=self._chunk.job['repeatable']
            )
            if refusal is not None:
                self._unsaved[position] = item.failure(refusal)
                return
            if attempt.outcome is not Outcome.PREEMPTED:
                jitter = self._services.ctx.random.random()
                await asyncio.sleep(
                    RETRY_BACKOFF * (1 + failures) * (1 + jitter)
                )

    async def _attempt(self, item: ItemRun, position: int) -> AttemptResult:
        allocator = self._services.allocator
        repeatable = self._chunk.job['repeatable']
        slot = await allocator.acquire(
            self._chunk.deployment,
            self._chunk.job['deadline'],
            preemptible=repeatable,
        )
        try:
            if not repeatable:
                await self._mark_started(position)
            return await item.attempt(slot)
        finally:
            allocator.release(slot)

    def _checked_result(self, item: ItemRun) -> ResultLine:
        line = item.result()
        if encoded_size(line) > MAX_PART_BYTES:
            return item.failure(
                Refusal(
                    TOO_LARGE,
                    f'The answer exceeds {MAX_PART_BYTES} bytes',
                ),
            )
        return line

    async def _mark_started(self, position: int) -> None:
        """Save that an item is started, before it is sent."""
        if position in self._started:
            return
        self._started.add(position)
        async with self._lock:
            if position not in set(decode_positions(self._record['started'])):
                await self._write_record(
                    {'started': encode_positions(self._started)}
                )

    async def _save_periodically(self) -> None:
        """Save new results, at most once per ``MIN_SAVE_INTERVAL``.

        Saves are rare because each takes at least two writes to the store.
        """
        saved_at = self._services.ctx.now()
        while True:
            await asyncio.sleep(SAVE_CHECK_PERIOD)
            now = self._services.ctx.now()
            if self._unsaved and now - saved_at >= MIN_SAVE_INTERVAL:
                await self._save(self._record['state'])
                saved_at = now

    async def _save(self, state: str) -> None:
        async with self._lock:
            saved = dict(self._unsaved)
            parts = [
                await self._write_part(lines)
                for lines in group_lines(saved.values())
            ]
            failed = sum(line['error'] is not None for line in saved.values())
            await self._write_record(
                {
                    'state': state,
                    'parts': [*self._record['parts'], *parts],
                    'settled': encode_positions(self._settled | set(saved)),
                    'done': self._record['done'] + len(saved) - failed,
                    'failed': self._record['failed'] + failed,
                }
            )
            self._settled |= set(saved)
            for position in saved:
                self._unsaved.pop(position)

    async def _write_part(self, lines: list[ResultLine]) -> str:
        while True:
            unique = uuid4().hex[:PART_ID_LENGTH]
            part = f'{self._record["epoch"]}-{unique}'
            name = part_name(self._chunk.job['id'], self._chunk.index, part)
            try:
                await self._services.store.put(name, {'lines': lines}, ABSENT)
            except (StoreUnavailableError, StoreOutcomeUnknownError):
                await self._wait_for_store()
            else:
                return part

    async def _write_record(self, changes: dict[str, Any]) -> None:
        """Write the changed record; raise ``ChunkLostError`` on takeover."""
        wanted = {**self._record, **changes}
        while True:
            try:
                written = await self._services.store.put(
                    self.name,
                    wanted,
                    self._version,
                )
            except (StoreUnavailableError, StoreOutcomeUnknownError):
                await self._wait_for_store()
                continue
            if isinstance(written, VersionedDocument):
                self._update_record(written)
                return
            if await self._resolve_conflict(wanted):
                return

    async def _resolve_conflict(self, wanted: dict[str, Any]) -> bool:
        """Tell after a conflict whether the store has the wanted record.

        It has if this run's own write succeeded but its answer was lost.
        Returns False also if the store does not answer. Raises
        ``ChunkLostError`` if the chunk has another holder or epoch.
        """
        try:
            found = await self._services.store.get(self.name)
        except StoreUnavailableError:
            return False
        holder = Holder(self._record['owner'], self._record['incarnation'])
        if found is None or not is_held_by(
            found.document,
            holder,
            self._record['epoch'],
        ):
            events.emit(events.CHUNK_LOST, chunk=self.name)
            raise ChunkLostError(self.name)
        self._version = found.version
        same = all(
            found.document[field] == wanted[field] for field in self._record
        )
        if same:
            self._update_record(found)
        return same

    def _update_record(self, written: VersionedDocument) -> None:
        fields = ChunkRecord.__annotations__
        self._version = written.version
        self._record = ChunkRecord(
            **{name: written.document[name] for name in fields},
        )

    async def _wait_for_store(self) -> None:
        events.emit(
            events.RESULTS_UNSAVED,
            count=len(self._unsaved),
            chunk=self.name,
        )
        jitter = self._services.ctx.random.random()
        await asyncio.sleep(STORE_RETRY_DELAY * (1 + jitter))
