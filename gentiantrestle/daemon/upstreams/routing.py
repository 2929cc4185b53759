"""Routing policies: pick an upstream from a snapshot; no I/O."""

from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeAlias

from gentiantrestle.daemon.membership.rendezvous import rank
from gentiantrestle.errors import NO_UPSTREAM, OVERLOADED, Refusal

RETRY_AFTER = 1  # seconds
AFFINITY_LENGTH = 64  # characters
AFFINITY_SLACK = 0.25
BORROW_MARGIN = 0.125


class Candidate(NamedTuple):
    """What is known of one upstream when a request is routed.

    ``own`` counts this instance's online requests in flight, ``others`` those
    that the other instances told of, ``batch`` the batch items, which give
    way; ``share`` is what this instance may always use, and ``slowness`` the
    upstream's pace over its peers'.
    """

    upstream: str
    zone: str
    region: str
    slots: int
    own: int
    others: int
    batch: int
    share: int
    slowness: float
    usable: bool

    @property
    def occupancy(self) -> float:
        """Requests in flight for each slot."""
        return (self.own + self.others) / self.slots

    @property
    def free(self) -> int:
        """Slots that may be taken.

        What others told is late, so more than the own share is taken only
        while a margin stays free; else all would take the same last slots.
        """
        left = self.slots - self.own - self.others
        if self.own < self.share:
            return max(left, self.share - self.own)
        margin = int(self.slots * BORROW_MARGIN) if self.share else 0
        return max(0, left - margin)

    @property
    def cost(self) -> float:
        """Expected time of a token, relative to an idle ordinary upstream."""
        running = 1 + self.own + self.others + self.batch
        return (1 + running / self.slots) * self.slowness


class Snapshot(NamedTuple):
    """The candidates for one request, and where it stands."""

    candidates: Sequence[Candidate]
    zone: str
    region: str
    prompt: str = ''
    draw: float = 0


Policy: TypeAlias = Callable[[Snapshot, float], 'str | Refusal']
POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a routing policy under a name."""

    def register(choose: Policy) -> Policy:
        POLICIES[name] = choose
        return choose

    return register


def in_reach(snapshot: Snapshot, now: float) -> Sequence[Candidate] | Refusal:
    """Keep usable upstreams of the zone, else the region, else all."""
    usable = [one for one in snapshot.candidates if one.usable]
    if not usable:
        return Refusal(NO_UPSTREAM, 'No upstream can be used', RETRY_AFTER)
    near = [one for one in usable if one.zone == snapshot.zone]
    region = [one for one in usable if one.region == snapshot.region]
    for group in (near, region, usable):
        free = [one for one in group if one.free]
        if free:
            return free
    return Refusal(OVERLOADED, 'All upstreams are full', RETRY_AFTER)


@policy('random')
def random_choice(snapshot: Snapshot, now: float) -> str | Refusal:
    """Draw an upstream; the baseline."""
    reach = in_reach(snapshot, now)
    if isinstance(reach, Refusal):
        return reach
    return reach[int(snapshot.draw * len(reach))].upstream


@policy('least_outstanding')
def least_outstanding(snapshot: Snapshot, now: float) -> str | Refusal:
    """Take the upstream with the fewest requests for its slots."""
    reach = in_reach(snapshot, now)
    if isinstance(reach, Refusal):
        return reach
    return min(reach, key=lambda one: (one.occupancy, one.upstream)).upstream


@policy('two_choices')
def two_choices(snapshot: Snapshot, now: float) -> str | Refusal:
    """Draw two upstreams and take the one that costs less."""
    reach = in_reach(snapshot, now)
    if isinstance(reach, Refusal):
        return reach
    count = len(reach)
    scaled = snapshot.draw * count
    first = int(scaled)
    others = max(1, count - 1)
    step = 1 + int((scaled - first) * others)
    pair = (reach[first], reach[(first + step) % count])
    return min(pair, key=_cost).upstream


@policy('least_cost')
def least_cost(snapshot: Snapshot, now: float) -> str | Refusal:
    """Take the upstream with the least expected wait."""
    reach = in_reach(snapshot, now)
    if isinstance(reach, Refusal):
        return reach
    return min(reach, key=_cost).upstream


@policy('prefix_affinity')
def prefix_affinity(snapshot: Snapshot, now: float) -> str | Refusal:
    """Keep prompts of one prefix together while the load is even."""
    reach = in_reach(snapshot, now)
    if isinstance(reach, Refusal):
        return reach
    costs = {one.upstream: one.cost for one in reach}
    bound = min(costs.values()) + AFFINITY_SLACK
    prefix = snapshot.prompt[:AFFINITY_LENGTH]
    for upstream in rank(prefix, costs):
        if costs[upstream] <= bound:
            return upstream
    return min(costs, key=costs.__getitem__)


def _cost(one: Candidate) -> tuple[float, str]:
    return (one.cost, one.upstream)
