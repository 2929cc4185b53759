"""Logs calls on batch jobs that get no answer, and how far each one came."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from enum import Enum

from gentiantrestle import events, job_events
from gentiantrestle.errors import STORE_UNAVAILABLE, RefusedError
from gentiantrestle.gateway.batch.job_index import JobEntry

UNSURE = STORE_UNAVAILABLE.status
MAX_REFUSED = 1000  # jobs that are remembered as refused
LEFT = 'the caller left, or this instance stops'
MS_PER_S = 1000


class Operation(Enum):
    """What a caller wants of a job."""

    RESULTS = 'results'
    BODY = 'body'
    CANCEL = 'cancel'


class Step(Enum):
    """What a call on a job waits for, or failed at."""

    FIND = 'find'
    NOT_PREPARED = 'not prepared'
    OWNER = 'owner'
    CHUNKS = 'chunks'
    WAIT = 'wait'
    BODY = 'body'
    CANCEL = 'cancel'


class JobCall:
    """A call on a job, and how far it has come.

    ``position`` is that of the first result, or the item of a body.
    """

    def __init__(
        self, job: str, operation: Operation, position: int | str = ''
    ) -> None:
        """Start with nothing known of the job."""
        self.job = job
        self.operation = operation
        self.position = position
        self.step = Step.FIND
        self.entry: JobEntry | None = None

    @property
    def known(self) -> int | None:
        """Count the results known here; None if the job isn't known."""
        return None if self.entry is None else len(self.entry.results)


_current: ContextVar[JobCall | None] = ContextVar('job call', default=None)


def reach(step: Step) -> None:
    """Note the step that the call in this context has reached, if any."""
    call = _current.get()
    if call is not None:
        call.step = step


class JobCallLog:
    """Writes a line for each call without an answer, and for the end of it."""

    def __init__(self) -> None:
        """Start with no call refused."""
        # When reads of jobs were first refused here, since the last answer.
        self._refused: dict[str, float] = {}

    @contextmanager
    def noting(self, call: JobCall) -> Iterator[None]:
        """Log the call if it is refused as unsure, or if its caller leaves."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        token = _current.set(call)
        try:
            yield
        except RefusedError as exc:
            if exc.refusal.kind.status == UNSURE:
                self._note_unanswered(call, exc.refusal.reason, started)
            raise
        except asyncio.CancelledError:
            self._note_unanswered(call, LEFT, started)
            raise
        finally:
            _current.reset(token)
        self._note_answered(call, loop.time())

    def _note_unanswered(
        self, call: JobCall, reason: str, started: float
    ) -> None:
        now = asyncio.get_running_loop().time()
        if call.operation is Operation.RESULTS:
            self._refused.setdefault(call.job, now)
            if len(self._refused) > MAX_REFUSED:
                self._refused.pop(next(iter(self._refused)))
        events.emit(
            job_events.JOB_CALL_UNANSWERED,
            job=call.job,
            operation=call.operation.value,
            position=call.position,
            step=call.step.value,
            reason=reason,
            took_ms=round((now - started) * MS_PER_S),
            known=call.known,
        )

    def _note_answered(self, call: JobCall, now: float) -> None:
        if call.operation is not Operation.RESULTS:
            return
        refused_at = self._refused.pop(call.job, None)
        if refused_at is not None:
            events.emit(
                job_events.JOB_READ_AGAIN,
                job=call.job,
                unread_ms=round((now - refused_at) * MS_PER_S),
            )
