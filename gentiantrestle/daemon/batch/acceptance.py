"""Accept batch jobs: store the items, then the job, then answer."""

import hashlib
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import NamedTuple
from uuid import uuid4

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.parser import JobParser, JobSummary
from gentiantrestle.daemon.batch.records import (
    JOB_PREFIX,
    RUNNING,
    ItemLine,
    JobRecord,
    derive_job_id,
    input_name,
    job_name,
)
from gentiantrestle.daemon.configuration.service import Configuration
from gentiantrestle.errors import (
    KEY_REUSED,
    OVERLOADED,
    STORE_OUTCOME_UNKNOWN,
    STORE_UNAVAILABLE,
    RefusedError,
    refuse,
)
from gentiantrestle.store.client import (
    ABSENT,
    StoreClient,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionedDocument,
)

RETRY_AFTER = 2  # seconds
JOB_LIMIT_RETRY_AFTER = 30  # seconds


class Submission(NamedTuple):
    """A job that a client submits.

    ``window`` is the time until the deadline in seconds, ``body_size`` the
    size in bytes or 0 if unknown. ``max_jobs`` limits the running jobs of the
    client.
    """

    client: str
    idempotency_key: str
    window: float
    body: AsyncIterator[bytes]
    body_size: int
    max_jobs: int


class Upload:
    """Stores the items of one submission, chunk by chunk."""

    def __init__(self, store: StoreClient) -> None:
        """Give the upload a unique name."""
        self._store = store
        self.name = uuid4().hex
        self.chunk_count = 0

    async def add(self, items: list[ItemLine]) -> None:
        """Store the items of the next chunk.

        Raises ``StoreUnavailableError`` or ``StoreOutcomeUnknownError``.
        """
        name = input_name(self.name, self.chunk_count)
        self.chunk_count += 1
        await self._store.put(name, {'items': items}, ABSENT)

    async def discard(self) -> None:
        """Delete the stored items of an unused upload; best effort."""
        with suppress(StoreUnavailableError, StoreOutcomeUnknownError):
            for index in range(self.chunk_count):
                await self._store.delete(input_name(self.name, index))


class JobAcceptor:
    """Creates jobs from submissions, one per idempotency key."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        configuration: Configuration,
    ) -> None:
        """Write to the store, and accepted jobs to the local mirror too."""
        self._ctx = ctx
        self._store = store
        self._configuration = configuration

    async def accept(self, submission: Submission) -> JobRecord:
        """Create the job, or return the one that has the same key and body.

        Raises ``RefusedError``. Its kind says whether the job is certainly not
        accepted or, if the store did not answer, may have been.
        """
        job_id = derive_job_id(submission.client, submission.idempotency_key)
        try:
            existing = await self._store.get(job_name(job_id))
        except StoreUnavailableError:
            raise _store_unavailable() from None
        if existing is not None:
            digest = await _digest(submission.body)
            return self._existing_job(existing, digest)
        return await self._accept_new(job_id, submission)

    async def _accept_new(
        self,
        job_id: str,
        submission: Submission,
    ) -> JobRecord:
        self._check_job_limit(submission)
        upload = Upload(self._store)
        try:
            summary = await self._upload(upload, submission)
        except (StoreUnavailableError, StoreOutcomeUnknownError):
            raise _store_unavailable() from None
        except RefusedError:
            await upload.discard()
            raise
        record = self._new_record(job_id, submission, upload, summary)
        return await self._create_or_refuse(record, upload)

    def _check_job_limit(self, submission: Submission) -> None:
        running = sum(
            mirrored.document['state'] == RUNNING
            and mirrored.document['client'] == submission.client
            for mirrored in self._configuration.mirror.with_prefix(JOB_PREFIX)
        )
        if running >= submission.max_jobs:
            raise refuse(
                OVERLOADED,
                f'{running} jobs of this client account are running already',
                JOB_LIMIT_RETRY_AFTER,
            )

    async def _create_or_refuse(
        self,
        record: JobRecord,
        upload: Upload,
    ) -> JobRecord:
        try:
            return await self._create(record, upload)
        except StoreUnavailableError:
            raise _store_unavailable() from None
        except StoreOutcomeUnknownError:
            raise refuse(
                STORE_OUTCOME_UNKNOWN,
                'The store did not confirm whether the job was accepted',
                RETRY_AFTER,
            ) from None

    async def _upload(
        self,
        upload: Upload,
        submission: Submission,
    ) -> JobSummary:
        parser = JobParser(self._configuration.fleet, submission.body_size)
        async for part in submission.body:
            for items in parser.feed(part):
                await upload.add(items)
        for items in parser.finish():
            await upload.add(items)
        return parser.summary()

    async def _create(self, record: JobRecord, upload: Upload) -> JobRecord:
        name = job_name(record['id'])
        written = await self._store.put(name, dict(record), ABSENT)
        if isinstance(written, VersionedDocument):
            self._configuration.update_mirror(
                name, written.version, written.document
            )
            events.emit(
                events.JOB_ACCEPTED,
                job=record['id'],
                items=record['items'],
            )
            return record
        existing = await self._store.get(name)
        if existing is None:
            raise _store_unavailable()
        if existing.document['upload'] != upload.name:
            await upload.discard()
        return self._existing_job(existing, record['digest'])

    def _existing_job(
        self, existing: VersionedDocument, digest: str
    ) -> JobRecord:
        if existing.document['digest'] != digest:
            raise refuse(
                KEY_REUSED,
                'This Idempotency-Key was already used for another job',
            )
        name = job_name(existing.document['id'])
        self._configuration.update_mirror(
            name, existing.version, existing.document
        )
        return existing.document

    def _new_record(
        self,
        job_id: str,
        submission: Submission,
        upload: Upload,
        summary: JobSummary,
    ) -> JobRecord:
        wall_time = self._ctx.wall()
        endpoint = self._configuration.fleet['endpoints'][summary.endpoint]
        return JobRecord(
            id=job_id,
            client=submission.client,
            digest=summary.digest,
            upload=upload.name,
            state=RUNNING,
            endpoint=summary.endpoint,
            url=summary.url,
            items=summary.items,
            chunks=upload.chunk_count,
            created=wall_time,
            deadline=wall_time + submission.window,
            region=self._ctx.cfg.region,
            repeatable=endpoint.get('repeatable', True),
            done=0,
            failed=0,
        )


async def _digest(parts: AsyncIterator[bytes]) -> str:
    digest = hashlib.sha256()
    async for part in parts:
        digest.update(part)
    return digest.hexdigest()


def _store_unavailable() -> RefusedError:
    return refuse(
        STORE_UNAVAILABLE,
        'The store does not answer; the job was not accepted',
        RETRY_AFTER,
    )
