"""Finds out whether an upstream has ended."""

import asyncio
from collections.abc import Iterable

from gentiantrestle.http.probe import is_path_sound
from gentiantrestle.models import Address

CONNECT_TIMEOUT = 0.3  # seconds


async def has_ended(address: Address, others: Iterable[Address]) -> bool:
    """Return whether an upstream has ended, and not the path to it.

    ``others`` are the addresses of upstreams to compare with.
    """
    if not await _refuses_connections(address):
        return False
    return await is_path_sound(others, CONNECT_TIMEOUT)


async def _refuses_connections(address: Address) -> bool:
    """Return whether nothing listens at an upstream's address any more.

    One that doesn't answer at all may still be running.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
