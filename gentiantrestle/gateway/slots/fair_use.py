"""Recent use of slots by client accounts, and who is over its share; no I/O.

Answers accounts that ask for more slots together than there are, each within
its allowance: one of them at several times its usual rate must not take the
room of all others. Use is the time that slots are held, not their number, and
decays, so an account is soon within its share again. A share goes by the
account's allowance, the only statement of its size.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from gentiantrestle.gateway.accounts.model import AccountBook
from gentiantrestle.gateway.slots.messages import Ask

HALF_LIFE = 2.0  # seconds until past use counts half
TIME_CONSTANT = HALF_LIFE / math.log(2)  # seconds
# Up to this multiple of its share an account is served like all others.
SHARE_FACTOR = 1.25
# A single request of a small account is many times its share.
MIN_EXCESS = 1.0  # slots
# Served less often than this part of the mean, an account is no longer put
# behind; callers are promised a quarter.
STARVED_PART = 0.33
# Use changes little in this time, and is read for each message.
STANDINGS_LIFETIME = 0.05  # seconds
FORGET_INTERVAL = 10.0  # seconds
NEGLIGIBLE = 0.01  # slots, or requests
NO_ACCOUNT = ''


def equal_rate(account: str) -> float:
    """Return 0: the account counts as much as any other."""
    return 0


class AllowanceRates:
    """The rates of all accounts in requests a second, by their names."""

    def __init__(self, read_book: Callable[[], AccountBook | None]) -> None:
        """Read the accounts of the configuration in force."""
        self._read_book = read_book
        self._book: AccountBook | None = None
        self._rates: dict[str, float] = {}

    def find(self, account: str) -> float:
        """Return the rate of an account; 0 without a limit or a name."""
        book = self._read_book()
        if book is not self._book:
            self._book = book
            accounts = book.accounts if book else ()
            self._rates = {known.name: known.rate for known in accounts}
        return self._rates.get(account, 0)


class Usage:
    """What one account holds and got of late, all decayed."""

    def __init__(self, now: float) -> None:
        """Start with nothing."""
        self.held = 0
        self.mean = float(0)
        self.asked = float(0)
        self.granted = float(0)
        self._at = now

    def advance(self, now: float) -> 'Usage':
        """Let the time until ``now`` pass."""
        decay = math.exp(min(0, self._at - now) / TIME_CONSTANT)
        self.mean = self.held + (self.mean - self.held) * decay
        self.asked *= decay
        self.granted *= decay
        self._at = max(self._at, now)
        return self

    @property
    def is_negligible(self) -> bool:
        """Return whether nothing is left to remember."""
        return not self.held and self.mean + self.asked < NEGLIGIBLE


class Standing(NamedTuple):
    """An account's mean use and its share, in slots, and its level.

    Level 0 is within the share; each further one stands for twice the use.
    """

    use: float
    share: float
    level: int


class Standings(NamedTuple):
    """How all accounts stood at one time.

    ``within`` is the mean number of slots of all that are within their share.
    """

    at: float
    accounts: Mapping[str, Standing]
    within: float

    @property
    def levels(self) -> dict[str, int]:
        """Return the levels of the accounts that are over their share."""
        return {
            account: known.level
            for account, known in self.accounts.items()
            if known.level
        }


class FairUse:
    """The use of one service's slots, by requests or by batch items.

    What has no account is within its share: callers of anonymous routes, and
    instances of an earlier build, which speak for many accounts.
    """

    def __init__(self, find_rate: Callable[[str], float]) -> None:
        """Weigh accounts by their rates; without any they are equal."""
        self._find_rate = find_rate
        self._usages: dict[str, Usage] = {}
        self._standings = Standings(-math.inf, {}, 0)
        self._forgot_at = -math.inf

    @property
    def has_accounts(self) -> bool:
        """Return whether any account has used slots of late."""
        return len(self._usages) > int(NO_ACCOUNT in self._usages)

    def hold(self, account: str, change: int, now: float) -> None:
        """Count slots that an account takes (1) or gives back (-1)."""
        self._forget_idle(now)
        self._usage(account, now).held += change

    def note_outcome(self, ask: Ask, now: float, *, granted: bool) -> None:
        """Count a request that got a slot, or none; retries are no new ones."""
        usage = self._usage(ask.account, now)
        usage.asked += not ask.retry
        usage.granted += granted

    def standings(self, now: float) -> Standings:
        """Return how the accounts stand, as of a few ms ago at most."""
        if now - self._standings.at >= STANDINGS_LIFETIME:
            self._standings = self._compare(now)
        return self._standings

    def _usage(self, account: str, now: float) -> Usage:
        usage = self._usages.get(account)
        if usage is None:
            usage = Usage(now)
            self._usages[account] = usage
        return usage.advance(now)

    def _compare(self, now: float) -> Standings:
        named = {
            account: usage.advance(now)
            for account, usage in self._usages.items()
        }
        used = sum(usage.mean for usage in named.values())
        named.pop(NO_ACCOUNT, None)
        served = _served_part(named.values())
        standings = {
            account: Standing(
                named[account].mean,
                share,
                _level(named[account], share, served),
            )
            for account, share in self._shares(named).items()
        }
        over = sum(known.use for known in standings.values() if known.level)
        return Standings(now, standings, used - over)

    def _shares(self, usages: Mapping[str, Usage]) -> dict[str, float]:
        """Return what each account would use if it did as all others do."""
        rates = {account: self._find_rate(account) for account in usages}
        known = [rate for rate in rates.values() if rate]
        # An account without a limit counts as one of the usual size.
        usual = sum(known) / len(known) if known else 1
        whole = sum(rate or usual for rate in rates.values())
        used = sum(usage.mean for usage in usages.values())
        return {
            account: _share(used - usages[account].mean, rate or usual, whole)
            for account, rate in rates.items()
        }

    def _forget_idle(self, now: float) -> None:
        """Drop the accounts that have used nothing for long."""
        if now - self._forgot_at < FORGET_INTERVAL:
            return
        self._forgot_at = now
        self._usages = {
            account: usage
            for account, usage in self._usages.items()
            if not usage.advance(now).is_negligible
        }


class ServiceUses:
    """The use of slots of all services, that of batch items apart.

    Batch takes what requests leave, so it doesn't count against the requests
    of its account.
    """

    def __init__(self, find_rate: Callable[[str], float]) -> None:
        """Weigh accounts by their rates."""
        self._find_rate = find_rate
        self._uses: dict[tuple[str, bool], FairUse] = {}

    def find(self, service: str, *, batch: bool) -> FairUse:
        """Return the use of a service's slots by requests, or by batch."""
        key = (service, batch)
        if key not in self._uses:
            self._uses[key] = FairUse(self._find_rate)
        return self._uses[key]

    def accounts_over_share(self, now: float) -> int:
        """Count the accounts whose requests are over, for each service."""
        return sum(
            len(use.standings(now).levels)
            for (_, batch), use in self._uses.items()
            if not batch
        )


def _share(others_use: float, weight: float, whole: float) -> float:
    """Return the use that is to ``weight`` as others' use is to theirs."""
    others = whole - weight
    return others_use * weight / others if others > 0 else math.inf


def _level(usage: Usage, share: float, served: float) -> int:
    limit = max(SHARE_FACTOR * share, share + MIN_EXCESS)
    if usage.mean <= limit or _served_part([usage]) < STARVED_PART * served:
        return 0
    return 1 + int(math.log2(usage.mean / limit))


def _served_part(usages: Iterable[Usage]) -> float:
    """Return how much of what was asked of late was granted."""
    known = tuple(usages)
    asked = sum(usage.asked for usage in known)
    return sum(usage.granted for usage in known) / asked if asked else 1
