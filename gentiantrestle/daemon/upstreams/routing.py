"""Routing policies: choose an upstream from a snapshot; no I/O."""

from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeAlias

from gentiantrestle.daemon.membership.rendezvous import rank
from gentiantrestle.errors import NO_UPSTREAM, OVERLOADED, Refusal

RETRY_AFTER = 1  # seconds
AFFINITY_PREFIX_LENGTH = 64  # characters
AFFINITY_SLACK = 0.25  # added to the lowest cost
BORROW_MARGIN = 0.125  # of the slots


class Candidate(NamedTuple):
    """State of one upstream when a request is routed.

    ``local_online`` counts the online requests in flight of this instance,
    ``remote_online`` those that the other instances reported, and ``batch``
    the batch items of all, which are preempted if needed. ``share`` is the
    number of slots that this instance may always use, and ``slowness`` the
    upstream's pace as a multiple of its peers' median.
    """

    upstream: str
    zone: str
    region: str
    slots: int
    local_online: int
    remote_online: int
    batch: int
    share: int
    slowness: float
    usable: bool

    @property
    def occupancy(self) -> float:
        """Online requests in flight per slot."""
        return (self.local_online + self.remote_online) / self.slots

    @property
    def free_slots(self) -> int:
        """Slots that this instance may take now.

        Load reports of other instances are late, so an instance exceeds its
        share only while a margin stays free; otherwise all instances would
        take the same last slots.
        """
        unused = self.slots - self.local_online - self.remote_online
        if self.local_online < self.share:
            return max(unused, self.share - self.local_online)
        margin = int(self.slots * BORROW_MARGIN) if self.share else 0
        return max(0, unused - margin)

    @property
    def cost(self) -> float:
        """Expected time per token; 1 is an idle upstream of median pace."""
        running = 1 + self.local_online + self.remote_online + self.batch
        return (1 + running / self.slots) * self.slowness


class Snapshot(NamedTuple):
    """The candidates for one request, and the instance's zone and region.

    ``draw`` is a random number from 0 up to but not including 1.
    """

    candidates: Sequence[Candidate]
    zone: str
    region: str
    prompt: str = ''
    draw: float = 0


Policy: TypeAlias = Callable[[Snapshot, float], 'str | Refusal']
POLICIES: dict[str, Policy] = {}


def register_policy(name: str) -> Callable[[Policy], Policy]:
    """Return a decorator that registers a routing policy under a name.

    A policy returns the name of an upstream with a free slot, or a refusal.
    """

    def register(choose: Policy) -> Policy:
        POLICIES[name] = choose
        return choose

    return register


def nearest_candidates(
    snapshot: Snapshot, now: float
) -> Sequence[Candidate] | Refusal:
    """Return the usable upstreams with free slots that are nearest.

    These are the ones in the zone; if there are none, in the region; if there
    are none, anywhere. Return a refusal if all are unusable or full.
    """
    usable = [
        candidate for candidate in snapshot.candidates if candidate.usable
    ]
    if not usable:
        return Refusal(NO_UPSTREAM, 'No upstream is usable', RETRY_AFTER)
    same_zone = [
        candidate for candidate in usable if candidate.zone == snapshot.zone
    ]
    same_region = [
        candidate for candidate in usable if candidate.region == snapshot.region
    ]
    for group in (same_zone, same_region, usable):
        free = [candidate for candidate in group if candidate.free_slots]
        if free:
            return free
    return Refusal(OVERLOADED, 'No upstream has a free slot', RETRY_AFTER)


@register_policy('random')
def random_choice(snapshot: Snapshot, now: float) -> str | Refusal:
    """Choose an upstream at random; the baseline for the other policies."""
    nearest = nearest_candidates(snapshot, now)
    if isinstance(nearest, Refusal):
        return nearest
    return nearest[int(snapshot.draw * len(nearest))].upstream


@register_policy('least_outstanding')
def least_outstanding(snapshot: Snapshot, now: float) -> str | Refusal:
    """Choose the upstream with the fewest online requests per slot."""
    nearest = nearest_candidates(snapshot, now)
    if isinstance(nearest, Refusal):
        return nearest
    return min(
        nearest, key=lambda candidate: (candidate.occupancy, candidate.upstream)
    ).upstream


@register_policy('two_choices')
def two_choices(snapshot: Snapshot, now: float) -> str | Refusal:
    """Choose the one with the lower cost of two random upstreams."""
    nearest = nearest_candidates(snapshot, now)
    if isinstance(nearest, Refusal):
        return nearest
    count = len(nearest)
    scaled = snapshot.draw * count
    first = int(scaled)
    others = max(1, count - 1)
    step = 1 + int((scaled - first) * others)
    pair = (nearest[first], nearest[(first + step) % count])
    return min(pair, key=_cost).upstream


@register_policy('least_cost')
def least_cost(snapshot: Snapshot, now: float) -> str | Refusal:
    """Choose the upstream with the lowest cost."""
    nearest = nearest_candidates(snapshot, now)
    if isinstance(nearest, Refusal):
        return nearest
    return min(nearest, key=_cost).upstream


@register_policy('prefix_affinity')
def prefix_affinity(snapshot: Snapshot, now: float) -> str | Refusal:
    """Send prompts with the same prefix to the same upstream.

    Another one is chosen while that upstream's cost exceeds the lowest cost
    by more than a slack.
    """
    nearest = nearest_candidates(snapshot, now)
    if isinstance(nearest, Refusal):
        return nearest
    costs = {candidate.upstream: candidate.cost for candidate in nearest}
    bound = min(costs.values()) + AFFINITY_SLACK
    prefix = snapshot.prompt[:AFFINITY_PREFIX_LENGTH]
    for upstream in rank(prefix, costs):
        if costs[upstream] <= bound:
            return upstream
    return min(costs, key=costs.__getitem__)


def _cost(candidate: Candidate) -> tuple[float, str]:
    return (candidate.cost, candidate.upstream)
