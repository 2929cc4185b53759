"""Which upstreams may be used, from late and lapsing entries; no I/O.

Answers the load of mass lapses: while the store was away, entries vanish
though their upstreams live, and come back within seconds of its return.
"""

from collections.abc import Iterable
from typing import NamedTuple

from gentiantrestle.gateway.model import Upstream

# Entries that lapsed while the store was away return within about this time.
LAPSE_GRACE = 2.0  # seconds


class Missing(NamedTuple):
    """An upstream whose entry is gone, used on until ``until``."""

    upstream: Upstream
    until: float


class Roster:
    """The upstreams by id, with departures told from lapses."""

    def __init__(self) -> None:
        """Start empty; nothing is known of the store yet."""
        self._known: dict[str, Upstream] = {}
        self._missing: dict[str, Missing] = {}
        # Entries that vanish before this time have lapsed, not left.
        self.away_until = float(0)
        self.revision = 0

    def note_outage(self, now: float) -> None:
        """Note that the store is away; departures seen soon are lapses."""
        self.note_lapse(now + LAPSE_GRACE)

    def note_lapse(self, until: float) -> None:
        """Take entries that vanish before ``until`` for lapsed."""
        self.away_until = max(self.away_until, until)

    def replace(self, found: Iterable[Upstream], now: float) -> None:
        """Take in a whole list; what it lacks has left or lapsed."""
        listed = {upstream.id: upstream for upstream in found}
        for gone in set(self._known) - set(listed):
            self.remove(gone, now)
        for upstream in listed.values():
            self.put(upstream)

    def put(self, upstream: Upstream) -> None:
        """Take in one entry."""
        self._known[upstream.id] = upstream
        self._missing.pop(upstream.id, None)

    def remove(self, upstream_id: str, now: float) -> None:
        """Take an entry out; during an outage it is used a little longer."""
        upstream = self._known.pop(upstream_id, None)
        if upstream is None or upstream.draining:
            return
        if now < self.away_until:
            self._missing[upstream_id] = Missing(upstream, self.away_until)

    def usable_upstreams(self, service: str, now: float) -> list[Upstream]:
        """List the upstreams of a service that may get new work."""
        self._expire(now)
        found = [
            upstream
            for upstream in self._known.values()
            if upstream.service == service and not upstream.draining
        ]
        return found + [
            one.upstream
            for one in self._missing.values()
            if one.upstream.service == service
        ]

    def entries(self) -> tuple[Upstream, ...]:
        """Return every entry that stands in the store."""
        return tuple(self._known.values())

    def _expire(self, now: float) -> None:
        for upstream_id, missing in tuple(self._missing.items()):
            if now >= missing.until:
                self._missing.pop(upstream_id)
