"""Membership: who is alive, who relays, and what is sent to whom; no I/O."""

import pytest

from gentiantrestle.gateway.membership.messages import (
    JobNotices,
    RelayedRow,
    pack_row,
    unpack_row,
)
from gentiantrestle.gateway.membership.peers import (
    FORGET_AFTER,
    REMOTE_SILENCE_TIMEOUT,
    SILENCE_TIMEOUT,
    TOUCH_TIME,
    Peer,
    PeerList,
    rank_zone,
)
from gentiantrestle.gateway.membership.relaying import (
    CHANGE_INTERVAL,
    HEARTBEAT_INTERVAL,
    RELAY_SILENCE,
    RELAYS_PER_ZONE,
    SEED_INTERVAL,
    UNHEARD_AFTER,
    Relaying,
    SendTimer,
)

ZONE = 'a1'


def _make_peer(name: str, **changes: object) -> Peer:
    default = Peer(name, 1, 1, f'10.0.0.{name}', ZONE, False, 3, True, 0)
    return default._replace(**changes)


def _make_peers() -> PeerList:
    return PeerList('me', '10.0.0.me', ZONE, ('10.0.0.seed',))


def _names(peers: list[Peer]) -> list[str]:
    return [peer.instance for peer in peers]


def test_restart_replaces_run_and_silence_removes_it() -> None:
    peers = _make_peers()
    assert peers.update(_make_peer('1'))
    assert not peers.update(_make_peer('1', sequence=1))
    assert peers.working_runs(0) == ('1/1',)
    assert peers.update(_make_peer('1', incarnation=2, sequence=1))
    assert peers.working_runs(0) == ('1/2',)
    assert peers.remove_silent(SILENCE_TIMEOUT + 1)
    assert peers.working_runs(SILENCE_TIMEOUT + 1) == ()


def test_lost_instance_is_known_again_after_its_return() -> None:
    peers = _make_peers()
    peers.update(_make_peer('1'))
    assert _names(peers.remove_silent(SILENCE_TIMEOUT + 1)) == ['1']
    assert peers.working_runs(10) == ()
    assert peers.update(_make_peer('1', incarnation=2, received_at=11))
    assert peers.working_runs(11) == ('1/2',)


def test_instance_that_announced_its_leave_gets_no_new_work() -> None:
    peers = _make_peers()
    peers.update(_make_peer('1', leaving=True))
    assert peers.working_runs(0) == ()
    assert _names(peers.remove_silent(SILENCE_TIMEOUT + 1)) == ['1']


def test_instances_of_other_zones_are_lost_after_longer_silence() -> None:
    peers = _make_peers()
    peers.update(_make_peer('near'))
    peers.update(_make_peer('far', zone='b1'))
    assert _names(peers.remove_silent(SILENCE_TIMEOUT + 0.1)) == ['near']
    assert _names(peers.remove_silent(REMOTE_SILENCE_TIMEOUT)) == ['far']


@pytest.mark.parametrize('zone', [ZONE, 'b1'])
def test_instance_that_stood_still_hears_nobody_though_others_count_as_alive(
    zone: str,
) -> None:
    def is_heard(now: float) -> bool:
        return any(peer.is_alive(now, TOUCH_TIME) for peer in peers.alive(now))

    peers = _make_peers()
    assert not is_heard(0)
    peers.update(_make_peer('1', zone=zone))
    assert is_heard(TOUCH_TIME - 0.1)
    assert peers.alive(TOUCH_TIME + 0.1)
    assert not is_heard(TOUCH_TIME + 0.1)
    peers.update(_make_peer('1', zone=zone, sequence=2, received_at=9))
    assert is_heard(9)


def test_host_of_lost_instance_is_tried_for_a_while() -> None:
    peers = _make_peers()
    peers.update(_make_peer('1'))
    peers.remove_silent(SILENCE_TIMEOUT + 1)
    assert peers.known_hosts(ZONE, FORGET_AFTER - 1) == ['10.0.0.1']
    assert peers.known_hosts(ZONE, FORGET_AFTER + 1) == []


def test_all_instances_rank_a_zone_alike_whatever_the_order_of_rows() -> None:
    rows = [_make_peer(str(number)) for number in range(9)]
    ranked = rank_zone(ZONE, rows)
    assert rank_zone(ZONE, reversed(rows)) == ranked
    assert sorted(_names(ranked)) == sorted(_names(rows))


def test_leaving_instances_are_not_ranked() -> None:
    rows = [_make_peer(str(number)) for number in range(4)]
    first = rank_zone(ZONE, rows)[0]
    rows[rows.index(first)] = first._replace(leaving=True)
    assert first.instance not in _names(rank_zone(ZONE, rows))


def test_row_keeps_its_age_over_a_relay() -> None:
    row = RelayedRow(
        _make_peer('1', received_at=7.0, starting=True),
        JobNotices(('job',)),
    )
    # The relay's clock has nothing to do with that of the receiver.
    relayed = unpack_row(pack_row(row, now=7.5), now=100.0)
    assert relayed.peer == row.peer._replace(received_at=99.5)
    assert relayed.notices == row.notices


def test_change_is_sent_early_and_unchanged_state_at_the_interval() -> None:
    timer = SendTimer(1.0)
    assert timer.is_due('a', 0)
    assert not timer.is_due('b', CHANGE_INTERVAL / 2)
    assert timer.is_due('b', CHANGE_INTERVAL)
    assert not timer.is_due('b', 0.9)
    assert timer.is_due('b', CHANGE_INTERVAL + 1.0)


