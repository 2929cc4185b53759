"""Serve clients' requests about their jobs, on any instance."""

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
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionedDocument,
)

RETRY_AFTER = 2  # seconds
MAX_CANCEL_ATTEMPTS = 8


class JobStatus(TypedDict):
    """A job as the API shows it; times are Unix times in seconds."""

    id: str
    object: str
    status: str
    endpoint: str
    created_at: float
    deadline_at: float
    finished_at: float | None
    request_counts: dict[str, int]


class VersionedJob(NamedTuple):
    """A job and the version at which it was read."""

    job: JobRecord
    version: int


class ClientJobs:
    """Lists, reads and cancels the jobs of clients.

    The methods that use the store raise ``RefusedError`` if it is unavailable
    or if the client has no such job.
    """

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        configuration: Configuration,
    ) -> None:
        """List jobs from the local mirror; use the store otherwise."""
        self._ctx = ctx
        self._store = store
        self._configuration = configuration

    def jobs_of(self, client: str) -> Iterator[JobRecord]:
        """Yield a client's jobs from the local mirror of the store."""
        for mirrored in self._configuration.mirror.with_prefix(JOB_PREFIX):
            if mirrored.document['client'] == client:
                yield mirrored.document

    async def find(self, client: str, job_id: str) -> VersionedJob:
        """Read a job; refuse it as not found if it is another client's."""
        try:
            found = await self._store.get(job_name(job_id))
        except StoreUnavailableError:
            raise store_unavailable() from None
        if found is None or found.document['client'] != client:
            raise refuse(NOT_FOUND, f'There is no job {job_id!r}')
        return VersionedJob(found.document, found.version)

    async def status(self, client: str, job_id: str) -> JobStatus:
        """Return a job's status with the counts of its saved results."""
        current = await self.find(client, job_id)
        done, failed = current.job['done'], current.job['failed']
        if current.job['state'] == RUNNING:
            chunks = await self._read_chunks(job_id)
            done = sum(chunk['done'] for chunk in chunks.values())
            failed = sum(chunk['failed'] for chunk in chunks.values())
        return job_status(current.job, done, failed)

    async def results(self, client: str, job_id: str) -> AsyncIterator[bytes]:
        """Stream the results saved so far, as JSON lines.

        The stream raises ``StoreUnavailableError`` if a part can't be read.
        """
        current = await self.find(client, job_id)
        chunks = await self._read_chunks(job_id)
        return self._result_lines(current.job, chunks)

    async def cancel(self, client: str, job_id: str) -> JobStatus:
        """Cancel a job; one that is already cancelled stays as it is.

        Raises ``RefusedError`` if the job has completed or if the store did not
        confirm the change.
        """
        for _ in range(MAX_CANCEL_ATTEMPTS):
            current = await self.find(client, job_id)
            chunks = await self._read_chunks(job_id)
            cancelled = cancel_job(current.job, chunks, self._ctx.wall())
            if isinstance(cancelled, Refusal):
                raise RefusedError(cancelled)
            if current.job['state'] == CANCELLED:
                return job_status(
                    current.job, current.job['done'], current.job['failed']
                )
            if await self._write_job(cancelled, current.version):
                return job_status(
                    cancelled, cancelled['done'], cancelled['failed']
                )
        raise refuse(
            STORE_OUTCOME_UNKNOWN,
            'The job changed during every attempt to cancel it',
            RETRY_AFTER,
        )

    async def _write_job(self, job: JobRecord, version: int) -> bool:
        name = job_name(job['id'])
        try:
            written = await self._store.put(name, dict(job), version)
        except StoreUnavailableError:
            raise store_unavailable() from None
        except StoreOutcomeUnknownError:
            raise refuse(
                STORE_OUTCOME_UNKNOWN,
                'The store did not confirm whether the job was cancelled',
                RETRY_AFTER,
            ) from None
        if not isinstance(written, VersionedDocument):
            return False
        self._configuration.update_mirror(
            name, written.version, written.document
        )
        return True

    async def _read_chunks(self, job_id: str) -> dict[int, ChunkRecord]:
        try:
            listing = await self._store.list_documents(chunk_prefix(job_id))
        except StoreUnavailableError:
            raise store_unavailable() from None
        return {
            chunk_index(listed['name']): listed['body']
            for listed in listing['objects']
        }

    async def _result_lines(
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
    """Build the API's view of a job with the given item counts."""
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


def store_unavailable() -> RefusedError:
    """Build the refusal for a store that does not answer."""
    return refuse(
        STORE_UNAVAILABLE,
        'The store does not answer',
        RETRY_AFTER,
    )
