"""Chooses among the upstreams of one service in one zone; no I/O.

Engines run at an even speed until all slots are taken, and queue requests in
order of arrival after that. So a request goes to the upstream with the most
free slots, and where none is free a batch item gives its slot back.
"""

import math
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType
from typing import NamedTuple

from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.slots.ledger import Lease, Ledger
from gentiantrestle.gateway.slots.messages import Ask
from gentiantrestle.gateway.slots.pace import EVEN, PaceView

# An item with less slack than this is not preempted: the request would hold
# the slot for about as long.
MIN_PREEMPTION_SLACK = 1.0  # seconds
TOKEN_TIME = 0.003  # seconds a token takes, about
# An item that is preempted has its prompt and its output read once more where
# it goes on, which delays all requests there. So batch leaves slots free for
# the requests that arrive within the next tenths of a second: one in so many
# slots, or this share of the usual variation of requests in flight.
SLOTS_PER_RESERVED_SLOT = 24
ONLINE_VARIATION = 0.7
# Items that can wait leave more slots free, up to this share.
HEADROOM_SHARE = 0.1
URGENT_SLACK = 2.0  # seconds; items with less may take all but the reserve
RELAXED_SLACK = 8.0  # seconds; items with more leave the whole headroom


def batch_reserve(slots: int, online: int, slack: float) -> int:
    """Return how many of ``slots`` an item with ``slack`` s leaves free.

    ``online`` requests hold slots now; their number varies by about its square
    root within the time that a request takes. An item that is late already can
    wait like one with much slack.
    """
    ease = (slack - URGENT_SLACK) / (RELAXED_SLACK - URGENT_SLACK)
    if slack < 0:
        ease = 1
    headroom = slots * HEADROOM_SHARE * min(1, max(0, ease))
    variation = ONLINE_VARIATION * math.sqrt(online)
    return round(max(slots / SLOTS_PER_RESERVED_SLOT, variation) + headroom)


def is_preemptible(slack: float) -> bool:
    """Return whether a running item may be preempted by a request.

    A late item loses nothing by it; one with enough slack can be resumed on
    another upstream in time.
    """
    return slack < 0 or slack > MIN_PREEMPTION_SLACK


def preemption_key(lease: Lease, now: float) -> tuple[bool, float]:
    """Sort key for preemption: the item with the highest key goes first.

    Late items go first, then those with most of their work still to do:
    little of their output has to be read again, and the others finish soon.
    """
    run_time = now - lease.granted_at
    return lease.slack < 0, lease.tokens_left * TOKEN_TIME - run_time


