"""Retry rules and the retry budget; no I/O."""

from enum import Enum
from typing import NamedTuple

MAX_ATTEMPTS = 3
# Upstreams that may end under one request while they begin its answer.
MAX_CRASHES = 2
BUDGET_RATIO = 0.2  # retries per recent request
BUDGET_FLOOR = 10.0  # retries
BUDGET_DECAY_TIME = 10.0  # seconds


class Stage(Enum):
    """How far an attempt had got when it failed."""

    NOT_SENT = 'not sent'
    SENT = 'sent'
    ANSWERING = 'answering'


class Verdict(Enum):
    """What follows a failed attempt.

    Without a retry, the request was not run, its outcome is unknown, or its
    answer was cut short.
    """

    RETRY = 'retry'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
    CUT = 'cut'


class Failure(NamedTuple):
    """A failed attempt; ``attempts`` counts those so far, this one included.

    ``crashes`` counts the upstreams that ended while they began the answer.
    """

    stage: Stage
    repeatable: bool
    attempts: int
    crashes: int = 0


def classify_failure(failure: Failure, *, within_budget: bool) -> Verdict:
    """Decide what follows a failed attempt.

    A request that was sent is never classified as not run, since the upstream
    may have run it.
    """
    if failure.stage is Stage.ANSWERING:
        return Verdict.CUT
    may_repeat = failure.repeatable or failure.stage is Stage.NOT_SENT
    if failure.crashes >= MAX_CRASHES:
        may_repeat = False
    if may_repeat and within_budget and failure.attempts < MAX_ATTEMPTS:
        return Verdict.RETRY
    if failure.stage is Stage.NOT_SENT:
        return Verdict.NOT_RUN
    return Verdict.UNKNOWN


class RetryBudget:
    """Limits retries and hedges to a floor and a share of recent requests."""

    def __init__(self) -> None:
        """Start empty; the floor allows retries with few requests."""
        self._requests = float(0)
        self._retries = float(0)
        self._decayed_at: float | None = None

    def record_request(self, now: float) -> None:
        """Count a new request, which adds to the budget."""
        self._decay(now)
        self._requests += 1

    def try_spend(self, now: float) -> bool:
        """Spend one retry; return False if the budget is used up."""
        self._decay(now)
        if self._retries >= BUDGET_FLOOR + BUDGET_RATIO * self._requests:
            return False
        self._retries += 1
        return True

    def _decay(self, now: float) -> None:
        if self._decayed_at is not None:
            elapsed = max(0, now - self._decayed_at)
            remaining = max(0, 1 - elapsed / BUDGET_DECAY_TIME)
            self._requests *= remaining
            self._retries *= remaining
        self._decayed_at = now
