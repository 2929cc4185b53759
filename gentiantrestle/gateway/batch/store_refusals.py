"""What callers of batch jobs are told of failures of the store."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

from gentiantrestle import events
from gentiantrestle.errors import (
    CONFLICT,
    NOT_FOUND,
    STORE_UNAVAILABLE,
    TOO_LARGE,
    UPSTREAM_OUTCOME_UNKNOWN,
    RefusedError,
    refuse,
)
from gentiantrestle.gateway.batch.records import JobTakenError
from gentiantrestle.store.client import (
    ObjectTooLargeError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

ACCEPT_ERRORS = (
    StoreUnavailableError,  # also as ObjectTooLargeError
    StoreOutcomeUnknownError,
    JobTakenError,
)
UNANSWERED = 'The store did not answer in time'
STORE_RETRY_AFTER = 0.5  # seconds, while the store is unavailable


@contextmanager
def refusing_unavailable(*others: type[Exception]) -> Iterator[None]:
    """Refuse while the store is unavailable, and after ``others``."""
    kinds = (StoreUnavailableError, *others)
    try:
        yield
    except kinds as exc:
        raise _unavailable(exc) from exc


@asynccontextmanager
async def answering_by(until: float) -> AsyncIterator[None]:
    """Refuse what the store hasn't answered by a time of the event loop."""
    try:
        async with asyncio.timeout_at(until):
            yield
    except TimeoutError as exc:
        raise refuse(STORE_UNAVAILABLE, UNANSWERED, STORE_RETRY_AFTER) from exc


@contextmanager
def refusing_unaccepted() -> Iterator[None]:
    """Refuse a job that the store doesn't have, or may not have."""
    try:
        yield
    except ACCEPT_ERRORS as exc:
        raise _refusal_of_job(exc) from exc


@contextmanager
def noting_refusal(job_id: str) -> Iterator[None]:
    """Log why a job that was submitted is refused."""
    try:
        yield
    except RefusedError as exc:
        events.emit(
            events.JOB_REFUSED,
            job=job_id,
            kind=exc.refusal.kind.name,
            reason=exc.refusal.reason,
        )
        raise


def no_such_job(job_id: str, **seen: object) -> RefusedError:
    """Return the refusal of a call on a job that isn't there; log it.

    ``seen`` is what was looked at, as event 6110 names it.
    """
    events.emit(events.JOB_UNFOUND, job=job_id, **seen)
    return refuse(NOT_FOUND, 'No such job')


def no_such_item(job_id: str, item_id: str) -> RefusedError:
    """Return the refusal of a body of an item that a job lacks; log it."""
    events.emit(events.BODY_UNFOUND, item=item_id, job=job_id)
    return refuse(NOT_FOUND, 'The job has no such item')


def taken() -> RefusedError:
    """Return the refusal of a job whose id another account has used."""
    return refuse(CONFLICT, 'Another account has a job of this id')


def _refusal_of_job(exc: Exception) -> RefusedError:
    if isinstance(exc, ObjectTooLargeError):
        return refuse(TOO_LARGE, str(exc))
    if isinstance(exc, JobTakenError):
        return taken()
    if isinstance(exc, StoreOutcomeUnknownError):
        return refuse(
            UPSTREAM_OUTCOME_UNKNOWN,
            f'The store did not confirm the job: {exc}',
        )
    return _unavailable(exc)


def _unavailable(exc: Exception) -> RefusedError:
    return refuse(STORE_UNAVAILABLE, str(exc), STORE_RETRY_AFTER)
