"""What shows where a stream began; no I/O."""

from collections.abc import Mapping
from typing import NamedTuple

from gentiantrestle.gateway.model import Route
from gentiantrestle.gateway.routing import choose_service
from gentiantrestle.gateway.streams.origins import StreamOrigin
from gentiantrestle.gateway.streams.records import StoredStreams
from gentiantrestle.gateway.streams.versions import (
    NO_VERSIONS,
    VersionHistory,
    Versions,
    join_versions,
)


class StreamEvidence(NamedTuple):
    """Known origins by attempt id, and all that an unknown one can be.

    ``versions`` has those of a service only if they are all at which a stream
    can have begun whose caller asks for it now: the store has confirmed the
    list of upstreams since, as an upstream is listed before it gets a request.
    """

    origins: Mapping[str, StreamOrigin]
    versions: Versions

    def find(self, attempt_id: str, route: Route) -> StreamOrigin | None:
        """Return the origin of a stream; None if it is unknown."""
        known = self.origins.get(attempt_id)
        if known is not None or len(route.shares) > 1:
            return known
        service = choose_service(route, attempt_id)
        versions = self.versions.get(service, NO_VERSIONS)
        if len(versions) != 1:
            return None
        return StreamOrigin(attempt_id, service, *versions)

    def with_seen(self, seen: Versions) -> 'StreamEvidence':
        """Add the versions that this instance has seen lately."""
        versions = {
            service: names | seen.get(service, NO_VERSIONS)
            for service, names in self.versions.items()
        }
        return self._replace(versions=versions)


class StoreAnswer(NamedTuple):
    """What the store has: about streams, and the listed versions."""

    streams: StoredStreams
    listed: Versions

    def as_evidence(
        self, history: VersionHistory, now: float
    ) -> StreamEvidence:
        """Return what follows for streams that began before it was read.

        The list of upstreams lacks versions that were gone by then. They are
        known from ``history`` if that is complete, and from the list of
        versions that instances keep.
        """
        noted = self.streams.versions
        versions = join_versions(noted, history.recent(now), self.listed)
        if not history.is_complete(now):
            versions = {
                service: names
                for service, names in versions.items()
                if service in noted
            }
        return StreamEvidence(self.streams.origins, versions)
