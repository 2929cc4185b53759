"""Keeps this instance known to the others, and knows who coordinates a zone."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentiantrestle import events
from gentiantrestle.gateway.datagrams import DatagramPort
from gentiantrestle.gateway.membership.messages import (
    Identity,
    InstanceStatus,
    JobNotices,
    RelayedRow,
    own_row,
    pack_row,
    unpack_row,
)
from gentiantrestle.gateway.membership.peers import Peer, PeerList
from gentiantrestle.gateway.membership.relaying import Relaying, Sending
from gentiantrestle.quarantine.codec import (
    pack_findings,
    unpack_findings,
)
from gentiantrestle.quarantine.evidence import Findings
from gentiantrestle.wire.peer import ttypes

PULSE = 'pulse'
TICK = 0.125  # seconds between two looks at what is due
RANK_LIFETIME = 0.2  # seconds that an order of a zone's instances is kept
MAX_ROWS = 100  # rows in one datagram


class RankedZone(NamedTuple):
    """The live instances of a zone in order, as of a time in s."""

    peers: tuple[Peer, ...]
    ranked_at: float


class Membership:
    """Exchanges rows with the other instances over a datagram port."""

    def __init__(
        self,
        identity: Identity,
        peers: PeerList,
        port: DatagramPort,
        read_status: Callable[[], InstanceStatus],
        now: Callable[[], float],
    ) -> None:
        """Send what ``read_status`` returns; apply received rows."""
        self._identity = identity
        self._relaying = Relaying(peers)
        self._port = port
        self._read_status = read_status
        self._now = now
        self._sequence = 0
        self._ranked: dict[str, RankedZone] = {}
        # Called with the job notices of each row that was received.
        self.on_notices: Callable[[JobNotices], None] = _ignore
        # Called with the findings of each message that has some.
        self.on_findings: Callable[[Findings], None] = _ignore
        # Called when an instance is lost or a new run of one is known.
        self.on_change: Callable[[], None] = _nothing
        port.on(PULSE, self._receive)

    async def run(self) -> None:
        """Send rows and remove silent instances until cancelled."""
        while True:
            now = self._now()
            self._send_due(now)
            self._remove_silent(now)
            await asyncio.sleep(TICK)

    def announce(self) -> None:
        """Send this instance's row to all who pass it on or need it, now."""
        now = self._now()
        own = self._own_row(now)
        self._send(Sending(self._relaying.everyone(own.peer, now)), own, now)

    @property
    def has_heard(self) -> bool:
        """Return whether another instance told what it knows."""
        return self._relaying.has_heard

    def coordinators(self, zone: str, now: float) -> tuple[Peer, ...]:
        """Order the instances of a zone, this one included.

        The first coordinates the slots of the zone's upstreams, and the
        second does if the first is silent.
        """
        known = self._ranked.get(zone)
        if known is None or now - known.ranked_at > RANK_LIFETIME:
            own = self._own_row(now).peer
            ranked = self._relaying.ranked(own, zone, now)
            # One that is starting knows of few slots in use.
            ranked.sort(key=lambda peer: peer.starting)
            known = RankedZone(tuple(ranked), now)
            self._ranked[zone] = known
        return known.peers

    def _own_row(self, now: float) -> RelayedRow:
        return own_row(self._identity, self._read_status(), self._sequence, now)

    def _send_due(self, now: float) -> None:
        own = self._own_row(now)
        for sending in tuple(self._relaying.plan(own, now)):
            self._send(sending, own, now)

    def _send(self, sending: Sending, own: RelayedRow, now: float) -> None:
        """Send this instance's row with a new number, and the rows."""
        hosts = [host for host in sending.hosts if host != self._identity.host]
        if not hosts:
            return
        self._sequence += 1
        sender = pack_row(
            own._replace(peer=own.peer._replace(sequence=self._sequence)), now
        )
        parts = tuple(_split(sending.rows))
        for rows in parts:
            pulse = ttypes.Pulse(
                sender,
                [pack_row(row, now) for row in rows],
                sending.wants_rows,
                sending.lists_zone and len(parts) == 1,
                pack_findings(own.findings),
            )
            self._port.send(hosts, PULSE, pulse)

    def _receive(self, pulse: ttypes.Pulse) -> None:
        now = self._now()
        # First, so that they go along with what is passed on.
        if pulse.findings is not None:
            self.on_findings(unpack_findings(pulse.findings))
        sender = unpack_row(pulse.sender, now)
        self._apply(sender)
        for row in pulse.rows:
            self._apply(unpack_row(row, now))
        if pulse.rows or sender.peer.zone == self._identity.zone:
            self._relaying.note_heard(now)
        if pulse.rows and sender.peer.zone != self._identity.zone:
            self._pass_on(pulse, now)
        if pulse.lists_zone:
            self._complete(pulse, sender.peer, now)
        if pulse.wants_rows:
            rows = self._relaying.all_rows(now)
            answer = Sending((sender.peer.host,), rows)
            self._send(answer, self._own_row(now), now)

    def _complete(self, pulse: ttypes.Pulse, relay: Peer, now: float) -> None:
        """Tell a relay of the instances of its zone that it doesn't know.

        Two instances that don't know each other both take themselves for the
        relay, and each hears of the rest, so that neither would search. Other
        zones tell them, too: they may be the only ones of their zone.
        """
        known = {relay.instance, *(row.instance for row in pulse.rows)}
        missing = self._relaying.missing_rows(
            relay, self._identity.zone, known, now
        )
        if missing:
            answer = Sending((relay.host,), missing)
            self._send(answer, self._own_row(now), now)

    def _pass_on(self, pulse: ttypes.Pulse, now: float) -> None:
        """Pass rows of another zone on to the relay of the own zone."""
        own = self._own_row(now)
        ranked = self._relaying.ranked(own.peer, own.peer.zone, now)
        if ranked and ranked[0].instance != own.peer.instance:
            rows = (pulse.sender, *pulse.rows)
            passed = tuple(unpack_row(row, now) for row in rows)
            self._send(Sending((ranked[0].host,), passed), own, now)

    def _apply(self, row: RelayedRow) -> None:
        if row.peer.instance == self._identity.instance:
            return
        if self._relaying.receive(row):
            events.emit(events.MEMBER_ALIVE, instance=row.peer.instance)
            self._note_change()
        self.on_notices(row.notices)

    def _remove_silent(self, now: float) -> None:
        for peer in self._relaying.remove_silent(now):
            events.emit(events.MEMBER_LOST, instance=peer.instance)
            self._note_change()

    def _note_change(self) -> None:
        self._ranked.clear()
        self.on_change()


def _split(rows: tuple[RelayedRow, ...]) -> Iterable[tuple[RelayedRow, ...]]:
    """Yield the rows in parts for one datagram each; one part if empty."""
    for start in range(0, max(1, len(rows)), MAX_ROWS):
        yield rows[start : start + MAX_ROWS]


def _ignore(news: JobNotices | Findings) -> None:
    """Do nothing until a handler is set."""


def _nothing() -> None:
    """Do nothing until a handler is set."""
