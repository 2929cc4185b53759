"""What follows an attempt on an upstream; decisions only, no I/O."""

from enum import Enum
from typing import NamedTuple

# Refusals by upstreams that a request may meet before it is given up.
MAX_REFUSALS = 4
# With less time left than this no other attempt is worth its work.
MIN_TIME_LEFT = 0.05  # seconds


class Outcome(Enum):
    """How an attempt ended."""

    DONE = 'done'
    NOT_RUN = 'not run'
    UNREACHED = 'unreached'
    FAILED = 'failed'
    LOST = 'lost'
    EXPIRED = 'expired'


class Step(Enum):
    """What is done next."""

    FINISH = 'finish'
    RETRY = 'retry'
    REFUSE = 'refuse'
    PASS_ON = 'pass on'
    ANSWER_UNKNOWN = 'answer unknown'
    CUT = 'cut'


class Progress(NamedTuple):
    """What has become of one request so far."""

    idempotent: bool
    max_attempts: int
    runs: int = 0
    refusals: int = 0
    begun: bool = False


def next_step(outcome: Outcome, so_far: Progress, left: float) -> Step:
    """Decide what follows an attempt, with ``left`` s until the deadline.

    ``so_far`` counts the attempt that has just ended. Work that may have run
    is never called not run, and is repeated only where that is harmless.
    """
    if outcome is Outcome.DONE:
        return Step.FINISH
    if _may_retry(outcome, so_far, left):
        return Step.RETRY
    if so_far.begun:
        return Step.CUT
    if outcome is Outcome.FAILED:
        return Step.PASS_ON
    if so_far.runs:
        return Step.ANSWER_UNKNOWN
    return Step.REFUSE


def _may_retry(outcome: Outcome, so_far: Progress, left: float) -> bool:
    if outcome is Outcome.EXPIRED or left < MIN_TIME_LEFT:
        return False
    if outcome in {Outcome.NOT_RUN, Outcome.UNREACHED}:
        return so_far.refusals < MAX_REFUSALS and (
            so_far.idempotent or not so_far.runs
        )
    return so_far.idempotent and so_far.runs < so_far.max_attempts
