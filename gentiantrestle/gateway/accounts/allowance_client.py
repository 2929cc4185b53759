"""Asks the counters of accounts; decides what is sent, sends nothing."""

from collections.abc import Callable
from itertools import count, islice
from typing import NamedTuple

from gentiantrestle import allowance_events, events
from gentiantrestle.gateway.accounts.allowance_charge import PendingCharge
from gentiantrestle.gateway.accounts.allowance_counter import (
    ASK,
    MS_PER_S,
    RETURN,
    SPENT,
    AllowanceCounter,
    Outgoing,
)
from gentiantrestle.gateway.accounts.allowance_fallback import FallbackPermits
from gentiantrestle.gateway.accounts.allowance_ledger import (
    Candidate,
    Limits,
    Verdict,
)
from gentiantrestle.gateway.accounts.allowance_owners import (
    SPLIT_SHARE,
)
from gentiantrestle.wire.peer import ttypes

# Pause until the next counter is asked as well.
ASK_INTERVAL = 0.045  # seconds; a round trip between regions takes 24 ms
MAX_ASKED = 4  # counters for one request
# One that hasn't answered for this long is silent.
ANSWER_TIMEOUT = 0.1  # seconds
# A silent one is asked after the others at first; longer if it stays silent.
SUSPICION_TIME = 1.0  # seconds
MAX_SUSPICION_TIME = 4.0  # seconds
# Asks are remembered, so that late grants are given back.
SENT_MEMORY = 6.0  # seconds
# A grant that reaches its caller later may have lapsed.
GRANT_LIFETIME = 1.0  # seconds
MAX_FORGOTTEN = 500  # asks at a time


class SentAsk(NamedTuple):
    """An ask that was sent, and when, in s."""

    charge: PendingCharge
    candidate: Candidate
    asked_at: float


class Suspicion(NamedTuple):
    """Until when an instance is taken for silent, and for how long, in s."""

    until: float
    seconds: float


