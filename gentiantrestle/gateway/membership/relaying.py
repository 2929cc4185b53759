"""Decides which rows an instance sends to whom, and when; no I/O.

Made for fleets of hundreds of instances: each sends its row to the first two
instances of its zone, the relays, instead of to everybody. The first relay
passes the rows of its zone on to its zone and to the relays of the other
zones, and the rows of the other zones to its zone. So the messages an instance
handles don't grow with the fleet, but for those of its zone's relay. Where the
first relay is silent, the next one takes its turn.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from gentiantrestle.gateway.membership.messages import RelayedRow
from gentiantrestle.gateway.membership.peers import (
    Peer,
    PeerList,
    rank_zone,
)

HEARTBEAT_INTERVAL = 0.25  # seconds between unchanged rows to the relay
# A changed row is sent earlier, since a new configuration must be in force in
# the whole fleet within seconds.
CHANGE_INTERVAL = 0.1  # seconds
REMOTE_INTERVAL = 1.0  # seconds between unchanged rows of a zone to another
RELAY_SILENCE = 0.8  # seconds until the next relay takes over
# Rows of other zones come once in REMOTE_INTERVAL.
REMOTE_RELAY_SILENCE = RELAY_SILENCE + REMOTE_INTERVAL  # seconds
RELAYS_PER_ZONE = 2
SEARCH_INTERVAL = 0.5  # seconds between requests for rows
# Parts of a fleet that don't know of each other find each other by seeds.
SEED_INTERVAL = 2.0  # seconds between requests to seeds that are not heard
# Without rows from a relay for this long, rows are asked for elsewhere.
UNHEARD_AFTER = 1.0  # seconds
EARLY = 0.03  # seconds
NEVER = float('-inf')


class Sending(NamedTuple):
    """Rows for some hosts; the sender's own row always goes along.

    ``lists_zone`` means that these are all live instances of the zone.
    """

    hosts: tuple[str, ...]
    rows: tuple[RelayedRow, ...] = ()
    wants_rows: bool = False
    lists_zone: bool = False


class SendTimer:
    """Says when a state is due again: early if it has changed."""

    def __init__(self, interval: float) -> None:
        """Repeat an unchanged state each ``interval`` s."""
        self._interval = interval
        self._state: object = None
        self._sent_at = NEVER

    def is_due(self, state: object, now: float) -> bool:
        """Return whether to send a state now; if so, note it as sent."""
        changed = state != self._state
        interval = CHANGE_INTERVAL if changed else self._interval
        # An early look is tolerated, so that a late timer skips no turn.
        if now - self._sent_at < interval - EARLY:
            return False
        self._state = state
        self._sent_at = now
        return True


class Relaying:
    """Plans the sendings of one instance."""

    def __init__(self, peers: PeerList) -> None:
        """Send rows of ``peers``; nothing has been sent or heard yet."""
        self._peers = peers
        self._notices: dict[str, RelayedRow] = {}
        self._heard_at = NEVER
        self._heartbeat = SendTimer(HEARTBEAT_INTERVAL)
        self._second = SendTimer(2 * HEARTBEAT_INTERVAL)
        self._local = SendTimer(HEARTBEAT_INTERVAL)
        self._remote_in = SendTimer(REMOTE_INTERVAL)
        self._remote_out = SendTimer(REMOTE_INTERVAL)
        self._search = SendTimer(SEARCH_INTERVAL)
        self._seed_search = SendTimer(SEED_INTERVAL)

    def receive(self, row: RelayedRow) -> bool:
        """Apply a row; return whether it shows a new run of an instance."""
        known = self._notices.get(row.peer.instance)
        if known is None or known.peer[1:3] < row.peer[1:3]:
            self._notices[row.peer.instance] = row
        return self._peers.update(row.peer)

    def note_heard(self, now: float) -> None:
        """Note that another instance of the zone or a relay was heard."""
        self._heard_at = now

    @property
    def has_heard(self) -> bool:
        """Return whether any other instance has been heard."""
        return self._heard_at > NEVER

    def remove_silent(self, now: float) -> list[Peer]:
        """Remove and return the instances that are gone."""
        silent = self._peers.remove_silent(now)
        for peer in silent:
            self._notices.pop(peer.instance, None)
        return silent

    def ranked(self, own: Peer, zone: str, now: float) -> list[Peer]:
        """Order the live instances of a zone, this one included."""
        found = self._peers.alive_in(zone, now)
        if zone == own.zone:
            found.append(own)
        return rank_zone(zone, found)

    def plan(self, own: RelayedRow, now: float) -> Iterator[Sending]:
        """Yield what is due now."""
        ranked = self.ranked(own.peer, own.peer.zone, now)
        yield from self._heartbeats(own, ranked, now)
        if _is_relay(own.peer, ranked, now):
            yield from self._relay_rows(own, now)
        yield from self._searches(own, now)

    def all_rows(self, now: float) -> tuple[RelayedRow, ...]:
        """Return the rows of all live instances."""
        return tuple(self._rows(self._peers.alive(now)))

    def missing_rows(
        self, relay: Peer, own_zone: str, known: set[str], now: float
    ) -> tuple[RelayedRow, ...]:
        """Return the rows of a relay's zone that are not ``known`` to it.

        Only those heard of lately: the others may have been found to be gone.
        Rows of other zones come more rarely.
        """
        silence = RELAY_SILENCE
        if relay.zone != own_zone:
            silence = REMOTE_RELAY_SILENCE
        return tuple(
            self._rows(
                peer
                for peer in self._peers.alive_in(relay.zone, now)
                if peer.instance not in known and peer.is_alive(now, silence)
            )
        )

    def everyone(self, own: Peer, now: float) -> tuple[str, ...]:
        """Return the hosts of the own zone and of the other zones' relays."""
        local = self._peers.known_hosts(own.zone, now)
        return tuple({*local, *self._remote_relays(own, now)})

    def _searches(self, own: RelayedRow, now: float) -> Iterator[Sending]:
        ask_seeds = self._seed_search.is_due(self._peers.seeds, now)
        if now - self._heard_at > UNHEARD_AFTER:
            if self._search.is_due('', now):
                hosts = set(self._peers.known_hosts(own.peer.zone, now))
                yield Sending(
                    tuple(sorted(hosts | self._peers.seeds)), wants_rows=True
                )
        elif ask_seeds:
            yield Sending(
                tuple(self._peers.unheard_seeds(now)), wants_rows=True
            )

    def _heartbeats(
        self, own: RelayedRow, ranked: list[Peer], now: float
    ) -> Iterator[Sending]:
        # Relays that are silent would not pass the row on.
        heard = [peer for peer in ranked if peer.is_alive(now, RELAY_SILENCE)]
        relays = [
            peer
            for peer in heard[:RELAYS_PER_ZONE]
            if peer.instance != own.peer.instance
        ]
        state = _content(own)
        if relays and self._heartbeat.is_due(state, now):
            yield Sending((relays[0].host,))
        if relays[1:] and self._second.is_due(state, now):
            yield Sending((relays[1].host,))

    def _relay_rows(self, own: RelayedRow, now: float) -> Iterator[Sending]:
        alive = self._peers.alive(now)
        local = tuple(
            self._rows(peer for peer in alive if peer.zone == own.peer.zone)
        )
        state = {_content(own), *map(_content, local)}
        hosts = tuple(self._peers.known_hosts(own.peer.zone, now))
        if hosts and self._local.is_due(state, now):
            yield Sending(hosts, local, lists_zone=True)
        remote = tuple(
            self._rows(peer for peer in alive if peer.zone != own.peer.zone)
        )
        if hosts and self._remote_in.is_due(set(map(_content, remote)), now):
            yield Sending(hosts, remote)
        if self._remote_out.is_due(state, now):
            remote_hosts = tuple(self._remote_relays(own.peer, now))
            others = tuple(self._rows(self._representatives(own.peer, now)))
            yield Sending(remote_hosts, (*local, *others), lists_zone=True)

    def _remote_relays(self, own: Peer, now: float) -> Iterator[str]:
        """Yield the hosts of the relays of all other zones, and one more.

        That one is another each time: the relays that are known here may have
        been lost. Whoever gets rows of another zone passes them on to its own
        relay. In a zone that is silent as a whole, all its hosts are tried.
        """
        for zone in sorted(self._peers.known_zones()):
            hosts = [peer.host for peer in self.ranked(own, zone, now)]
            if hosts:
                relays = hosts[:RELAYS_PER_ZONE]
                turn = self._turn(hosts, now)
                hosts = [turn, *(host for host in relays if host != turn)]
            else:
                hosts = self._peers.known_hosts(zone, now)
            yield from hosts

    def _representatives(self, own: Peer, now: float) -> Iterator[Peer]:
        """Yield an instance of each other zone that was heard of lately.

        Two zones that don't know each other learn so from a third one.
        """
        for zone in sorted(self._peers.known_zones()):
            for peer in self.ranked(own, zone, now):
                if peer.is_alive(now, REMOTE_RELAY_SILENCE):
                    yield peer
                    break

    def _turn(self, hosts: list[str], now: float) -> str:
        """Return the one of ``hosts`` whose turn it is."""
        return sorted(hosts)[int(now / REMOTE_INTERVAL) % len(hosts)]

    def _rows(self, peers: Iterable[Peer]) -> Iterator[RelayedRow]:
        for peer in peers:
            notices = self._notices.get(peer.instance, RelayedRow(peer)).notices
            yield RelayedRow(peer, notices)


def _content(row: RelayedRow) -> object:
    """Return what of a row is urgent to pass on when it changes.

    Revisions of jobs change all the time, and are known to be late.
    """
    peer = row.peer._replace(
        sequence=0, received_at=0, upstreams_revision=0, jobs_revision=0
    )
    return row._replace(peer=peer)


def _is_relay(own: Peer, ranked: list[Peer], now: float) -> bool:
    """Return whether all instances that go before this one are silent."""
    for peer in ranked:
        if peer.instance == own.instance:
            return True
        if peer.is_alive(now, RELAY_SILENCE):
            return False
    return True
