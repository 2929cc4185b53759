"""Which instances count an account's requests; no I/O."""

from collections.abc import Iterable
from typing import NamedTuple

from gentiantrestle.daemon.membership.rendezvous import rank
from gentiantrestle.gateway.accounts.allowance_ledger import (
    Candidate,
    Standing,
)
from gentiantrestle.gateway.membership.peers import TOUCH_TIME, Peer

# Instances that were heard of in this time count as a part of the fleet.
FLEET_MEMORY = 60.0  # seconds
# Rows of other zones wait for two relays, which send once a second.
REMOTE_TOUCH_TIME = 2.8  # seconds
# With less of the fleet in touch, those out of touch are asked last.
SPLIT_SHARE = 0.75
MAX_CANDIDATES = 6
MAX_BEFORE = 3


class Ranking(NamedTuple):
    """The order of the instances for an account.

    ``candidates`` are the first to ask, ``place`` is this instance's place
    among ``size``. ``before`` are the instances that go before this one, or
    will once they have started.
    """

    candidates: tuple[Candidate, ...]
    place: int
    size: int
    before: tuple[Candidate, ...]


class Sighting(NamedTuple):
    """When and where an instance was last heard of; time in s."""

    heard_at: float
    leaving: bool
    zone: str

    def is_silent(self, now: float, zone: str) -> bool:
        """Return whether it is out of touch with an instance of a zone."""
        limit = TOUCH_TIME if self.zone == zone else REMOTE_TOUCH_TIME
        return now - self.heard_at >= limit


class Groups(NamedTuple):
    """The live instances that may count, by name, and those that start."""

    members: dict[str, Candidate]
    starting: frozenset[str]

    def rank(self, account: str, own: str) -> Ranking:
        """Rank the instances for an account, as ``own`` sees them."""
        names = rank(account, self.members)
        ordered = sorted(names, key=self.starting.__contains__)
        size = len(ordered)
        before = names[: names.index(own)] if own in names else names
        return Ranking(
            self._pick(ordered[:MAX_CANDIDATES]),
            ordered.index(own) if own in ordered else size,
            size,
            self._pick(before[:MAX_BEFORE]),
        )

    def _pick(self, names: Iterable[str]) -> tuple[Candidate, ...]:
        return tuple(self.members[name] for name in names)


class AllowanceOwners:
    """Ranks the live instances for each account.

    All instances that know the same rows return the same ranking. Those that
    are leaving count nothing, and those that are starting come last.
    """

    def __init__(self, instance: str, host: str, zone: str) -> None:
        """Know this instance only."""
        self._own = Candidate(instance, host)
        self._zone = zone
        self._groups = Groups({instance: self._own}, frozenset())
        self._rankings: dict[str, Ranking] = {}
        self._seen: dict[str, Sighting] = {}
        # Instances that were heard of, but not of late. Those that were
        # leaving then are no part of the fleet.
        self.out_of_touch: frozenset[str] = frozenset()
        # The share of the fleet that this instance is in touch with.
        self.share = 1.0

    @property
    def instance(self) -> str:
        """Return the name of this instance."""
        return self._own.instance

    @property
    def host(self) -> str:
        """Return the host of this instance."""
        return self._own.host

    def update(
        self,
        alive: Iterable[Peer],
        now: float,
        *,
        leaving: bool = False,
        starting: bool = False,
    ) -> None:
        """Note the other instances, and what this one says about itself."""
        members = {} if leaving else {self._own.instance: self._own}
        is_starting = {self._own.instance: starting}
        for peer in alive:
            name = peer.instance
            self._seen[name] = Sighting(
                peer.received_at, peer.leaving, peer.zone
            )
            is_starting[name] = peer.starting
            if not peer.leaving:
                members[name] = Candidate(name, peer.host, peer.incarnation)
        self._regroup(
            Groups(members, frozenset(filter(is_starting.get, members)))
        )
        self._seen = {
            name: seen
            for name, seen in self._seen.items()
            if now - seen.heard_at < FLEET_MEMORY
        }
        self._measure(now)

    def rank(self, account: str) -> Ranking:
        """Rank the instances for an account."""
        known = self._rankings.get(account)
        if known is None:
            known = self._groups.rank(account, self._own.instance)
            self._rankings[account] = known
        return known

    def is_ranked(self, account: str) -> bool:
        """Return whether the ranking for an account is known by now."""
        return account in self._rankings

    def standing(self, account: str) -> Standing:
        """Return the place of this instance for an account."""
        return Standing(self.rank(account).place == 0, self.share)

    def _measure(self, now: float) -> None:
        fleet = {
            name: seen for name, seen in self._seen.items() if not seen.leaving
        }
        self.out_of_touch = frozenset(
            name
            for name, seen in fleet.items()
            if seen.is_silent(now, self._zone)
        )
        self.share = 1 - len(self.out_of_touch) / (1 + len(fleet))

    def _regroup(self, groups: Groups) -> None:
        if groups != self._groups:
            self._groups = groups
            self._rankings.clear()
