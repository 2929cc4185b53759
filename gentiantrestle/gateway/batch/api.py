"""Requests on batch jobs: submit, read results, read a body, cancel."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.batch.access import (
    JobCaller,
    is_submitted_by,
    may_use,
)
from gentiantrestle.gateway.batch.chunk_reads import SLOW_READ
from gentiantrestle.gateway.batch.context import BatchContext
from gentiantrestle.gateway.batch.job_calls import (
    JobCall,
    JobCallLog,
    Operation,
    Step,
    reach,
)
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.quota_check import QuotaCheck
from gentiantrestle.gateway.batch.result_chunks import first_page
from gentiantrestle.gateway.batch.result_reader import ResultReader
from gentiantrestle.gateway.batch.runner import Runner
from gentiantrestle.gateway.batch.store_refusals import (
    answering_by,
    no_such_item,
    no_such_job,
    noting_refusal,
    refusing_unaccepted,
    refusing_unavailable,
    taken,
)
from gentiantrestle.gateway.model import Job, Request, Route
from gentiantrestle.gateway.ports import (
    CancelJob,
    ReadBody,
    ReadResults,
)
from gentiantrestle.store.client import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

ACCEPTED = 202
OK = 200
MAX_PAGE_SIZE = 900000  # bytes of results in one response, as sent
# Time between checks for results that another instance may store.
PEER_POLL_INTERVAL = 0.25  # seconds
# Time between checks for results that this instance stores.
LOCAL_POLL_INTERVAL = 0.1  # seconds
# Callers leave if they get no answer for 1.5 s beyond the wait they allow.
PATIENCE = 1.3  # seconds
# Those who submit or cancel a job wait longer.
QUOTA_PATIENCE = 2.0  # seconds; the writes of a job follow
CANCEL_PATIENCE = 3.8  # seconds
UNREAD = 'The results at this position could not be read in time'
JSON_HEADERS = [(b'content-type', b'application/json')]
BYTES_HEADERS = [(b'content-type', b'application/octet-stream')]
UNRESTRICTED = JobCaller()


class Response(NamedTuple):
    """A complete HTTP response."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Submission(NamedTuple):
    """When a job was submitted, and the configuration version in force then.

    ``submitted`` is a wall-clock time in s.
    """

    submitted: float
    config_version: int


