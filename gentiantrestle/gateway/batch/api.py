"""Callers' calls on batch jobs: hand in, read, fetch a body, end."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.errors import (
    NOT_FOUND,
    OVERLOADED,
    STORE_UNAVAILABLE,
    TOO_LARGE,
    UPSTREAM_OUTCOME_UNKNOWN,
    refuse,
)
from gentiantrestle.gateway.batch.context import BatchContext
from gentiantrestle.gateway.batch.job_index import JobEntry
from gentiantrestle.gateway.batch.job_store import encoded_size
from gentiantrestle.gateway.batch.result_reader import ResultReader
from gentiantrestle.gateway.batch.runner import Runner
from gentiantrestle.gateway.model import Job, Request, Route
from gentiantrestle.gateway.ports import (
    CancelJob,
    ReadBody,
    ReadResults,
)
from gentiantrestle.store.client import (
    StoreUnavailableError,
    StoreUnsureError,
)

ACCEPTED = 202
OK = 200
MAX_JOB = 1000000  # bytes: what one object of the store holds
MAX_PAGE = 900000  # characters of output in one answer
POLL_TIME = 0.25  # seconds between looks at another instance's results
WAIT_STEP = 0.1  # seconds between looks at own results
STORE_PAUSE = 0.5  # seconds until a caller comes back to an absent store
# Share of a quota below which jobs that aren't known here yet don't matter.
QUOTA_SURE_SHARE = 0.5
QUOTA_PAUSE = 1.0  # seconds until a caller comes back to a full quota
JSON_HEADERS = [(b'content-type', b'application/json')]
BYTES_HEADERS = [(b'content-type', b'application/octet-stream')]


class Response(NamedTuple):
    """A whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Submission(NamedTuple):
    """When, in wall-clock s, and under which version a job is handed in."""

    wall: float
    version: int


class JobApi:
    """Answers calls on batch jobs at any instance."""

    def __init__(
        self,
        parts: BatchContext,
        runner: Runner,
        reader: ResultReader,
        instance: str,
    ) -> None:
        """Accept jobs in the name of ``instance``, a run's name."""
        self._index = parts.index
        self._job_store = parts.job_store
        self._dialect = parts.dialect
        self._runner = runner
        self._reader = reader
        self._instance = instance
        self.on_end: Callable[[str], None] = _ignore

    async def submit(
        self, call: Request, route: Route, terms: Submission
    ) -> Response:
        """Accept a job once; the store's yes comes before ours."""
        if call.id in self._index.entries:
            return _accepted()
        job = Job(
            call.id,
            call.host,
            call.target,
            terms.wall,
            self._instance,
            self._dialect.read_items(call.body),
            terms.version,
        )
        size = encoded_size(job)
        if size > MAX_JOB:
            raise refuse(TOO_LARGE, f'The job takes {size} bytes')
        await self._check_quota(job, route)
        try:
            new = await self._job_store.accept(job)
        except StoreUnavailableError as exc:
            raise refuse(STORE_UNAVAILABLE, str(exc), STORE_PAUSE) from exc
        except StoreUnsureError as exc:
            raise refuse(UPSTREAM_OUTCOME_UNKNOWN, f'The store: {exc}') from exc
        events.emit(
            events.JOB_ACCEPTED, job=job.id, items=len(job.items), new=new
        )
        self._runner.wake()
        return _accepted()

    async def read_results(self, wanted: ReadResults) -> Response:
        """Return results from a position on, waiting a little for one."""
        entry = await self._find(wanted.job)
        await self._await_results(entry, wanted)
        page = []
        size = 0
        for one in entry.results[wanted.after :]:
            size += len(one.output)
            if page and size > MAX_PAGE:
                break
            page.append(one)
        total = len(entry.job.items)
        body = self._dialect.write_results(total, wanted.after, page)
        return Response(OK, JSON_HEADERS, body)

    async def read_body(self, wanted: ReadBody) -> Response:
        """Return the body of an item."""
        entry = await self._find(wanted.job)
        found = await self._body(entry, wanted.item_id)
        if found is None:
            raise refuse(NOT_FOUND, 'The job has no such item')
        return Response(OK, BYTES_HEADERS, found)

    async def end(self, wanted: CancelJob) -> Response:
        """End a job for good."""
        try:
            known = await self._job_store.end(wanted.job)
        except (StoreUnavailableError, StoreUnsureError) as exc:
            raise refuse(STORE_UNAVAILABLE, str(exc), STORE_PAUSE) from exc
        if not known:
            raise refuse(NOT_FOUND, 'No such job')
        events.emit(events.JOB_FINISHED, job=wanted.job, state='ended')
        self.on_end(wanted.job)
        self._runner.wake()
        return Response(OK, JSON_HEADERS, b'{}')

    async def _find(self, job: str) -> JobEntry:
        try:
            entry = await self._job_store.find(job)
        except StoreUnavailableError as exc:
            raise refuse(STORE_UNAVAILABLE, str(exc), STORE_PAUSE) from exc
        if entry is None:
            raise refuse(NOT_FOUND, 'No such job')
        return entry

    async def _body(self, entry: JobEntry, wanted: str) -> bytes | None:
        """Return an item's body; the store keeps those not needed here."""
        kept = entry.has_bodies
        try:
            await self._job_store.load(entry)
        except StoreUnavailableError as exc:
            raise refuse(STORE_UNAVAILABLE, str(exc), STORE_PAUSE) from exc
        found = entry.body(wanted)
        if not kept:
            entry.drop_bodies()
        return found

    async def _await_results(
        self, entry: JobEntry, wanted: ReadResults
    ) -> None:
        """Wait until a result is known after the position, or time is up."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wanted.wait
        while len(entry.results) <= wanted.after and not entry.complete:
            await self._look(entry)
            if len(entry.results) > wanted.after or loop.time() >= until:
                return
            sure = self._reader.is_sure(entry)
            await asyncio.sleep(WAIT_STEP if sure else POLL_TIME)

    async def _look(self, entry: JobEntry) -> None:
        try:
            await self._reader.look(entry)
        except StoreUnavailableError as exc:
            raise refuse(STORE_UNAVAILABLE, str(exc), STORE_PAUSE) from exc

    async def _check_quota(self, job: Job, route: Route) -> None:
        """Refuse a job above the route's tokens, after a fresh look.

        Far below the quota the jobs known here suffice: what others accept
        meanwhile can't fill the rest.
        """
        if not route.max_tokens:
            return
        if self._fits(job, route, QUOTA_SURE_SHARE):
            return
        await self._relist()
        if self._fits(job, route):
            return
        for entry in self._index.open_entries():
            await self._look(entry)
        if self._fits(job, route):
            return
        raise refuse(
            OVERLOADED, 'The tokens of this route are taken', QUOTA_PAUSE
        )

    async def _relist(self) -> None:
        try:
            await self._job_store.relist()
        except StoreUnavailableError as exc:
            raise refuse(STORE_UNAVAILABLE, str(exc), STORE_PAUSE) from exc

    def _fits(self, job: Job, route: Route, share: float = 1.0) -> bool:
        waiting = self._index.waiting_tokens(job.host, route.prefix)
        return waiting + job.tokens <= route.max_tokens * share


def _accepted() -> Response:
    return Response(ACCEPTED, JSON_HEADERS, b'{}')


def _ignore(job: str) -> None:
    """Tell nobody until somebody is set."""