class AllowanceClient:
    """The charges that this instance asks for."""

    def __init__(
        self,
        run: str,
        host: str,
        counter: AllowanceCounter,
        send: Callable[[Outgoing], None],
    ) -> None:
        """Ask as ``run``; answers come to ``host``."""
        self._run = run
        self._host = host
        self._counter = counter
        self._owners = counter.owners
        self._send = send
        self._numbers = count(1)
        self._sent: dict[int, SentAsk] = {}
        self._unanswered: set[int] = set()
        self._suspects: dict[str, Suspicion] = {}
        self._permits = FallbackPermits()

    def begin(self, account: str, limits: Limits, now: float) -> PendingCharge:
        """Ask for a charge; it may be settled at once."""
        order = self._order(account, now)
        charge = PendingCharge(account, limits, order[:MAX_ASKED])
        self.advance(charge, now)
        return charge

    def advance(self, charge: PendingCharge, now: float) -> None:
        """Ask the next counter, or decide without one."""
        left = charge.order[len(charge.asked) :]
        if charge.verdict is not None:
            return
        if charge.refusal:
            charge.settle(charge.refusal)
        elif left:
            charge.next_at = now + ASK_INTERVAL
            for last in charge.asked[-1:]:
                self._send_ask(last)
            self._ask(charge, left[0], now)
        else:
            self._decide_alone(charge, now)

    def receive(self, answer: ttypes.AllowanceAnswer, now: float) -> None:
        """Apply the answer of a counter."""
        sent = self._sent.get(answer.number)
        if sent is None or answer.holder != self._run:
            return
        self._unanswered.discard(answer.number)
        self._suspects.pop(sent.candidate.instance, None)
        charge = sent.charge
        verdict = Verdict(answer.granted, answer.wait / MS_PER_S)
        is_valid = now - sent.asked_at < GRANT_LIFETIME
        if charge.verdict is None and is_valid:
            self._settle(charge, answer.number, verdict)
        elif answer.granted and charge.granted_by != answer.number:
            self._return(answer.number, sent, now)
        self._tell(sent, now)

    def give_back(self, charge: PendingCharge, now: float) -> None:
        """Give a granted charge back, as its request has not run."""
        if charge.verdict is None or not charge.verdict.granted:
            return
        number = charge.granted_by
        charge.settle(Verdict(granted=False))
        if number is None:
            self._permits.give_back(charge.account)
            return
        sent = self._sent.get(number)
        if sent is not None:
            self._return(number, sent, now)

    def withdraw(self, charge: PendingCharge, now: float) -> None:
        """End a charge whose caller is gone; a late grant is given back."""
        if charge.verdict is None:
            charge.settle(Verdict(granted=False))
        else:
            self.give_back(charge, now)

    def tick(self, now: float) -> None:
        """Suspect the counters that don't answer, and forget old asks."""
        for number in tuple(self._unanswered):
            sent = self._sent[number]
            if now - sent.asked_at > ANSWER_TIMEOUT:
                self._unanswered.discard(number)
                self._suspect(sent.candidate, now)
        for old in tuple(islice(self._sent, MAX_FORGOTTEN)):
            # The oldest come first.
            if now - self._sent[old].asked_at < SENT_MEMORY:
                break
            self._sent.pop(old)

    def note_standstill(self, gap: float, now: float) -> None:
        """Blame no counter for answers that could not be read here."""
        self._unanswered.clear()

    def _order(self, account: str, now: float) -> tuple[Candidate, ...]:
        """Order the counters; silent ones come last."""
        is_split = self._owners.share < SPLIT_SHARE

        def is_doubtful(candidate: Candidate) -> bool:
            name = candidate.instance
            known = self._suspects.get(name)
            if known is not None and now < known.until:
                return True
            return is_split and name in self._owners.out_of_touch

        return tuple(
            sorted(self._owners.rank(account).candidates, key=is_doubtful)
        )

    def _decide_alone(self, charge: PendingCharge, now: float) -> None:
        charge.is_alone = True
        ranking = self._owners.rank(charge.account)
        charge.settle(
            self._permits.decide(charge.account, charge.limits, ranking, now)
        )

    def _ask(
        self, charge: PendingCharge, candidate: Candidate, now: float
    ) -> None:
        number = next(self._numbers)
        charge.asked.append(number)
        self._sent[number] = SentAsk(charge, candidate, now)
        if candidate.instance == self._owners.instance:
            key = (self._run, number)
            verdict = self._counter.decide(key, charge.account, now)
            if verdict is not None:
                self._settle(charge, number, verdict)
        else:
            self._unanswered.add(number)
            self._send_ask(number)

    def _send_ask(self, number: int) -> None:
        sent = self._sent.get(number)
        if sent is None or sent.candidate.instance == self._owners.instance:
            return
        account = sent.charge.account
        first = self._owners.rank(account).candidates[:1]
        ask = ttypes.AllowanceAsk(
            self._run, number, self._host, account, (sent.candidate,) != first
        )
        self._send(Outgoing(sent.candidate.host, ASK, ask))

    def _settle(
        self, charge: PendingCharge, number: int, verdict: Verdict
    ) -> None:
        """Take a grant at once, and a refusal of the first that was asked.

        Others are new to the account: the first may still grant.
        """
        if verdict.granted or number == charge.asked[0]:
            charge.settle(verdict, number)
        else:
            charge.refusal = verdict

    def _return(self, number: int, sent: SentAsk, now: float) -> None:
        account = sent.charge.account
        if sent.candidate.instance == self._owners.instance:
            self._counter.give_back((self._run, number), account, now)
            return
        message = ttypes.AllowanceReturn(self._run, number, account)
        self._send(Outgoing(sent.candidate.host, RETURN, message))

    def _tell(self, sent: SentAsk, now: float) -> None:
        """Tell a counter what was granted here without one."""
        account = sent.charge.account
        granted = self._permits.pop_untold(account)
        if granted:
            message = ttypes.AllowanceSpent(account, granted)
            self._send(Outgoing(sent.candidate.host, SPENT, message))

    def _suspect(self, candidate: Candidate, now: float) -> None:
        name = candidate.instance
        known = self._suspects.get(name)
        if known is not None and now < known.until:
            return
        seconds = SUSPICION_TIME
        if known is not None:
            seconds = min(known.seconds * 2, MAX_SUSPICION_TIME)
        self._suspects[name] = Suspicion(now + seconds, seconds)
        events.emit(allowance_events.COUNTER_SILENT, instance=name)