class JobApi:
    """Handles requests on batch jobs; any instance can handle any job.

    Methods raise ``RefusedError`` with the response for the client.
    """

    def __init__(
        self,
        context: BatchContext,
        runner: Runner,
        reader: ResultReader,
        run_name: str,
    ) -> None:
        """Accept jobs as ``run_name``, the name of this instance's run."""
        self._index = context.index
        self._job_store = context.job_store
        self._dialect = context.dialect
        self._router = context.router
        self._quota = QuotaCheck(context, reader)
        self._runner = runner
        self._reader = reader
        self._run_name = run_name
        self._calls = JobCallLog()
        self.on_cancel: Callable[[str], None] = _ignore

    async def submit(
        self, request: Request, route: Route, submission: Submission
    ) -> Response:
        """Accept a job once the store has it; idempotent by the job's id.

        Refused with ``TOO_LARGE``, ``OVERLOADED`` if the quota is used up,
        ``CONFLICT`` if another account has a job of this id,
        ``STORE_UNAVAILABLE`` if the job was not accepted, and
        ``UPSTREAM_OUTCOME_UNKNOWN`` if it may have been.
        """
        with noting_refusal(request.id):
            return await self._submit(request, route, submission)

    async def read_results(
        self, operation: ReadResults, caller: JobCaller = UNRESTRICTED
    ) -> Response:
        """Return a page of results from position ``operation.after`` on.

        Waits up to ``operation.wait`` s if there is none yet.
        """
        call = JobCall(operation.job, Operation.RESULTS, operation.after)
        deadline = asyncio.get_running_loop().time() + operation.wait
        with self._calls.noting(call):
            async with answering_by(deadline + PATIENCE):
                entry = await self._find(call, caller)
            await self._await_results(entry, operation, deadline)
        page = first_page(entry.results, operation.after, MAX_PAGE_SIZE)
        total = len(entry.job.items)
        body = self._dialect.write_results(total, operation.after, page)
        return Response(OK, JSON_HEADERS, body)

    async def read_body(
        self, operation: ReadBody, caller: JobCaller = UNRESTRICTED
    ) -> Response:
        """Return the body of an item."""
        call = JobCall(operation.job, Operation.BODY, operation.item_id)
        until = asyncio.get_running_loop().time() + PATIENCE
        with self._calls.noting(call):
            async with answering_by(until):
                entry = await self._find(call, caller)
                body = await self._read_body(entry, operation)
        return Response(OK, BYTES_HEADERS, body)

    async def cancel(
        self, operation: CancelJob, caller: JobCaller = UNRESTRICTED
    ) -> Response:
        """Cancel a job permanently: its unfinished items are not run.

        Refused with ``STORE_UNAVAILABLE`` also if the store did not confirm
        the change, and with ``NOT_FOUND``.
        """
        call = JobCall(operation.job, Operation.CANCEL)
        until = asyncio.get_running_loop().time() + CANCEL_PATIENCE
        with self._calls.noting(call):
            async with answering_by(until):
                known = await self._cancel(call, caller)
        if not known:
            raise no_such_job(operation.job, indexed=False, stored='none')
        events.emit(events.JOB_FINISHED, job=operation.job, state='ended')
        self.on_cancel(operation.job)
        self._runner.wake()
        return Response(OK, JSON_HEADERS, b'{}')

    async def _read_body(self, entry: JobEntry, operation: ReadBody) -> bytes:
        if not entry.has_item(operation.item_id):
            raise no_such_item(operation.job, operation.item_id)
        reach(Step.BODY)
        with refusing_unavailable():
            return await self._job_store.read_body(entry, operation.item_id)

    async def _cancel(self, call: JobCall, caller: JobCaller) -> bool:
        """Cancel a job; return whether there is one."""
        if caller != UNRESTRICTED:
            await self._find(call, caller)
        reach(Step.CANCEL)
        with refusing_unavailable(StoreOutcomeUnknownError):
            return await self._job_store.cancel(call.job)

    async def _submit(
        self, request: Request, route: Route, submission: Submission
    ) -> Response:
        known = self._index.entries.get(request.id)
        if known is not None:
            if not is_submitted_by(known.job, request.account):
                raise taken()
            return _accepted()
        job = Job(
            request.id,
            request.host,
            request.target,
            submission.submitted,
            self._run_name,
            self._dialect.read_items(request.body, request.account),
            submission.config_version,
            account=request.account,
        )
        until = asyncio.get_running_loop().time() + QUOTA_PATIENCE
        async with answering_by(until):
            await self._quota.check(job, route)
        new = await self._accept(job)
        events.emit(
            events.JOB_ACCEPTED, job=job.id, items=len(job.items), new=new
        )
        self._runner.wake()
        return _accepted()

    async def _accept(self, job: Job) -> bool:
        """Store a job; return False if it was accepted before."""
        with refusing_unaccepted():
            return await self._job_store.accept(job)

    async def _find(self, call: JobCall, caller: JobCaller) -> JobEntry:
        """Return a job that is there for a caller.

        One that isn't costs the same read of the store as one that doesn't
        exist.
        """
        known = self._index.entries.get(call.job)
        call.entry = known
        if self._is_there(known, caller):
            return known
        loop = asyncio.get_running_loop()
        began = loop.time()
        with refusing_unavailable():
            entry = await self._job_store.read(call.job)
        call.entry = entry
        if self._is_there(entry, caller):
            entry.found_slowly = loop.time() - began >= SLOW_READ
            return entry
        refusal = no_such_job(
            call.job,
            indexed=known is not None,
            stored='none' if entry is None else 'not for this caller',
            jobs_revision=self._index.revision,
        )
        if caller.refusal is None:
            raise refusal
        reach(Step.NOT_PREPARED)
        raise caller.refusal

    def _is_there(self, entry: JobEntry | None, caller: JobCaller) -> bool:
        return entry is not None and may_use(caller, entry.job, self._router)

    async def _await_results(
        self, entry: JobEntry, operation: ReadResults, deadline: float
    ) -> None:
        """Wait for a result after the position, until ``deadline``."""
        loop = asyncio.get_running_loop()
        while len(entry.results) <= operation.after and not entry.complete:
            await self._refresh(entry, operation.after, deadline + PATIENCE)
            if len(entry.results) > operation.after or loop.time() >= deadline:
                return
            local = self._reader.runs_here(entry)
            reach(Step.WAIT)
            await asyncio.sleep(
                LOCAL_POLL_INTERVAL if local else PEER_POLL_INTERVAL
            )

    async def _refresh(self, entry: JobEntry, after: int, until: float) -> None:
        """Read new results until the time ``until`` of the event loop.

        Refused if that fails and none is there after the position.
        """
        reach(Step.CHUNKS)
        try:
            async with asyncio.timeout_at(until):
                await self._reader.refresh(entry)
        except (StoreUnavailableError, TimeoutError) as exc:
            events.emit(
                events.STORE_CALL_FAILED, name=entry.job.id, error=repr(exc)
            )
            if len(entry.results) <= after:
                with refusing_unavailable():
                    raise StoreUnavailableError(UNREAD) from exc


def _accepted() -> Response:
    return Response(ACCEPTED, JSON_HEADERS, b'{}')


def _ignore(job_id: str) -> None:
    """Do nothing until a callback is set."""
