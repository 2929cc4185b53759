"""What this instance reaches, as its attempts and probes show."""

from collections.abc import Callable, Iterator

from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.reach.table import ReachTable
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.supervisor import Child


class UpstreamReach:
    """The upstreams that this instance reaches, and the services it doesn't."""

    def __init__(self, roster: Roster, now: Callable[[], float]) -> None:
        """Judge the upstreams of ``roster``; none was tried yet."""
        self._roster = roster
        self._now = now
        self.table = ReachTable()
        # The services none of whose upstreams are reached, though they run.
        self.cut_off: frozenset[str] = frozenset()

    @property
    def is_suspect(self) -> bool:
        """Return whether failures here may be those of the path."""
        return self.table.is_suspect(self._now())

    def is_cut_off(self, service: str) -> bool:
        """Return whether other instances should serve a service's requests."""
        return service in self.cut_off

    def others(self, upstream: Upstream) -> list[Upstream]:
        """Return the other upstreams, those that were reached last first."""
        now = self._now()
        known = (up for up in self._roster.entries() if up.id != upstream.id)
        return sorted(
            known, key=lambda other: self.table.idle_time(other.id, now)
        )

    def note(self, upstream: Upstream, *, reached: bool) -> None:
        """Note whether a connection to an upstream could be made."""
        self.table.note(upstream.id, self._now(), reached=reached)

    def forget(self, upstream: str) -> None:
        """Drop what is known of an upstream, which has started again."""
        self.table.forget(upstream)

    def children(self) -> Iterator[Child]:
        """Return the tasks that the supervisor runs."""
        return iter(())
