"""Run one batch item on an upstream."""

import asyncio
from contextlib import aclosing
from enum import Enum, auto
from typing import NamedTuple
from uuid import uuid4

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.allocator import Slot, SlotAllocator
from gentiantrestle.daemon.batch.records import (
    ChunkRecord,
    ItemLine,
    JobRecord,
    ResultLine,
)
from gentiantrestle.daemon.upstreams.adapter import (
    NoTokenError,
    TokenStreamReader,
    build_call,
    build_completion,
    build_stream_body,
    leaving_incarnation,
)
from gentiantrestle.daemon.upstreams.service import UpstreamRegistry
from gentiantrestle.errors import (
    UPSTREAM_FAILED,
    UPSTREAM_OUTCOME_UNKNOWN,
    Refusal,
)
from gentiantrestle.http.client import (
    ClientResponse,
    ConnectionLostError,
    NotSentError,
)
from gentiantrestle.http.event_timer import EventTimer
from gentiantrestle.http.messages import error_document
from gentiantrestle.models import DeploymentDoc
from gentiantrestle.store.client import (
    StoreClient,
)

MAX_REASON_BYTES = 200
MAX_ATTEMPTS = 3
CLIENT_ERROR = 400  # lowest HTTP status
SERVER_ERROR = 500  # lowest HTTP status


class Outcome(Enum):
    """How one attempt to run an item ended.

    ``NOT_SENT`` means that the upstream did not run it, ``LOST`` that the
    upstream may have run it, and ``REJECTED`` that the upstream answered with a
    client error.
    """

    COMPLETED = auto()
    PREEMPTED = auto()
    NOT_SENT = auto()
    LOST = auto()
    REJECTED = auto()


class AttemptResult(NamedTuple):
    """The outcome of one attempt, and the reason of a failure."""

    outcome: Outcome
    reason: str = ''


class Services(NamedTuple):
    """What all chunks that run on this instance share."""

    ctx: Context
    store: StoreClient
    allocator: SlotAllocator
    upstreams: UpstreamRegistry


class ClaimedChunk(NamedTuple):
    """A chunk with its record and items at the time of its claim."""

    job: JobRecord
    index: int
    version: int
    record: ChunkRecord
    items: list[ItemLine]
    deployment: DeploymentDoc


