"""Finds out where a stream began that its caller takes up again.

Not knowing is no reason to guess: text joined from two software versions shows
nothing of it. Such a stream is refused, unless only one version was in use.
"""

import asyncio
from collections.abc import Callable, Iterable

from gentiantrestle import events
from gentiantrestle.errors import NO_UPSTREAM, RefusedError, refuse
from gentiantrestle.gateway.model import Request, Route
from gentiantrestle.gateway.ports import ObjectStore, StoredObject
from gentiantrestle.gateway.routing import choose_service
from gentiantrestle.gateway.slots.queueing import (
    MIN_RETRY_AFTER,
    retry_after_seconds,
)
from gentiantrestle.gateway.streams.origins import OriginLog, StreamOrigin
from gentiantrestle.gateway.streams.records import (
    STREAM_KIND,
    StoredStreams,
    read_stored,
)
from gentiantrestle.gateway.streams.versions import (
    NO_VERSIONS,
    VersionHistory,
)
from gentiantrestle.store.client import StoreUnavailableError

READ_TIMEOUT = 0.6  # seconds
# Streams that began just now are saved within this time.
SECOND_LOOK_AFTER = 0.35  # seconds
# Share of the time until its deadline that a request may spend on a look-up.
LOOK_UP_SHARE = 0.5


class StreamReader:
    """Reads what the store has about streams; calls at one time share one."""

    def __init__(self, store: ObjectStore, now: Callable[[], float]) -> None:
        """Read from ``store``; nothing has been read yet."""
        self._store = store
        self._now = now
        self._lock = asyncio.Lock()
        self._started_at = float('-inf')
        self._last: StoredStreams | None = None

    async def read(self) -> StoredStreams:
        """Return what the store has now; raise ``StoreUnavailableError``."""
        asked_at = self._now()
        async with self._lock:
            if self._started_at < asked_at:
                started_at = self._now()
                self._last = await self._try_read()
                self._started_at = started_at
        if self._last is None:
            raise StoreUnavailableError(STREAM_KIND)
        return self._last

    async def _try_read(self) -> StoredStreams | None:
        try:
            return read_stored(await self._list())
        except StoreUnavailableError as exc:
            events.emit(
                events.STORE_CALL_FAILED, name=STREAM_KIND, error=repr(exc)
            )
        return None

    async def _list(self) -> list[StoredObject]:
        found: list[StoredObject] = []
        try:
            async with asyncio.timeout(READ_TIMEOUT):
                page = await self._store.list_page(STREAM_KIND, '')
                found.extend(page.entries)
                while page.more and page.entries:
                    after = found[-1].name
                    page = await self._store.list_page(STREAM_KIND, after)
                    found.extend(page.entries)
        except TimeoutError as exc:
            raise StoreUnavailableError('no answer in time') from exc
        return found


class OriginResolver:
    """Finds the origin of a stream in memory, then in the store."""

    def __init__(
        self,
        logs: Iterable[OriginLog],
        history: VersionHistory,
        reader: StreamReader,
        now: Callable[[], float],
    ) -> None:
        """Search ``logs``, those of this instance."""
        self._logs = tuple(logs)
        self._history = history
        self._reader = reader
        self._now = now
        # Whether other instances keep this one's view of versions up to date.
        self.has_peers: Callable[[float], bool] = _has_none

    async def resolve(self, req: Request, route: Route) -> StreamOrigin:
        """Return where a stream began, with a service of its route.

        Raises ``RefusedError`` if that can't be found out, or if the route has
        left the service.
        """
        attempt_id = req.resumes or req.id
        origin = self._find(attempt_id)
        source = 'memory'
        if origin is None:
            source = 'store'
            left = max(0, req.deadline - self._now())
            origin = await self._look_up(
                attempt_id, route, left * LOOK_UP_SHARE
            )
        shares = {share.service for share in route.shares}
        known = origin is not None and origin.service in shares
        events.emit(
            events.STREAM_TAKEN_UP,
            request=req.id,
            attempt=attempt_id,
            service=origin.service if origin else '',
            version=origin.version if origin else '',
            source=source,
            known=known,
        )
        if not known:
            raise self._refusal(req)
        return origin

    def _find(self, attempt_id: str) -> StreamOrigin | None:
        found = (log.find(attempt_id) for log in self._logs)
        return next((origin for origin in found if origin is not None), None)

    async def _look_up(
        self, attempt_id: str, route: Route, seconds: float
    ) -> StreamOrigin | None:
        stored = None
        try:
            async with asyncio.timeout(seconds):
                stored = await self._reader.read()
                origin = self._conclude(attempt_id, route, stored)
                if origin is None:
                    await asyncio.sleep(SECOND_LOOK_AFTER)
                    stored = await self._reader.read()
                    origin = self._conclude(attempt_id, route, stored)
        except (StoreUnavailableError, TimeoutError):
            # What the store has shown before outweighs what is known here.
            if stored is None:
                return self._conclude_alone(attempt_id, route)
            return None
        return origin

    def _conclude(
        self, attempt_id: str, route: Route, stored: StoredStreams
    ) -> StreamOrigin | None:
        """Return the origin by what the store has; None if it is unknown."""
        known = self._find(attempt_id) or stored.origins.get(attempt_id)
        if known is not None:
            return known
        service = choose_service(route, attempt_id)
        listed = stored.versions.get(service, NO_VERSIONS)
        if not listed:
            return self._conclude_alone(attempt_id, route)
        return _only_origin(attempt_id, route, listed | self._recent(service))

    def _conclude_alone(
        self, attempt_id: str, route: Route
    ) -> StreamOrigin | None:
        """Return the origin by what this instance has seen itself."""
        now = self._now()
        if not self._history.is_complete(now) or not self.has_peers(now):
            return None
        service = choose_service(route, attempt_id)
        return _only_origin(attempt_id, route, self._recent(service))

    def _recent(self, service: str) -> frozenset[str]:
        return self._history.recent(self._now()).get(service, NO_VERSIONS)

    def _refusal(self, req: Request) -> RefusedError:
        delay = retry_after_seconds(MIN_RETRY_AFTER, req, self._now())
        return refuse(
            NO_UPSTREAM,
            'It is not known which upstreams can continue this stream',
            delay,
        )


def _only_origin(
    attempt_id: str, route: Route, versions: frozenset[str]
) -> StreamOrigin | None:
    """Return the origin if it can't be another one."""
    if len(versions) != 1 or len(route.shares) > 1:
        return None
    return StreamOrigin(attempt_id, route.shares[0].service, *versions)


def _has_none(now: float) -> bool:
    """Return false until this is set."""
    return False
