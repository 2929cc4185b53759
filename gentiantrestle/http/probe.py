"""Finds out whether a server is still there."""

import asyncio

from gentiantrestle.http.link import CONNECT_ERRORS
from gentiantrestle.models import Address


async def accepts_connections(address: Address, timeout: float) -> bool:
    """Return whether a connection to ``address`` opens within ``timeout`` s.

    An answer that ends with its connection is only known to be whole if its
    server has not ended as well.
    """
    try:
        async with asyncio.timeout(timeout):
            _, writer = await asyncio.open_connection(*address)
    except CONNECT_ERRORS:
        return False
    writer.close()
    return True
