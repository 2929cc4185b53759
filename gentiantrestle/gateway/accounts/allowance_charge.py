"""A charge on its way to the counters of its account; no I/O."""

from collections.abc import Callable

from gentiantrestle.gateway.accounts.allowance_ledger import (
    Candidate,
    Limits,
    Verdict,
)


class PendingCharge:
    """A charge that is asked for, until it has a verdict."""

    def __init__(
        self, account: str, limits: Limits, order: tuple[Candidate, ...]
    ) -> None:
        """Ask ``order`` one after the other."""
        self.account = account
        self.limits = limits
        self.order = order
        # The numbers of its asks.
        self.asked: list[int] = []
        # When the next step is due, in s.
        self.next_at: float = 0
        self.verdict: Verdict | None = None
        # The ask that was granted.
        self.granted_by: int | None = None
        # Whether no counter had a say.
        self.is_alone = False
        # Of one that stands in, while the first may still grant.
        self.refusal: Verdict | None = None
        self.on_settled: Callable[[], None] = _nothing

    def settle(self, verdict: Verdict, number: int | None = None) -> None:
        """Note the verdict, and the ask that has brought it."""
        self.verdict = verdict
        self.granted_by = number if verdict.granted else None
        self.on_settled()


def _nothing() -> None:
    """Do nothing until a handler is set."""
