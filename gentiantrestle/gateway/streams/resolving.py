"""Finds out where a stream began that its caller takes up again.

Not knowing is no reason to guess: text joined from two software versions shows
nothing of it. A stream goes on if it is known where it began, or if the store
confirms, once its caller has asked, that it can have begun at one version only.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.errors import NO_UPSTREAM, RefusedError, refuse
from gentiantrestle.gateway.model import Request, Route
from gentiantrestle.gateway.slots.queueing import (
    MIN_RETRY_AFTER,
    retry_after_seconds,
)
from gentiantrestle.gateway.streams.asking import PeerOrigins, write_answer
from gentiantrestle.gateway.streams.evidence import (
    StoreAnswer,
    StreamEvidence,
)
from gentiantrestle.gateway.streams.origins import OriginLog, StreamOrigin
from gentiantrestle.gateway.streams.reading import (
    StreamReader,
    VersionReader,
)
from gentiantrestle.gateway.streams.versions import VersionHistory
from gentiantrestle.store.client import StoreUnavailableError
from gentiantrestle.wire.peer import ttypes

# Streams that began just now are told and saved within this time.
SECOND_LOOK_AFTER = 0.35  # seconds
# Share of the time until its deadline that a request may spend on a look-up.
LOOK_UP_SHARE = 0.5
MS_PER_S = 1000
# Who has told where a stream began.
ZONE = 'zone'
STORE = 'store'


class OriginSources(NamedTuple):
    """Who is asked: the store, about streams and versions, and instances."""

    streams: StreamReader
    versions: VersionReader
    peers: PeerOrigins


class _Found(NamedTuple):
    """The origin of a stream, or None, and who has told it."""

    origin: StreamOrigin | None
    source: str


class OriginResolver:
    """Finds the origin of a stream here, in the zone, then in the store."""

    def __init__(
        self,
        logs: Iterable[OriginLog],
        history: VersionHistory,
        sources: OriginSources,
        now: Callable[[], float],
    ) -> None:
        """Search ``logs``, those of this instance."""
        self._logs = tuple(logs)
        self._history = history
        self._sources = sources
        self._now = now

    async def resolve(self, req: Request, route: Route) -> StreamOrigin:
        """Return where a stream began, with a service of its route.

        Raises ``RefusedError`` if that can't be found out, or if the route has
        left the service.
        """
        attempt_id = req.resumes or req.id
        began_at = self._now()
        found = _Found(self._find(attempt_id), 'memory')
        if found.origin is None:
            left = max(0, req.deadline - began_at)
            found = await self._look_up(attempt_id, route, left * LOOK_UP_SHARE)
        origin = found.origin
        shares = {share.service for share in route.shares}
        known = origin is not None and origin.service in shares
        events.emit(
            events.STREAM_TAKEN_UP,
            request=req.id,
            attempt=attempt_id,
            service=origin.service if origin else '',
            version=origin.version if origin else '',
            source=found.source,
            known=known,
            took_ms=round((self._now() - began_at) * MS_PER_S),
        )
        if not known:
            raise self._refusal(req)
        return origin

    async def answer(
        self, request: ttypes.OriginRequest
    ) -> ttypes.OriginAnswer:
        """Tell another instance what is known of streams here.

        If it wants the store to be read, and that fails, no versions are told.
        """
        evidence = await self._read_store() if request.confirm else None
        versions = None if evidence is None else evidence.versions
        stored = {} if evidence is None else evidence.origins
        found = self._known(request.attempts, stored)
        return write_answer(found, versions)

    def _known(
        self, attempt_ids: Iterable[str], stored: dict[str, StreamOrigin]
    ) -> Iterator[StreamOrigin]:
        for attempt_id in attempt_ids:
            origin = self._find(attempt_id) or stored.get(attempt_id)
            if origin is not None:
                yield origin

    def _find(self, attempt_id: str) -> StreamOrigin | None:
        found = (log.find(attempt_id) for log in self._logs)
        return next((origin for origin in found if origin is not None), None)

    async def _look_up(
        self, attempt_id: str, route: Route, seconds: float
    ) -> _Found:
        try:
            async with asyncio.timeout(seconds):
                found = await self._look_once(attempt_id, route)
                if found.origin is None and found.source == STORE:
                    await asyncio.sleep(SECOND_LOOK_AFTER)
                    found = await self._look_again(attempt_id)
        except TimeoutError:
            return _Found(None, 'time-out')
        return found

    async def _look_once(self, attempt_id: str, route: Route) -> _Found:
        origin = await self._ask_zone(attempt_id)
        if origin is not None:
            return _Found(origin, ZONE)
        source = STORE
        evidence = await self._read_store()
        if evidence is None:
            # Another instance may reach it.
            source = 'another instance'
            evidence = await self._sources.peers.read(attempt_id)
        if evidence is None:
            return _Found(None, 'nobody')
        confirmed = evidence.with_seen(self._history.recent(self._now()))
        return _Found(confirmed.find(attempt_id, route), source)

    async def _look_again(self, attempt_id: str) -> _Found:
        """Look for a stream that was told or saved meanwhile."""
        origin = await self._ask_zone(attempt_id)
        if origin is not None:
            return _Found(origin, ZONE)
        try:
            stored = await self._sources.streams.read()
        except StoreUnavailableError:
            return _Found(None, 'nobody')
        return _Found(stored.origins.get(attempt_id), STORE)

    async def _ask_zone(self, attempt_id: str) -> StreamOrigin | None:
        origin = await self._sources.peers.find(attempt_id)
        # It may have been told here meanwhile.
        return origin or self._find(attempt_id)

    async def _read_store(self) -> StreamEvidence | None:
        """Return what the store has now; None if it doesn't answer."""
        try:
            found = await asyncio.gather(
                self._sources.streams.read(), self._sources.versions.read()
            )
        except StoreUnavailableError:
            return None
        return StoreAnswer(*found).as_evidence(self._history, self._now())

    def _refusal(self, req: Request) -> RefusedError:
        delay = retry_after_seconds(MIN_RETRY_AFTER, req, self._now())
        return refuse(
            NO_UPSTREAM,
            'It is not known which upstreams can continue this stream',
            delay,
        )
