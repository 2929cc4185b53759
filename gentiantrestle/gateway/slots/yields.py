"""Batch items that were told to yield and have not answered yet; no I/O."""

from collections.abc import Iterator
from typing import NamedTuple

from gentiantrestle.gateway.slots.ledger import Lease, Ledger
from gentiantrestle.gateway.slots.messages import YIELD, LeaseKey, Outgoing

REPEAT_AFTER = 0.04  # seconds until an unanswered notice is repeated
# A holder that has not answered for this long may still use the slot: it
# counts again once the holder reports it.
GIVE_UP_AFTER = 0.5  # seconds


class Notice(NamedTuple):
    """A notice to yield; times are monotonic, in s."""

    lease: Lease
    sent_at: float
    repeated_at: float


class YieldNotices:
    """Notices to yield, repeated until the slot is given back."""

    def __init__(self, ledger: Ledger) -> None:
        """Start without notices; slots that yield leave ``ledger``."""
        self._ledger = ledger
        self._notices: dict[LeaseKey, Notice] = {}

    def __contains__(self, key: LeaseKey) -> bool:
        """Return whether an item has been told to yield."""
        return key in self._notices

    def add(self, lease: Lease, now: float) -> Outgoing:
        """Return the notice to the holder of a lease; it counts no more."""
        self._ledger.remove(lease.key, now)
        self._notices[lease.key] = Notice(lease, now, now)
        return Outgoing(lease.host, YIELD, lease.key)

    def remove(self, key: LeaseKey) -> None:
        """Note that a slot was given back."""
        self._notices.pop(key, None)

    def repeat(self, now: float) -> Iterator[Outgoing]:
        """Yield the notices that are due again; drop the oldest."""
        for key, notice in tuple(self._notices.items()):
            if now - notice.sent_at > GIVE_UP_AFTER:
                self._notices.pop(key)
            elif now - notice.repeated_at >= REPEAT_AFTER:
                self._notices[key] = notice._replace(repeated_at=now)
                yield Outgoing(notice.lease.host, YIELD, key)
