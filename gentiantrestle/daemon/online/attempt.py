"""One attempt of a request on one upstream, with an id of its own."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from typing import NamedTuple
from uuid import uuid4

import msgspec

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.daemon.online.retries import (
    Stage,
)
from gentiantrestle.daemon.upstreams.adapter import (
    WholeStream,
    build_call,
    leaving_incarnation,
)
from gentiantrestle.daemon.upstreams.service import Upstream
from gentiantrestle.errors import (
    CUT_SHORT,
    NO_UPSTREAM,
    UPSTREAM_FAILED,
    UPSTREAM_UNSURE,
    ErrorKind,
    Refusal,
)
from gentiantrestle.http.client import (
    ClientResponse,
    ConnectionLostError,
    NotSentError,
)
from gentiantrestle.http.messages import (
    JSON,
    error_document,
)
from gentiantrestle.models import DeploymentDoc

MAX_REASON = 200  # bytes
SERVER_ERROR = 500
RETRY_AFTER = 1  # seconds
PACE_EVENTS = 4


class OnlineRequest(NamedTuple):
    """One online request that may go to an upstream."""

    client: str
    endpoint: str
    deployment: DeploymentDoc
    target: str
    body: bytes
    method: str = 'POST'
    content_type: str = JSON
    prompt: str = ''
    streamed: bool = False
    repeatable: bool = False
    tokens: int = 1


class AttemptError(Exception):
    """One attempt failed, and at this stage."""

    def __init__(self, stage: Stage, refusal: Refusal) -> None:
        """Keep the stage and what to tell when no other attempt follows."""
        super().__init__(refusal.reason)
        self.stage = stage
        self.refusal = refusal


class Attempt:
    """One try of a request on one upstream, with an id of its own."""

    def __init__(
        self,
        ctx: Context,
        work: OnlineRequest,
        upstream: Upstream,
    ) -> None:
        """Give the attempt an id; nothing is sent yet."""
        self._ctx = ctx
        self._work = work
        self.upstream = upstream
        self.client = work.client
        self.attempt_id = uuid4().hex
        self.started_at = ctx.now()

    async def send(self) -> ClientResponse:
        """Send the request; raise ``AttemptError`` when it fails."""
        call = build_call(
            self._work.target,
            self._work.body,
            self.attempt_id,
            method=self._work.method,
            content_type=self._work.content_type,
        )
        try:
            async with asyncio.timeout(self._ctx.cfg.answer_timeout):
                answer = await self.upstream.pool.send(call)
        except NotSentError as exc:
            raise self._fail(Stage.NOT_SENT, NO_UPSTREAM, exc) from exc
        except (ConnectionLostError, TimeoutError) as exc:
            raise self._fail(Stage.SENT, UPSTREAM_UNSURE, exc) from exc
        if answer.status >= SERVER_ERROR:
            raise await self._refused(answer)
        return answer

    async def read(self, answer: ClientResponse) -> bytes:
        """Collect a whole answer."""
        try:
            async with asyncio.timeout(self._ctx.cfg.answer_timeout):
                body = await answer.read()
        except (ConnectionLostError, TimeoutError) as exc:
            raise self._fail(Stage.SENT, UPSTREAM_UNSURE, exc) from exc
        finally:
            self.upstream.pool.release(answer)
        now = self._ctx.now()
        self.upstream.health.measure(
            (now - self.started_at) / self._work.tokens,
            now,
        )
        self.upstream.health.record_success()
        return body

    async def stream(self, answer: ClientResponse) -> AsyncIterator[bytes]:
        """Pass a stream on; end it with an explicit error if it is cut.

        A stream that is cut before its first part raises instead.
        """
        whole = WholeStream()
        error = 'the stream ended early'
        try:
            async for part in self._paced(answer, whole):
                yield part
        except (ConnectionLostError, TimeoutError) as exc:
            error = repr(exc)
        finally:
            self._ctx.metrics.tokens.add({}, whole.events)
        if whole.is_complete:
            self.upstream.health.record_success()
            return
        if not whole.events:
            raise self._fail(Stage.SENT, UPSTREAM_UNSURE, error)
        failure = self._fail(Stage.ANSWERING, CUT_SHORT, error)
        events.emit(events.ANSWER_CUT, attempt=self.attempt_id, error=error)
        yield _error_event(failure.refusal)

    async def _paced(
        self,
        answer: ClientResponse,
        whole: WholeStream,
    ) -> AsyncIterator[bytes]:
        stall = self._ctx.cfg.stall_timeout
        measured_at, measured_events = self._ctx.now(), 0
        async with aclosing(answer.iter_body(stall)) as parts:
            async for part in parts:
                whole.feed(part)
                passed = whole.events - measured_events
                if passed >= PACE_EVENTS:
                    now = self._ctx.now()
                    self.upstream.health.measure(
                        (now - measured_at) / passed,
                        now,
                    )
                    measured_at, measured_events = now, whole.events
                yield part

    async def _refused(self, answer: ClientResponse) -> AttemptError:
        leaving = leaving_incarnation(answer)
        body = b''
        try:
            body = await answer.read()
        except ConnectionLostError:
            leaving = None
        finally:
            self.upstream.pool.release(answer)
        if leaving is not None:
            return LeavingError(leaving)
        text = body[:MAX_REASON].decode(errors='replace')
        return self._fail(
            Stage.SENT,
            UPSTREAM_FAILED,
            f'status {answer.status}: {text}',
        )

    def _fail(
        self, stage: Stage, kind: ErrorKind, error: object
    ) -> AttemptError:
        now = self._ctx.now()
        name = self.upstream.name
        self.upstream.health.record_failure(now, self._ctx.random.random())
        events.emit(events.UPSTREAM_FAILED, upstream=name, error=str(error))
        self._ctx.metrics.attempts.inc({'outcome': stage.value})
        reason = f'Upstream {name} failed: {error}'
        retry_after = RETRY_AFTER if stage is Stage.NOT_SENT else None
        return AttemptError(stage, Refusal(kind, reason, retry_after))


class LeavingError(AttemptError):
    """The upstream said that it is leaving and did not run the request."""

    def __init__(self, incarnation: int) -> None:
        """Keep the incarnation that leaves."""
        super().__init__(
            Stage.NOT_SENT,
            Refusal(NO_UPSTREAM, 'The upstream is leaving', RETRY_AFTER),
        )
        self.incarnation = incarnation


class AnswerStream:
    """An upstream's stream; closing it gives slot and connection back.

    A plain generator would keep both if it were closed before its start.
    """

    def __init__(
        self,
        attempt: Attempt,
        answer: ClientResponse,
        leave: Callable[[Attempt], None],
    ) -> None:
        """Hold the slot until closed."""
        self._attempt = attempt
        self._answer = answer
        self._leave: Callable[[Attempt], None] | None = leave
        self._parts = attempt.stream(answer)
        self._first = b''

    async def begin(self) -> None:
        """Wait for the first part; close and raise if none comes."""
        try:
            self._first = await anext(self._parts, b'')
        except BaseException:
            await self.aclose()
            raise

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the parts of the answer."""
        return self._iterate()

    async def aclose(self) -> None:
        """Stop reading; closing twice is the same as once."""
        await self._parts.aclose()
        leave = self._leave
        self._leave = None
        if leave is not None:
            self._attempt.upstream.pool.release(self._answer)
            leave(self._attempt)

    async def _iterate(self) -> AsyncIterator[bytes]:
        yield self._first
        async for part in self._parts:
            yield part


def _error_event(refusal: Refusal) -> bytes:
    document = msgspec.json.encode(error_document(refusal))
    return b'event: error\ndata: %b\n\n' % document
