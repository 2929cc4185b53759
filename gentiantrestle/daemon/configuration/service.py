"""Mirror the store: some instances of a zone watch it for the others."""

import asyncio
import random
from collections.abc import Iterable, Iterator
from contextlib import suppress

import msgspec

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.daemon.configuration.mirror import Mirror, MirroredObject
from gentiantrestle.daemon.membership.peers import PeerError
from gentiantrestle.daemon.membership.rendezvous import rank
from gentiantrestle.daemon.membership.seats import count_seats
from gentiantrestle.daemon.membership.service import Membership
from gentiantrestle.daemon.membership.sources import SourceCalls, SourceStates
from gentiantrestle.daemon.membership.view import Member
from gentiantrestle.models import EMPTY_FLEET, FleetDoc
from gentiantrestle.store.client import (
    WATCH_WAIT,
    StoreClient,
    StoreUnavailableError,
)
from gentiantrestle.store.listing import (
    DECODE_ERRORS,
    ListedObject,
    ObjectList,
    decode_document,
)
from gentiantrestle.store.watch_proof import WatchProof
from gentiantrestle.wire.peer.ttypes import (
    Change,
    Changes,
    ChangesRequest,
    Envelope,
)

FLEET_OBJECT = 'conf/fleet'
PREFIXES = ('conf/', 'live/', 'jobs/')
PEER_POLL_PERIOD = 0.2  # seconds
RESYNC_PERIOD = 10.0  # seconds
RETRY_PERIOD = 0.5  # seconds