class _Zone:
    """The rows of one zone, as the instance ``own`` of it sees them."""

    def __init__(self, size: int, place: int) -> None:
        """Let ``own`` be the one at ``place`` of the order."""
        rows = [_make_peer(str(number)) for number in range(size)]
        self.ranked = rank_zone(ZONE, rows)
        self.own = self.ranked[place]
        self.peers = PeerList(self.own.instance, self.own.host, ZONE, ())
        self.relaying = Relaying(self.peers)
        self.hear(0)

    def hear(self, now: float, *silent: Peer) -> None:
        """Receive the rows of all but the silent ones."""
        self.relaying.note_heard(now)
        for peer in self.ranked:
            if peer not in (self.own, *silent):
                row = peer._replace(
                    received_at=now, sequence=int(now * 100) + 1
                )
                self.relaying.receive(RelayedRow(row))

    def plan(self, now: float) -> list[tuple[tuple[str, ...], int]]:
        """Return the hosts and the number of rows of each sending."""
        own = RelayedRow(self.own._replace(received_at=now))
        return [
            (sending.hosts, len(sending.rows))
            for sending in self.relaying.plan(own, now)
        ]


def test_ordinary_instance_sends_only_to_the_relays_of_its_zone() -> None:
    zone = _Zone(30, place=20)
    relays = {peer.host for peer in zone.ranked[:RELAYS_PER_ZONE]}
    sent = zone.plan(0)
    assert {host for hosts, _ in sent for host in hosts} == relays
    assert all(not rows for _, rows in sent)


def test_messages_of_an_ordinary_instance_do_not_grow_with_its_zone() -> None:
    def count_messages(size: int) -> int:
        zone = _Zone(size, place=size - 1)
        total = 0
        for step in range(100):
            now = step * 0.05
            zone.hear(now)
            total += sum(len(hosts) for hosts, _ in zone.plan(now))
        return total

    assert count_messages(30) == count_messages(5)


def test_relay_sends_all_rows_to_its_zone() -> None:
    zone = _Zone(5, place=0)
    others = tuple(sorted(peer.host for peer in zone.ranked[1:]))
    assert (others, 4) in zone.plan(0)


def test_relay_need_not_reach_the_store() -> None:
    zone = _Zone(5, place=0)
    zone.own = zone.own._replace(store_reached=False)
    assert any(rows for _, rows in zone.plan(0))


def test_next_instance_relays_at_once_if_the_relay_leaves() -> None:
    zone = _Zone(5, place=1)
    assert not any(rows for _, rows in zone.plan(0))
    leaving = zone.ranked[0]._replace(sequence=9, leaving=True)
    zone.relaying.receive(RelayedRow(leaving))
    assert any(rows for _, rows in zone.plan(0))


@pytest.mark.parametrize('place', [1, 2])
def test_next_instance_relays_while_those_before_it_are_silent(
    place: int,
) -> None:
    zone = _Zone(5, place=place)
    before = zone.ranked[:place]
    now = RELAY_SILENCE + 0.1
    zone.hear(now, *before[1:])
    assert not any(rows for _, rows in zone.plan(now))
    later = now + RELAY_SILENCE + 0.1
    zone.hear(later, *before)
    assert any(rows for _, rows in zone.plan(later))


def test_relay_sends_rows_of_its_zone_to_three_of_each_other_zone() -> None:
    zone = _Zone(3, place=0)
    for number in range(7):
        row = _make_peer(f'far{number}', zone='b1')
        zone.relaying.receive(RelayedRow(row))
    sent = dict(zone.plan(0))
    remote = [hosts for hosts in sent if any('far' in host for host in hosts)]
    assert [len(hosts) for hosts in remote] == [RELAYS_PER_ZONE + 1]


def test_instance_that_hears_nobody_asks_seeds_and_known_hosts() -> None:
    peers = PeerList('me', '10.0.0.me', ZONE, ('10.0.0.seed',))
    relaying = Relaying(peers)
    own = RelayedRow(_make_peer('me'))
    first = [sending for sending in relaying.plan(own, 0) if sending.wants_rows]
    assert first[0].hosts == ('10.0.0.seed',)
    relaying.receive(RelayedRow(_make_peer('1', received_at=0)))
    relaying.note_heard(0)
    quiet = relaying.plan(own, HEARTBEAT_INTERVAL)
    assert not any(sending.wants_rows for sending in quiet)
    alone = relaying.plan(own, UNHEARD_AFTER + 0.1)
    wanted = [sending for sending in alone if sending.wants_rows]
    assert wanted[0].hosts == ('10.0.0.1', '10.0.0.seed')


def _asked_seeds(relaying: Relaying, now: float) -> set[str]:
    """Return whom an instance that hears others asks for rows."""
    relaying.note_heard(now)
    own = RelayedRow(_make_peer('me'))
    return {
        host
        for sending in relaying.plan(own, now)
        if sending.wants_rows
        for host in sending.hosts
    }


def test_seeds_that_are_not_heard_are_asked_again_and_again() -> None:
    peers = PeerList('me', '10.0.0.me', ZONE, ('10.0.0.1', '10.0.0.seed'))
    relaying = Relaying(peers)
    _asked_seeds(relaying, 0)
    for number in range(1, 4):
        now = number * SEED_INTERVAL
        row = _make_peer('1', received_at=now, sequence=number)
        relaying.receive(RelayedRow(row))
        assert _asked_seeds(relaying, now) == {'10.0.0.seed'}
        assert not _asked_seeds(relaying, now + SEED_INTERVAL / 2)


def test_new_seeds_are_asked_at_once() -> None:
    peers = _make_peers()
    relaying = Relaying(peers)
    _asked_seeds(relaying, 0)
    peers.replace_seeds(('10.0.0.new', '10.0.0.me'))
    assert _asked_seeds(relaying, CHANGE_INTERVAL) == {'10.0.0.new'}
