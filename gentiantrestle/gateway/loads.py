"""Who runs how much on which upstream, own and told by peers; no I/O."""

from collections.abc import Iterable
from typing import NamedTuple

# Loads that a peer told longer ago than this are not counted any more.
STALE_AFTER = 1.0  # seconds


class Load(NamedTuple):
    """Requests in flight on one upstream, and callers waiting for it."""

    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """Add both kinds up."""
        return self.online + self.batch


class BatchBacklog(NamedTuple):
    """Batch items that wait at one instance; ``spare`` is in s."""

    count: int = 0
    slack: float = 0

    @property
    def priority_key(self) -> tuple[bool, float]:
        """Order instances by their first item: which one goes first."""
        return self.slack < 0, self.slack


class LoadReport(NamedTuple):
    """What one peer said of its loads, and when it was heard."""

    received_at: float
    loads: dict[str, Load]
    waiting: int
    batch_backlog: BatchBacklog = BatchBacklog()
    is_summary: bool = False


NO_LOAD = Load()
NO_TOLD = LoadReport(0, {}, 0)


def combine(every: Iterable[LoadReport], now: float) -> LoadReport:
    """Add up loads; of the batch work the tightest instance's stands."""
    loads: dict[str, Load] = {}
    waiting = 0
    batches = []
    for told in every:
        waiting += told.waiting
        if told.batch_backlog.count:
            batches.append(told.batch_backlog)
        for upstream, load in told.loads.items():
            sum_so_far = loads.get(upstream, NO_LOAD)
            loads[upstream] = Load(
                sum_so_far.online + load.online, sum_so_far.batch + load.batch
            )
    tightest = min(
        batches, key=lambda one: one.priority_key, default=BatchBacklog()
    )
    return LoadReport(now, loads, waiting, tightest)


class LoadBoard:
    """Loads of all instances by upstream id."""

    def __init__(self) -> None:
        """Start with nothing in flight."""
        self.own_loads: dict[str, Load] = {}
        self._told: dict[str, LoadReport] = {}

    def add(self, upstream: str, *, online: int = 0, batch: int = 0) -> None:
        """Count own requests in (or, below zero, out)."""
        load = self.own_loads.get(upstream, NO_LOAD)
        load = Load(load.online + online, load.batch + batch)
        if load.total:
            self.own_loads[upstream] = load
            return
        self.own_loads.pop(upstream, None)

    def set_peer_report(self, peer: str, told: LoadReport) -> None:
        """Replace what a peer said before."""
        self._told[peer] = told

    def forget(self, peer: str) -> None:
        """Drop a peer that is gone."""
        self._told.pop(peer, None)

    def combine_peers(self, peers: Iterable[str], now: float) -> LoadReport:
        """Add up what some peers said lately, with the tightest batch."""
        heard = [self._told[peer] for peer in peers if peer in self._told]
        fresh = [told for told in heard if now - told.received_at < STALE_AFTER]
        return combine(fresh, now)

    def total_load(self, upstream: str, now: float) -> Load:
        """Add up the loads of all instances on one upstream."""
        loads = [self.own_loads.get(upstream, NO_LOAD)]
        loads.extend(
            told.loads[upstream]
            for told in self._told.values()
            if upstream in told.loads and now - told.received_at < STALE_AFTER
        )
        return Load(
            sum(load.online for load in loads),
            sum(load.batch for load in loads),
        )

    def max_peer_batch(self, upstream: str, now: float) -> int:
        """Return the most batch that one other instance has there."""
        return max(
            (
                told.loads[upstream].batch
                for told in self._told.values()
                if upstream in told.loads
                and now - told.received_at < STALE_AFTER
                and not told.is_summary
            ),
            default=0,
        )

    def batch_ahead(self, own: BatchBacklog, now: float) -> int:
        """Count the items at other instances that go before the own ones."""
        return sum(
            told.batch_backlog.count
            for told in self._told.values()
            if now - told.received_at < STALE_AFTER
            and told.batch_backlog.count
            and told.batch_backlog.priority_key < own.priority_key
        )

    def waiting_at_peers(self, now: float) -> int:
        """Count the callers that wait at the peers."""
        return sum(
            told.waiting
            for told in self._told.values()
            if now - told.received_at < STALE_AFTER
        )
