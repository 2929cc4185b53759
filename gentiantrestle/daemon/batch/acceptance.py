"""Accept jobs: store the items first, then the job, then say yes."""

import hashlib
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import NamedTuple
from uuid import uuid4

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.parser import Intake, Summary
from gentiantrestle.daemon.batch.records import (
    JOB_PREFIX,
    RUNNING,
    ItemLine,
    JobRecord,
    input_name,
    job_id,
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
    StoreUnavailableError,
    StoreUnsureError,
    Versioned,
)

RETRY_AFTER = 2  # seconds
BUSY_RETRY_AFTER = 30  # seconds


class Submission(NamedTuple):
    """A job that a client sends."""

    client: str
    key: str
    window: float
    chunks: AsyncIterator[bytes]
    body_size: int
    max_jobs: int


class Upload:
    """The items of one submission, on their way into the store."""

    def __init__(self, store: StoreClient) -> None:
        """Give the upload a name that no other one has."""
        self._store = store
        self.name = uuid4().hex
        self.count = 0

    async def add(self, items: list[ItemLine]) -> None:
        """Store one chunk of items."""
        name = input_name(self.name, self.count)
        self.count += 1
        await self._store.put(name, {'items': items}, ABSENT)

    async def discard(self) -> None:
        """Delete what was stored; no job refers to it."""
        with suppress(StoreUnavailableError, StoreUnsureError):
            for index in range(self.count):
                await self._store.delete(input_name(self.name, index))


class JobAcceptor:
    """Turns submissions into jobs; a resend finds the first job."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        configuration: Configuration,
    ) -> None:
        """Write through the store; copy what is written."""
        self._ctx = ctx
        self._store = store
        self._configuration = configuration

    async def accept(self, submission: Submission) -> JobRecord:
        """Accept a job for good, or raise a refusal that is true."""
        job = job_id(submission.client, submission.key)
        try:
            known = await self._store.get(job_name(job))
        except StoreUnavailableError:
            raise _unavailable() from None
        if known is not None:
            digest = await _digest(submission.chunks)
            return self._same(known, digest)
        return await self._accept_new(job, submission)

    async def _accept_new(
        self,
        job: str,
        submission: Submission,
    ) -> JobRecord:
        self._check_count(submission)
        upload = Upload(self._store)
        try:
            summary = await self._upload(upload, submission)
        except (StoreUnavailableError, StoreUnsureError):
            raise _unavailable() from None
        except RefusedError:
            await upload.discard()
            raise
        record = self._record(job, submission, upload, summary)
        return await self._create_or_refuse(record, upload)

    def _check_count(self, submission: Submission) -> None:
        running = sum(
            copied.document['state'] == RUNNING
            and copied.document['client'] == submission.client
            for copied in self._configuration.mirror.below(JOB_PREFIX)
        )
        if running >= submission.max_jobs:
            raise refuse(
                OVERLOADED,
                f'{running} jobs of this account are running already',
                BUSY_RETRY_AFTER,
            )

    async def _create_or_refuse(
        self,
        record: JobRecord,
        upload: Upload,
    ) -> JobRecord:
        try:
            return await self._create(record, upload)
        except StoreUnavailableError:
            raise _unavailable() from None
        except StoreUnsureError:
            raise refuse(
                STORE_OUTCOME_UNKNOWN,
                'The store did not say whether the job was accepted',
                RETRY_AFTER,
            ) from None

    async def _upload(
        self,
        upload: Upload,
        submission: Submission,
    ) -> Summary:
        intake = Intake(self._configuration.fleet, submission.body_size)
        async for part in submission.chunks:
            for items in intake.feed(part):
                await upload.add(items)
        for items in intake.finish():
            await upload.add(items)
        return intake.summary()

    async def _create(self, record: JobRecord, upload: Upload) -> JobRecord:
        name = job_name(record['id'])
        written = await self._store.put(name, dict(record), ABSENT)
        if isinstance(written, Versioned):
            self._configuration.take(name, written.version, written.document)
            events.emit(
                events.JOB_ACCEPTED,
                job=record['id'],
                items=record['items'],
            )
            return record
        found = await self._store.get(name)
        if found is None:
            raise _unavailable()
        if found.document['upload'] != upload.name:
            await upload.discard()
        return self._same(found, record['digest'])

    def _same(self, found: Versioned, digest: str) -> JobRecord:
        if found.document['digest'] != digest:
            raise refuse(
                KEY_REUSED,
                OVERLOADED,
                'This Idempotency-Key was used for another job',
            )
        name = job_name(found.document['id'])
        self._configuration.take(name, found.version, found.document)
        return found.document

    def _record(
        self,
        job: str,
        submission: Submission,
        upload: Upload,
        summary: Summary,
    ) -> JobRecord:
        wall = self._ctx.wall()
        endpoint = self._configuration.fleet['endpoints'][summary.endpoint]
        return JobRecord(
            id=job,
            client=submission.client,
            digest=summary.digest,
            upload=upload.name,
            state=RUNNING,
            endpoint=summary.endpoint,
            url=summary.url,
            items=summary.items,
            chunks=upload.count,
            created=wall,
            deadline=wall + submission.window,
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


def _unavailable() -> RefusedError:
    return refuse(
        STORE_UNAVAILABLE,
        'The store does not answer; the job was not accepted',
        RETRY_AFTER,
    )
