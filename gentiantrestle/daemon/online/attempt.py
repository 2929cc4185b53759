"""Send one attempt of a request to one upstream and read the answer."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
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
    StreamMonitor,
    build_call,
    leaving_incarnation,
)
from gentiantrestle.daemon.upstreams.endings import has_ended
from gentiantrestle.daemon.upstreams.service import Upstream
from gentiantrestle.errors import (
    CUT_SHORT,
    NO_UPSTREAM,
    QUARANTINED,
    UPSTREAM_FAILED,
    UPSTREAM_OUTCOME_UNKNOWN,
    ErrorKind,
    Refusal,
)
from gentiantrestle.http.client import (
    ClientResponse,
    ConnectionLostError,
    NotSentError,
)
from gentiantrestle.http.event_timer import EventTimer
from gentiantrestle.http.messages import (
    JSON,
    error_document,
)
from gentiantrestle.models import Address, DeploymentDoc
from gentiantrestle.quarantine.guard import TRIAL_INTERVAL, QuarantinedError
from gentiantrestle.quarantine.watch import RequestWatch

MAX_ERROR_BODY = 200  # bytes
SERVER_ERROR = 500  # lowest HTTP status
RETRY_AFTER = 1  # seconds
# What instances notice within this time is the same end of an upstream.
RESTART_TIME = 2.0  # seconds
EVENTS_PER_SAMPLE = 4  # fewest stream events that one pace sample covers


class OnlineRequest(NamedTuple):
    """An online request, checked and ready to be sent to an upstream.

    ``target`` is the path on the upstream, ``repeatable`` tells whether
    the request may run more than once, and ``tokens`` is the number of
    tokens that the answer may have.
    """

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
    """An attempt failed at ``stage``.

    ``crashed`` means that the upstream ended while it began the answer.
    """

    def __init__(self, stage: Stage, refusal: Refusal) -> None:
        """Keep the refusal to answer with if no other attempt follows."""
        super().__init__(refusal.reason)
        self.stage = stage
        self.refusal = refusal
        self.crashed = False


class Attempt:
    """One attempt of a request on one upstream, with its own id."""

    def __init__(
        self,
        ctx: Context,
        request: OnlineRequest,
        upstream: Upstream,
        watch: RequestWatch,
    ) -> None:
        """Assign an id; what ``watch`` holds back is not sent."""
        self._ctx = ctx
        self._request = request
        self.upstream = upstream
        self._watch = watch
        self.client = request.client
        self.attempt_id = uuid4().hex
        self.started_at = ctx.now()
        # Returns the other addresses of the deployment, usable ones first.
        self.others: Callable[[], Iterable[Address]] = tuple

    async def send(self) -> ClientResponse:
        """Send the request and wait for the head of the answer.

        Raises ``AttemptError`` if no answer comes in time, or if its status
        is a server error.
        """
        call = build_call(
            self._request.target,
            self._request.body,
            self.attempt_id,
            method=self._request.method,
            content_type=self._request.content_type,
        )
        self._check_quarantine()
        self._watch.note_run()
        try:
            async with asyncio.timeout(self._ctx.cfg.answer_timeout):
                answer = await self.upstream.pool.send(
                    call, fresh=not self._request.repeatable
                )
        except NotSentError as exc:
            raise self._record_failure(
                Stage.NOT_SENT, NO_UPSTREAM, exc
            ) from exc
        except (ConnectionLostError, TimeoutError) as exc:
            raise await self._record_loss(exc) from exc
        if answer.status >= SERVER_ERROR:
            raise await self._error_from(answer)
        return answer

    async def read(self, answer: ClientResponse) -> bytes:
        """Read the whole body and release the connection.

        Raises ``AttemptError`` if the body does not arrive in time.
        """
        self._watch.note_event()
        try:
            async with asyncio.timeout(self._ctx.cfg.answer_timeout):
                body = await answer.read()
        except (ConnectionLostError, TimeoutError) as exc:
            raise await self._record_loss(exc) from exc
        finally:
            self.upstream.pool.release(answer)
        now = self._ctx.now()
        self.upstream.health.record_pace(
            (now - self.started_at) / self._request.tokens,
            now,
        )
        self.upstream.health.record_success()
        self._watch.note_sound()
        return body

    async def stream(self, answer: ClientResponse) -> AsyncIterator[bytes]:
        """Yield a stream's parts; end a cut stream with an error event.

        Raises ``AttemptError`` if it is cut before its first event is
        complete.
        """
        monitor = StreamMonitor()
        error = 'the stream ended early'
        try:
            async for part in self._timed_parts(answer, monitor):
                yield part
        except (ConnectionLostError, TimeoutError) as exc:
            error = repr(exc)
        finally:
            self._ctx.metrics.tokens.add({}, monitor.event_count)
        if monitor.is_complete:
            self.upstream.health.record_success()
            self._watch.note_sound()
            return
        if not monitor.event_count:
            raise await self._record_loss(error)
        await self._check_crash()
        failure = self._record_failure(Stage.ANSWERING, CUT_SHORT, error)
        events.emit(events.ANSWER_CUT, attempt=self.attempt_id, error=error)
        yield _error_event(failure.refusal)

    async def _timed_parts(
        self,
        answer: ClientResponse,
        monitor: StreamMonitor,
    ) -> AsyncIterator[bytes]:
        measured_at, measured_events = self._ctx.now(), 0
        timer = EventTimer(self._ctx.cfg.stall_timeout, measured_at)
        async with aclosing(answer.iter_body(timer.timeout)) as parts:
            async for part in parts:
                whole = monitor.feed(part)
                timer.note_part(self._ctx.now(), has_event=bool(whole))
                if monitor.is_overlong:
                    raise ConnectionLostError('an event without end')
                event_count = monitor.event_count - measured_events
                if event_count >= EVENTS_PER_SAMPLE:
                    now = self._ctx.now()
                    self.upstream.health.record_pace(
                        (now - measured_at) / event_count,
                        now,
                    )
                    measured_at, measured_events = now, monitor.event_count
                if whole:
                    self._watch.note_event()
                    yield whole

    async def _error_from(self, answer: ClientResponse) -> AttemptError:
        incarnation = leaving_incarnation(answer)
        body = b''
        try:
            async with asyncio.timeout(self._ctx.cfg.answer_timeout):
                body = await answer.read()
        except (ConnectionLostError, TimeoutError):
            incarnation = None
        finally:
            self.upstream.pool.release(answer)
        if incarnation is not None:
            self._watch.note_run(was_run=False)
            return UpstreamLeavingError(incarnation)
        text = body[:MAX_ERROR_BODY].decode(errors='replace')
        return self._record_failure(
            Stage.SENT,
            UPSTREAM_FAILED,
            f'status {answer.status}: {text}',
        )

    def _check_quarantine(self) -> None:
        try:
            self._watch.check()
        except QuarantinedError as exc:
            refusal = Refusal(QUARANTINED, str(exc), TRIAL_INTERVAL)
            raise AttemptError(Stage.NOT_SENT, refusal) from exc

    async def _record_loss(self, error: object) -> AttemptError:
        failure = self._record_failure(
            Stage.SENT, UPSTREAM_OUTCOME_UNKNOWN, error
        )
        failure.crashed = await self._check_crash()
        return failure

    async def _check_crash(self) -> bool:
        """Return whether the upstream ended while it began this answer."""
        if not self._watch.is_opening:
            return False
        if not await has_ended(self.upstream.pool.address, self.others()):
            return False
        name = self.upstream.name
        period = int(self._ctx.wall() / RESTART_TIME)
        self._watch.note_crash(f'{name}/{period}')
        return True

    def _record_failure(
        self, stage: Stage, kind: ErrorKind, error: object
    ) -> AttemptError:
        if stage is Stage.NOT_SENT:
            self._watch.note_run(was_run=False)
        now = self._ctx.now()
        name = self.upstream.name
        self.upstream.health.record_failure(
            now, self._ctx.random.random(), self.started_at
        )
        events.emit(events.UPSTREAM_FAILED, upstream=name, error=str(error))
        self._ctx.metrics.attempts.inc({'outcome': stage.value})
        reason = f'Upstream {name} failed: {error}'
        retry_after = RETRY_AFTER if stage is Stage.NOT_SENT else None
        return AttemptError(stage, Refusal(kind, reason, retry_after))


class UpstreamLeavingError(AttemptError):
    """The upstream is leaving and refused the request without running it."""

    def __init__(self, incarnation: int) -> None:
        """Keep the incarnation of the upstream that is leaving."""
        super().__init__(
            Stage.NOT_SENT,
            Refusal(
                NO_UPSTREAM,
                'The upstream is leaving and takes no new requests',
                RETRY_AFTER,
            ),
        )
        self.incarnation = incarnation


def _error_event(refusal: Refusal) -> bytes:
    document = msgspec.json.encode(error_document(refusal))
    return b'event: error\ndata: %b\n\n' % document
