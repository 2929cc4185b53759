"""How many instances of a zone watch the store."""

import math

# The store may be silent to some instances, which takes seconds to notice, and
# these may be the watchers of several zones.
MIN_WATCHERS = 4  # in all zones together


def count_seats(zones: int) -> int:
    """Return how many instances of each of ``zones`` zones watch the store."""
    return math.ceil(MIN_WATCHERS / zones)
