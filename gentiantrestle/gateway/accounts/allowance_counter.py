"""Counts accounts for all instances; decides what is sent, sends nothing."""

from collections import Counter
from collections.abc import Callable, Iterator
from itertools import islice
from typing import NamedTuple

from gentiantrestle import allowance_events, events
from gentiantrestle.gateway.accounts.allowance_ledger import (
    AllowanceLedger,
    Limits,
    Verdict,
)
from gentiantrestle.gateway.accounts.allowance_owners import AllowanceOwners
from gentiantrestle.gateway.accounts.allowance_terms import AllowanceBook
from gentiantrestle.models import MAX_INT32
from gentiantrestle.wire.peer import ttypes

ASK = 'allowance_ask'
ANSWER = 'allowance_answer'
RETURN = 'allowance_return'
SPENT = 'allowance_spent'
CONFIRMED = 'allowance_confirmed'
MS_PER_S = 1000
# Asks are remembered, as they may be repeated or their grants given back.
ASK_MEMORY = 6.0  # seconds
# An instance that has done nothing for longer has stood still.
STANDSTILL = 0.5  # seconds
RANKED_AT_ONCE = 32  # accounts; ranking one takes a hash for each instance
MAX_FORGOTTEN = 500  # asks at a time
REVIEW_INTERVAL = 0.25  # seconds between two looks at who counts what
MIN_SHARE_TO_HAND_OVER = 0.5
AskKey = tuple[str, int]


class Outgoing(NamedTuple):
    """A message and the host that it is for."""

    host: str
    kind: str
    message: object


class Decision(NamedTuple):
    """What an ask was answered, and when, in s."""

    verdict: Verdict
    decided_at: float


