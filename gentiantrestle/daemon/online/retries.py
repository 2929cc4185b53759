"""Whether a failed attempt may be followed by another; no I/O."""

from enum import Enum
from typing import NamedTuple

MAX_ATTEMPTS = 3
BUDGET_RATIO = 0.2
BUDGET_FLOOR = 10.0
BUDGET_DECAY = 10.0  # seconds


class Stage(Enum):
    """How far an attempt had come when it failed."""

    NOT_SENT = 'not sent'
    SENT = 'sent'
    ANSWERING = 'answering'


class Verdict(Enum):
    """What follows a failed attempt."""

    RETRY = 'retry'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
    CUT = 'cut'


class Failure(NamedTuple):
    """A failed attempt, the number of attempts so far included."""

    stage: Stage
    repeatable: bool
    attempts: int


def judge(failure: Failure, *, within_budget: bool) -> Verdict:
    """Decide what follows; work that may have run is never called not run."""
    if failure.stage is Stage.ANSWERING:
        return Verdict.CUT
    may_repeat = failure.repeatable or failure.stage is Stage.NOT_SENT
    if may_repeat and within_budget and failure.attempts < MAX_ATTEMPTS:
        return Verdict.RETRY
    if failure.stage is Stage.NOT_SENT:
        return Verdict.NOT_RUN
    return Verdict.UNKNOWN


class RetryBudget:
    """Retries may be a share of the requests of the last seconds."""

    def __init__(self) -> None:
        """Start with the floor, so that a quiet instance may retry."""
        self._requests = float(0)
        self._retries = float(0)
        self._decayed_at: float | None = None

    def note_request(self, now: float) -> None:
        """Count a request that came in."""
        self._decay(now)
        self._requests += 1

    def take(self, now: float) -> bool:
        """Spend one retry if the budget has one."""
        self._decay(now)
        if self._retries >= BUDGET_FLOOR + BUDGET_RATIO * self._requests:
            return False
        self._retries += 1
        return True

    def _decay(self, now: float) -> None:
        if self._decayed_at is not None:
            passed = max(0, now - self._decayed_at)
            kept = max(0, 1 - passed / BUDGET_DECAY)
            self._requests *= kept
            self._retries *= kept
        self._decayed_at = now
