"""A path to upstreams that breaks, on virtual time."""

import asyncio
import random
from collections.abc import Iterable

from gentiantrestle.gateway.membership.peers import Peer
from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.reach.service import UpstreamReach
from gentiantrestle.gateway.roster import Roster
from tests.gateway.samples import ENGINES, make_upstream
from tests.utils.virtual_time import virtual_now

HANG = 0.3  # seconds until a connection is given up
ANSWER = 0.002  # seconds
# Between the upstreams of two calls, so that all services have callers.
STRIDE = 641  # upstreams


def make_peer(name: str, *cut_off: str, leaving: bool = False) -> Peer:
    """Return an instance that doesn't reach some services."""
    return Peer(
        name,
        1,
        1,
        name,
        'a1',
        leaving,
        1,
        store_reached=True,
        received_at=0,
        cut_off=frozenset(cut_off),
    )


def make_upstreams(
    zones: Iterable[str], count: int, service: str = ENGINES
) -> list[Upstream]:
    """Return ``count`` upstreams of a service in each zone."""
    return [
        make_upstream(f'{service}-{zone}-{number}', zone=zone, service=service)
        for zone in zones
        for number in range(count)
    ]


class ReachWorld:
    """Upstreams, what of them is out of reach, and an instance's view."""

    def __init__(
        self, upstreams: Iterable[Upstream], peers: Iterable[Peer] = ()
    ) -> None:
        """Let all upstreams be reached."""
        self.upstreams = tuple(upstreams)
        self.peers = tuple(peers)
        self.hanging: set[str] = set()
        self.refusing: set[str] = set()
        self.roster = Roster()
        for upstream in self.upstreams:
            self.roster.put(upstream)
        self.reach = UpstreamReach(self.roster, virtual_now, lambda: self.peers)
        self.reach.connects = self._probe
        self.reach.rng = random.Random(1)
        self.probes: list[tuple[float, str]] = []
        self.pending = 0
        self.most_pending = 0
        # When each service was first seen as lost, and as back.
        self.seen: list[tuple[float, frozenset[str]]] = []

    @property
    def everything(self) -> set[str]:
        """The ids of all upstreams."""
        return {upstream.id for upstream in self.upstreams}

    def ids(self, zone: str = '', service: str = '') -> set[str]:
        """Return the ids of a zone's or service's upstreams."""
        return {
            upstream.id
            for upstream in self.upstreams
            if zone in {'', upstream.zone} and service in {'', upstream.service}
        }

    async def connect(self, upstream: Upstream) -> bool:
        """Return whether an upstream is reached, as a connection would."""
        if upstream.id in self.refusing:
            return False
        if upstream.id in self.hanging:
            await asyncio.sleep(HANG)
            return False
        await asyncio.sleep(ANSWER)
        return True

    async def ask(self, peer: Peer, service: str) -> bool:
        """Answer as an instance that reaches what this one does."""
        return await self.reach.confirm(service)

    async def attempt(self, upstream: Upstream) -> None:
        """Try an upstream for a caller."""
        reached = await self.connect(upstream)
        self.reach.note(upstream, reached=reached)

    async def call(self, interval: float, count: int) -> None:
        """Try the upstreams in turn for callers, one each ``interval`` s."""
        for turn in range(count):
            upstream = self.upstreams[turn * STRIDE % len(self.upstreams)]
            asyncio.create_task(self.attempt(upstream))
            await asyncio.sleep(interval)

    async def watch(self) -> None:
        """Note each change of the services that are not reached."""
        last: frozenset[str] = frozenset()
        while True:
            if self.reach.unreached != last:
                last = self.reach.unreached
                self.seen.append((virtual_now(), last))
            await asyncio.sleep(0.01)

    async def _probe(self, upstream: Upstream) -> bool:
        self.probes.append((virtual_now(), upstream.id))
        self.pending += 1
        self.most_pending = max(self.pending, self.most_pending)
        try:
            return await self.connect(upstream)
        finally:
            self.pending -= 1