class ItemRun:
    """Runs one item over several attempts and builds its result line."""

    def __init__(
        self, services: Services, chunk: ClaimedChunk, position: int
    ) -> None:
        """Start without any token received."""
        self._services = services
        self._chunk = chunk
        self._item = chunk.items[position]
        self._tokens: list[str] = []
        self._version = ''
        self._reader = TokenStreamReader()
        self._started_at = float(0)

    async def attempt(self, slot: Slot) -> AttemptResult:
        """Make one attempt, resuming after the tokens already received.

        At an upstream of another software version the item starts again.
        The caller releases the slot. Raises ``CancelledError`` if the chunk is
        cancelled; a preempted slot only ends the attempt.
        """
        self._drop_other_version(slot.upstream.name)
        self._started_at = self._services.ctx.now()
        slot.task = asyncio.create_task(self._stream(slot))
        try:
            return await slot.task
        except asyncio.CancelledError:
            slot.task.cancel()
            if _is_being_cancelled() or not slot.preempted:
                raise
            return AttemptResult(Outcome.PREEMPTED)
        except NotSentError as exc:
            self._report_failure(slot, exc)
            return AttemptResult(Outcome.NOT_SENT, str(exc))
        except (ConnectionLostError, NoTokenError, TimeoutError) as exc:
            self._report_failure(slot, exc)
            return AttemptResult(Outcome.LOST, repr(exc))

    def result(self) -> ResultLine:
        """Build the result line of a completed item."""
        return ResultLine(
            custom_id=self._item['custom_id'],
            response={
                'status_code': 200,
                'body': build_completion(
                    self._item['url'],
                    self._tokens,
                    self._item['body']['model'],
                ),
            },
            error=None,
        )

    def failure(self, refusal: Refusal) -> ResultLine:
        """Build the result line of a failed item and log the failure."""
        events.emit(
            events.ITEM_FAILED,
            item=self._item['custom_id'],
            error=refusal.reason,
        )
        return ResultLine(
            custom_id=self._item['custom_id'],
            response=None,
            error=error_document(refusal)['error'],
        )

    def _drop_other_version(self, name: str) -> None:
        settings = self._services.upstreams.settings(name)
        version = settings.get('version', '') if settings else ''
        if self._tokens and version != self._version:
            events.emit(
                events.ITEM_RESTARTED,
                item=self._item['custom_id'],
                upstream=name,
                version=version,
                began_at=self._version,
                dropped=len(self._tokens),
            )
            self._tokens.clear()
        self._version = version

    async def _stream(self, slot: Slot) -> AttemptResult:
        call = build_call(
            self._item['url'],
            build_stream_body(self._item['body'], len(self._tokens)),
            uuid4().hex,
        )
        pool = slot.upstream.pool
        async with asyncio.timeout(self._services.ctx.cfg.answer_timeout):
            # An item may belong to a job whose items must not be repeated.
            answer = await pool.send(call, fresh=True)
        try:
            if answer.status >= CLIENT_ERROR:
                return await self._read_error(slot, answer)
            await self._read_stream(answer)
        finally:
            pool.release(answer)
        if not self._reader.is_complete:
            raise ConnectionLostError('the stream ended early')
        slot.upstream.health.record_success()
        return AttemptResult(Outcome.COMPLETED)

    async def _read_stream(self, answer: ClientResponse) -> None:
        self._reader = TokenStreamReader()
        ctx = self._services.ctx
        timer = EventTimer(ctx.cfg.stall_timeout, ctx.now())
        async with aclosing(answer.iter_body(timer.timeout)) as parts:
            async for part in parts:
                texts = self._reader.feed(part)
                timer.note_part(ctx.now(), has_event=bool(texts))
                self._tokens.extend(texts)
                if self._reader.is_overlong:
                    raise ConnectionLostError('an event without end')

    async def _read_error(
        self, slot: Slot, answer: ClientResponse
    ) -> AttemptResult:
        incarnation = leaving_incarnation(answer)
        async with asyncio.timeout(self._services.ctx.cfg.answer_timeout):
            body = await answer.read()
        text = body[:MAX_REASON_BYTES].decode(errors='replace')
        if incarnation is not None:
            self._services.upstreams.mark_leaving(
                slot.upstream.name, incarnation
            )
            return AttemptResult(Outcome.NOT_SENT, 'the upstream is leaving')
        reason = f'status {answer.status}: {text}'
        if answer.status >= SERVER_ERROR:
            return AttemptResult(Outcome.LOST, reason)
        return AttemptResult(Outcome.REJECTED, reason)

    def _report_failure(self, slot: Slot, exc: BaseException) -> None:
        ctx = self._services.ctx
        slot.upstream.health.record_failure(
            ctx.now(), ctx.random.random(), self._started_at
        )
        events.emit(
            events.UPSTREAM_FAILED,
            upstream=slot.upstream.name,
            error=repr(exc),
        )


def _is_being_cancelled() -> bool:
    """Tell whether the chunk's task is cancelled, not only its slot's."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def final_refusal(
    attempt: AttemptResult, failures: int, *, repeatable: bool
) -> Refusal | None:
    """Return why an item must not be retried, or ``None``."""
    if attempt.outcome is Outcome.REJECTED:
        return Refusal(UPSTREAM_FAILED, attempt.reason)
    if attempt.outcome is not Outcome.LOST:
        return None
    if not repeatable:
        return Refusal(UPSTREAM_OUTCOME_UNKNOWN, attempt.reason)
    if failures >= MAX_ATTEMPTS:
        return Refusal(
            UPSTREAM_FAILED,
            f'{failures} attempts failed; last error: {attempt.reason}',
        )
    return None
