"""Remembers where streams begin, and finds it out when they are taken up."""

import asyncio
from collections.abc import Iterator
from contextlib import suppress

from gentiantrestle.gateway.fleet_context import FleetContext
from gentiantrestle.gateway.model import (
    Request,
    Route,
    RouteKind,
    Upstream,
)
from gentiantrestle.gateway.ports import Adapter
from gentiantrestle.gateway.routing import choose_service
from gentiantrestle.gateway.slots.directory import SlotDirectory
from gentiantrestle.gateway.streams.asking import PeerOrigins
from gentiantrestle.gateway.streams.origins import (
    ANY_VERSION,
    OriginLog,
    StreamOrigin,
)
from gentiantrestle.gateway.streams.reading import (
    StreamReader,
    VersionReader,
)
from gentiantrestle.gateway.streams.resolving import (
    OriginResolver,
    OriginSources,
)
from gentiantrestle.gateway.streams.saving import StreamSaver
from gentiantrestle.gateway.streams.sharing import OriginSharer
from gentiantrestle.gateway.streams.versions import (
    NO_VERSIONS,
    VersionHistory,
)
from gentiantrestle.store.client import StoreUnavailableError
from gentiantrestle.supervisor import Child
from gentiantrestle.wire.peer import ttypes

BEGUN_STREAMS = 'begun_streams'  # field of the envelope
SHARE_INTERVAL = 0.05  # seconds between two batches
LEARN_INTERVAL = 1.0  # seconds between two looks whether that is to be done
IDLE_INTERVAL = 0.25  # seconds between two looks while nothing is shared
# Another instance may know of an upstream this much earlier.
LIST_LAG = 0.8  # seconds
LIST_POLL = 0.05  # seconds between two looks whether it is known here
# Instances of the zone that know each stream: the one that saves, the one that
# takes over if it is silent, and others, as most of a zone may end at once.
INSTANCES_TOLD = 4


class StreamOrigins:
    """The streams of this instance, of its zone, and those in the store."""

    def __init__(
        self,
        fleet: FleetContext,
        directory: SlotDirectory,
        adapter: Adapter,
    ) -> None:
        """Tell the coordinators of ``directory``; nothing is known yet."""
        self._fleet = fleet
        self._directory = directory
        now = fleet.clock.now
        self._now = now
        self._history = VersionHistory(now())
        self._own = OriginLog()
        self._told = OriginLog()
        self._sharer = OriginSharer(self._own)
        self._saver = StreamSaver(
            fleet.identity.zone, adapter.store, self._told, self._history, now
        )
        self._saver.is_leading = self._is_leading
        self._saver.split_services = self._split_services
        self._reader = StreamReader(adapter.store)
        self.peers = PeerOrigins(fleet.identity.zone, fleet.peers, now)
        self._resolver = OriginResolver(
            (self._own, self._told),
            self._history,
            OriginSources(self._reader, VersionReader(adapter), self.peers),
            now,
        )
        # Tells another instance of streams.
        self.answer = self._resolver.answer
        self._wake = asyncio.Event()
        fleet.port.on(BEGUN_STREAMS, self._receive)

    def children(self) -> Iterator[Child]:
        """Yield the children that share and save streams."""
        yield Child('share streams', self._run_sharing)
        yield Child('save streams', self._saver.run)
        yield Child('learn versions', self._run_learning)

    def note_upstreams(self) -> None:
        """Note that the upstreams may have changed."""
        now = self._now()
        changed = self._history.note(self._fleet.state.roster.in_use(now), now)
        self._sharer.share_services(changed, now)

    def begin(self, req: Request, route: Route, upstream: Upstream) -> None:
        """Note the first event of an answer, before its caller gets it."""
        if not route.resumable:
            return
        now = self._now()
        attempt_id = req.resumes or req.id
        self._own.open(
            StreamOrigin(attempt_id, upstream.service, upstream.version)
        )
        self._sharer.share(attempt_id, now)
        self._wake.set()

    def may_be_mixed(self, service: str) -> bool:
        """Return whether a service may have had several versions lately."""
        return self._history.may_be_mixed(service, self._now())

    def end(self, req: Request) -> None:
        """Note that an answer has ended, in whatever way."""
        self._own.close(req.resumes or req.id, self._now())

    async def find(self, req: Request, route: Route) -> StreamOrigin:
        """Return the service of a request, and the version it is bound to.

        Raises ``RefusedError`` if it takes up a stream of unknown origin.
        """
        is_take_up = route.kind is RouteKind.STREAM and req.last_event > 0
        if not is_take_up or not route.resumable:
            service = choose_service(route, req.id)
            return StreamOrigin(req.id, service, ANY_VERSION)
        self.note_upstreams()
        origin = await self._resolver.resolve(req, route)
        await self._await_version(origin, req.deadline)
        return origin

    async def _await_version(
        self, origin: StreamOrigin, deadline: float
    ) -> None:
        """Wait a moment for upstreams of a version that is new here."""
        now = self._now()
        until = min(now + LIST_LAG, (now + deadline) / 2)
        while self._now() < until:
            seen = self._history.recent(self._now())
            if origin.version in seen.get(origin.service, NO_VERSIONS):
                return
            await asyncio.sleep(LIST_POLL)
            self.note_upstreams()

    async def _run_sharing(self) -> None:
        while True:
            self.note_upstreams()
            now = self._now()
            self._own.expire(now)
            self._share(now)
            await asyncio.sleep(SHARE_INTERVAL)
            if not self._sharer.is_busy:
                await self._wait_for_work()

    async def _run_learning(self) -> None:
        """Learn of versions that had gone before this run, or its pause."""
        while True:
            if not self._history.is_informed:
                with suppress(StoreUnavailableError):
                    stored = await self._reader.read()
                    self._history.adopt(stored.versions, self._now())
            await asyncio.sleep(LEARN_INTERVAL)

    async def _wait_for_work(self) -> None:
        self._wake.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(IDLE_INTERVAL):
                await self._wake.wait()

    def _share(self, now: float) -> None:
        zone = self._fleet.identity.zone
        ranked = self._directory.coordinators(zone, now)
        hosts = [peer.host for peer in ranked[:INSTANCES_TOLD]]
        self._sharer.tell(hosts, now)
        for batch in self._sharer.next_batches(now):
            message = ttypes.BegunStreams(
                batch.service, batch.version, list(batch.attempt_ids)
            )
            self._fleet.port.send(hosts, BEGUN_STREAMS, message)

    def _receive(self, message: ttypes.BegunStreams) -> None:
        now = self._now()
        for attempt_id in message.attempts:
            origin = StreamOrigin(
                attempt_id, message.service_name, message.version
            )
            self._told.add(origin, now)

    def _split_services(self) -> frozenset[str]:
        """Return the services that share a resumable route with others."""
        return frozenset(
            share.service
            for route in self._fleet.state.router.table.routes
            if route.resumable and len(route.shares) > 1
            for share in route.shares
        )

    def _is_leading(self, now: float) -> bool:
        zone = self._fleet.identity.zone
        first = self._directory.coordinators(zone, now)[:1]
        return (
            bool(first) and first[0].instance == self._fleet.identity.instance
        )
