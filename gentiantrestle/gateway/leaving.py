"""The upstreams that say in their answers that they are leaving; no I/O.

This instance has their word, so that neither the store nor another instance is
needed to know it.
"""

from collections.abc import Iterable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.model import Upstream

MAX_UPSTREAMS = 4096  # beyond this, the oldest marks are forgotten
# Work that is placed now reaches its upstream within about this.
SEND_MARGIN = 0.5  # seconds


class LeavingMark(NamedTuple):
    """An incarnation of an upstream, and when it was first known to leave."""

    incarnation: int
    since: float


class LeavingUpstreams:
    """Marks by the id of an upstream; they hold for one incarnation of it.

    They outlive its entry in the store, which may vanish and come back.
    """

    def __init__(self, drain_time: float = 0) -> None:
        """Start empty; leaving upstreams serve for ``drain_time`` s."""
        self._drain_time = drain_time
        self._marks: dict[str, LeavingMark] = {}

    def __contains__(self, upstream: Upstream) -> bool:
        """Return whether an upstream is known to be leaving."""
        mark = self._marks.get(upstream.id)
        return mark is not None and mark.incarnation == upstream.incarnation

    def add(self, upstream: Upstream, now: float) -> None:
        """Note that an upstream is leaving; the first time counts."""
        if upstream in self:
            return
        self._marks.pop(upstream.id, None)
        self._marks[upstream.id] = LeavingMark(upstream.incarnation, now)
        if len(self._marks) > MAX_UPSTREAMS:
            self._marks.pop(next(iter(self._marks)))
        events.emit(
            events.UPSTREAM_LEAVING,
            upstream=upstream.id,
            incarnation=upstream.incarnation,
        )

    def usable(
        self, upstreams: Iterable[Upstream], now: float
    ) -> list[Upstream]:
        """Leave out leaving upstreams; if all are, they serve a while yet."""
        listed = list(upstreams)
        staying = [upstream for upstream in listed if upstream not in self]
        return staying or [
            upstream for upstream in listed if self._still_serves(upstream, now)
        ]

    def _still_serves(self, upstream: Upstream, now: float) -> bool:
        elapsed = now - self._marks[upstream.id].since
        return elapsed < self._drain_time - SEND_MARGIN
