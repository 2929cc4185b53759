"""Chooses the upstreams that a round of probes tries; no I/O."""

import random
from collections.abc import Collection, Iterator, Mapping

from gentiantrestle.gateway.model import Upstream

MAX_PROBES = 12  # at once, however large the deployment
MAX_PER_ZONE = 2  # probes of a service in one zone
# Other services tell whether the path as a whole is broken.
RESERVED = 4  # probes
MAX_REPEATED = 4  # probes of upstreams that were reached last


def choose_sample(
    usable: Mapping[str, Collection[Upstream]],
    suspects: Collection[str],
    rng: random.Random,
) -> list[Upstream]:
    """Choose upstreams of all services, first of those in ``suspects``."""
    services = rng.sample(sorted(usable), len(usable))
    first = [service for service in services if service in suspects]
    others = [service for service in services if service not in suspects]
    chosen = list(_take_turns(usable, first, rng))
    rest = list(_take_turns(usable, others, rng))
    reserved = min(RESERVED, len(rest))
    chosen = chosen[: MAX_PROBES - reserved]
    return chosen + rest[: MAX_PROBES - len(chosen)]


def add_last_reached(
    chosen: list[Upstream],
    usable: Mapping[str, Collection[Upstream]],
    last_reached: Mapping[str, Upstream],
) -> list[Upstream]:
    """Return a sample with upstreams of ``last_reached``, by service.

    Where most upstreams of a service have ended, a random sample would rarely
    hold one that lives.
    """
    missing = [
        upstream
        for service, upstream in last_reached.items()
        if upstream not in chosen and upstream in usable.get(service, ())
    ]
    repeated = missing[:MAX_REPEATED]
    return chosen[: MAX_PROBES - len(repeated)] + repeated


def _take_turns(
    usable: Mapping[str, Collection[Upstream]],
    services: list[str],
    rng: random.Random,
) -> Iterator[Upstream]:
    """Yield the first upstream of each service, then the second, and so on."""
    queues = [list(_spread(usable[service], rng)) for service in services]
    for turn in range(MAX_PROBES):
        for queue in queues:
            yield from queue[turn : turn + 1]


def _spread(
    upstreams: Collection[Upstream], rng: random.Random
) -> Iterator[Upstream]:
    """Yield upstreams of different zones in turn, at random."""
    zones: dict[str, list[Upstream]] = {}
    for upstream in upstreams:
        zones.setdefault(upstream.zone, []).append(upstream)
    samples = [
        rng.sample(found, min(MAX_PER_ZONE, len(found)))
        for found in zones.values()
    ]
    rng.shuffle(samples)
    for turn in range(MAX_PER_ZONE):
        for sample in samples:
            yield from sample[turn : turn + 1]
