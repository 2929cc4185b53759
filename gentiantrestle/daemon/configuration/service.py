"""Follow the store in one instance of a zone, and pass changes on."""

import asyncio
import random
from collections.abc import Iterable
from contextlib import suppress

import msgspec

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.daemon.configuration.mirror import Copied, Mirror
from gentiantrestle.daemon.membership.peers import PeerError
from gentiantrestle.daemon.membership.rendezvous import owner
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.membership.view import Member
from gentiantrestle.models import EMPTY_FLEET, FleetDoc
from gentiantrestle.store.client import (
    Listed,
    Listing,
    StoreClient,
    StoreUnavailableError,
)
from gentiantrestle.wire.peer.ttypes import (
    Change,
    Changes,
    ChangesRequest,
    Envelope,
)

FLEET = 'conf/fleet'
PREFIXES = ('conf/', 'live/', 'jobs/')
CATCH_UP_PERIOD = 0.2  # seconds
COMPARE_PERIOD = 10.0  # seconds
RETRY_PERIOD = 0.5  # seconds


class Configuration:
    """The child that keeps the copy of the store up to date."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        membership: Membership,
    ) -> None:
        """Answer peers that ask for changes."""
        self._ctx = ctx
        self._store = store
        self._membership = membership
        self._random = random.Random(ctx.incarnation)
        self.mirror = Mirror()
        self.fleet: FleetDoc = EMPTY_FLEET
        self.loaded = asyncio.Event()
        self.applied_at = ctx.wall()
        self.mirror.listen(FLEET, self._take_fleet)
        membership.answer('changes_request', self._answer_changes)

    async def run(self) -> None:
        """Load, then follow the store or a peer until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_store())
            group.create_task(self._follow_peers())
            group.create_task(self._compare())

    def take(self, name: str, version: int, document: dict) -> None:
        """Take in an object that this instance has read or written."""
        self.mirror.take(Copied(name, version, document))

    def is_relay(self) -> bool:
        """Tell whether this instance watches the store for its zone."""
        names = self._membership.view.names(self._ctx.now(), self._ctx.cfg.zone)
        return owner('relay', names) == self._ctx.cfg.instance

    async def refresh(self) -> None:
        """Read what has changed in the store."""
        if self.loaded.is_set():
            after = self.mirror.revision
            self._take_listing(await self._store.changes(after, *PREFIXES))
        else:
            self._take_listing(await self._store.list_documents(*PREFIXES))

    async def _follow_store(self) -> None:
        was_relay = False
        while True:
            relay = self.is_relay()
            if relay and not was_relay:
                events.emit(events.RELAY_ROLE_ACQUIRED)
            was_relay = relay
            try:
                await self._follow_once(relay=relay)
            except StoreUnavailableError:
                jitter = self._random.random()
                await asyncio.sleep(RETRY_PERIOD * (1 + jitter))

    async def _follow_once(self, *, relay: bool) -> None:
        if not self.loaded.is_set():
            await self.refresh()
        if not relay:
            await asyncio.sleep(RETRY_PERIOD)
            return
        after = self.mirror.revision
        self._take_listing(await self._store.watch(after, *PREFIXES))

    async def _follow_peers(self) -> None:
        while True:
            await asyncio.sleep(CATCH_UP_PERIOD)
            ahead = self._most_advanced()
            if ahead is None:
                continue
            try:
                await self._catch_up(ahead)
            except PeerError:
                await asyncio.sleep(RETRY_PERIOD)

    def _most_advanced(self) -> Member | None:
        members = self._membership.view.alive(self._ctx.now())
        best = max(
            members,
            key=lambda member: (
                member.store_revision,
                member.zone == self._ctx.cfg.zone,
            ),
            default=None,
        )
        if best is None or best.store_revision <= self.mirror.revision:
            return None
        return best

    async def _catch_up(self, member: Member) -> None:
        asked = ChangesRequest(after=self.mirror.revision)
        answer = await self._membership.call(
            member,
            Envelope(changes_request=asked),
        )
        if answer.changes is None:
            raise PeerError(f'{member.instance} sent no changes')
        self._apply(
            map(_from_wire, answer.changes.changes), answer.changes.revision
        )

    async def _compare(self) -> None:
        """Read the store now and then, in case the relay has missed news."""
        while True:
            jitter = self._random.random()
            await asyncio.sleep(COMPARE_PERIOD * (0.5 + jitter))
            if self.is_relay():
                continue
            with suppress(StoreUnavailableError):
                await self.refresh()

    async def _answer_changes(self, envelope: Envelope) -> Envelope:
        changed = self.mirror.since(envelope.changes_request.after)
        changes = Changes(
            revision=self.mirror.revision,
            complete=True,
            changes=[_to_wire(copied) for copied in changed],
        )
        return Envelope(changes=changes)

    def _take_listing(self, listing: Listing) -> None:
        changes = map(_from_listed, listing['objects'])
        self._apply(changes, listing['revision'])

    def _apply(self, changes: Iterable[Copied], revision: int) -> None:
        self.mirror.apply(changes, revision)
        self.loaded.set()
        self._membership.view.say(store_revision=self.mirror.revision)

    def _take_fleet(self, copied: Copied) -> None:
        fleet = copied.document
        if fleet is None or fleet['revision'] <= self.fleet['revision']:
            return
        self.fleet = fleet
        self.applied_at = self._ctx.wall()
        self._membership.view.say(config_revision=fleet['revision'])
        self._ctx.metrics.config_revision.set({}, fleet['revision'])
        events.emit(events.CONFIG_APPLIED, revision=fleet['revision'])


def _from_listed(listed: Listed) -> Copied:
    return Copied(listed['name'], listed['version'], listed.get('body'))


def _from_wire(change: Change) -> Copied:
    document = None
    if change.payload is not None:
        document = msgspec.json.decode(change.payload)
    return Copied(change.name, change.version, document)


def _to_wire(copied: Copied) -> Change:
    payload = None
    if copied.document is not None:
        payload = msgspec.json.encode(copied.document)
    return Change(name=copied.name, version=copied.version, payload=payload)
