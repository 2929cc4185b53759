"""Tells the other instances of loads and versions, by datagrams.

Answers the load of many instances: each tells its zone often and other zones
rarely. In large fleets one instance of each zone adds the loads up, tells those
of other zones often, and passes the sum of all other zones on to its own.
"""

import asyncio
from collections.abc import Callable, Iterable

from gentiantrestle import events
from gentiantrestle.daemon.membership.codec import BadFrameError, decode
from gentiantrestle.gateway.gossip_messages import (
    Heard,
    Identity,
    News,
    Own,
    read_peer,
    read_told,
    write_pulse,
)
from gentiantrestle.gateway.loads import NO_TOLD, LoadBoard, LoadReport, combine
from gentiantrestle.gateway.peers import (
    MIN_INTERVAL,
    SUMMARY_GAP,
    Peer,
    PeerList,
    remote_interval,
)
from gentiantrestle.models import Address
from gentiantrestle.wire.peer import ttypes

# Datagrams an instance may send in a second to those of its own zone.
NEAR_RATE = 90
MAX_INTERVAL = 0.4  # seconds until the same is told again
ZONE_GAP = 0.1  # seconds between two sums told to another zone
MAX_HOSTS = 100  # hosts in one datagram
FAR = 'all other zones'  # the name under which their sum stands


def near_gap(hosts: int) -> float:
    """Return how often ``hosts`` others of the own zone are told, in s."""
    return max(MIN_INTERVAL, hosts / NEAR_RATE)


class SendSchedule:
    """When a group of hosts is told again; no I/O."""

    def __init__(self) -> None:
        """Tell at the first question."""
        self._state: object = None
        self._at = float('-inf')

    def is_due(self, state: object, gap: float, now: float) -> bool:
        """Tell whether it is time to tell a state, at most each ``gap`` s."""
        since = now - self._at
        # Half a step early, so that a late timer doesn't skip a turn.
        if since < gap - MIN_INTERVAL / 2:
            return False
        if state == self._state and since < max(gap, MAX_INTERVAL):
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
        self._near = SendSchedule()
        self._far = SendSchedule()
        self._zones = SendSchedule()
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
                await asyncio.sleep(self._pause)
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
        if pulse is not None and pulse.instance != self._me.instance:
            self._hear(pulse)

    def announce(self) -> None:
        """Tell the others now."""
        if self._transport is not None:
            hosts = self._peers.hosts(self._now())
            self._send(hosts, self._own(), News(self._board.own_loads))

    def _hear(self, pulse: ttypes.Pulse) -> None:
        now = self._now()
        newcomer = self._peers.update(read_peer(pulse, now))
        self._peers.learn_hosts(pulse.hosts or (), now)
        self._board.set_peer_report(pulse.instance, read_told(pulse, now))
        if pulse.zone_summary is not None:
            self._board.set_peer_report(
                pulse.zone, read_told(pulse.zone_summary, now)
            )
        if pulse.far_summary is not None:
            self._board.set_peer_report(FAR, read_told(pulse.far_summary, now))
        if newcomer:
            events.emit(events.MEMBER_ALIVE, instance=pulse.instance)
            hosts = self._peers.hosts(now)[:MAX_HOSTS]
            self._send([pulse.host], self._own(), News({}, hosts))
        self.on_heard(Heard(tuple(pulse.ended), tuple(pulse.taken)))

    def _tell(self) -> None:
        """Tell each group what is new, when it is due."""
        now = self._now()
        near, far = self._peers.split_hosts(now)
        gap = remote_interval(len(far))
        own = self._own()
        # The time to spare runs down all the while: that alone is no news.
        state = (own.without_spare(), dict(self._board.own_loads))
        sums = gap > SUMMARY_GAP and self._peers.is_aggregator(now)
        beyond = self._sum_of_zones(now) if sums else None
        if self._near.is_due((state, beyond), near_gap(len(near)), now):
            self._send(near, own, News(self._board.own_loads, far=beyond))
        if self._far.is_due(state, gap, now):
            self._tell_far(far, own, gap)
        if sums and self._zones.is_due(now, ZONE_GAP, now):
            self._tell_zones(own, now)

    @property
    def _pause(self) -> float:
        """Seconds until one of the groups can be due."""
        near = near_gap(len(self._peers.near()))
        return max(MIN_INTERVAL, min(near, ZONE_GAP))

    def _tell_far(self, hosts: list[str], own: Own, gap: float) -> None:
        if gap > SUMMARY_GAP:
            self._send(hosts, own.without_loads(), News({}))
        else:
            self._send(hosts, own, News(self._board.own_loads))

    def _tell_zones(self, own: Own, now: float) -> None:
        """Tell the other zones' speakers of this zone's loads."""
        mates = [one.instance for one in self._peers.near()]
        mine = NO_TOLD._replace(
            loads=self._board.own_loads,
            waiting=own.waiting,
            batch_backlog=own.batch,
        )
        zone = combine((mine, self._board.combine_peers(mates, now)), now)
        hosts = [one.host for one in self._peers.remote_aggregators(now)]
        self._send(hosts, own.without_loads(), News({}, zone=zone))

    def _sum_of_zones(self, now: float) -> LoadReport:
        zones = {one.zone for one in self._peers.remote_aggregators(now)}
        # The time is left out, so that equal sums are equal.
        return self._board.combine_peers(sorted(zones), now)._replace(
            received_at=0
        )

    def _send(self, hosts: Iterable[str], own: Own, news: News) -> None:
        self._number += 1
        payload = write_pulse(self._me, own, self._number, news)
        for host in hosts:
            self._transport.sendto(payload, (host, self._me.port))

    def _sweep(self) -> None:
        for gone in self._peers.remove_silent(self._now()):
            events.emit(events.MEMBER_LOST, instance=gone.instance)
            self._board.forget(gone.instance)


def _nothing(heard: Heard) -> None:
    """Do nothing until something is set."""


def peer_address(peer: Peer, port: int) -> Address:
    """Return where an instance answers calls; ports are the same on all."""
    return Address(peer.host, port)
