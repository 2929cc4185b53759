"""Formats of what instances store about streams; no I/O."""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.gateway.streams.origins import StreamOrigin
from gentiantrestle.gateway.streams.versions import Versions

STREAM_KIND = 'gentiantrestle-streams'
# The object with the list of versions; the others are named after their zones.
VERSIONS_NAME = 'versions'
ZONE_PREFIX = 'zone-'
VERSIONS = 'versions'
STREAMS = 'streams'
QUOTES_SIZE = 16  # bytes around the id, the service and the version
ESCAPED_SIZE = 6  # bytes of a character that is not ASCII
WRAPPER_SIZE = 64  # bytes around all of them
DECODE_ERRORS = (LookupError, TypeError, ValueError, AttributeError)


class StoredStreams(NamedTuple):
    """All that the store has about streams."""

    versions: Versions
    origins: dict[str, StreamOrigin]


def versions_to_content(versions: Versions) -> dict[str, Any]:
    """Encode the list of versions."""
    listed = {
        service: sorted(names) for service, names in sorted(versions.items())
    }
    return {VERSIONS: listed}


def versions_from_content(content: Any) -> Versions:
    """Decode the list of versions; raise one of ``DECODE_ERRORS``."""
    return {
        str(service): frozenset(map(str, names))
        for service, names in content[VERSIONS].items()
    }


def origins_to_content(origins: Iterable[StreamOrigin]) -> dict[str, Any]:
    """Encode streams, grouped by service and version."""
    grouped: dict[str, Any] = {}
    for origin in origins:
        versions = grouped.setdefault(origin.service, {})
        versions.setdefault(origin.version, []).append(origin.attempt_id)
    return {STREAMS: grouped}


def newest_origins(
    origins: Iterable[StreamOrigin], max_size: int
) -> Iterator[StreamOrigin]:
    """Yield the last of ``origins`` that fit into ``max_size`` bytes.

    The newest go first. A version that a few streams share is counted for each
    of them, so there may be some room left.
    """
    left = max_size - WRAPPER_SIZE
    for origin in reversed(tuple(origins)):
        left -= _size(origin)
        if left < 0:
            return
        yield origin


def _size(origin: StreamOrigin) -> int:
    """Return the most bytes that a stream takes; made for thousands of them."""
    text = ''.join(origin)
    length = len(text) if text.isascii() else len(text) * ESCAPED_SIZE
    return length + QUOTES_SIZE


def origins_from_content(content: Any) -> Iterator[StreamOrigin]:
    """Decode streams; raise one of ``DECODE_ERRORS``."""
    for service, versions in content[STREAMS].items():
        for version, attempt_ids in versions.items():
            for attempt_id in attempt_ids:
                yield StreamOrigin(str(attempt_id), service, version)


def read_stored(found: Iterable[StoredObject]) -> StoredStreams:
    """Decode all objects of the kind; unreadable ones are logged."""
    versions: Versions = {}
    origins: dict[str, StreamOrigin] = {}
    for stored in found:
        try:
            if stored.name == VERSIONS_NAME:
                versions = versions_from_content(stored.content)
            else:
                origins |= {
                    origin.attempt_id: origin
                    for origin in origins_from_content(stored.content)
                }
        except DECODE_ERRORS as exc:
            events.emit(
                events.ENTRY_UNREADABLE, name=stored.name, error=repr(exc)
            )
    return StoredStreams(versions, origins)
