"""Plays whole fleets in virtual time: who knows whom, and at what cost."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable

import pytest

from gentiantrestle.gateway.membership.membership import Membership
from gentiantrestle.gateway.membership.messages import (
    Identity,
    InstanceStatus,
    JobNotices,
)
from gentiantrestle.gateway.membership.peers import (
    REMOTE_SILENCE_TIMEOUT,
    Peer,
    PeerList,
)
from gentiantrestle.gateway.membership.relaying import RELAYS_PER_ZONE
from gentiantrestle.models import Address
from gentiantrestle.wire.peer import ttypes
from tests.utils.virtual_time import run_virtual, virtual_now

ZONES = 6
START_SPREAD = 0.3  # seconds within which all instances start
START_TIME = 1.0  # seconds for which an instance counts as starting
DELAY = 0.001  # seconds that a datagram takes
SETTLED = 3.0  # seconds after the start


def test_run_has_ended_once_a_later_one_of_its_instance_is_heard() -> None:
    peers = PeerList('me', '10.0.0.me', 'a1', ())
    first, second = (
        Peer('x', born, 1, '10.0.0.x', 'a1', False, 1, True, 0)
        for born in (0xFF, 0x100)
    )
    peers.update(first)
    assert not peers.has_ended(first.run)
    peers.update(second)
    assert [peers.has_ended(peer.run) for peer in (first, second)] == [
        True,
        False,
    ]


class _Port:
    """Stands in for a ``DatagramPort``; counts what is sent."""

    def __init__(self, host: str, fleet: '_Fleet') -> None:
        self.address = Address(host, 1)
        self.handler: Callable[[object], None] = print
        self.sent = 0
        self._fleet = fleet

    def on(self, kind: str, handler: Callable[[object], None]) -> None:
        self.handler = handler

    def send(
        self, hosts: Iterable[str], kind: str, message: ttypes.Pulse
    ) -> None:
        fleet = self._fleet
        for host in hosts:
            self.sent += 1
            lost = fleet.rng.random() < fleet.loss
            lost |= message.wants_rows and not fleet.answers_searches
            if lost or self.address.host in fleet.dead or host in fleet.dead:
                continue
            port = fleet.ports.get(host)
            if port is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(DELAY, port.handler, message)


class _Fleet:
    """Memberships of many instances."""

    def __init__(self, size: int, loss: float = 0) -> None:
        self.rng = random.Random(size)
        self.loss = loss
        self.answers_searches = True
        self.ports: dict[str, _Port] = {}
        self.dead: set[str] = set()
        self.members: list[tuple[Identity, PeerList, Membership]] = []
        self.losses: Counter[str] = Counter()
        hosts = [f'10.{number % ZONES}.0.{number}' for number in range(size)]
        for number, host in enumerate(hosts):
            self.add(number, host, hosts[:3])

    def alive(self) -> list[tuple[Identity, PeerList, Membership]]:
        """Return the members that have not been killed."""
        return [one for one in self.members if one[0].host not in self.dead]

    def fewest_known(self) -> int:
        """Return how many live instances the least informed one knows."""
        living = {identity.instance for identity, _, _ in self.alive()}
        return min(
            len(living & {peer.instance for peer in peers.alive(virtual_now())})
            for _, peers, _ in self.alive()
        )

    async def watch(self, seconds: float) -> int:
        """Return the fewest instances that any knew at any moment."""
        fewest = len(self.members)
        until = virtual_now() + seconds
        while virtual_now() < until:
            await asyncio.sleep(0.1)
            fewest = min(fewest, self.fewest_known())
        return fewest

    def relays(self, zone: str) -> list[str]:
        """Return the hosts of a zone's relays."""
        member = next(one for one in self.alive() if one[0].zone == zone)
        ranked = member[2].coordinators(zone, virtual_now())
        return [peer.host for peer in ranked[:RELAYS_PER_ZONE]]

    def add(self, number: int, host: str, seeds: list[str]) -> None:
        """Start an instance within ``START_SPREAD``."""
        zone = f'z{number % ZONES}'
        identity = Identity(f'{zone}-{number}', 1, host, zone, 1)
        peers = PeerList(identity.instance, host, zone, seeds)
        port = _Port(host, self)
        self.ports[host] = port
        started = self.rng.random() * START_SPREAD

        def read_status() -> InstanceStatus:
            starting = virtual_now() < started + START_TIME
            return InstanceStatus(
                False, starting, 1, True, 1, int(virtual_now()), 1, JobNotices()
            )

        member = Membership(identity, peers, port, read_status, virtual_now)
        self.members.append((identity, peers, member))
        loop = asyncio.get_running_loop()
        loop.call_later(started, lambda: asyncio.create_task(member.run()))


@pytest.mark.parametrize('size', [8, 63, 165])
def test_all_know_all_soon_after_a_common_start_and_ever_after(
    size: int,
) -> None:
    async def run() -> int:
        fleet = _Fleet(size)
        await asyncio.sleep(SETTLED)
        return await fleet.watch(2 * REMOTE_SILENCE_TIMEOUT)

    assert run_virtual(run()) == size - 1


def test_lost_datagrams_make_no_instance_seem_gone() -> None:
    async def run() -> int:
        fleet = _Fleet(54, loss=0.02)
        await asyncio.sleep(SETTLED)
        return await fleet.watch(2 * REMOTE_SILENCE_TIMEOUT)

    assert run_virtual(run()) == 53