class Configuration:
    """The child that keeps the mirror of the store up to date."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        membership: Membership,
    ) -> None:
        """Listen for the fleet's configuration and answer peers."""
        self._ctx = ctx
        self._store = store
        self._membership = membership
        self._random = random.Random(ctx.incarnation)
        self._sources = SourceCalls()
        self._proof = WatchProof()
        self.mirror = Mirror()
        self.fleet: FleetDoc = EMPTY_FLEET
        self.loaded = asyncio.Event()
        self.applied_at = ctx.wall()
        self.mirror.add_listener(FLEET_OBJECT, self._apply_fleet)
        membership.register_handler('changes_request', self._answer_changes)

    async def run(self) -> None:
        """Load the objects, then follow the store or peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_store())
            group.create_task(self._follow_peers())
            group.create_task(self._resync())

    def update_mirror(self, name: str, version: int, document: dict) -> None:
        """Mirror an object that this instance has read or written itself."""
        self.mirror.update(MirroredObject(name, version, document))

    def is_relay(self) -> bool:
        """Tell whether this instance watches the store for its zone.

        More than one of a zone do so where there are few zones.
        """
        zone = self._ctx.cfg.zone
        live = list(self._membership.view.live_members(self._ctx.now()))
        zones = {zone, *(member.zone for member in live)}
        names = [member.instance for member in live if member.zone == zone]
        relays = rank('relay', names)[: count_seats(len(zones))]
        return self._ctx.cfg.instance in relays

    async def refresh(self) -> None:
        """Read changes from the store; all objects if none are loaded yet.

        Raises ``StoreUnavailableError``.
        """
        if self.loaded.is_set():
            after = self.mirror.revision
            listing = await self._store.read_changes(after, *PREFIXES)
            self._apply_changes(after, listing, heard_for=0)
        else:
            self._apply_listing(await self._store.list_documents(*PREFIXES))

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
        asked_at = self._ctx.now()
        listing = await self._store.watch(after, *PREFIXES)
        heard_for = min(self._ctx.now() - asked_at, WATCH_WAIT)
        self._apply_changes(after, listing, heard_for)

    async def _follow_peers(self) -> None:
        try:
            while True:
                if not await self._ask_next(self._ctx.now()):
                    await asyncio.sleep(PEER_POLL_PERIOD)
        finally:
            self._sources.cancel()

    async def _ask_next(self, now: float) -> bool:
        """Ask one peer; return whether it is silent, so that one follows."""
        member = self._find_newest_peer(self._sources.states(now), now)
        if member is None:
            return False
        ended = await self._sources.ask(
            member.instance,
            self._catch_up(member),
            lambda: self._membership.answer_silence(member),
        )
        if ended:
            return False
        events.emit(events.SOURCE_SILENT, instance=member.instance)
        return True

    def _find_newest_peer(
        self, states: SourceStates, now: float
    ) -> Member | None:
        """Return the newest of those that are ahead and may be asked."""
        ahead = [
            member
            for member in self._membership.view.live_members(now)
            if member.store_revision > self.mirror.revision
        ]
        return max(
            states.usable(ahead),
            key=lambda member: (
                member.store_revision,
                member.zone == self._ctx.cfg.zone,
            ),
            default=None,
        )

    async def _catch_up(self, member: Member) -> bool:
        """Copy what is newer; return whether the member has answered."""
        request = ChangesRequest(after=self.mirror.revision)
        try:
            answer = await self._membership.fetch(
                member,
                Envelope(changes_request=request),
            )
        except PeerError as exc:
            events.emit(
                events.PEER_FAILED,
                instance=member.instance,
                error=repr(exc),
            )
            return False
        if answer.changes is None:
            return False
        self._apply(
            _read_changes(answer.changes.changes), answer.changes.revision
        )
        return True

    async def _resync(self) -> None:
        """Read changes periodically, in case the relay has missed some."""
        while True:
            jitter = self._random.random()
            await asyncio.sleep(RESYNC_PERIOD * (0.5 + jitter))
            if self.is_relay():
                continue
            with suppress(StoreUnavailableError):
                await self.refresh()

    async def _answer_changes(self, envelope: Envelope) -> Envelope:
        changed = self.mirror.changed_after(envelope.changes_request.after)
        changes = Changes(
            revision=self.mirror.revision,
            complete=True,
            changes=[_to_wire(mirrored) for mirrored in changed],
        )
        return Envelope(changes=changes)

    def _apply_changes(
        self, after: int, listing: ObjectList, heard_for: float
    ) -> None:
        """Apply what has changed since ``after``.

        Without changes the answer is no proof that there were none.
        """
        if listing['objects']:
            self._proof.reset()
            self._apply_listing(listing)
            return
        revision = self._proof.next_revision(
            after, listing['revision'], heard_for
        )
        self._apply((), revision)

    def _apply_listing(self, listing: ObjectList) -> None:
        changes = map(_from_listed, listing['objects'])
        self._apply(changes, listing['revision'])

    def _apply(self, changes: Iterable[MirroredObject], revision: int) -> None:
        self.mirror.apply(changes, revision)
        self.loaded.set()
        self._membership.view.update_local(store_revision=self.mirror.revision)

    def _apply_fleet(self, mirrored: MirroredObject) -> None:
        fleet = mirrored.document
        if fleet is None or fleet['revision'] <= self.fleet['revision']:
            return
        # Raises if another writer left a document of another shape.
        msgspec.convert(fleet, FleetDoc)
        self.fleet = fleet
        self.applied_at = self._ctx.wall()
        self._membership.view.update_local(config_revision=fleet['revision'])
        self._ctx.metrics.config_revision.set({}, fleet['revision'])
        events.emit(events.CONFIG_APPLIED, revision=fleet['revision'])


def _from_listed(listed: ListedObject) -> MirroredObject:
    return MirroredObject(listed['name'], listed['version'], listed.get('body'))


def _read_changes(changes: Iterable[Change]) -> Iterator[MirroredObject]:
    """Yield the changes that can be read; log the others."""
    for change in changes:
        try:
            yield _from_wire(change)
        except DECODE_ERRORS as exc:
            events.emit(
                events.ENTRY_UNREADABLE, name=change.name, error=repr(exc)
            )


def _from_wire(change: Change) -> MirroredObject:
    document = None
    if change.payload is not None:
        document = decode_document(change.payload)
    return MirroredObject(change.name, change.version, document)


def _to_wire(mirrored: MirroredObject) -> Change:
    payload = None
    if mirrored.document is not None:
        payload = msgspec.json.encode(mirrored.document)
    return Change(name=mirrored.name, version=mirrored.version, payload=payload)
