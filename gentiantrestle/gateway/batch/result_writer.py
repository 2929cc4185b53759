"""Has results listed in the store, several with one write."""

import asyncio

from gentiantrestle import events
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.job_store import JobStore
from gentiantrestle.gateway.model import ItemResult

# Results are listed together when they come within this time.
LIST_PAUSE = 0.4  # seconds
STOP_TIME = 2.0  # seconds a planned stop leaves for the last writes


class ResultWriter:
    """Results that are finished and not yet in the store, by job."""

    def __init__(self, job_store: JobStore) -> None:
        """List through ``job_store``."""
        self._job_store = job_store
        self._outbox: dict[str, list[ItemResult]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._stopping = False

    def post(self, entry: JobEntry, one: ItemResult) -> None:
        """Have a result listed, together with others that come soon."""
        job = entry.job.id
        self._outbox.setdefault(job, []).append(one)
        if job not in self._tasks:
            self._tasks[job] = asyncio.create_task(self._list(entry))

    def held(self) -> set[str]:
        """Return the ids of items that wait to be listed."""
        return {one.id for results in self._outbox.values() for one in results}

    async def stop(self) -> None:
        """List what is finished without waiting for more."""
        self._stopping = True
        if self._tasks:
            await asyncio.wait(tuple(self._tasks.values()), timeout=STOP_TIME)

    async def _list(self, entry: JobEntry) -> None:
        job = entry.job.id
        try:
            await self._empty(entry)
        finally:
            self._tasks.pop(job, None)
        self._outbox.pop(job, None)
        if entry.complete:
            events.emit(events.JOB_FINISHED, job=job, state='done')
            entry.drop_bodies()
            await self._job_store.finish(job)

    async def _empty(self, entry: JobEntry) -> None:
        outbox = self._outbox[entry.job.id]
        while outbox:
            if not self._stopping:
                await asyncio.sleep(LIST_PAUSE)
            results = tuple(outbox)
            await self._job_store.list_results(entry, results)
            del outbox[: len(results)]  # noqa: WPS420 (others were appended)