class Pool(NamedTuple):
    """The usable upstreams of a service that one coordinator counts.

    ``allowances`` are the requests that limited ones may be sent now, and
    ``pace`` is what their answers have shown.
    """

    upstreams: tuple[Upstream, ...]
    ledger: Ledger
    allowances: Mapping[str, int] = MappingProxyType({})
    pace: PaceView = EVEN

    @property
    def slots(self) -> int:
        """Count all slots."""
        return sum(upstream.slots for upstream in self.upstreams)

    @property
    def free(self) -> int:
        """Count the free slots within the windows of the upstreams."""
        return sum(map(self._open_on, self.upstreams))

    @property
    def online(self) -> int:
        """Count the slots that requests hold."""
        return sum(
            self.ledger.load(known.id).online for known in self.upstreams
        )

    def free_for_batch(self, slack: float) -> int:
        """Count the free slots that an item with ``slack`` s may take.

        Limited upstreams keep no reserve: an item uses a slot there for long,
        and counts as one request.
        """
        open_pool = self.without(self.limited_ids)
        reserve = batch_reserve(open_pool.slots, open_pool.online, slack)
        return max(0, open_pool.free - reserve) + self.limited.free

    @property
    def limited_ids(self) -> frozenset[str]:
        """Return the ids of the upstreams that have named a limit."""
        return frozenset(self.allowances)

    @property
    def limited(self) -> 'Pool':
        """Return the limited upstreams."""
        names = {upstream.id for upstream in self.upstreams}
        return self.without(frozenset(names - self.limited_ids))

    def free_on(self, upstream: Upstream) -> int:
        """Count the free slots of an upstream; negative if overbooked."""
        free = upstream.slots - self.ledger.load(upstream.id).total
        return min(free, self.allowances.get(upstream.id, free))

    def capacity(self, hold_time: float) -> float:
        """Count the slots that can be in use, if each is held for so many s.

        A limited upstream is sent too few requests to fill its slots.
        """
        limits = (
            self.ledger.rates.limit(upstream.id) for upstream in self.upstreams
        )
        return sum(
            min(upstream.slots, limit * hold_time) if limit else upstream.slots
            for upstream, limit in zip(self.upstreams, limits, strict=True)
        )

    def without_windows(self) -> 'Pool':
        """Return the pool with all slots of upstreams that have started."""
        return self._replace(pace=self.pace._replace(windows={}))

    def without(self, excluded: frozenset[str]) -> 'Pool':
        """Return the pool without some upstreams."""
        return self._replace(
            upstreams=tuple(
                upstream
                for upstream in self.upstreams
                if upstream.id not in excluded
            )
        )

    def choose_free(
        self, rand: Callable[[], float], ask: Ask
    ) -> Upstream | None:
        """Return the free upstream that suits an ask best; None if full.

        Where paces are even it is one with the largest free share. Batch items
        use limited upstreams first, requests the others. One that has just
        started counts as full when its window is used.
        """
        weigh = self._weigh_for_item if ask.batch else self._weigh_for_request
        return max(
            (known for known in self.upstreams if self._open_on(known) > 0),
            key=lambda known: (
                (known.id in self.allowances) == ask.batch,
                *weigh(known, ask),
                rand(),
            ),
            default=None,
        )

    def preemptible(self) -> Iterator[Lease]:
        """Yield the batch items that may be preempted."""
        names = [
            upstream.id
            for upstream in self.upstreams
            if self.allowances.get(upstream.id, 1)
        ]
        return (
            lease
            for lease in self.ledger.batch_leases(names)
            if is_preemptible(lease.slack)
        )

    def choose_victim(self, now: float) -> Lease | None:
        """Return the batch item that can best wait, or None.

        One on a limited upstream goes last: it would be sent there again.
        """
        return max(
            self.preemptible(),
            key=lambda lease: (
                lease.upstream not in self.allowances,
                preemption_key(lease, now),
            ),
            default=None,
        )

    def overbooked(self) -> Iterator['Pool']:
        """Yield each upstream with more work than slots, as a pool."""
        return (
            Pool((upstream,), self.ledger)
            for upstream in self.upstreams
            if self.free_on(upstream) < 0
        )

    def _weigh_for_request(
        self, upstream: Upstream, ask: Ask
    ) -> tuple[float, ...]:
        """Prefer the upstream that is expected to answer first."""
        return (-self._expected_slowness(upstream),)

    def _weigh_for_item(
        self, upstream: Upstream, ask: Ask
    ) -> tuple[float, ...]:
        """Prefer a slow upstream while an item has time enough for it.

        This leaves the fast ones to requests. Other items go to the upstream
        that is expected to complete them first.
        """
        ratio = self.pace.ratio(upstream.id)
        slack = ask.slack - ask.tokens_left * TOKEN_TIME * (ratio - 1)
        slowness = self._expected_slowness(upstream)
        if slack < RELAXED_SLACK:
            return 0, -slowness
        return 1, ratio, -slowness

    def _open_on(self, upstream: Upstream) -> int:
        """Count the free slots of an upstream within its window."""
        window = self.pace.windows.get(upstream.id, upstream.slots)
        load = self.ledger.load(upstream.id).total
        return max(0, min(self.free_on(upstream), window - load))

    def _expected_slowness(self, upstream: Upstream) -> float:
        """Return the time to a first event against that of an idle peer."""
        in_use = 1 - self.free_on(upstream) / upstream.slots
        return self.pace.ratio(upstream.id) * (1 + in_use)
