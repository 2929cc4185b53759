"""What this instance reaches, as its attempts and probes show."""

import asyncio
import random
from collections.abc import (
    Awaitable,
    Callable,
    Collection,
    Iterable,
    Iterator,
)

from gentiantrestle import events
from gentiantrestle.gateway.membership.peers import Peer
from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.reach.judging import (
    ProbeRound,
    ReachChange,
    ReachJudge,
)
from gentiantrestle.gateway.reach.probing import (
    Connect,
    any_true,
    connect,
    probe,
    round_interval,
)
from gentiantrestle.gateway.reach.sampling import (
    add_last_reached,
    choose_sample,
)
from gentiantrestle.gateway.reach.table import ReachTable
from gentiantrestle.gateway.reach.way_round import WayRound, reaching
from gentiantrestle.gateway.roster import Roster
from gentiantrestle.supervisor import Child

MS_PER_S = 1000
MAX_LOGGED = 8  # names in one event
# An upstream that was reached within this time has hardly ended since.
LATELY = 1.0  # seconds
MAX_ASKED = 3  # instances that are asked about a service at once


class UpstreamReach:
    """The upstreams that this instance reaches, and the services it doesn't."""

    def __init__(
        self,
        roster: Roster,
        now: Callable[[], float],
        alive_peers: Callable[[], Collection[Peer]] = tuple,
    ) -> None:
        """Judge the upstreams of ``roster``; none was tried yet."""
        self._roster = roster
        self._now = now
        self._alive_peers = alive_peers
        self._judge = ReachJudge()
        self._way_round = WayRound()
        self._woken = asyncio.Event()
        # The upstream of each service that was reached last.
        self._last_reached: dict[str, Upstream] = {}
        self.table = ReachTable()
        # Chooses the upstreams that are probed.
        self.rng = random.Random()
        self.connects: Connect = connect
        # Asks another instance whether it reaches a service now.
        self.ask: Callable[[Peer, str], Awaitable[bool]] = _is_reached

    @property
    def is_suspect(self) -> bool:
        """Return whether failures here may be those of the path."""
        return self.table.is_suspect(self._now())

    @property
    def unreached(self) -> frozenset[str]:
        """Name the services none of whose upstreams are reached from here."""
        return self._judge.unreached

    @property
    def cut_off(self) -> frozenset[str]:
        """Name those that other instances reach, as far as is known."""
        return self._way_round.cut_off

    def is_cut_off(self, service: str) -> bool:
        """Return whether other instances should serve a service's requests."""
        return service in self.cut_off

    def services(self) -> set[str]:
        """Return the services that have usable upstreams."""
        return {service for service, found in self._usable().items() if found}

    def others(self, upstream: Upstream) -> list[Upstream]:
        """Return the other upstreams reached lately, the last one first."""
        now = self._now()
        idle_times = {
            other: self.table.idle_time(other.id, now)
            for other in self._roster.entries()
            if other.id != upstream.id
        }
        lately = (other for other, idle in idle_times.items() if idle <= LATELY)
        return sorted(lately, key=idle_times.__getitem__)

    def is_served_elsewhere(self, service: str, asking: str) -> bool:
        """Return whether an instance that stays, beside ``asking``, reaches it.

        As far as is known by the rows of the others.
        """
        return any(
            not peer.leaving and peer.instance != asking
            for peer in reaching(self._alive_peers(), service)
        )

    def note(self, upstream: Upstream, *, reached: bool) -> None:
        """Note whether a connection to an upstream could be made."""
        now = self._now()
        self.table.note(upstream.id, now, reached=reached)
        self._judge.note(upstream, now, reached=reached)
        if reached:
            self._last_reached[upstream.service] = upstream
        else:
            self._woken.set()

    def forget(self, upstream: str) -> None:
        """Drop what is known of an upstream, which has started again."""
        self.table.forget(upstream)
        self._judge.forget(upstream)

    def children(self) -> Iterator[Child]:
        """Return the tasks that the supervisor runs."""
        yield Child('reach', self.run)

    async def run(self) -> None:
        """Probe upstreams while it is in doubt whether they are reached."""
        while True:
            if not self._judge.suspects:
                self._woken.clear()
                await self._woken.wait()
            started = self._now()
            await self.probe_once()
            interval = round_interval(
                self._judge.undecided_since(),
                started,
                cut_off=bool(self.unreached),
            )
            await asyncio.sleep(max(0, started + interval - self._now()))

    async def probe_once(self) -> None:
        """Probe a sample of the upstreams and judge by it."""
        usable = self._usable()
        chosen = choose_sample(usable, self._judge.suspects, self.rng)
        # What isn't decided yet needs all the probes of a round.
        if self._judge.undecided_since() is None:
            chosen = add_last_reached(chosen, usable, self._last_known())
        done = await probe(chosen, self._now, self.connects)
        if done.is_valid:
            self._apply(done._replace(passed_on=self.cut_off))
        await self._seek_way()

    async def confirm(self, service: str) -> bool:
        """Return whether upstreams of a service are reached now.

        For an instance that reaches none of them. What can't be reached here
        either is judged by further probes.
        """
        usable = {service: self._usable().get(service, ())}
        chosen = choose_sample(usable, (service,), self.rng)
        reached = await any_true(map(self.connects, chosen))
        if not reached:
            for upstream in chosen:
                self.note(upstream, reached=False)
        return reached

    def _last_known(self) -> dict[str, Upstream]:
        """Return the upstreams reached last of what isn't reached now."""
        return {
            service: upstream
            for service, upstream in self._last_reached.items()
            if service in self.unreached
        }

    def _apply(self, done: ProbeRound) -> None:
        # One success ends a row of failures, so it is noted last.
        for probed in sorted(done.probed, key=lambda found: found.reached):
            self.note(probed.upstream, reached=probed.reached)
        now = self._now()
        changes = self._judge.finish_round(done, self._usable(), now)
        for change in changes:
            _log(change, self._alive_peers(), now)

    async def _seek_way(self) -> None:
        """Have other instances confirm that they reach what isn't here."""
        for service in self._way_round.unconfirmed(self.unreached):
            able = reaching(self._alive_peers(), service)
            asked = self.rng.sample(able, min(MAX_ASKED, len(able)))
            if await any_true(self.ask(peer, service) for peer in asked):
                self._way_round.confirm(service)
        self._way_round.update(self.unreached, self._alive_peers())

    def _usable(self) -> dict[str, list[Upstream]]:
        now = self._now()
        return {
            service: self._roster.usable_upstreams(service, now)
            for service in self._roster.services() | self._judge.suspects
        }


async def _is_reached(peer: Peer, service: str) -> bool:
    """Believe the row of an instance until it can be asked."""
    return True


def _log(change: ReachChange, peers: Iterable[Peer], now: float) -> None:
    took_ms = int((now - change.since) * MS_PER_S)
    if not change.lost:
        events.emit(
            events.SERVICE_REACHED,
            service=change.service,
            took_ms=took_ms,
            upstreams=change.usable,
        )
        return
    others = reaching(peers, change.service)
    names = sorted(peer.instance for peer in others)
    events.emit(
        events.SERVICE_UNREACHED,
        service=change.service,
        took_ms=took_ms,
        tried=change.tried[:MAX_LOGGED],
        upstreams=len(change.tried),
        peers=names[:MAX_LOGGED],
        instances=len(names),
    )
