"""Exchanges loads and versions with the other instances, by datagrams.

Handles fleets of many instances: each sends often to its own zone and rarely
to other zones. In large fleets one instance of each zone, the aggregator, adds
up its zone's loads, sends the sum often to the aggregators of other zones, and
passes the sum of all other zones on to its own zone.
"""

import asyncio
from collections.abc import Callable, Iterable

from gentiantrestle import events
from gentiantrestle.daemon.membership.codec import BadFrameError, decode
from gentiantrestle.gateway.gossip_messages import (
    Identity,
    InstanceStatus,
    JobNotices,
    PulseDetails,
    decode_loads,
    decode_peer,
    encode_pulse,
)
from gentiantrestle.gateway.loads import (
    EMPTY_REPORT,
    LoadBoard,
    LoadReport,
    combine,
)
from gentiantrestle.gateway.peers import (
    MIN_INTERVAL,
    SUMMARY_THRESHOLD,
    Peer,
    PeerList,
    remote_interval,
)
from gentiantrestle.models import Address
from gentiantrestle.wire.peer import ttypes

# Limit on the datagrams that an instance sends to its own zone.
LOCAL_RATE = 90  # datagrams per second
MAX_INTERVAL = 0.4  # seconds until an unchanged state is sent again
SUMMARY_INTERVAL = 0.1  # seconds between two summaries to another zone
MAX_HOSTS = 100  # hosts in one datagram
REMOTE_ZONES = 'all other zones'  # stands for a peer on the load board


def local_interval(hosts: int) -> float:
    """Return the time between datagrams to ``hosts`` of the own zone, in s."""
    return max(MIN_INTERVAL, hosts / LOCAL_RATE)


class SendSchedule:
    """Decides when a state is sent to a group of hosts; no I/O."""

    def __init__(self) -> None:
        """Make the first state due at once."""
        self._last_state: object = None
        self._last_sent = float('-inf')

    def is_due(self, state: object, interval: float, now: float) -> bool:
        """Return whether to send a state now; if so, note it as sent.

        A changed state is due ``interval`` s after the last one, an unchanged
        one not before ``MAX_INTERVAL``.
        """
        elapsed = now - self._last_sent
        # Allow half of MIN_INTERVAL less, so a late timer doesn't skip a turn.
        if elapsed < interval - MIN_INTERVAL / 2:
            return False
        if state == self._last_state and elapsed < max(interval, MAX_INTERVAL):
            return False
        self._last_state = state
        self._last_sent = now
        return True


