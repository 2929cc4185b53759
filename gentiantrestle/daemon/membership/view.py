"""What one instance knows of the others; decisions only, no I/O."""

from collections.abc import Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple

DOUBT_TERMS = 4
MISSING_TERMS = 2


class State(IntEnum):
    """Stage of an instance's life."""

    STARTING = 0
    SERVING = 1
    LEAVING = 2


class Load(NamedTuple):
    """Requests that one instance has in flight on one upstream."""

    upstream: str
    online: int
    batch: int


class Member(NamedTuple):
    """What an instance says of itself; a higher stamp is newer."""

    instance: str
    incarnation: int
    beat: int
    zone: str
    region: str
    host: str
    peer_port: int
    http_port: int
    state: State
    config_revision: int = 0
    store_revision: int = 0
    loads: tuple[Load, ...] = ()

    @property
    def stamp(self) -> tuple[int, int]:
        """Order of what one instance has said."""
        return (self.incarnation, self.beat)


class Heard(NamedTuple):
    """A member and when its beat last advanced, in s."""

    member: Member
    at: float


class MembershipView:
    """Members and their liveness, by silence on the local clock."""

    def __init__(self, me: Member, silence: float) -> None:
        """Start alone; ``silence`` in s makes a member lost."""
        self.me = me
        self._silence = silence
        self._heard: dict[str, Heard] = {}
        self._last_tick: float | None = None

    def tick(self, now: float) -> None:
        """Advance the own beat; forgive silence the own pause has caused."""
        self.me = self.me._replace(beat=self.me.beat + 1)
        last = self._last_tick
        self._last_tick = now
        if last is None or now - last <= self._silence / 2:
            return
        for name, heard in self._heard.items():
            if last - heard.at <= self._silence:
                self._heard[name] = heard._replace(at=now)

    def update_local(self, **changes: object) -> None:
        """Change what the own entry tells; leaving is final."""
        if self.me.state is State.LEAVING:
            changes.pop('state', None)
        self.me = self.me._replace(**changes)

    def merge(self, members: Iterable[Member], now: float) -> list[str]:
        """Take in what is newer; return the names that came alive."""
        woken = []
        for member in members:
            if member.instance == self.me.instance:
                continue
            if self._take(member, now):
                woken.append(member.instance)
        return woken

    def is_news(self, instance: str, stamp: tuple[int, int]) -> bool:
        """Tell whether a stamp is newer than what is known."""
        if instance == self.me.instance:
            return False
        heard = self._heard.get(instance)
        return heard is None or stamp > heard.member.stamp

    def members(self) -> tuple[Member, ...]:
        """All that is known, the own entry first."""
        return (self.me, *(heard.member for heard in self._heard.values()))

    def live_members(self, now: float) -> Iterator[Member]:
        """Members that are heard of and not leaving, the own one first."""
        if self.me.state is not State.LEAVING:
            yield self.me
        for heard in self._heard.values():
            if self._is_alive(heard, now):
                yield heard.member

    def live_names(self, now: float, zone: str | None = None) -> list[str]:
        """Names of live members, of one zone if given."""
        return [
            member.instance
            for member in self.live_members(now)
            if zone in {None, member.zone}
        ]

    def is_alive(self, instance: str, incarnation: int, now: float) -> bool:
        """Tell whether just this incarnation of an instance is alive."""
        if instance == self.me.instance:
            return incarnation == self.me.incarnation
        heard = self._heard.get(instance)
        if heard is None or heard.member.incarnation != incarnation:
            return False
        return self._is_alive(heard, now)

    def count_suspects(self, now: float, zone: str, quiet: float) -> int:
        """Count a zone's members that are quiet, but not for long enough.

        ``quiet`` in s is when doubt begins; it ends a while after the
        member counts as lost.
        """
        return sum(
            quiet < now - heard.at <= self._silence * DOUBT_TERMS
            for heard in self._heard.values()
            if heard.member.zone == zone and heard.member.state is State.SERVING
        )

    def is_missing(self, instance: str, now: float) -> bool:
        """Tell whether an instance is gone while its zone is in reach.

        A whole zone that is silent may be cut off and go on working.
        """
        heard = self._heard.get(instance)
        if heard is None or self._is_alive(heard, now):
            return False
        if now - heard.at <= self._silence * MISSING_TERMS:
            return False
        zone = heard.member.zone
        return any(member.zone == zone for member in self.live_members(now))

    def find(self, instance: str) -> Member | None:
        """Look a member up by name."""
        if instance == self.me.instance:
            return self.me
        heard = self._heard.get(instance)
        return heard.member if heard else None

    def region_of(self, zone: str) -> str:
        """Name the region of a zone, as its members say; empty if unknown."""
        for member in self.members():
            if member.zone == zone:
                return member.region
        return ''

    def forget(self, now: float, after: float) -> None:
        """Drop members that were silent for ``after`` seconds."""
        for name, heard in tuple(self._heard.items()):
            if now - heard.at > after:
                self._heard.pop(name)

    def _is_alive(self, heard: Heard, now: float) -> bool:
        if heard.member.state is State.LEAVING:
            return False
        return now - heard.at <= self._silence

    def _take(self, member: Member, now: float) -> bool:
        known = self._heard.get(member.instance)
        if known is not None and member.stamp <= known.member.stamp:
            return False
        was_alive = known is not None and self._is_alive(known, now)
        if known is not None and _keeps_leaving(known.member, member):
            member = member._replace(state=State.LEAVING)
        heard = Heard(member, now)
        self._heard[member.instance] = heard
        return self._is_alive(heard, now) and not was_alive


def _keeps_leaving(known: Member, told: Member) -> bool:
    return (
        known.state is State.LEAVING and known.incarnation == told.incarnation
    )
