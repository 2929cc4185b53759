"""Finds out whether an upstream has ended."""

from collections.abc import Iterable

from gentiantrestle.http.probe import is_path_sound, refuses_connections
from gentiantrestle.models import Address

CONNECT_TIMEOUT = 0.3  # seconds


async def has_ended(address: Address, others: Iterable[Address]) -> bool:
    """Return whether an upstream has ended, and not the path to it.

    ``others`` are the addresses of upstreams to compare with.
    """
    if not await refuses_connections(address, CONNECT_TIMEOUT):
        return False
    return await is_path_sound(others, CONNECT_TIMEOUT)
