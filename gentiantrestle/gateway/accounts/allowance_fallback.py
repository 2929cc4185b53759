"""Grants while no counter answers; no I/O."""

from collections import deque

from gentiantrestle.gateway.accounts.allowance_ledger import Limits, Verdict
from gentiantrestle.gateway.accounts.allowance_owners import Ranking

MAX_WAIT = 1.0  # seconds


class FallbackPermits:
    """This instance's share of the accounts' tolerance.

    The tolerance is dealt over all instances by the account's ranking, so that
    all of them together grant no more than that in a window.
    """

    def __init__(self) -> None:
        """Have granted nothing."""
        self._granted: dict[str, deque[float]] = {}
        # Granted, and not told to a counter yet.
        self._untold: dict[str, int] = {}

    def decide(
        self, account: str, limits: Limits, ranking: Ranking, now: float
    ) -> Verdict:
        """Grant a request if there is a permit left in the window."""
        size = max(1, ranking.size)
        each, rest = divmod(int(limits.tolerance), size)
        permits = each + (ranking.place < rest)
        granted = self._granted.setdefault(account, deque())
        while granted and now - granted[0] > limits.window:
            granted.popleft()
        if len(granted) >= permits:
            wait = min(1 / limits.rate, MAX_WAIT)
            return Verdict(granted=False, wait=wait)
        granted.append(now)
        self._untold[account] = self._untold.get(account, 0) + 1
        return Verdict(granted=True)

    def give_back(self, account: str) -> None:
        """Tell counters of one grant less, as its request has not run."""
        self._untold[account] = self._untold.get(account, 0) - 1

    def pop_untold(self, account: str) -> int:
        """Return the grants that no counter was told of; they are told now."""
        return self._untold.pop(account, 0)
