"""The upstreams that may be used, in spite of lapsed entries; no I/O.

While the store is unreachable, many entries can lapse although their upstreams
are alive; they return within seconds after the store does. So an upstream whose
entry vanishes during an outage stays in use a little longer.
"""

from collections.abc import Iterable
from typing import NamedTuple

from gentiantrestle.gateway.leaving import LeavingUpstreams
from gentiantrestle.gateway.model import Upstream

# Entries that lapsed during an outage of the store return within about this.
LAPSE_GRACE = 2.0  # seconds
# An instance learns this late, at the most, that an upstream is draining, and
# work that it places then takes time on its way.
DRAIN_MARGIN = 1.5  # seconds


NEVER = float('-inf')


class LapsedEntry(NamedTuple):
    """An upstream whose entry is gone, still in use until ``until``."""

    upstream: Upstream
    until: float


class Roster:
    """The upstreams by id, listed in the store or lapsed during an outage."""

    def __init__(self, drain_time: float = 0) -> None:
        """Start empty; leaving upstreams serve for ``drain_time`` s."""
        self._listed: dict[str, Upstream] = {}
        self._lapsed: dict[str, LapsedEntry] = {}
        # An entry that vanishes before this time counts as lapsed.
        self.lapse_until = float(0)
        self.revision = 0
        self.leaving = LeavingUpstreams(drain_time)
        self._drain_time = drain_time
        # When upstreams were seen to begin draining; monotonic times in s.
        self._draining_since: dict[str, float] = {}

    def note_outage(self, now: float) -> None:
        """Note that the store is unreachable; entries may lapse."""
        self.expect_lapses_until(now + LAPSE_GRACE)

    def expect_lapses_until(self, until: float) -> None:
        """Treat entries that vanish before ``until`` as lapsed."""
        self.lapse_until = max(self.lapse_until, until)

    def replace(self, found: Iterable[Upstream], now: float) -> None:
        """Set the whole list; upstreams it lacks are removed."""
        listed = {upstream.id: upstream for upstream in found}
        for missing_id in set(self._listed) - set(listed):
            self.remove(missing_id, now)
        for upstream in listed.values():
            self.put(upstream)

    def put(self, upstream: Upstream) -> None:
        """Add or replace one upstream."""
        self._listed[upstream.id] = upstream
        self._lapsed.pop(upstream.id, None)

    def note_draining(self, upstream: Upstream, now: float) -> None:
        """Note an upstream that is draining, before it is put.

        One that was so when it was first seen may have been so for long.
        """
        known = self._listed.get(upstream.id)
        is_new = known is None or known.incarnation != upstream.incarnation
        if not is_new and not known.draining:
            self._draining_since[upstream.id] = now

    def remove(self, upstream_id: str, now: float) -> None:
        """Remove an upstream; one whose entry lapsed stays in use a while.

        A draining one is always removed at once.
        """
        self._draining_since.pop(upstream_id, None)
        upstream = self._listed.pop(upstream_id, None)
        if upstream is None or upstream.draining:
            return
        if now < self.lapse_until:
            self._lapsed[upstream_id] = LapsedEntry(upstream, self.lapse_until)

    def usable_upstreams(
        self, service: str, now: float, version: str = ''
    ) -> list[Upstream]:
        """List the upstreams of a service that may get new work.

        Only those of ``version``, unless it is empty. Where none of it is left
        but those that are draining, they serve for a while yet.
        """
        self._expire(now)
        found = [
            upstream
            for upstream in self._listed.values()
            if upstream.service == service and not upstream.draining
        ]
        found += [
            lapsed.upstream
            for lapsed in self._lapsed.values()
            if lapsed.upstream.service == service
        ]
        fitting = [known for known in found if version in {'', known.version}]
        usable = self.leaving.usable(fitting, now)
        return usable or self._draining_upstreams(service, version, now)

    def find(self, upstream_id: str) -> Upstream | None:
        """Return an upstream that is listed or has lapsed; None without it."""
        lapsed = self._lapsed.get(upstream_id)
        return self._listed.get(upstream_id) or (lapsed and lapsed.upstream)

    def services(self) -> set[str]:
        """Return the services that have upstreams."""
        return {upstream.service for upstream in self._listed.values()}

    def zones(self) -> set[str]:
        """Return the zones that have upstreams."""
        return {upstream.zone for upstream in self._listed.values()}

    def entries(self) -> tuple[Upstream, ...]:
        """Return the upstreams whose entries are in the store."""
        return tuple(self._listed.values())

    def in_use(self, now: float) -> tuple[Upstream, ...]:
        """Return the upstreams that are listed, and those that have lapsed."""
        self._expire(now)
        lapsed = (known.upstream for known in self._lapsed.values())
        return (*self._listed.values(), *lapsed)

    def _draining_upstreams(
        self, service: str, version: str, now: float
    ) -> list[Upstream]:
        until = now + DRAIN_MARGIN - self._drain_time
        return [
            upstream
            for upstream in self._listed.values()
            if version
            and (upstream.service, upstream.version) == (service, version)
            and upstream.draining
            and self._draining_since.get(upstream.id, NEVER) > until
        ]

    def _expire(self, now: float) -> None:
        for upstream_id, lapsed in tuple(self._lapsed.items()):
            if now >= lapsed.until:
                self._lapsed.pop(upstream_id)
