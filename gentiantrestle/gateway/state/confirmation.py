"""For which time the configuration in force was the newest stored; no I/O.

Times are those of ``boottime``, as a machine that is suspended hears nothing.
"""

from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle.store.watch_proof import DEAF_TIME

# Clocks of two machines, and the steps of their timers, differ by less.
CLOCK_MARGIN = 0.01  # of the time that a revocation may take
# The oldest that the confirmation of a watcher gets, as a share of that time.
CALM_SHARE = 0.4
ANSWER_TIME = 0.05  # seconds that an answer of the store is on its way
MIN_WATCH_WAIT = 0.2  # seconds
# Claims about versions that aren't in force here yet.
MAX_PENDING = 8
NEVER = float('-inf')


class Claim(NamedTuple):
    """Nothing newer than ``version`` was stored at the time ``at``, in s.

    ``source`` names who answered: the store, or an instance.
    """

    version: int
    at: float
    source: str = ''


NO_CLAIM = Claim(0, NEVER)


class ConfigConfirmation:
    """Collects claims, and judges the configuration in force by them.

    A claim counts while the version in force is not older than its own, so one
    that comes before its version is applied counts from then on.
    """

    def __init__(
        self, revocation_time: float, in_force: Callable[[], int]
    ) -> None:
        """Start unconfirmed.

        A request may be served by a configuration that was the newest within
        ``revocation_time`` s; 0 sets no bound. ``in_force`` returns the version
        in force, which never goes back.
        """
        self.revocation_time = revocation_time
        self._in_force = in_force
        self._confirmed = NO_CLAIM
        self._pending: dict[int, Claim] = {}

    @property
    def watch_wait(self) -> float:
        """Return how long a watch may wait, in s.

        What one proves is older by its wait, or by ``DEAF_TIME``, and is in use
        until the next has waited.
        """
        share = CALM_SHARE - CLOCK_MARGIN
        oldest = self.revocation_time * share - ANSWER_TIME
        return max(MIN_WATCH_WAIT, min(oldest / 2, oldest - DEAF_TIME))

    @property
    def last(self) -> Claim:
        """Return the newest claim that counts; at ``NEVER`` if none does."""
        in_force = self._in_force()
        counting = [
            claim
            for version, claim in self._pending.items()
            if version <= in_force
        ]
        for claim in counting:
            self._pending.pop(claim.version)
        self._confirmed = max((self._confirmed, *counting), key=_claim_time)
        return self._confirmed

    def confirm(self, claim: Claim) -> None:
        """Take a claim over; if too many are pending, the oldest goes."""
        if claim.version <= self._in_force():
            self._confirmed = max(self.last, claim, key=_claim_time)
            return
        known = self._pending.get(claim.version, NO_CLAIM)
        self._pending[claim.version] = max(known, claim, key=_claim_time)
        if len(self._pending) > MAX_PENDING:
            self._pending.pop(min(self._pending))

    def age(self, now: float) -> float:
        """Return for how long the configuration may be out of date, in s.

        It is infinite if it was never confirmed.
        """
        return now - self.last.at

    def is_fresh(self, now: float) -> bool:
        """Return whether a key that it holds can't have been gone for long."""
        if not self.revocation_time:
            return True
        return self.age(now) < self.revocation_time * (1 - CLOCK_MARGIN)


def _claim_time(claim: Claim) -> float:
    return claim.at
