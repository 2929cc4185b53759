"""Which software versions of each service are or were in use; no I/O."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.streams.origins import RETENTION

# A run that did not look for this long was paused, and has missed changes.
MAX_LOOK_GAP = 3.0  # seconds
# An instance may see an upstream this much later than another one does.
VIEW_LAG = 4.0  # seconds
Versions = Mapping[str, frozenset[str]]
NO_VERSIONS: frozenset[str] = frozenset()


class ServiceVersion(NamedTuple):
    """A software version of a service's upstreams."""

    service: str
    version: str


class VersionHistory:
    """The versions that upstreams had within the last ``RETENTION`` s."""

    def __init__(self, started_at: float) -> None:
        """Start at a monotonic time in s; nothing has been seen yet."""
        self._complete_from = started_at + RETENTION
        self._looked_at = started_at
        # Whether versions that were gone when this run began are known.
        self.is_informed = False
        self._last_seen: dict[ServiceVersion, float] = {}

    def note(self, upstreams: Iterable[Upstream], now: float) -> frozenset[str]:
        """Note the upstreams that exist now.

        Returns the services that have got a version beside others.
        """
        present = {
            ServiceVersion(upstream.service, upstream.version)
            for upstream in upstreams
        }
        if now - self._looked_at > MAX_LOOK_GAP:
            self._complete_from = now + RETENTION
            self.is_informed = False
        self._looked_at = now
        before = self.recent(now)
        self._last_seen.update(dict.fromkeys(present, now))
        return frozenset(
            key.service
            for key in present
            if key.service in before and key.version not in before[key.service]
        )

    def adopt(self, listed: Versions, now: float) -> None:
        """Take over versions that other instances have seen lately."""
        self._last_seen.update(dict.fromkeys(flatten_versions(listed), now))
        self.is_informed = True

    def recent(self, now: float) -> Versions:
        """Return the versions of each service that were seen lately."""
        found: dict[str, frozenset[str]] = {}
        for key, seen_at in tuple(self._last_seen.items()):
            if now - seen_at > RETENTION:
                self._last_seen.pop(key)
            else:
                known = found.get(key.service, NO_VERSIONS)
                found[key.service] = known | {key.version}
        return found

    def may_be_mixed(self, service: str, now: float) -> bool:
        """Return whether a service may have had several versions lately."""
        if not self.is_informed and not self.is_complete(now):
            return True
        return len(self.recent(now).get(service, NO_VERSIONS)) > 1

    def mixed(self, now: float) -> frozenset[str]:
        """Return the services that may have had several versions lately."""
        return frozenset(
            service
            for service in self.recent(now)
            if self.may_be_mixed(service, now)
        )

    def is_complete(self, now: float) -> bool:
        """Return whether this run has looked for the whole ``RETENTION``."""
        return now >= self._complete_from


class VersionRegister:
    """What the store's list of versions has to say; no I/O.

    The list must name each version at which a stream may have begun that its
    caller can still take up. Versions are added when they are seen, and removed
    when they have been gone for ``RETENTION``.
    """

    def __init__(self) -> None:
        """Nothing is known of the list yet."""
        self._listed_since: dict[ServiceVersion, float] = {}

    def reset(self) -> None:
        """Forget the list: another instance has been writing it."""
        self._listed_since.clear()

    def revise(
        self, listed: Versions, history: VersionHistory, now: float
    ) -> Versions:
        """Return what the list should be, given what it is.

        ``history`` is what this instance has seen; while that is not complete,
        versions that it lacks stay listed for longer.
        """
        hold_time = VIEW_LAG if history.is_complete(now) else RETENTION
        keys = set(flatten_versions(listed))
        self._listed_since = {
            key: self._listed_since.get(key, now) for key in keys
        }
        kept = {
            key for key in keys if now - self._listed_since[key] <= hold_time
        }
        return group_versions(kept | set(flatten_versions(history.recent(now))))


def flatten_versions(versions: Versions) -> Iterable[ServiceVersion]:
    """Yield the versions of all services."""
    for service, names in versions.items():
        for name in names:
            yield ServiceVersion(service, name)


def join_versions(*lists: Versions) -> Versions:
    """Return what any of some lists has."""
    return group_versions(
        key for listed in lists for key in flatten_versions(listed)
    )


def group_versions(keys: Iterable[ServiceVersion]) -> Versions:
    """Return the versions of each service."""
    found: dict[str, frozenset[str]] = {}
    for key in keys:
        known = found.get(key.service, NO_VERSIONS)
        found[key.service] = known | {key.version}
    return found