def test_loss_of_the_relays_of_two_zones_makes_no_other_seem_gone() -> None:
    async def run() -> tuple[int, int]:
        fleet = _Fleet(54)
        await asyncio.sleep(SETTLED)
        fleet.dead |= {*fleet.relays('z0'), *fleet.relays('z1')}
        living = len(fleet.alive())
        return living, await fleet.watch(2 * REMOTE_SILENCE_TIMEOUT)

    living, fewest = run_virtual(run())
    assert fewest == living - 1


def test_messages_of_an_instance_do_not_grow_with_the_fleet() -> None:
    async def run(size: int) -> float:
        fleet = _Fleet(size)
        await asyncio.sleep(SETTLED)
        before = {host: port.sent for host, port in fleet.ports.items()}
        await asyncio.sleep(4.0)
        sent = sorted(
            port.sent - before[host] for host, port in fleet.ports.items()
        )
        return sent[len(sent) // 2] / 4.0

    few, many = run_virtual(run(54)), run_virtual(run(165))
    assert many <= few


def test_instance_that_is_starting_coordinates_only_without_another() -> None:
    async def run() -> list[bool]:
        fleet = _Fleet(2 * ZONES)
        await asyncio.sleep(START_SPREAD + START_TIME / 2)
        member = fleet.members[0][2]
        zone = fleet.members[0][0].zone
        first = member.coordinators(zone, virtual_now())[0]
        await asyncio.sleep(START_TIME)
        late = Peer(
            'late', 9, 1, '10.9.9.9', zone, False, 1, True, virtual_now()
        )
        fleet.members[0][1].update(late._replace(starting=True))
        await asyncio.sleep(START_TIME / 4)
        second = member.coordinators(zone, virtual_now())
        return [first.starting, second[0].starting, second[-1].starting]

    assert run_virtual(run()) == [True, False, True]


@pytest.mark.parametrize('middle', [0, 1, 2])
def test_two_relays_that_know_only_a_third_instance_find_each_other(
    middle: int,
) -> None:
    """Seen once in CI: they were started before they could hear each other."""

    async def run() -> int:
        fleet = _Fleet(0)
        hosts = [f'10.0.0.{number}' for number in range(3)]
        for number, host in enumerate(hosts):
            # All in one zone; only the one in the middle is anybody's seed.
            fleet.add(number * ZONES, host, [hosts[middle]])
        for _, peers, _ in fleet.members[:middle] + fleet.members[middle + 1 :]:
            peers.update(_as_peer(fleet.members[middle][0]))
        for identity, _, _ in fleet.members:
            fleet.members[middle][1].update(_as_peer(identity))
        # Their search for rows was answered before there were any.
        fleet.answers_searches = False
        await asyncio.sleep(SETTLED)
        return await fleet.watch(2 * REMOTE_SILENCE_TIMEOUT)

    assert run_virtual(run()) == 2


def test_two_instances_of_a_zone_find_each_other_through_another_zone() -> None:
    async def run() -> int:
        fleet = _Fleet(0)
        # The first two are of one zone, the others of another.
        for number in (0, ZONES, 1, ZONES + 1):
            fleet.add(number, f'10.0.0.{number}', ['10.0.0.1'])
        first, second, *others = fleet.members
        for identity, peers, _ in others:
            peers.update(_as_peer(first[0]))
            peers.update(_as_peer(second[0]))
            first[1].update(_as_peer(identity))
            second[1].update(_as_peer(identity))
        # Their search for rows was answered before there were any.
        fleet.answers_searches = False
        await asyncio.sleep(SETTLED)
        return await fleet.watch(2 * REMOTE_SILENCE_TIMEOUT)

    assert run_virtual(run()) == 3


def test_two_zones_that_know_only_a_third_one_find_each_other() -> None:
    async def run() -> int:
        fleet = _Fleet(0)
        # Two instances of each of three zones; those of the third know all.
        for number in (0, ZONES, 1, ZONES + 1, 2, ZONES + 2):
            fleet.add(number, f'10.0.0.{number}', ['10.0.0.2'])
        thirds = fleet.members[4:]
        for identity, peers, _ in fleet.members[:4]:
            for third, third_peers, _ in thirds:
                third_peers.update(_as_peer(identity))
                peers.update(_as_peer(third))
        # Their search for rows was answered before there were any.
        fleet.answers_searches = False
        await asyncio.sleep(SETTLED)
        return await fleet.watch(2 * REMOTE_SILENCE_TIMEOUT)

    assert run_virtual(run()) == 5


@pytest.mark.parametrize('size', [1, 5])
def test_two_parts_of_a_fleet_find_each_other_by_the_seeds_of_one(
    size: int,
) -> None:
    """Each part hears its own instances, so that none searches."""

    async def run() -> tuple[int, int]:
        fleet = _Fleet(7)
        seeds = [identity.host for identity, _, _ in fleet.members[:3]]
        for number in range(size):
            fleet.add(number + 7, f'10.9.0.{number}', ['10.9.0.0'])
        await asyncio.sleep(SETTLED)
        before = fleet.fewest_known()
        fleet.members[-1][1].replace_seeds(seeds)
        await asyncio.sleep(SETTLED)
        return before, await fleet.watch(2 * REMOTE_SILENCE_TIMEOUT)

    assert run_virtual(run()) == (size - 1, size + 6)


def _as_peer(identity: Identity) -> Peer:
    return Peer(
        identity.instance,
        identity.incarnation,
        0,
        identity.host,
        identity.zone,
        False,
        1,
        True,
        virtual_now(),
    )
