"""One instance's view of the members and their liveness, without I/O."""

from collections.abc import Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple

SUSPECT_SILENCES = 4  # times the silence timeout
MISSING_SILENCES = 2  # times the silence timeout


class State(IntEnum):
    """Lifecycle state of an instance."""

    STARTING = 0
    SERVING = 1
    LEAVING = 2


class Load(NamedTuple):
    """Requests that one instance has in flight on one upstream."""

    upstream: str
    online: int
    batch: int


class Member(NamedTuple):
    """State that an instance reports of itself; a higher stamp is newer."""

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
        """Version of the report, comparable within one instance."""
        return (self.incarnation, self.beat)


class KnownMember(NamedTuple):
    """A member and the local time in s when its beat last advanced."""

    member: Member
    last_advanced: float


class MembershipView:
    """The known members; a member is alive while its beat advances.

    Silence is measured on the local monotonic clock, in s.
    """

    def __init__(self, local_member: Member, silence: float) -> None:
        """Start with this instance's member.

        Others count as lost after ``silence`` s.
        """
        self.local_member = local_member
        self._silence = silence
        self._known: dict[str, KnownMember] = {}
        self._last_tick: float | None = None

    def tick(self, now: float) -> None:
        """Advance this instance's beat.

        After a pause of this process, members that were alive at the previous
        tick count as just heard from, as the pause caused their silence.
        """
        self.local_member = self.local_member._replace(
            beat=self.local_member.beat + 1
        )
        last = self._last_tick
        self._last_tick = now
        if last is None or now - last <= self._silence / 2:
            return
        for name, known in self._known.items():
            if last - known.last_advanced <= self._silence:
                self._known[name] = known._replace(last_advanced=now)

    def update_local(self, **changes: object) -> None:
        """Change fields of this instance's member; LEAVING is final."""
        if self.local_member.state is State.LEAVING:
            changes.pop('state', None)
        self.local_member = self.local_member._replace(**changes)

    def merge(self, members: Iterable[Member], now: float) -> list[str]:
        """Store newer members; return the instances that became alive."""
        became_alive = []
        for member in members:
            if member.instance == self.local_member.instance:
                continue
            if self._merge_member(member, now):
                became_alive.append(member.instance)
        return became_alive

    def is_newer(self, instance: str, stamp: tuple[int, int]) -> bool:
        """Tell whether another instance's stamp is newer than the known one."""
        if instance == self.local_member.instance:
            return False
        known = self._known.get(instance)
        return known is None or stamp > known.member.stamp

    def members(self) -> tuple[Member, ...]:
        """Return all known members, this instance first."""
        return (
            self.local_member,
            *(known.member for known in self._known.values()),
        )

    def live_members(self, now: float) -> Iterator[Member]:
        """Yield members that are not silent or leaving, this instance first."""
        if self.local_member.state is not State.LEAVING:
            yield self.local_member
        for known in self._known.values():
            if self._is_alive(known, now):
                yield known.member

    def live_names(self, now: float, zone: str | None = None) -> list[str]:
        """Return the names of live members, of one zone if given."""
        return [
            member.instance
            for member in self.live_members(now)
            if zone in {None, member.zone}
        ]

    def is_alive(self, instance: str, incarnation: int, now: float) -> bool:
        """Tell whether this very incarnation of an instance is alive."""
        if instance == self.local_member.instance:
            return incarnation == self.local_member.incarnation
        known = self._known.get(instance)
        if known is None or known.member.incarnation != incarnation:
            return False
        return self._is_alive(known, now)

    def count_suspects(
        self, now: float, zone: str, suspect_after: float
    ) -> int:
        """Count a zone's serving members whose liveness is uncertain.

        A member is suspect once it has been silent for more than
        ``suspect_after`` s, and until ``SUSPECT_SILENCES`` silence timeouts.
        """
        return sum(
            suspect_after
            < now - known.last_advanced
            <= self._silence * SUSPECT_SILENCES
            for known in self._known.values()
            if known.member.zone == zone and known.member.state is State.SERVING
        )

    def is_missing(self, instance: str, now: float) -> bool:
        """Tell whether an instance is gone while its zone is reachable.

        If the whole zone is silent it may be partitioned and still working,
        so none of its instances counts as missing.
        """
        known = self._known.get(instance)
        if known is None or self._is_alive(known, now):
            return False
        if now - known.last_advanced <= self._silence * MISSING_SILENCES:
            return False
        zone = known.member.zone
        return any(member.zone == zone for member in self.live_members(now))

    def find(self, instance: str) -> Member | None:
        """Return a member by name, or ``None`` if it is unknown."""
        if instance == self.local_member.instance:
            return self.local_member
        known = self._known.get(instance)
        return known.member if known else None

    def region_of(self, zone: str) -> str:
        """Return the region of a zone by its members; empty if unknown."""
        for member in self.members():
            if member.zone == zone:
                return member.region
        return ''

    def forget(self, now: float, after: float) -> None:
        """Drop members that were silent for more than ``after`` s."""
        for name, known in tuple(self._known.items()):
            if now - known.last_advanced > after:
                self._known.pop(name)

    def _is_alive(self, known: KnownMember, now: float) -> bool:
        if known.member.state is State.LEAVING:
            return False
        return now - known.last_advanced <= self._silence

    def _merge_member(self, member: Member, now: float) -> bool:
        known = self._known.get(member.instance)
        if known is not None and member.stamp <= known.member.stamp:
            return False
        was_alive = known is not None and self._is_alive(known, now)
        if known is not None and _stays_leaving(known.member, member):
            member = member._replace(state=State.LEAVING)
        updated = KnownMember(member, now)
        self._known[member.instance] = updated
        return self._is_alive(updated, now) and not was_alive


def _stays_leaving(known: Member, received: Member) -> bool:
    return (
        known.state is State.LEAVING
        and known.incarnation == received.incarnation
    )