class Gossip(asyncio.DatagramProtocol):
    """Sends pulses to the other instances and receives theirs."""

    def __init__(
        self,
        identity: Identity,
        peers: PeerList,
        board: LoadBoard,
        read_status: Callable[[], InstanceStatus],
        now: Callable[[], float],
    ) -> None:
        """Send what ``read_status`` returns; put peers' loads on ``board``."""
        self._identity = identity
        self._peers = peers
        self._board = board
        self._read_status = read_status
        self._now = now
        self._sequence = 0
        self._local_schedule = SendSchedule()
        self._remote_schedule = SendSchedule()
        self._summary_schedule = SendSchedule()
        self._transport: asyncio.DatagramTransport | None = None
        # Called after each pulse from another instance.
        self.on_pulse: Callable[[JobNotices], None] = _ignore

    async def run(self) -> None:
        """Send pulses and remove silent instances until cancelled."""
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._identity.host, self._identity.port)
        )
        self._transport = endpoint[0]
        try:
            while True:
                self._send_due()
                self._remove_silent()
                await asyncio.sleep(self._pause)
        finally:
            self._transport.close()

    def datagram_received(
        self,
        payload: bytes,
        sender: tuple[str, int],
    ) -> None:
        """Apply a pulse; one that can't be decoded is logged and dropped."""
        try:
            pulse = decode(payload).pulse
        except BadFrameError as exc:
            events.emit(events.PULSE_UNREADABLE, error=repr(exc))
            return
        if pulse is not None and pulse.instance != self._identity.instance:
            self._receive(pulse)

    def announce(self) -> None:
        """Send this instance's status and loads to all hosts now."""
        if self._transport is not None:
            hosts = self._peers.hosts(self._now())
            self._send(
                hosts, self._read_status(), PulseDetails(self._board.own_loads)
            )

    def _receive(self, pulse: ttypes.Pulse) -> None:
        now = self._now()
        is_new = self._peers.update(decode_peer(pulse, now))
        self._peers.add_hosts(pulse.hosts or (), now)
        self._board.set_peer_report(pulse.instance, decode_loads(pulse, now))
        if pulse.zone_summary is not None:
            self._board.set_peer_report(
                pulse.zone, decode_loads(pulse.zone_summary, now)
            )
        if pulse.far_summary is not None:
            self._board.set_peer_report(
                REMOTE_ZONES, decode_loads(pulse.far_summary, now)
            )
        if is_new:
            events.emit(events.MEMBER_ALIVE, instance=pulse.instance)
            hosts = self._peers.hosts(now)[:MAX_HOSTS]
            self._send(
                [pulse.host], self._read_status(), PulseDetails({}, hosts)
            )
        self.on_pulse(JobNotices(tuple(pulse.ended), tuple(pulse.taken)))

    def _send_due(self) -> None:
        """Send to each group of hosts whose turn it is."""
        now = self._now()
        local, remote = self._peers.split_hosts(now)
        interval = remote_interval(len(remote))
        status = self._read_status()
        # Slack shrinks all the time: that alone is not a change.
        state = (status.without_slack(), dict(self._board.own_loads))
        sends_summary = (
            interval > SUMMARY_THRESHOLD and self._peers.is_aggregator(now)
        )
        remote_summary = self._combine_remote(now) if sends_summary else None
        if self._local_schedule.is_due(
            (state, remote_summary), local_interval(len(local)), now
        ):
            self._send(
                local,
                status,
                PulseDetails(
                    self._board.own_loads, remote_summary=remote_summary
                ),
            )
        if self._remote_schedule.is_due(state, interval, now):
            self._send_remote(remote, status, interval)
        if sends_summary and self._summary_schedule.is_due(
            now, SUMMARY_INTERVAL, now
        ):
            self._send_summary(status, now)

    @property
    def _pause(self) -> float:
        """Seconds until one of the groups can be due."""
        interval = local_interval(len(self._peers.local_peers()))
        return max(MIN_INTERVAL, min(interval, SUMMARY_INTERVAL))

    def _send_remote(
        self, hosts: list[str], status: InstanceStatus, interval: float
    ) -> None:
        if interval > SUMMARY_THRESHOLD:
            self._send(hosts, status.without_queues(), PulseDetails({}))
        else:
            self._send(hosts, status, PulseDetails(self._board.own_loads))

    def _send_summary(self, status: InstanceStatus, now: float) -> None:
        """Send this zone's load summary to the other zones' aggregators."""
        local = [peer.instance for peer in self._peers.local_peers()]
        own_report = EMPTY_REPORT._replace(
            loads=self._board.own_loads,
            waiting=status.waiting,
            batch_backlog=status.batch_backlog,
        )
        summary = combine(
            (own_report, self._board.combine_peers(local, now)), now
        )
        hosts = [peer.host for peer in self._peers.remote_aggregators(now)]
        self._send(
            hosts,
            status.without_queues(),
            PulseDetails({}, zone_summary=summary),
        )

    def _combine_remote(self, now: float) -> LoadReport:
        zones = {peer.zone for peer in self._peers.remote_aggregators(now)}
        # Without the time, unchanged sums compare as equal.
        return self._board.combine_peers(sorted(zones), now)._replace(
            received_at=0
        )

    def _send(
        self,
        hosts: Iterable[str],
        status: InstanceStatus,
        details: PulseDetails,
    ) -> None:
        self._sequence += 1
        payload = encode_pulse(self._identity, status, self._sequence, details)
        for host in hosts:
            self._transport.sendto(payload, (host, self._identity.port))

    def _remove_silent(self) -> None:
        for peer in self._peers.remove_silent(self._now()):
            events.emit(events.MEMBER_LOST, instance=peer.instance)
            self._board.forget(peer.instance)


def _ignore(notices: JobNotices) -> None:
    """Do nothing until a handler is set."""


def peer_address(peer: Peer, port: int) -> Address:
    """Return where an instance answers calls; ``port`` is the same on all."""
    return Address(peer.host, port)
