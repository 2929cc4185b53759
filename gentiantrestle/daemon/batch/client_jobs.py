"""Read jobs, their progress and their results, on any instance."""

from collections.abc import AsyncIterator, Iterator
from typing import NamedTuple, TypedDict

import msgspec

from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.records import (
    CANCELLED,
    JOB_PREFIX,
    RUNNING,
    ChunkRecord,
    JobRecord,
    cancel_job,
    chunk_index,
    chunk_prefix,
    job_name,
    part_name,
    readable_parts,
)
from gentiantrestle.daemon.configuration.service import Configuration
from gentiantrestle.errors import (
    NOT_FOUND,
    STORE_OUTCOME_UNKNOWN,
    STORE_UNAVAILABLE,
    Refusal,
    RefusedError,
    refuse,
)
from gentiantrestle.store.client import (
    StoreClient,
    StoreUnavailableError,
    StoreUnsureError,
    Versioned,
)

RETRY_AFTER = 2  # seconds
MAX_RACES = 8


class JobStatus(TypedDict):
    """A job as its client sees it."""

    id: str
    object: str
    status: str
    endpoint: str
    created_at: float
    deadline_at: float
    finished_at: float | None
    request_counts: dict[str, int]


class Found(NamedTuple):
    """A job and the version it was read at."""

    job: JobRecord
    version: int


class ClientJobs:
    """Answers what clients ask about their jobs."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        configuration: Configuration,
    ) -> None:
        """Read through the store; lists come from the copy."""
        self._ctx = ctx
        self._store = store
        self._configuration = configuration

    def jobs_of(self, client: str) -> Iterator[JobRecord]:
        """Yield the jobs of a client, as the copy knows them."""
        for copied in self._configuration.mirror.below(JOB_PREFIX):
            if copied.document['client'] == client:
                yield copied.document

    async def find(self, client: str, job: str) -> Found:
        """Read a client's job; those of others are not found."""
        try:
            found = await self._store.get(job_name(job))
        except StoreUnavailableError:
            raise unavailable() from None
        if found is None or found.document['client'] != client:
            raise refuse(NOT_FOUND, f'There is no job {job!r}')
        return Found(found.document, found.version)

    async def status(self, client: str, job: str) -> JobStatus:
        """Tell how far a job is."""
        found = await self.find(client, job)
        done, failed = found.job['done'], found.job['failed']
        if found.job['state'] == RUNNING:
            chunks = await self._chunks(job)
            done = sum(chunk['done'] for chunk in chunks.values())
            failed = sum(chunk['failed'] for chunk in chunks.values())
        return job_status(found.job, done, failed)

    async def results(self, client: str, job: str) -> AsyncIterator[bytes]:
        """Stream the results that there are, as JSON lines."""
        found = await self.find(client, job)
        chunks = await self._chunks(job)
        return self._lines(found.job, chunks)

    async def cancel(self, client: str, job: str) -> JobStatus:
        """Cancel a job for good; a cancelled one stays as it is."""
        for _ in range(MAX_RACES):
            found = await self.find(client, job)
            chunks = await self._chunks(job)
            wanted = cancel_job(found.job, chunks, self._ctx.wall())
            if isinstance(wanted, Refusal):
                raise RefusedError(wanted)
            if found.job['state'] == CANCELLED:
                return job_status(
                    found.job, found.job['done'], found.job['failed']
                )
            if await self._write(wanted, found.version):
                return job_status(wanted, wanted['done'], wanted['failed'])
        raise refuse(
            STORE_OUTCOME_UNKNOWN, 'The job kept changing', RETRY_AFTER
        )

    async def _write(self, job: JobRecord, version: int) -> bool:
        name = job_name(job['id'])
        try:
            written = await self._store.put(name, dict(job), version)
        except StoreUnavailableError:
            raise unavailable() from None
        except StoreUnsureError:
            raise refuse(
                STORE_OUTCOME_UNKNOWN,
                'The store did not say whether the job was cancelled',
                RETRY_AFTER,
            ) from None
        if not isinstance(written, Versioned):
            return False
        self._configuration.take(name, written.version, written.document)
        return True

    async def _chunks(self, job: str) -> dict[int, ChunkRecord]:
        try:
            listing = await self._store.list_documents(chunk_prefix(job))
        except StoreUnavailableError:
            raise unavailable() from None
        return {
            chunk_index(listed['name']): listed['body']
            for listed in listing['objects']
        }

    async def _lines(
        self,
        job: JobRecord,
        chunks: dict[int, ChunkRecord],
    ) -> AsyncIterator[bytes]:
        for index in sorted(chunks):
            for part in readable_parts(job, index, chunks[index]):
                name = part_name(job['id'], index, part)
                found = await self._store.get(name)
                if found is None:
                    raise StoreUnavailableError(name)
                yield msgspec.json.Encoder().encode_lines(
                    found.document['lines'],
                )


def job_status(job: JobRecord, done: int, failed: int) -> JobStatus:
    """Show a job in the shape of this ecosystem."""
    return JobStatus(
        id=job['id'],
        object='batch',
        status=job['state'],
        endpoint=job['endpoint'],
        created_at=job['created'],
        deadline_at=job['deadline'],
        finished_at=job.get('finished'),
        request_counts={
            'total': job['items'],
            'completed': done,
            'failed': failed,
        },
    )


def unavailable() -> RefusedError:
    """Refuse what needs the store while it does not answer."""
    return refuse(
        STORE_UNAVAILABLE,
        'The store does not answer',
        RETRY_AFTER,
    )
