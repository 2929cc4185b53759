"""Work on one held chunk: run its items, commit their results."""

import asyncio
from collections.abc import Iterable
from typing import Any
from uuid import uuid4

import msgspec

from gentiantrestle import events
from gentiantrestle.daemon.batch.item import (
    Ended,
    Held,
    ItemRun,
    Outcome,
    Tools,
)
from gentiantrestle.daemon.batch.records import (
    DONE,
    OPEN,
    ChunkRecord,
    Holder,
    ResultLine,
    bits_to_text,
    chunk_name,
    holds,
    part_name,
    text_to_bits,
)
from gentiantrestle.errors import (
    TOO_LARGE,
    UPSTREAM_FAILED,
    UPSTREAM_OUTCOME_UNKNOWN,
    Refusal,
)
from gentiantrestle.store.client import (
    ABSENT,
    StoreUnavailableError,
    StoreUnsureError,
    Versioned,
)

MAX_ATTEMPTS = 3
BACKOFF = 0.2  # seconds
SAVE_CHECK_PERIOD = 1.0  # seconds
SAVE_AGE = 20.0  # seconds
STORE_PAUSE = 0.5  # seconds
MAX_PART = 716800  # bytes
PART_ID_LENGTH = 12


class ChunkLostError(Exception):
    """Another holder has the chunk now; all that is unsaved is dropped."""


