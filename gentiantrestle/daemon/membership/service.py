"""Exchange heartbeats with a few peers in each heartbeat period."""

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
from gentiantrestle.quarantine.codec import pack_findings, unpack_findings
from gentiantrestle.quarantine.evidence import Evidence
from gentiantrestle.wire.peer.ttypes import Envelope, Heartbeat
from gentiantrestle.wire.peer.ttypes import Member as WireMember

SAME_ZONE_FANOUT = 3  # peers per heartbeat period
OTHER_ZONES_FANOUT = 1  # peers per heartbeat period
FORGET_AFTER = 600.0  # seconds


class EncodedMember(NamedTuple):
    """A member and its thrift structure."""

    member: Member
    wire: WireMember


class Membership:
    """The child that exchanges heartbeats and keeps the membership view."""

    def __init__(self, ctx: Context, view: MembershipView) -> None:
        """Handle heartbeats; other children register their own handlers."""
        self._ctx = ctx
        self.view = view
        # Exchanged with the heartbeats.
        self.evidence = Evidence()
        self.peers = PeerClient()
        # Large answers hold up no others on a connection of their own.
        self._copies = PeerClient()
        self._handlers: dict[str, PeerHandler] = {
            'heartbeat': self._answer_heartbeat,
        }
        self._random = random.Random(ctx.incarnation)
        self._lost: set[str] = set()
        self._encoded: dict[str, EncodedMember] = {}
        self._exchange_tasks: set[asyncio.Task[None]] = set()

    @classmethod
    def from_config(cls, ctx: Context) -> 'Membership':
        """Create the child; the instance of the settings is in STARTING."""
        cfg = ctx.cfg
        local_member = Member(
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
        return cls(ctx, MembershipView(local_member, cfg.silence))

    def register_handler(
        self,
        field: str,
        handle: PeerHandler,
    ) -> None:
        """Answer envelopes whose ``field`` is set with ``handle``."""
        self._handlers[field] = handle

    async def call(self, member: Member, envelope: Envelope) -> Envelope:
        """Call a member; raise ``PeerError`` if no answer comes."""
        return await self.peers.call(_address(member), envelope)

    async def fetch(self, member: Member, envelope: Envelope) -> Envelope:
        """Call a member for a copy of its state, which may be large.

        Raises ``PeerError`` if no answer comes.
        """
        return await self._copies.call(_address(member), envelope)

    def answer_silence(self, member: Member) -> float:
        """Return for how many s no part of a fetched answer has arrived."""
        return self._copies.answer_silence(_address(member))

    def close(self) -> None:
        """Close the connections to all members."""
        self.peers.close()
        self._copies.close()

    async def run(self) -> None:
        """Answer peers and send heartbeats until cancelled."""
        server = PeerServer(self._dispatch)
        address = Address(self._ctx.cfg.host, self._ctx.cfg.peer_port)
        async with asyncio.TaskGroup() as group:
            group.create_task(server.run(address))
            group.create_task(self._send_heartbeats())

    async def announce(self) -> None:
        """Send a heartbeat to every known member at once, as when leaving."""
        self.view.tick(self._ctx.now())
        addresses = {
            _address(member)
            for member in self.view.members()
            if member.instance != self.view.local_member.instance
        }
        await asyncio.gather(*map(self._exchange, addresses))

    async def _dispatch(self, envelope: Envelope) -> Envelope:
        for field, handle in self._handlers.items():
            if getattr(envelope, field) is not None:
                return await handle(envelope)
        return Envelope()

    async def _answer_heartbeat(self, envelope: Envelope) -> Envelope:
        self._merge(envelope.heartbeat)
        return Envelope(heartbeat=self._heartbeat())

    async def _send_heartbeats(self) -> None:
        while True:
            now = self._ctx.now()
            self.view.tick(now)
            self.view.forget(now, FORGET_AFTER)
            for address in self._choose_peers(now):
                task = asyncio.create_task(self._exchange(address))
                self._exchange_tasks.add(task)
                task.add_done_callback(self._exchange_tasks.discard)
            self._report_lost(now)
            await asyncio.sleep(self._ctx.cfg.heartbeat)

    def _choose_peers(self, now: float) -> set[Address]:
        zone = self._ctx.cfg.zone
        alive = [
            member
            for member in self.view.live_members(now)
            if member.instance != self.view.local_member.instance
        ]
        same_zone = [member for member in alive if member.zone == zone]
        other_zones = [member for member in alive if member.zone != zone]
        chosen = {
            *map(_address, self._sample(same_zone, SAME_ZONE_FANOUT)),
            *map(_address, self._sample(other_zones, OTHER_ZONES_FANOUT)),
        }
        chosen.update(self._pick_silent(now))
        return chosen

    def _sample(self, members: list[Member], size: int) -> list[Member]:
        return self._random.sample(members, min(size, len(members)))

    def _pick_silent(self, now: float) -> Iterator[Address]:
        """Yield one random address of the silent members and peers, if any.

        Configured peers that are not live count as silent. These heartbeats
        find the first peers after a start, and zones again after a partition.
        """
        alive = {_address(member) for member in self.view.live_members(now)}
        known = {_address(member) for member in self.view.members()}
        known.update(self._ctx.cfg.peer_addresses)
        silent = sorted(known - alive - {_address(self.view.local_member)})
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
        return Heartbeat(
            members=list(map(self._to_wire, self.view.members())),
            findings=pack_findings(self.evidence.findings(self._ctx.wall())),
        )

    def _to_wire(self, member: Member) -> WireMember:
        """Convert a member to thrift; cached while the member is unchanged."""
        cached = self._encoded.get(member.instance)
        if cached is None or cached.member is not member:
            cached = EncodedMember(member, member_to_wire(member))
            self._encoded[member.instance] = cached
        return cached.wire

    def _merge(self, heartbeat: Heartbeat) -> None:
        findings = unpack_findings(heartbeat.findings)
        self.evidence.merge(findings, self._ctx.wall())
        newer = [
            member_from_wire(member)
            for member in heartbeat.members
            if self.view.is_newer(
                member.instance,
                (member.incarnation, member.beat),
            )
        ]
        for instance in self.view.merge(newer, self._ctx.now()):
            self._lost.discard(instance)
            events.emit(events.MEMBER_ALIVE, instance=instance)

    def _report_lost(self, now: float) -> None:
        names = {member.instance for member in self.view.members()}
        for instance in names - set(self.view.live_names(now)) - self._lost:
            if instance != self.view.local_member.instance:
                self._lost.add(instance)
                events.emit(events.MEMBER_LOST, instance=instance)


def _address(member: Member) -> Address:
    return Address(member.host, member.peer_port)
