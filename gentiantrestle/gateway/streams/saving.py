"""Keeps in the store what is needed if all instances end at once.

Each zone's first coordinator writes one object with the streams that it was
told of and whose version can't be told otherwise: those of a service that has
had several lately, or of a split route. It keeps the fleet's list of versions
right, too. Two of them at once write nearly the same, under the object's
revision.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.ports import ObjectStore, StoredObject
from gentiantrestle.gateway.streams.origins import (
    OriginLog,
    StreamOrigin,
)
from gentiantrestle.gateway.streams.records import (
    DECODE_ERRORS,
    STREAM_KIND,
    VERSIONS_NAME,
    ZONE_PREFIX,
    newest_origins,
    origins_from_content,
    origins_to_content,
    versions_from_content,
    versions_to_content,
)
from gentiantrestle.gateway.streams.versions import (
    VersionHistory,
    VersionRegister,
)
from gentiantrestle.store.client import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

# A stream that began this long before all instances ended may be unknown after.
SAVE_INTERVAL = 0.1  # seconds
VERSIONS_INTERVAL = 0.3  # seconds between two looks at the list of versions
FAILURE_PAUSE = 0.5  # seconds after a failed call


class SavedState(NamedTuple):
    """How many streams were known, and the services whose streams are saved."""

    changes: int = 0
    services: frozenset[str] = frozenset()


class StreamSaver:
    """Writes the streams of a zone and the versions of all services."""

    def __init__(
        self,
        zone: str,
        store: ObjectStore,
        log: OriginLog,
        history: VersionHistory,
        now: Callable[[], float],
    ) -> None:
        """Save ``log``, the streams that this instance was told of."""
        self._zone_name = f'{ZONE_PREFIX}{zone}'
        self._store = store
        self._log = log
        self._history = history
        self._now = now
        self._register = VersionRegister()
        self._written: dict[str, StoredObject] = {}
        self._saved = SavedState()
        self._looked_at = float('-inf')
        # Whether this instance is the one that saves for its zone.
        self.is_leading: Callable[[float], bool] = _is_never_leading
        # Returns the services that share a route with others.
        self.split_services: Callable[[], frozenset[str]] = frozenset

    async def run(self) -> None:
        """Save until cancelled."""
        while True:
            pause = SAVE_INTERVAL
            try:
                await self.save(self._now())
            except (StoreUnavailableError, StoreOutcomeUnknownError) as exc:
                events.emit(
                    events.STORE_CALL_FAILED, name=STREAM_KIND, error=repr(exc)
                )
                self._written.clear()
                pause = FAILURE_PAUSE
            await asyncio.sleep(pause)

    async def save(self, now: float) -> None:
        """Write what has changed, if this instance saves for its zone.

        Raises ``StoreUnavailableError`` and ``StoreOutcomeUnknownError``.
        """
        is_due = now - self._looked_at >= VERSIONS_INTERVAL
        if not is_due and self._state(now) == self._saved:
            return
        if not self.is_leading(now):
            self._written.clear()
            self._register.reset()
            return
        if is_due:
            self._looked_at = now
            await self._save_versions(now)
        await self._save_streams(now)

    async def _save_versions(self, now: float) -> None:
        stored = await self._load(VERSIONS_NAME, versions_to_content({}))
        try:
            listed = versions_from_content(stored.content)
        except DECODE_ERRORS as exc:
            _log_unreadable(stored, exc)
            listed = {}
        wanted = self._register.revise(listed, self._history, now)
        if wanted != listed:
            await self._replace(stored, versions_to_content(wanted))
            events.emit(events.VERSIONS_LISTED, versions=len(wanted))

    async def _save_streams(self, now: float) -> None:
        state = self._state(now)
        if state == self._saved:
            return
        if self._needed(state, now):
            stored = self._written.get(self._zone_name)
            if stored is None:
                default = origins_to_content(())
                stored = await self._load(self._zone_name, default)
                self._merge(stored, now)
            newest = newest_origins(
                self._needed(state, now), self._store.max_content_size
            )
            if not await self._replace(stored, origins_to_content(newest)):
                return
        self._saved = state

    def _state(self, now: float) -> 'SavedState':
        mixed = self._history.mixed(now)
        return SavedState(self._log.changes, mixed | self.split_services())

    def _needed(self, state: 'SavedState', now: float) -> list[StreamOrigin]:
        return [
            origin
            for origin in self._log.recent(now)
            if origin.service in state.services
        ]

    def _merge(self, stored: StoredObject, now: float) -> None:
        """Take over streams that an earlier run, or another one, has saved."""
        try:
            for origin in origins_from_content(stored.content):
                self._log.add(origin, now)
        except DECODE_ERRORS as exc:
            _log_unreadable(stored, exc)

    async def _load(self, name: str, default: object) -> StoredObject:
        """Return an object as last written or read here; create it if new."""
        known = self._written.get(name)
        while known is None:
            known = await self._store.get(STREAM_KIND, name)
            if known is None:
                await self._store.create(STREAM_KIND, name, default)
        self._written[name] = known
        return known

    async def _replace(self, stored: StoredObject, content: object) -> bool:
        """Replace an object unless it has changed; return whether it did."""
        written = await self._store.replace(STREAM_KIND, stored, content)
        if written is None:
            self._written.pop(stored.name, None)
            return False
        self._written[stored.name] = written
        return True


def _log_unreadable(stored: StoredObject, exc: Exception) -> None:
    events.emit(events.ENTRY_UNREADABLE, name=stored.name, error=repr(exc))


def _is_never_leading(now: float) -> bool:
    """Return false until this is set."""
    return False
