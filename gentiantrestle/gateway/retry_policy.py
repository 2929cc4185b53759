"""Decides what follows an attempt on an upstream; no I/O."""

from enum import Enum
from typing import NamedTuple

# Attempts of one request that may end without being executed. Once it may have
# been executed, only those count that reached no upstream.
MAX_REFUSALS = 4
# With less time left than this, another attempt is not worth its cost.
MIN_TIME_LEFT = 0.05  # seconds
# Upstreams that may end under one request while they begin its answer.
MAX_CRASHES = 2


class AttemptOutcome(Enum):
    """How an attempt ended.

    ``NOT_RUN``: the upstream said that it did not execute the request.
    ``UNREACHED``: the connection failed before anything was sent.
    ``FAILED``: the upstream answered with an error.
    ``LOST``: no complete genuine response came; it may have been executed.
    ``EXPIRED``: the request's deadline passed.
    ``REFUSED``: another instance has refused it for all, and not executed it.
    ``QUARANTINED``: it was not sent, because such requests crash upstreams.
    """

    DONE = 'done'
    NOT_RUN = 'not run'
    UNREACHED = 'unreached'
    FAILED = 'failed'
    LOST = 'lost'
    EXPIRED = 'expired'
    REFUSED = 'refused'
    QUARANTINED = 'quarantined'


FINAL_OUTCOMES = frozenset(
    (
        AttemptOutcome.EXPIRED,
        AttemptOutcome.REFUSED,
        AttemptOutcome.QUARANTINED,
    )
)


class Step(Enum):
    """What is done after an attempt.

    ``REFUSE``: refuse the request; it was not executed.
    ``PASS_ON``: forward the error response of the upstream.
    ``ANSWER_UNKNOWN``: refuse it; it may have been executed.
    ``CUT``: abort a response that has been started.
    """

    FINISH = 'finish'
    RETRY = 'retry'
    REFUSE = 'refuse'
    PASS_ON = 'pass on'
    ANSWER_UNKNOWN = 'answer unknown'
    CUT = 'cut'


class RequestProgress(NamedTuple):
    """The attempts of one request so far.

    ``runs`` counts attempts that the upstream may have executed, and
    ``refusals`` those that no upstream executed, ``unreached`` of these those
    that met none. ``crashes`` counts upstreams that ended while they began the
    answer.
    """

    idempotent: bool
    max_attempts: int
    runs: int = 0
    refusals: int = 0
    response_started: bool = False
    crashes: int = 0
    unreached: int = 0

    @property
    def is_owed(self) -> bool:
        """Whether it is too late to say that the request was not run."""
        return self.response_started or self.runs > 0

    @property
    def fruitless(self) -> int:
        """Count the refusals that suggest that no upstream will do."""
        return self.unreached if self.is_owed else self.refusals


def next_step(
    outcome: AttemptOutcome, progress: RequestProgress, left: float
) -> Step:
    """Decide what follows an attempt, with ``left`` s until the deadline.

    ``progress`` includes the attempt that has just ended. A request that may
    have been executed is never reported as not run, and is only repeated if
    it is idempotent.
    """
    if outcome is AttemptOutcome.DONE:
        return Step.FINISH
    if _may_retry(outcome, progress, left):
        return Step.RETRY
    if progress.response_started:
        return Step.CUT
    if outcome is AttemptOutcome.FAILED:
        return Step.PASS_ON
    if progress.runs:
        return Step.ANSWER_UNKNOWN
    return Step.REFUSE


def _may_retry(
    outcome: AttemptOutcome, progress: RequestProgress, left: float
) -> bool:
    if outcome in FINAL_OUTCOMES or left < MIN_TIME_LEFT:
        return False
    if progress.crashes >= MAX_CRASHES:
        return False
    if outcome in {AttemptOutcome.NOT_RUN, AttemptOutcome.UNREACHED}:
        if progress.fruitless >= MAX_REFUSALS:
            return False
        return progress.idempotent or not progress.runs
    return progress.idempotent and progress.runs < progress.max_attempts
