"""Tells the other instances of loads and versions, by datagrams."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.daemon.membership.codec import (
    LENGTH,
    BadFrameError,
    decode,
    encode,
)
from gentiantrestle.gateway.loads import BatchWaiting, Load, LoadBoard, Told
from gentiantrestle.gateway.peers import Peer, PeerList
from gentiantrestle.models import Address
from gentiantrestle.wire.peer import ttypes

# Datagrams an instance may send in a second to one group of others.
DATAGRAM_RATE = 160
MIN_GAP = 0.05  # seconds between two changes told
MAX_GAP = 0.4  # seconds until the same is told again
MS_PER_S = 1000
MAX_HOSTS = 100  # hosts in one datagram


class Own(NamedTuple):
    """What this instance tells of itself."""

    leaving: bool
    config_version: int
    store_reached: bool
    waiting: int
    ended: tuple[str, ...]
    taken: tuple[str, ...]
    batch: BatchWaiting
    upstreams_revision: int
    jobs_revision: int


class Heard(NamedTuple):
    """What another instance says of jobs: ended ones, and runs taken over."""

    ended: tuple[str, ...]
    taken: tuple[str, ...]


class Identity(NamedTuple):
    """Who this instance is; the incarnation grows with each start."""

    instance: str
    incarnation: int
    host: str
    zone: str
    port: int


class Rhythm:
    """When a group of hosts is told again; no I/O."""

    def __init__(self) -> None:
        """Tell at the first question."""
        self._state: object = None
        self._at = float('-inf')

    def is_due(self, state: object, hosts: int, now: float) -> bool:
        """Tell whether it is time to tell ``hosts`` others a state."""
        since = now - self._at
        gap = min(MAX_GAP, max(MIN_GAP, hosts / DATAGRAM_RATE))
        # Half a step early, so that a late timer doesn't skip a turn.
        if since < gap - MIN_GAP / 2:
            return False
        if state == self._state and since < MAX_GAP:
            return False
        self._state = state
        self._at = now
        return True


class Gossip(asyncio.DatagramProtocol):
    """Sends and hears what instances tell each other all the time."""

    def __init__(
        self,
        identity: Identity,
        peers: PeerList,
        board: LoadBoard,
        own: Callable[[], Own],
        now: Callable[[], float],
    ) -> None:
        """Tell what ``own`` returns; note others' loads on ``board``."""
        self._me = identity
        self._peers = peers
        self._board = board
        self._own = own
        self._now = now
        self._number = 0
        self._near = Rhythm()
        self._far = Rhythm()
        self._transport: asyncio.DatagramTransport | None = None
        self.on_heard: Callable[[Heard], None] = _nothing

    async def run(self) -> None:
        """Tell and sweep until cancelled."""
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._me.host, self._me.port)
        )
        self._transport = endpoint[0]
        try:
            while True:
                self._tell()
                self._sweep()
                await asyncio.sleep(MIN_GAP)
        finally:
            self._transport.close()

    def datagram_received(
        self,
        payload: bytes,
        sender: tuple[str, int],
    ) -> None:
        """Take in what another instance tells."""
        try:
            pulse = decode(payload).pulse
        except BadFrameError as exc:
            events.emit(events.PULSE_UNREADABLE, error=repr(exc))
            return
        if pulse is not None:
            self._hear(pulse)

    def announce(self) -> None:
        """Tell the others now."""
        if self._transport is not None:
            self._send(self._peers.hosts(self._now()), self._own())

    def _hear(self, pulse: ttypes.Pulse) -> None:
        now = self._now()
        peer = Peer(
            pulse.instance,
            pulse.incarnation,
            pulse.number,
            pulse.host,
            pulse.zone,
            pulse.state == ttypes.MemberState.LEAVING,
            pulse.config_version,
            pulse.store_reached,
            now,
            pulse.upstreams_revision,
            pulse.jobs_revision,
        )
        newcomer = self._peers.hear(peer)
        self._peers.learn_hosts(pulse.hosts or (), now)
        loads = {
            one.upstream: Load(one.online, one.batch) for one in pulse.loads
        }
        if pulse.instance != self._me.instance:
            batch = BatchWaiting(
                pulse.batch_waiting, pulse.batch_spare / MS_PER_S
            )
            self._board.hear(
                pulse.instance, Told(now, loads, pulse.waiting, batch)
            )
        if newcomer:
            events.emit(events.MEMBER_ALIVE, instance=pulse.instance)
            hosts = self._peers.hosts(now)[:MAX_HOSTS]
            self._send([pulse.host], self._own(), hosts)
        self.on_heard(Heard(tuple(pulse.ended), tuple(pulse.taken)))

    def _tell(self) -> None:
        """Tell the others what is new, those near more often."""
        now = self._now()
        near, far = self._peers.split_hosts(self._me.zone, now)
        own = self._own()
        # The time to spare runs down all the while: that alone is no news.
        told = own._replace(batch=BatchWaiting(own.batch.count))
        state = (told, dict(self._board.own))
        for hosts, pace in ((near, self._near), (far, self._far)):
            if pace.is_due(state, len(hosts), now):
                self._send(hosts, own)

    def _send(
        self,
        hosts: Iterable[str],
        own: Own,
        told_hosts: list[str] | None = None,
    ) -> None:
        self._number += 1
        state = ttypes.MemberState.SERVING
        if own.leaving:
            state = ttypes.MemberState.LEAVING
        pulse = ttypes.Pulse(
            instance=self._me.instance,
            incarnation=self._me.incarnation,
            number=self._number,
            host=self._me.host,
            zone=self._me.zone,
            state=state,
            config_version=own.config_version,
            store_reached=own.store_reached,
            waiting=own.waiting,
            loads=[
                ttypes.Load(name, load.online, load.batch)
                for name, load in self._board.own.items()
            ],
            hosts=told_hosts,
            ended=list(own.ended),
            taken=list(own.taken),
            batch_waiting=own.batch.count,
            batch_spare=int(own.batch.spare * MS_PER_S),
            upstreams_revision=own.upstreams_revision,
            jobs_revision=own.jobs_revision,
        )
        payload = encode(ttypes.Envelope(call=0, pulse=pulse))[LENGTH.size :]
        for host in hosts:
            self._transport.sendto(payload, (host, self._me.port))

    def _sweep(self) -> None:
        for gone in self._peers.sweep(self._now()):
            events.emit(events.MEMBER_LOST, instance=gone.instance)
            self._board.forget(gone.instance)


def _nothing(heard: Heard) -> None:
    """Do nothing until something is set."""


def peer_address(peer: Peer, port: int) -> Address:
    """Return where an instance answers calls; ports are the same on all."""
    return Address(peer.host, port)
