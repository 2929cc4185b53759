"""The upstreams that say in their answers that they are leaving; no I/O.

Neither the store nor another instance is needed to know it.
"""

from collections.abc import Iterable

from gentiantrestle import events
from gentiantrestle.gateway.model import Upstream

MAX_RUNS = 4096  # beyond this, the first ones are forgotten
# Work that is placed now reaches its upstream within about this.
SEND_MARGIN = 0.5  # seconds


class LeavingUpstreams:
    """Runs of upstreams by id and incarnation, and since when they leave.

    They outlive the entries in the store, which may vanish and come back.
    """

    def __init__(self, drain_time: float = 0) -> None:
        """Start empty; leaving upstreams serve for ``drain_time`` s."""
        self._drain_time = drain_time
        self._since: dict[tuple[str, int], float] = {}

    def __contains__(self, upstream: Upstream) -> bool:
        """Return whether an upstream is known to be leaving."""
        return upstream.run in self._since

    def add(self, upstream_id: str, incarnation: int, now: float) -> None:
        """Note that a run of an upstream is leaving; the first time counts."""
        run = (upstream_id, incarnation)
        if run in self._since:
            return
        self._since[run] = now
        if len(self._since) > MAX_RUNS:
            self._since.pop(next(iter(self._since)))
        events.emit(
            events.UPSTREAM_LEAVING,
            upstream=upstream_id,
            incarnation=incarnation,
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
        elapsed = now - self._since[upstream.run]
        return elapsed < self._drain_time - SEND_MARGIN
