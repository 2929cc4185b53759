"""Finds out whether an upstream has ended."""

import asyncio

from gentiantrestle.models import Address

CONNECT_TIMEOUT = 0.3  # seconds


async def refuses_connections(address: Address) -> bool:
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