class AllowanceCounter:
    """The counts that this instance keeps, for itself and for others."""

    def __init__(self, owners: AllowanceOwners, book: AllowanceBook) -> None:
        """Count nothing yet."""
        self.owners = owners
        self.book = book
        self._ledger = AllowanceLedger()
        self._decided: dict[AskKey, Decision] = {}
        # Granted here, by account, and not told to the regular counter yet.
        self._untold: Counter[str] = Counter()
        self._active_at: float | None = None
        self._reviewed_at = float('-inf')
        # Called with how long this instance has stood still, in s.
        self.on_standstill: Callable[[float, float], None] = _ignore

    def decide(self, key: AskKey, account: str, now: float) -> Verdict | None:
        """Charge an account for the ask of ``key``, the same ask only once.

        Returns None if the account isn't known here to have a limit.
        """
        self.notice_standstill(now)
        known = self._decided.get(key)
        if known is not None:
            return known.verdict
        limits = self.book.find(account)
        if limits is None:
            return None
        standing = self.owners.standing(account)
        verdict = self._ledger.charge(account, limits, standing, now)
        self._decided[key] = Decision(verdict, now)
        if verdict.granted and self.owners.rank(account).before:
            self._untold[account] += 1
        return verdict

    def answer(
        self, ask: ttypes.AllowanceAsk, now: float
    ) -> ttypes.AllowanceAnswer | None:
        """Answer an instance, if the account can be counted here."""
        verdict = self.decide((ask.holder, ask.number), ask.account, now)
        if verdict is None:
            return None
        return ttypes.AllowanceAnswer(
            ask.holder,
            ask.number,
            verdict.granted,
            int(verdict.wait * MS_PER_S),
        )

    def give_back(self, key: AskKey, account: str, now: float) -> None:
        """Take a charge back, once."""
        self.notice_standstill(now)
        known = self._decided.get(key)
        if known is None or not known.verdict.granted:
            return
        self._decided[key] = known._replace(verdict=Verdict(granted=False))
        self._ledger.give_back(account)
        if self.owners.rank(account).before:
            self._untold[account] -= 1

    def note_spent(
        self, spent: ttypes.AllowanceSpent, now: float
    ) -> Outgoing | None:
        """Apply what another instance has granted, or hands over.

        Returns the confirmation to be sent.
        """
        self.notice_standstill(now)
        limits = self.book.find(spent.account)
        if limits is None:
            return None
        standing = self.owners.standing(spent.account)
        bucket = self._ledger.open(spent.account, limits, standing, now)
        bucket.fill(limits, standing, now)
        bucket.deduct(spent.granted, limits, now)
        if spent.left is not None and bucket.may_adopt(now):
            bucket.adopt(spent.left, now)
        if not spent.host or not spent.granted:
            return None
        confirmation = ttypes.AllowanceConfirmed(
            spent.account, self.owners.instance
        )
        return Outgoing(spent.host, CONFIRMED, confirmation)

    def note_confirmed(
        self, message: ttypes.AllowanceConfirmed, now: float
    ) -> None:
        """Note that the regular counter deducts what is granted here."""
        self.notice_standstill(now)
        bucket = self._ledger.buckets.get(message.account)
        regular = self.owners.rank(message.account).before[:1]
        confirmed_by = [one.instance for one in regular]
        if bucket is not None and message.instance in confirmed_by:
            bucket.confirm(now)

    def tick(self, now: float) -> Iterator[Outgoing]:
        """Yield what other instances have to be told now."""
        self.notice_standstill(now)
        self._forget_asks(now)
        yield from self._report(now)
        self._rank_some()
        if now - self._reviewed_at >= REVIEW_INTERVAL:
            self._reviewed_at = now
            yield from self._review(now)
            self._ledger.forget_unused(now)

    def notice_standstill(self, now: float) -> None:
        """Distrust the counts if this instance has stood still.

        To be called before anything else is done at ``now``, so that others
        that have counted meanwhile are not forgotten.
        """
        since = self._active_at
        self._active_at = now
        if since is None or now - since < STANDSTILL:
            return
        for name, bucket in self._ledger.buckets.items():
            limits = self.book.find(name)
            if limits is not None:
                bucket.skip(now - since, limits, now)
        self.on_standstill(now - since, now)

    def _forget_asks(self, now: float) -> None:
        for key in tuple(islice(self._decided, MAX_FORGOTTEN)):
            # The oldest come first.
            if now - self._decided[key].decided_at < ASK_MEMORY:
                return
            self._decided.pop(key)

    def _report(self, now: float) -> Iterator[Outgoing]:
        """Tell the instances that go before this one what it has granted."""
        untold = self._untold
        self._untold = Counter()
        for account, granted in untold.items():
            bucket = self._ledger.buckets.get(account)
            if not granted or bucket is None:
                continue
            bucket.note_report(now)
            spent = ttypes.AllowanceSpent(
                account, granted, host=self.owners.host
            )
            for candidate in self.owners.rank(account).before:
                yield Outgoing(candidate.host, SPENT, spent)

    def _rank_some(self) -> None:
        is_ranked = self.owners.is_ranked
        unranked = (name for name in self.book.limits if not is_ranked(name))
        for name in tuple(islice(unranked, RANKED_AT_ONCE)):
            self.owners.rank(name)

    def _review(self, now: float) -> Iterator[Outgoing]:
        """Open and hand over counts as the instances change."""
        limits = self.book.limits
        taken = 0
        for account, limit in limits.items():
            if self.owners.is_ranked(account):
                yield from self._hand_over(account, limit, now)
                taken += self._own(account, limit, now)
        if taken:
            events.emit(allowance_events.ALLOWANCES_TAKEN_OVER, accounts=taken)

    def _own(self, account: str, limits: Limits, now: float) -> bool:
        """Open or leave a count; return whether it is this instance's now."""
        standing = self.owners.standing(account)
        bucket = self._ledger.buckets.get(account)
        if standing.is_first and (bucket is None or not bucket.is_owned):
            bucket = self._ledger.open(account, limits, standing, now)
            bucket.is_owned = True
            bucket.successor = None
            return True
        if bucket is not None:
            bucket.is_owned = standing.is_first
        return False

    def _hand_over(
        self, account: str, limits: Limits, now: float
    ) -> Iterator[Outgoing]:
        """Tell an instance that goes before this one to go on with a count.

        Both count then, and this one reports what it grants. A minority hands
        nothing over: it doesn't know what was granted elsewhere.
        """
        bucket = self._ledger.buckets.get(account)
        before = self.owners.rank(account).before[:1]
        if bucket is None or not bucket.is_active(now) or not before:
            return
        first = before[0]
        is_minority = self.owners.share <= MIN_SHARE_TO_HAND_OVER
        if bucket.successor == first or bucket.is_ramping(now):
            return
        if is_minority:
            return
        bucket.successor = first
        standing = self.owners.standing(account)
        # It still counts as the first, or its idle tokens would be capped.
        bucket.fill(limits, standing._replace(is_first=bucket.is_owned), now)
        left = min(int(max(0, bucket.tokens)), MAX_INT32)
        message = ttypes.AllowanceSpent(account, 0, left)
        yield Outgoing(first.host, SPENT, message)
        events.emit(
            allowance_events.ALLOWANCE_HANDED_OVER,
            account=account,
            instance=first.instance,
            left=left,
        )


def _ignore(gap: float, now: float) -> None:
    """Do nothing until a handler is set."""
