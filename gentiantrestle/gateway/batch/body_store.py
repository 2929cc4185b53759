"""Reads and writes the bodies of batch jobs in the store."""

import asyncio
from collections import Counter
from typing import Any

from gentiantrestle import events
from gentiantrestle.gateway.batch.body_parts import (
    join_bodies,
    part_key,
    split_bodies,
    upload_name,
)
from gentiantrestle.gateway.batch.records import (
    MAX_BODY_PARTS,
    JobTakenError,
    belongs_to,
)
from gentiantrestle.gateway.batch.result_store import decode_part
from gentiantrestle.gateway.model import ItemSpec, Job
from gentiantrestle.gateway.ports import ObjectStore
from gentiantrestle.store.client import (
    ObjectTooLargeError,
    StoreUnavailableError,
)

Reading = asyncio.Task[tuple[ItemSpec, ...]]
# Bodies that came after their callers had left are kept for the next try.
KEEP_UNUSED = 5.0  # seconds


class BodyStore:
    """The bodies of jobs in the store."""

    def __init__(self, store: ObjectStore) -> None:
        """Read from and write to ``store``."""
        self._store = store
        # Reads under way, by the first part's key; bodies never change.
        self._reads: dict[tuple[str, str], Reading] = {}
        self._waiting: Counter[tuple[str, str]] = Counter()

    async def write(self, job: Job) -> Job:
        """Store a job's bodies; return the job, which tells where they are.

        They have no effect without the job. An attempt that wasn't accepted may
        have left other objects under their names: then they get names of their
        own. Raises as ``JobStore.accept``.
        """
        parts = split_bodies(job, self._store.max_content_size)
        if len(parts) > MAX_BODY_PARTS:
            raise ObjectTooLargeError(f'bodies of {len(parts)} objects')
        named = job._replace(body_parts=len(parts))
        if await self._put(named, parts):
            return named
        named = named._replace(upload=upload_name(parts))
        events.emit(events.BODIES_DIFFER, job=job.id, upload=named.upload)
        if await self._put(named, parts):
            return named
        raise StoreUnavailableError(f'other bodies of {job.id} are stored')

    async def read(self, job: Job) -> tuple[ItemSpec, ...]:
        """Return a job's items with their bodies; calls that overlap share it.

        Raises ``StoreUnavailableError``, also if they can't be decoded.
        """
        key = part_key(job.id, 0, job.upload)
        if key not in self._reads:
            reading = asyncio.create_task(self._read(job))
            reading.add_done_callback(lambda done: self._end(key, done))
            self._reads[key] = reading
        self._waiting[key] += 1
        try:
            return await asyncio.shield(self._reads[key])
        finally:
            self._waiting.subtract((key,))
            if not self._waiting[key]:
                self._waiting.pop(key)

    def _end(self, key: tuple[str, str], reading: Reading) -> None:
        """Forget a read; one that nobody has waited for is kept for a time."""
        is_unused = not self._waiting[key]
        failure = None if reading.cancelled() else reading.exception()
        is_sound = failure is None and not reading.cancelled()
        if is_unused and is_sound:
            loop = asyncio.get_running_loop()
            loop.call_later(KEEP_UNUSED, self._reads.pop, key)
            return
        self._reads.pop(key)
        if is_unused and failure is not None:
            events.emit(
                events.STORE_CALL_FAILED, name=key[1], error=repr(failure)
            )

    async def _read(self, job: Job) -> tuple[ItemSpec, ...]:
        parts = await asyncio.gather(
            *(
                self._store.get(*part_key(job.id, index, job.upload))
                for index in range(job.body_parts)
            )
        )
        if None in parts:
            reason = 'the bodies of the job are missing in the store'
            events.emit(events.ENTRY_UNREADABLE, name=job.id, error=reason)
            raise StoreUnavailableError(reason)
        decoded = [decode_part(part, _as_it_is) for part in parts]
        return decode_part(parts[0], lambda _: join_bodies(job, decoded))

    async def _put(self, job: Job, parts: tuple[dict[str, Any], ...]) -> bool:
        """Store all parts; return False if another object has a name.

        Raises ``JobTakenError`` if that one is another account's.
        """
        created = await asyncio.gather(
            *(
                self._store.create(*part_key(job.id, index, job.upload), part)
                for index, part in enumerate(parts)
            )
        )
        checks = (
            self._is_stored(job, index, part)
            for index, part in enumerate(parts)
            if not created[index]
        )
        return all(await asyncio.gather(*checks))

    async def _is_stored(
        self, job: Job, index: int, part: dict[str, Any]
    ) -> bool:
        stored = await self._store.get(*part_key(job.id, index, job.upload))
        if stored is None:
            return False
        if not belongs_to(job, stored.content):
            raise JobTakenError(job.id)
        return stored.content == part


def _as_it_is(content: Any) -> Any:
    return content
