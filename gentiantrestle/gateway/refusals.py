"""What a caller is told whose request no upstream has answered."""

from gentiantrestle import events
from gentiantrestle.errors import (
    ANSWER_TIMEOUT,
    NO_UPSTREAM,
    QUARANTINED,
    UPSTREAM_OUTCOME_UNKNOWN,
    RefusedError,
    refuse,
)
from gentiantrestle.gateway.model import Request
from gentiantrestle.gateway.retry_policy import AttemptOutcome, Step
from gentiantrestle.gateway.slots.queueing import (
    MIN_RETRY_AFTER,
    retry_after_seconds,
)
from gentiantrestle.quarantine.guard import (
    TRIAL_INTERVAL,
    RequestGuard,
    describe,
    retry_after,
)


def final_refusal(
    step: Step, outcome: AttemptOutcome, reason: str, req: Request, now: float
) -> RefusedError:
    """Return the refusal that follows the last attempt of a request.

    ``reason`` is that of the attempt's ``outcome``.
    """
    if step is Step.REFUSE and outcome is AttemptOutcome.QUARANTINED:
        return refuse(QUARANTINED, reason, TRIAL_INTERVAL)
    if step is Step.REFUSE:
        delay = retry_after_seconds(MIN_RETRY_AFTER, req, now)
        return refuse(NO_UPSTREAM, reason, delay)
    if outcome is AttemptOutcome.EXPIRED:
        return refuse(ANSWER_TIMEOUT, reason)
    return refuse(UPSTREAM_OUTCOME_UNKNOWN, reason)


def refuse_quarantined(
    guard: RequestGuard, req: Request, traits: tuple[str, ...], wall: float
) -> None:
    """Raise ``RefusedError`` if a request can't be served for long."""
    culprit = guard.find_refused(traits, wall)
    if culprit is None:
        return
    reason = describe(culprit)
    events.emit(events.REQUEST_QUARANTINED, request=req.id, reason=reason)
    raise refuse(QUARANTINED, reason, retry_after(culprit, wall))


def note_abandoned(req: Request, version: str, reason: str) -> None:
    """Log that an answer ends early, as no slot can be had to go on."""
    events.emit(
        events.ANSWER_ABANDONED,
        request=req.id,
        version=version,
        reason=reason,
        step=Step.CUT.value,
    )
