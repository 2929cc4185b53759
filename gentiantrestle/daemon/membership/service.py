"""Exchange heartbeats with a few peers at each tick."""

import asyncio
import random
from collections.abc import Iterator
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.context import Context
from gentiantrestle.daemon.membership.codec import (
    member_from_wire,
    member_to_wire,
)
from gentiantrestle.daemon.membership.peers import (
    PeerClient,
    PeerError,
    PeerHandler,
    PeerServer,
)
from gentiantrestle.daemon.membership.view import Member, MembershipView, State
from gentiantrestle.models import Address
from gentiantrestle.wire.peer.ttypes import Envelope, Heartbeat
from gentiantrestle.wire.peer.ttypes import Member as WireMember

ZONE_FANOUT = 3
FAR_FANOUT = 1
FORGET_AFTER = 600.0  # seconds


class Written(NamedTuple):
    """A member and its message."""

    member: Member
    wire: WireMember


class Membership:
    """The child that keeps the view of live instances."""

    def __init__(self, ctx: Context, view: MembershipView) -> None:
        """Keep the view; other children add their peer calls."""
        self._ctx = ctx
        self.view = view
        self.peers = PeerClient()
        self._answers: dict[str, PeerHandler] = {
            'heartbeat': self._answer_heartbeat,
        }
        self._random = random.Random(ctx.incarnation)
        self._lost: set[str] = set()
        self._written: dict[str, Written] = {}
        self._beats: set[asyncio.Task[None]] = set()

    @classmethod
    def from_config(cls, ctx: Context) -> 'Membership':
        """Introduce this instance as its settings name it."""
        cfg = ctx.cfg
        me = Member(
            instance=cfg.instance,
            incarnation=ctx.incarnation,
            beat=0,
            zone=cfg.zone,
            region=cfg.region,
            host=cfg.host,
            peer_port=cfg.peer_port,
            http_port=cfg.http_port,
            state=State.STARTING,
        )
        return cls(ctx, MembershipView(me, cfg.silence))

    def register_handler(
        self,
        field: str,
        handle: PeerHandler,
    ) -> None:
        """Answer envelopes that carry ``field`` with ``handle``."""
        self._answers[field] = handle

    async def call(self, member: Member, envelope: Envelope) -> Envelope:
        """Call one member."""
        return await self.peers.call(_address(member), envelope)

    async def run(self) -> None:
        """Serve peers and send heartbeats until cancelled."""
        server = PeerServer(self._answer)
        address = Address(self._ctx.cfg.host, self._ctx.cfg.peer_port)
        async with asyncio.TaskGroup() as group:
            group.create_task(server.run(address))
            group.create_task(self._beat_for_ever())

    async def announce(self) -> None:
        """Tell all live members at once, as when leaving."""
        self.view.tick(self._ctx.now())
        addresses = {
            _address(member)
            for member in self.view.members()
            if member.instance != self.view.me.instance
        }
        await asyncio.gather(*map(self._exchange, addresses))

    async def _answer(self, envelope: Envelope) -> Envelope:
        for field, handle in self._answers.items():
            if getattr(envelope, field) is not None:
                return await handle(envelope)
        return Envelope()

    async def _answer_heartbeat(self, envelope: Envelope) -> Envelope:
        self._merge(envelope.heartbeat)
        return Envelope(heartbeat=self._heartbeat())

    async def _beat_for_ever(self) -> None:
        while True:
            now = self._ctx.now()
            self.view.tick(now)
            self.view.forget(now, FORGET_AFTER)
            for address in self._choose(now):
                task = asyncio.create_task(self._exchange(address))
                self._beats.add(task)
                task.add_done_callback(self._beats.discard)
            self._note_lost(now)
            await asyncio.sleep(self._ctx.cfg.heartbeat)

    def _choose(self, now: float) -> set[Address]:
        zone = self._ctx.cfg.zone
        alive = [
            member
            for member in self.view.live_members(now)
            if member.instance != self.view.me.instance
        ]
        near = [member for member in alive if member.zone == zone]
        far = [member for member in alive if member.zone != zone]
        chosen = {
            *map(_address, self._sample(near, ZONE_FANOUT)),
            *map(_address, self._sample(far, FAR_FANOUT)),
        }
        chosen.update(self._strangers(now))
        return chosen

    def _sample(self, members: list[Member], size: int) -> list[Member]:
        return self._random.sample(members, min(size, len(members)))

    def _strangers(self, now: float) -> Iterator[Address]:
        """Yield one known address that is not heard of, to knock at."""
        alive = {_address(member) for member in self.view.live_members(now)}
        known = {_address(member) for member in self.view.members()}
        known.update(self._ctx.cfg.peer_addresses)
        silent = sorted(known - alive - {_address(self.view.me)})
        if silent:
            yield self._random.choice(silent)

    async def _exchange(self, address: Address) -> None:
        envelope = Envelope(heartbeat=self._heartbeat())
        try:
            answer = await self.peers.call(address, envelope)
        except PeerError:
            return
        if answer.heartbeat is not None:
            self._merge(answer.heartbeat)

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(members=list(map(self._to_wire, self.view.members())))

    def _to_wire(self, member: Member) -> WireMember:
        """Turn a member into its message; one that is unchanged is reused."""
        kept = self._written.get(member.instance)
        if kept is None or kept.member is not member:
            kept = Written(member, member_to_wire(member))
            self._written[member.instance] = kept
        return kept.wire

    def _merge(self, heartbeat: Heartbeat) -> None:
        told = [
            member_from_wire(member)
            for member in heartbeat.members
            if self.view.is_news(
                member.instance,
                (member.incarnation, member.beat),
            )
        ]
        for instance in self.view.merge(told, self._ctx.now()):
            self._lost.discard(instance)
            events.emit(events.MEMBER_ALIVE, instance=instance)

    def _note_lost(self, now: float) -> None:
        names = {member.instance for member in self.view.members()}
        for instance in names - set(self.view.live_names(now)) - self._lost:
            if instance != self.view.me.instance:
                self._lost.add(instance)
                events.emit(events.MEMBER_LOST, instance=instance)


def _address(member: Member) -> Address:
    return Address(member.host, member.peer_port)
