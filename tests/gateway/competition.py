"""Plays accounts that compete for the slots of one zone, in virtual time.

Callers wait for a slot within their wait limit; one that is refused returns
once, after its Retry-After, as a retry.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple

from gentiantrestle.gateway.roster import Roster
from gentiantrestle.gateway.slots.coordinator import SlotCoordinator
from gentiantrestle.gateway.slots.messages import (
    ANSWER,
    Ask,
    LeaseKey,
    Release,
    SlotOutcome,
    Verdict,
)
from gentiantrestle.gateway.slots.placing import CoordinatorScope
from gentiantrestle.gateway.slots.queueing import (
    MAX_RETRY_WAIT,
    MAX_WAIT_SHARE,
    MIN_RETRY_AFTER,
)
from gentiantrestle.gateway.slots.remote_zones import RemoteZones
from gentiantrestle.gateway.topology import Topology
from tests.gateway.samples import ENGINES, ZONES, make_upstream

SLOTS = 8
HOLD_TIMES = (0.15, 0.45)  # seconds, least and most
MEAN_HOLD_TIME = sum(HOLD_TIMES) / 2
LATENCY_TARGET = 0.3  # seconds
TICK = 0.05  # seconds


class Call(NamedTuple):
    """A caller's request, first or again."""

    account: str
    retry: bool = False


class Load(NamedTuple):
    """Requests a second of each account, and what the accounts are to us."""

    rates: dict[str, float]
    find_rate: Callable[[str], float] = lambda account: 0
    named: bool = True


class Competition:
    """One coordinator, its callers and what they got."""

    def __init__(self, upstreams: int, load: Load, seed: int = 1) -> None:
        """Coordinate so many upstreams."""
        roster = Roster()
        for number in range(upstreams):
            roster.put(make_upstream(f'u{number}', slots=SLOTS))
        self.rng = random.Random(seed)
        self.coordinator = SlotCoordinator(
            CoordinatorScope(
                'me',
                'here',
                'a1',
                lambda now: frozenset(('a1',)),
                lambda zone, now: None,
                lambda run: False,
            ),
            roster,
            RemoteZones(Topology('a1', ZONES), self.rng.random),
            self.rng.random,
            load.find_rate,
        )
        self.load = load
        self.now = float(0)
        self.asked: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.prompt: Counter[str] = Counter()
        self.held_up = 0
        self._order = count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._calls: dict[LeaseKey, Call] = {}

    def play(self, seconds: float) -> None:
        """Let requests arrive for so long."""
        for account in self.load.rates:
            self._arrive_later(account)
        self._after(TICK, self._tick)
        while self._due[0][0] < seconds:
            self.now, _, step = heapq.heappop(self._due)
            step()

    def share(self, *accounts: str) -> float:
        """Return which part of the accounts' requests was served."""
        asked = sum(self.asked[account] for account in accounts)
        return sum(self.served[account] for account in accounts) / asked

    def prompt_share(self, *accounts: str) -> float:
        """Return which part was served without being refused first."""
        asked = sum(self.asked[account] for account in accounts)
        return sum(self.prompt[account] for account in accounts) / asked

    def _after(self, seconds: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + seconds, next(self._order), step))

    def _tick(self) -> None:
        self._send(self.coordinator.tick(self.now, leading=True))
        self._after(TICK, self._tick)

    def _arrive_later(self, account: str) -> None:
        pause = self.rng.expovariate(self.load.rates[account])
        self._after(pause, lambda: self._arrive(account))

    def _arrive(self, account: str) -> None:
        self._arrive_later(account)
        self.asked[account] += 1
        self._ask(Call(account))

    def _ask(self, call: Call) -> None:
        wait = MAX_RETRY_WAIT if call.retry else LATENCY_TARGET * MAX_WAIT_SHARE
        key = LeaseKey('run', next(self._order))
        self._calls[key] = call
        ask = Ask(
            key,
            'there',
            ENGINES,
            retry=call.retry,
            wait=wait,
            account=call.account if self.load.named else '',
        )
        self._after(wait, lambda: self._give_up(key))
        self._send(self.coordinator.ask(ask, self.now))

    def _give_up(self, key: LeaseKey) -> None:
        if key in self._calls:
            self.held_up += 1
            self._release(key)
            self._refused(key, 0)

    def _release(self, key: LeaseKey) -> None:
        release = Release(key, SlotOutcome.SERVED)
        self._send(self.coordinator.release(release, self.now))

    def _send(self, messages: Any) -> None:
        for message in messages:
            answer = message.message
            if message.kind == ANSWER and answer.verdict is Verdict.GRANTED:
                self._granted(answer.key)
            elif message.kind == ANSWER and answer.verdict is Verdict.REFUSED:
                self._refused(answer.key, answer.wait)

    def _granted(self, key: LeaseKey) -> None:
        call = self._calls.pop(key)
        self.served[call.account] += 1
        self.prompt[call.account] += not call.retry
        hold_time = self.rng.uniform(*HOLD_TIMES)
        self._after(hold_time, lambda: self._release(key))

    def _refused(self, key: LeaseKey, wait: float) -> None:
        call = self._calls.pop(key)
        if not call.retry:
            again = call._replace(retry=True)
            self._after(max(MIN_RETRY_AFTER, wait), lambda: self._ask(again))


def zipf_rates(total: float, accounts: int, skew: float) -> dict[str, float]:
    """Split ``total`` requests a second; account ``t1`` is the largest."""
    weights = {f't{rank}': rank**-skew for rank in range(1, accounts + 1)}
    whole = sum(weights.values())
    return {name: total * part / whole for name, part in weights.items()}
