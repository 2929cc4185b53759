"""Chooses an upstream without a coordinator; no I/O.

Answers the time, tens of ms, in which no coordinator answers: it was killed,
frozen or cut off. Of two random upstreams the one on which this instance has
less work is taken, so that instances don't all choose the same.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.topology import Topology


def choose_alone(
    upstreams: Iterable[Upstream],
    own_loads: Counter[str],
    topology: Topology,
    rand: Callable[[], float],
) -> Upstream | None:
    """Return an upstream, if possible in the own zone or region.

    ``own_loads`` counts this instance's requests by upstream id, and ``rand``
    returns numbers from 0 up to but not including 1.
    """
    listed = list(upstreams)
    local = [known for known in listed if known.zone == topology.zone]
    near = [known for known in listed if topology.is_near(known.zone)]
    candidates = local or near or listed
    if not candidates:
        return None
    picked = [candidates[int(rand() * len(candidates))] for _ in range(2)]
    return min(picked, key=lambda known: own_loads[known.id])