class ChunkRun:
    """Holds a chunk under one epoch until it is done, lost or handed over."""

    def __init__(self, tools: Tools, held: Held) -> None:
        """Go on from the results that the record has already."""
        self._tools = tools
        self._held = held
        self._record = held.record
        self._version = held.version
        self._settled = set(text_to_bits(held.record['settled']))
        self._started = set(text_to_bits(held.record['started']))
        self._unsaved: dict[int, ResultLine] = {}
        self._lock = asyncio.Lock()
        self.job = held.job['id']
        self.name = chunk_name(held.job['id'], held.index)

    @property
    def record(self) -> ChunkRecord:
        """The chunk's record as last written."""
        return self._record

    @property
    def version(self) -> int:
        """The version that the record was last written at."""
        return self._version

    async def run(self) -> None:
        """Run what is left; raise ``ChunkLostError`` if the hold is lost."""
        async with asyncio.TaskGroup() as group:
            saver = group.create_task(self._save_for_ever())
            await self._run_items()
            saver.cancel()
        await self._save(DONE)
        events.emit(events.CHUNK_DONE, chunk=self.name)

    async def hand_over(self) -> None:
        """Save what there is and let another instance go on."""
        await self._save(OPEN)

    async def _run_items(self) -> None:
        repeatable = self._held.job['repeatable']
        async with asyncio.TaskGroup() as group:
            for position, _ in enumerate(self._held.items):
                if position in self._settled:
                    continue
                if position in self._started and not repeatable:
                    self._settle_unknown(position)
                    continue
                group.create_task(self._run_item(position))

    def _settle_unknown(self, position: int) -> None:
        item = ItemRun(self._tools, self._held, position)
        refusal = Refusal(
            UPSTREAM_OUTCOME_UNKNOWN,
            'The holder was lost after it had started this item',
        )
        self._unsaved[position] = item.failure(refusal)

    async def _run_item(self, position: int) -> None:
        item = ItemRun(self._tools, self._held, position)
        attempts = 0
        while True:
            ended = await self._try(item, position)
            if ended.outcome is Outcome.WHOLE:
                self._unsaved[position] = self._bounded(item)
                return
            attempts += ended.outcome in {Outcome.LOST, Outcome.REFUSED}
            refusal = self._final(ended, attempts)
            if refusal is not None:
                self._unsaved[position] = item.failure(refusal)
                return
            if ended.outcome is not Outcome.TAKEN_BACK:
                jitter = self._tools.ctx.random.random()
                await asyncio.sleep(BACKOFF * (1 + attempts) * (1 + jitter))

    def _final(self, ended: Ended, attempts: int) -> Refusal | None:
        """Return why an item has failed for good, if it has."""
        if ended.outcome is Outcome.REFUSED:
            return Refusal(UPSTREAM_FAILED, ended.reason)
        if ended.outcome is not Outcome.LOST:
            return None
        if not self._held.job['repeatable']:
            return Refusal(UPSTREAM_OUTCOME_UNKNOWN, ended.reason)
        if attempts >= MAX_ATTEMPTS:
            return Refusal(
                UPSTREAM_FAILED,
                f'{attempts} attempts failed, the last: {ended.reason}',
            )
        return None

    async def _try(self, item: ItemRun, position: int) -> Ended:
        gate = self._tools.gate
        repeatable = self._held.job['repeatable']
        slot = await gate.take(
            self._held.deployment,
            self._held.job['deadline'],
            yields=repeatable,
        )
        try:
            if not repeatable:
                await self._mark_started(position)
            return await item.attempt(slot)
        finally:
            gate.give(slot)

    def _bounded(self, item: ItemRun) -> ResultLine:
        line = item.result()
        if len(msgspec.json.encode(line)) > MAX_PART:
            return item.failure(
                Refusal(TOO_LARGE, f'The answer is above {MAX_PART} bytes'),
            )
        return line

    async def _mark_started(self, position: int) -> None:
        """Save that an item is about to be sent, before it is."""
        if position in self._started:
            return
        self._started.add(position)
        async with self._lock:
            if position not in set(text_to_bits(self._record['started'])):
                await self._commit({'started': bits_to_text(self._started)})

    async def _save_for_ever(self) -> None:
        """Save now and then: each save costs two writes to the store."""
        saved_at = self._tools.ctx.now()
        while True:
            await asyncio.sleep(SAVE_CHECK_PERIOD)
            now = self._tools.ctx.now()
            if self._unsaved and now - saved_at >= SAVE_AGE:
                await self._save(self._record['state'])
                saved_at = now

    async def _save(self, state: str) -> None:
        async with self._lock:
            saved = dict(self._unsaved)
            parts = [
                await self._write_part(lines) for lines in _pack(saved.values())
            ]
            failed = sum(line['error'] is not None for line in saved.values())
            await self._commit(
                {
                    'state': state,
                    'parts': [*self._record['parts'], *parts],
                    'settled': bits_to_text(self._settled | set(saved)),
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
            name = part_name(self._held.job['id'], self._held.index, part)
            try:
                await self._tools.store.put(name, {'lines': lines}, ABSENT)
            except (StoreUnavailableError, StoreUnsureError):
                await self._wait_for_store()
            else:
                return part

    async def _commit(self, changes: dict[str, Any]) -> None:
        """Write the record under the held epoch, or lose the chunk."""
        wanted = {**self._record, **changes}
        while True:
            try:
                written = await self._tools.store.put(
                    self.name,
                    wanted,
                    self._version,
                )
            except (StoreUnavailableError, StoreUnsureError):
                await self._wait_for_store()
                continue
            if isinstance(written, Versioned):
                self._accept(written)
                return
            if await self._was_written(wanted):
                return

    async def _was_written(self, wanted: dict[str, Any]) -> bool:
        """After a conflict: see if it was this holder's own lost write."""
        try:
            found = await self._tools.store.get(self.name)
        except StoreUnavailableError:
            return False
        me = Holder(self._record['owner'], self._record['incarnation'])
        if found is None or not holds(
            found.document,
            me,
            self._record['epoch'],
        ):
            events.emit(events.CHUNK_LOST, chunk=self.name)
            raise ChunkLostError(self.name)
        self._version = found.version
        same = all(
            found.document[field] == wanted[field] for field in self._record
        )
        if same:
            self._accept(found)
        return same

    def _accept(self, written: Versioned) -> None:
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
        jitter = self._tools.ctx.random.random()
        await asyncio.sleep(STORE_PAUSE * (1 + jitter))


def _pack(lines: Iterable[ResultLine]) -> Iterable[list[ResultLine]]:
    """Group result lines so that each group fits one object."""
    group: list[ResultLine] = []
    size = 0
    for line in lines:
        length = len(msgspec.json.encode(line))
        if group and size + length > MAX_PART:
            yield group
            group, size = [], 0
        group.append(line)
        size += length
    if group:
        yield group
