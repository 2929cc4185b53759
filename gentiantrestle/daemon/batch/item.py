"""Run one batch item on an upstream, to its end or until it gives way."""

import asyncio
from contextlib import aclosing
from enum import Enum, auto
from typing import NamedTuple
from uuid import uuid4

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.daemon.batch.gate import Gate, Slot
from gentiantrestle.daemon.batch.records import (
    ChunkRecord,
    ItemLine,
    JobRecord,
    ResultLine,
)
from gentiantrestle.daemon.upstreams.adapter import (
    TokenStreamReader,
    build_call,
    build_completion,
    build_stream_body,
    leaving_incarnation,
)
from gentiantrestle.daemon.upstreams.service import UpstreamRegistry
from gentiantrestle.errors import (
    Refusal,
)
from gentiantrestle.http.client import (
    ClientResponse,
    ConnectionLostError,
    NotSentError,
)
from gentiantrestle.http.messages import error_document
from gentiantrestle.models import DeploymentDoc
from gentiantrestle.store.client import (
    StoreClient,
)

MAX_REASON = 200  # bytes
CLIENT_ERROR = 400
SERVER_ERROR = 500


class Outcome(Enum):
    """How one try of an item ended."""

    WHOLE = auto()
    TAKEN_BACK = auto()
    NOT_SENT = auto()
    LOST = auto()
    REFUSED = auto()


class Ended(NamedTuple):
    """The end of one try, and why."""

    outcome: Outcome
    reason: str = ''


class Tools(NamedTuple):
    """What all chunks of an instance share."""

    ctx: Context
    store: StoreClient
    gate: Gate
    fleet: UpstreamRegistry


class Held(NamedTuple):
    """A chunk as it was claimed."""

    job: JobRecord
    index: int
    version: int
    record: ChunkRecord
    items: list[ItemLine]
    deployment: DeploymentDoc


class ItemRun:
    """Runs one item to its result: whole, failed, or unknown."""

    def __init__(self, tools: Tools, held: Held, position: int) -> None:
        """Start without any token."""
        self._tools = tools
        self._held = held
        self._item = held.items[position]
        self._texts: list[str] = []
        self._reader = TokenStreamReader()

    async def attempt(self, slot: Slot) -> Ended:
        """Try the item once, going on after the tokens that are known."""
        slot.task = asyncio.create_task(self._stream(slot))
        try:
            return await slot.task
        except asyncio.CancelledError:
            slot.task.cancel()
            if _is_being_cancelled() or not slot.taken_back:
                raise
            return Ended(Outcome.TAKEN_BACK)
        except NotSentError as exc:
            self._note_failure(slot, exc)
            return Ended(Outcome.NOT_SENT, str(exc))
        except (ConnectionLostError, TimeoutError) as exc:
            self._note_failure(slot, exc)
            return Ended(Outcome.LOST, repr(exc))

    def result(self) -> ResultLine:
        """Build the line of an item that came whole."""
        return ResultLine(
            custom_id=self._item['custom_id'],
            response={
                'status_code': 200,
                'body': build_completion(
                    self._item['url'],
                    self._texts,
                    self._item['body']['model'],
                ),
            },
            error=None,
        )

    def failure(self, refusal: Refusal) -> ResultLine:
        """Build the line of an item that has failed."""
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

    async def _stream(self, slot: Slot) -> Ended:
        call = build_call(
            self._item['url'],
            build_stream_body(self._item['body'], len(self._texts)),
            uuid4().hex,
        )
        pool = slot.upstream.pool
        async with asyncio.timeout(self._tools.ctx.cfg.answer_timeout):
            answer = await pool.send(call)
        try:
            if answer.status >= CLIENT_ERROR:
                return await self._refused(slot, answer)
            await self._read(answer)
        finally:
            pool.release(answer)
        if not self._reader.is_complete:
            raise ConnectionLostError('the stream ended early')
        slot.upstream.health.record_success()
        return Ended(Outcome.WHOLE)

    async def _read(self, answer: ClientResponse) -> None:
        self._reader = TokenStreamReader()
        stall = self._tools.ctx.cfg.stall_timeout
        async with aclosing(answer.iter_body(stall)) as parts:
            async for part in parts:
                self._texts.extend(self._reader.feed(part))

    async def _refused(self, slot: Slot, answer: ClientResponse) -> Ended:
        mark = leaving_incarnation(answer)
        text = (await answer.read())[:MAX_REASON].decode(errors='replace')
        if mark is not None:
            self._tools.fleet.mark_leaving(slot.upstream.name, mark)
            return Ended(Outcome.NOT_SENT, 'the upstream is leaving')
        reason = f'status {answer.status}: {text}'
        if answer.status >= SERVER_ERROR:
            return Ended(Outcome.LOST, reason)
        return Ended(Outcome.REFUSED, reason)

    def _note_failure(self, slot: Slot, exc: BaseException) -> None:
        ctx = self._tools.ctx
        slot.upstream.health.record_failure(ctx.now(), ctx.random.random())
        events.emit(
            events.UPSTREAM_FAILED,
            upstream=slot.upstream.name,
            error=repr(exc),
        )


def _is_being_cancelled() -> bool:
    """Tell whether the chunk itself is to stop, not just its slot."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
