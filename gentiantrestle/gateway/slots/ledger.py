"""The slots in use on the upstreams of one coordinator; no I/O."""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from gentiantrestle.gateway.slots.fair_use import ServiceUses, equal_rate
from gentiantrestle.gateway.slots.messages import (
    HeldSlot,
    LeaseKey,
    Report,
    find_ended,
)
from gentiantrestle.gateway.slots.rates import RateLimits

# A slot whose holder is not heard of for this long is free: its run may have
# been killed. The holder keeps its work in any case.
LEASE_TIME = 4.0  # seconds
# A report that lacks a slot may have crossed the grant of that slot.
CROSSING_TIME = 0.5  # seconds


class Load(NamedTuple):
    """Online and batch requests in flight on one upstream."""

    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """Online and batch requests together."""
        return self.online + self.batch


class Lease(NamedTuple):
    """A slot in use; times are monotonic, in s.

    ``slack`` in s is that of a batch item; it stays the same while the item
    runs. ``tokens_left`` is what it had to generate when it was granted.
    ``account`` and ``size`` are those of its ask.
    """

    key: LeaseKey
    host: str
    upstream: str
    batch: bool
    slack: float
    granted_at: float
    renewed_at: float
    tokens_left: int = 0
    account: str = ''
    size: int = 0
    service: str = ''


NO_LOAD = Load()


class Ledger:
    """All leases, and the load of each upstream that follows from them.

    ``rates`` counts the grants of limited upstreams, and ``uses`` what each
    account holds.
    """

    def __init__(
        self,
        find_service: Callable[[str], str] = str,
        find_account_rate: Callable[[str], float] = equal_rate,
    ) -> None:
        """Start without leases; ``find_service`` takes an upstream's id."""
        self._find_service = find_service
        self.uses = ServiceUses(find_account_rate)
        self._leases: dict[LeaseKey, Lease] = {}
        self._loads: dict[str, Load] = {}
        self._by_upstream: dict[str, dict[LeaseKey, Lease]] = {}
        self.rates = RateLimits()

    @property
    def is_busy(self) -> bool:
        """Return whether any slot is in use."""
        return bool(self._leases)

    def load(self, upstream: str) -> Load:
        """Return the load of an upstream."""
        return self._loads.get(upstream, NO_LOAD)

    def get(self, key: LeaseKey) -> Lease | None:
        """Return a lease, or None if it is not known."""
        return self._leases.get(key)

    def put(self, lease: Lease) -> None:
        """Add a lease, or replace the one with its key."""
        self.remove(lease.key, lease.renewed_at)
        self._leases[lease.key] = lease
        self._by_upstream.setdefault(lease.upstream, {})[lease.key] = lease
        self._count(lease, 1, lease.renewed_at)

    def remove(self, key: LeaseKey, now: float) -> Lease | None:
        """Remove and return a lease; None if it is not known."""
        lease = self._leases.pop(key, None)
        if lease is not None:
            self._by_upstream[lease.upstream].pop(key)
            self._count(lease, -1, now)
        return lease

    def batch_leases(self, upstreams: Iterable[str]) -> Iterator[Lease]:
        """Yield the batch items on some upstreams."""
        for upstream in upstreams:
            for lease in self._by_upstream.get(upstream, {}).values():
                if lease.batch:
                    yield lease

    def first_use_since(self, upstream: str, at: float) -> float | None:
        """Return when the oldest lease since then was granted."""
        leases = self._by_upstream.get(upstream, {}).values()
        granted = (lease.granted_at for lease in leases)
        return min((since for since in granted if since >= at), default=None)

    def apply(self, report: Report, now: float) -> None:
        """Take over what a run says that it holds, and drop what it doesn't."""
        reported = {
            LeaseKey(report.holder, slot.number): slot for slot in report.slots
        }
        gone = [
            lease.key
            for lease in self._leases.values()
            if lease.key.holder == report.holder
            and lease.key not in reported
            and now - lease.granted_at > CROSSING_TIME
        ]
        for key in gone:
            self.remove(key, now)
        for key, slot in reported.items():
            self._renew(key, slot, report.host, now)

    def remove_lapsed(
        self, now: float, has_ended: Callable[[str], bool]
    ) -> list[Lease]:
        """Remove and return the leases of holders that ended or were silent."""
        ended = find_ended(self._leases, has_ended)
        lapsed = [
            lease
            for lease in self._leases.values()
            if now - lease.renewed_at > LEASE_TIME or lease.key.holder in ended
        ]
        for lease in lapsed:
            self.remove(lease.key, now)
        return lapsed

    def _renew(
        self, key: LeaseKey, slot: HeldSlot, host: str, now: float
    ) -> None:
        known = self._leases.get(key)
        granted_at = now if known is None else known.granted_at
        self.put(
            Lease(
                key,
                host,
                slot.upstream,
                slot.batch,
                slot.slack,
                granted_at,
                now,
                slot.tokens_left,
                slot.account,
                slot.size,
                self._find_service(slot.upstream),
            )
        )

    def _count(self, lease: Lease, change: int, now: float) -> None:
        use = self.uses.find(lease.service, batch=lease.batch)
        use.hold(lease.account, change, now)
        load = self.load(lease.upstream)
        if lease.batch:
            load = load._replace(batch=load.batch + change)
        else:
            load = load._replace(online=load.online + change)
        self._loads[lease.upstream] = load
