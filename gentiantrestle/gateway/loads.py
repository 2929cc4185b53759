"""Load of each upstream: own requests and the peers' load reports; no I/O."""

from collections.abc import Iterable
from typing import NamedTuple

# Load reports received longer ago than this are ignored.
STALE_AFTER = 1.0  # seconds


class Load(NamedTuple):
    """Online and batch requests in flight on one upstream."""

    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """Online and batch requests together."""
        return self.online + self.batch


class BatchBacklog(NamedTuple):
    """Batch items waiting at one instance, and the slack of the first in s.

    Slack is the time an item can still wait and be in time; below zero it
    can't be in time any more.
    """

    count: int = 0
    slack: float = 0

    @property
    def priority_key(self) -> tuple[bool, float]:
        """Sort key: the instance whose first item goes first sorts lowest.

        Least slack goes first; items that can't be in time go last.
        """
        return self.slack < 0, self.slack


class LoadReport(NamedTuple):
    """Loads as reported by one peer, or the sum of several reports.

    ``received_at`` is on this instance's clock, ``waiting`` counts callers
    waiting for a slot, ``is_summary`` marks a sum over instances.
    """

    received_at: float
    loads: dict[str, Load]
    waiting: int
    batch_backlog: BatchBacklog = BatchBacklog()
    is_summary: bool = False


NO_LOAD = Load()
EMPTY_REPORT = LoadReport(0, {}, 0)


def combine(reports: Iterable[LoadReport], now: float) -> LoadReport:
    """Add up loads and waiting callers; keep the most urgent batch backlog."""
    loads: dict[str, Load] = {}
    waiting = 0
    backlogs = []
    for report in reports:
        waiting += report.waiting
        if report.batch_backlog.count:
            backlogs.append(report.batch_backlog)
        for upstream, load in report.loads.items():
            sum_so_far = loads.get(upstream, NO_LOAD)
            loads[upstream] = Load(
                sum_so_far.online + load.online, sum_so_far.batch + load.batch
            )
    most_urgent = min(
        backlogs,
        key=lambda backlog: backlog.priority_key,
        default=BatchBacklog(),
    )
    return LoadReport(now, loads, waiting, most_urgent)


class LoadBoard:
    """Loads of all instances by upstream id."""

    def __init__(self) -> None:
        """Start with nothing in flight."""
        self.own_loads: dict[str, Load] = {}
        self._reports: dict[str, LoadReport] = {}

    def add(self, upstream: str, *, online: int = 0, batch: int = 0) -> None:
        """Add to the number of own requests; negative numbers subtract."""
        load = self.own_loads.get(upstream, NO_LOAD)
        load = Load(load.online + online, load.batch + batch)
        if load.total:
            self.own_loads[upstream] = load
            return
        self.own_loads.pop(upstream, None)

    def set_peer_report(self, peer: str, report: LoadReport) -> None:
        """Replace a peer's load report."""
        self._reports[peer] = report

    def forget(self, peer: str) -> None:
        """Remove a peer's load report."""
        self._reports.pop(peer, None)

    def combine_peers(self, peers: Iterable[str], now: float) -> LoadReport:
        """Combine the reports of some peers that are not stale."""
        known = [self._reports[peer] for peer in peers if peer in self._reports]
        fresh = [
            report for report in known if now - report.received_at < STALE_AFTER
        ]
        return combine(fresh, now)

    def total_load(self, upstream: str, now: float) -> Load:
        """Add up the loads of all instances on one upstream."""
        loads = [self.own_loads.get(upstream, NO_LOAD)]
        loads.extend(
            report.loads[upstream]
            for report in self._reports.values()
            if upstream in report.loads
            and now - report.received_at < STALE_AFTER
        )
        return Load(
            sum(load.online for load in loads),
            sum(load.batch for load in loads),
        )

    def max_peer_batch(self, upstream: str, now: float) -> int:
        """Return the most batch requests that one peer has on an upstream."""
        return max(
            (
                report.loads[upstream].batch
                for report in self._reports.values()
                if upstream in report.loads
                and now - report.received_at < STALE_AFTER
                and not report.is_summary
            ),
            default=0,
        )

    def batch_ahead(self, own_backlog: BatchBacklog, now: float) -> int:
        """Count the peers' batch items that go before ``own_backlog``."""
        return sum(
            report.batch_backlog.count
            for report in self._reports.values()
            if now - report.received_at < STALE_AFTER
            and report.batch_backlog.count
            and report.batch_backlog.priority_key < own_backlog.priority_key
        )

    def waiting_at_peers(self, now: float) -> int:
        """Count the callers that wait for a slot at the peers."""
        return sum(
            report.waiting
            for report in self._reports.values()
            if now - report.received_at < STALE_AFTER
        )
