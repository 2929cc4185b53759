"""A slot in use, as its holder knows it."""

from typing import NamedTuple

from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.slots.messages import HeldSlot


class SlotLease(NamedTuple):
    """A slot in use; ``acquired_at`` is a monotonic time in s.

    ``host`` is that of the coordinator that granted it; empty if this
    instance chose the upstream itself. ``slack`` in s is that of a batch item,
    and ``tokens_left`` what it has to generate. ``rate_limit`` is the limit of
    the upstream as its coordinator knew it. With ``via`` it is no slot: the
    instance of that name, which stands in for ``upstream``, takes one.
    ``account`` and ``size`` are those of the ask.
    """

    number: int
    upstream: Upstream
    host: str
    acquired_at: float
    batch: bool = False
    slack: float = 0
    tokens_left: int = 0
    rate_limit: float = 0
    via: str = ''
    account: str = ''
    size: int = 0

    @property
    def held_slot(self) -> HeldSlot:
        """Return what coordinators are told of it."""
        return HeldSlot(
            self.number,
            self.upstream.id,
            self.batch,
            self.slack,
            self.tokens_left,
            self.account,
            self.size,
        )
