"""Tells other instances of the zone of streams begun here; no I/O.

Of all streams: a version that is new the next moment leaves it open at which
one a stream has begun, and its instance may be gone by then.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from gentiantrestle.gateway.streams.origins import (
    RETENTION,
    OriginLog,
    StreamOrigin,
)

# Datagrams get lost, so each stream is sent with two of them.
COPIES = 2
MAX_BATCH = 20  # streams in one datagram
# Coordinators forget a stream after ``RETENTION`` though it may still run.
RESHARE_INTERVAL = RETENTION / 2  # seconds


class StreamBatch(NamedTuple):
    """Streams begun at one software version of a service."""

    service: str
    version: str
    attempt_ids: tuple[str, ...]


class OriginSharer:
    """Chooses the streams that other instances are told of."""

    def __init__(self, log: OriginLog) -> None:
        """Share streams of ``log``, those that this instance began."""
        self._log = log
        self._copies_left: dict[str, int] = {}
        # Remembered streams that were shared, and when; monotonic times in s.
        self._shared_at: dict[str, float] = {}
        self._told: frozenset[str] = frozenset()

    @property
    def is_busy(self) -> bool:
        """Return whether something has to be sent."""
        return bool(self._copies_left)

    def share(self, attempt_id: str, now: float) -> None:
        """Have a stream sent with the next batches."""
        self._copies_left[attempt_id] = COPIES
        self._shared_at[attempt_id] = now

    def share_services(self, services: Iterable[str], now: float) -> None:
        """Have all remembered streams of some services sent."""
        wanted = frozenset(services)
        for origin in tuple(self._log.recent(now)):
            if origin.service in wanted:
                self.share(origin.attempt_id, now)

    def tell(self, hosts: Iterable[str], now: float) -> None:
        """Note who is told; whoever is new gets all that was shared."""
        told = frozenset(hosts)
        if told - self._told:
            for attempt_id in tuple(self._shared_at):
                self.share(attempt_id, now)
        self._told = told

    def next_batches(self, now: float) -> Iterator[StreamBatch]:
        """Yield what is to be sent now, a batch for each datagram."""
        self._repeat_open(now)
        found = (self._log.find(name) for name in self._copies_left)
        origins = [origin for origin in found if origin is not None]
        self._copies_left = {
            name: copies - 1
            for name, copies in self._copies_left.items()
            if copies > 1
        }
        return into_batches(origins)

    def _repeat_open(self, now: float) -> None:
        for attempt_id, shared_at in tuple(self._shared_at.items()):
            if self._log.find(attempt_id) is None:
                self._shared_at.pop(attempt_id)
            elif (
                self._log.is_open(attempt_id)
                and now - shared_at > RESHARE_INTERVAL
            ):
                self.share(attempt_id, now)


def into_batches(origins: Iterable[StreamOrigin]) -> Iterator[StreamBatch]:
    """Group streams by service and version, ``MAX_BATCH`` at a time."""
    grouped: dict[tuple[str, str], list[str]] = {}
    for origin in origins:
        key = (origin.service, origin.version)
        grouped.setdefault(key, []).append(origin.attempt_id)
    for (service, version), names in grouped.items():
        for start in range(0, len(names), MAX_BATCH):
            batch = tuple(names[start : start + MAX_BATCH])
            yield StreamBatch(service, version, batch)
