"""Counts requests against accounts' allowances at one instance; no I/O.

Answers one account that asks for several times its allowance, beside many that
stay within theirs, while counters are lost, frozen, cut off or replaced. A
counter that is new may overlap with one it doesn't know of, so it starts with
few tokens and its rate rises from 0; one that sees a part of the fleet grants
that part.
"""

from typing import NamedTuple

from gentiantrestle.gateway.accounts.model import Account, AllowanceTerms

# A new counter's rate rises to the account's within this time. It is longer
# than instances take to notice that they see a part of the fleet only.
RAMP_TIME = 3.5  # seconds
# What a counter may use of an account's tolerance in tokens; the rest covers
# counters that overlap, and grants without a counter.
MARGIN_SHARE = 0.25
# A counter that stands in has lost its place if it isn't asked for this long.
STAND_IN_PAUSE = 1.0  # seconds
# A report that isn't confirmed for this long was not received.
CONFIRM_TIMEOUT = 0.15  # seconds
FORGET_AFTER = 30.0  # seconds that an unused counter is kept
BACKLOG_TIME = 0.1  # seconds in which messages from before a gap are read
# Others take an instance for gone that has stood still for longer.
LONG_GAP = 1.5  # seconds
# What others have granted meanwhile is told within this time.
MISSED_TIME = 1.0  # seconds
# Requests reach a counter later than they came, some more than others.
ARRIVAL_JITTER = 0.03  # seconds
MAX_DEBT = 1.0  # seconds of the account's rate


class Limits(NamedTuple):
    """What an account may ask for.

    ``rate`` is in requests a second, ``burst`` in requests at once.
    ``tolerance`` is what all instances may grant beyond the allowance in a
    window, and ``margin`` the part of it that one counter may use.
    """

    rate: float
    burst: float
    margin: float
    tolerance: float
    window: float

    @classmethod
    def from_account(cls, account: Account, terms: AllowanceTerms) -> 'Limits':
        """Derive the limits of an account that has a rate."""
        allowed = account.rate * terms.window + account.burst
        tolerance = allowed * terms.overshoot + terms.slack
        return cls(
            account.rate,
            max(account.burst, 1),
            tolerance * MARGIN_SHARE,
            tolerance,
            terms.window,
        )


class Standing(NamedTuple):
    """The place of this instance among those that may count an account.

    ``is_first`` if it is its regular counter; ``share`` of the fleet it sees.
    """

    is_first: bool
    share: float


class Candidate(NamedTuple):
    """An instance that may count an account, and where it runs."""

    instance: str
    host: str
    incarnation: int = 0


class Verdict(NamedTuple):
    """Whether a request is granted; if not, in how many s there is room."""

    granted: bool
    wait: float = 0


class Bucket:
    """The tokens of one account at this instance.

    What would overflow goes to ``spare`` tokens, for requests that the
    allowance alone doesn't permit: they take nothing from those it does.
    """

    def __init__(self, tokens: float, now: float) -> None:
        """Start with ``tokens``; the rate rises from ``now`` on."""
        self.tokens = tokens
        self.spare: float = 0
        self.born = now
        self.used_at = now
        # Whether this instance was the regular counter when it last looked.
        self.is_owned = False
        # When the first report without a confirmation was sent, and whether
        # the regular counter deducted what this one granted up to then.
        self._reported_at: float | None = None
        self._is_confirmed = False
        # What was told to go on with the count.
        self.successor: Candidate | None = None
        # Tokens that came due while this instance stood still.
        self._missed: float = 0
        self._missed_until = now
        self._filled_at = now
        # When this instance went on after it had stood still.
        self._woke_at = float('-inf')
        # Callers that were refused are expected back up to this time.
        self._promised_until = now

    def is_ramping(self, now: float) -> bool:
        """Return whether the counter is new."""
        return now - self.born < RAMP_TIME

    def is_active(self, now: float) -> bool:
        """Return whether this instance has a part in the count now."""
        return self.is_owned or now - self.used_at < STAND_IN_PAUSE

    def note_report(self, now: float) -> None:
        """Note that the regular counter was told of grants."""
        if self._reported_at is None:
            self._reported_at = now

    def confirm(self, now: float) -> None:
        """Grant at the full rate, as the regular counter deducts it."""
        self._reported_at = None
        self._is_confirmed = True
        self.born = min(self.born, now - RAMP_TIME)

    def check_stand_in(self, now: float) -> None:
        """Ramp up again if others may count without this counter's word."""
        reported_at = self._reported_at
        is_lost = reported_at is not None and (
            now - reported_at > CONFIRM_TIMEOUT
        )
        if (is_lost and self._is_confirmed) or not self.is_active(now):
            self.born = now
        if is_lost:
            self._is_confirmed = False

    def fill(self, limits: Limits, standing: Standing, now: float) -> None:
        """Add the tokens that have come due since the last call."""
        elapsed = _ramped(now - self.born) - _ramped(
            self._filled_at - self.born
        )
        due = max(0, elapsed) * limits.rate * standing.share
        margin = limits.margin * standing.share
        room = limits.burst * standing.share if standing.is_first else margin
        filled = self.tokens + due
        self.tokens = min(max(1, room), filled)
        if standing.is_first:
            self.spare = min(margin, self.spare + filled - self.tokens)
        else:
            self.spare = 0
        self._filled_at = now

    def take(self, limits: Limits, share: float, now: float) -> Verdict:
        """Take a token, or tell when callers before this one have theirs."""
        if self.tokens >= 1 - limits.rate * ARRIVAL_JITTER:
            self.tokens -= 1
            return Verdict(granted=True)
        if self.spare >= 1:
            self.spare -= 1
            return Verdict(granted=True)
        pace = limits.rate * share
        wait = max((1 - self.tokens) / pace, self._promised_until - now)
        self._promised_until = min(now + wait + 1 / pace, now + limits.window)
        return Verdict(granted=False, wait=min(wait, limits.window))

    def skip(self, gap: float, limits: Limits, now: float) -> None:
        """Distrust the tokens after ``gap`` s in which nothing was heard.

        What came due in the gap only pays for what others have granted then.
        """
        self.tokens = min(self.tokens, limits.margin)
        self.spare = 0
        self._woke_at = now
        self._missed = gap * limits.rate
        self._missed_until = now + MISSED_TIME
        self._filled_at = now
        if gap > LONG_GAP:
            self.born = now

    def deduct(self, granted: int, limits: Limits, now: float) -> None:
        """Deduct what another instance has granted, into debt if need be."""
        if now < self._missed_until:
            paid = min(granted, self._missed)
            self._missed -= paid
            granted -= paid
        from_spare = max(0, min(self.spare, granted - self.tokens))
        self.spare -= from_spare
        self.tokens -= granted - from_spare
        self.tokens = max(self.tokens, -limits.rate * MAX_DEBT)

    def may_adopt(self, now: float) -> bool:
        """Return whether to go on with the count of another instance.

        What arrives right after a standstill was sent before it.
        """
        return self.is_ramping(now) and now - self._woke_at >= BACKLOG_TIME

    def adopt(self, tokens: float, now: float) -> None:
        """Go on where the counter before has stopped."""
        self.tokens = max(self.tokens, tokens)
        self.born = now - RAMP_TIME


class AllowanceLedger:
    """The buckets of the accounts that are counted here."""

    def __init__(self) -> None:
        """Count nothing yet."""
        self.buckets: dict[str, Bucket] = {}

    def charge(
        self, name: str, limits: Limits, standing: Standing, now: float
    ) -> Verdict:
        """Charge an account for one request."""
        bucket = self.open(name, limits, standing, now)
        bucket.fill(limits, standing, now)
        if not standing.is_first:
            bucket.check_stand_in(now)
        bucket.used_at = now
        return bucket.take(limits, standing.share, now)

    def open(
        self, name: str, limits: Limits, standing: Standing, now: float
    ) -> Bucket:
        """Return the bucket of an account; a new one is almost empty."""
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = Bucket(limits.margin * standing.share, now)
            bucket.is_owned = standing.is_first
            self.buckets[name] = bucket
        return bucket

    def give_back(self, name: str) -> None:
        """Give back the charge for a request that has not run."""
        bucket = self.buckets.get(name)
        if bucket is not None:
            bucket.tokens += 1

    def forget_unused(self, now: float) -> None:
        """Drop the buckets of accounts that are counted elsewhere."""
        for name, bucket in tuple(self.buckets.items()):
            if not bucket.is_owned and now - bucket.used_at > FORGET_AFTER:
                self.buckets.pop(name)


def _ramped(age: float) -> float:
    """Return for how long a counter of an age has had its full rate, in s."""
    if age < RAMP_TIME:
        return max(0, age) ** 2 / (2 * RAMP_TIME)
    return age - RAMP_TIME / 2
