"""Finds out whether a server is still there."""

import asyncio
from collections.abc import Iterable
from itertools import islice

from gentiantrestle.http.link import CONNECT_ERRORS
from gentiantrestle.models import Address

MAX_COMPARED = 4  # servers
# One other server that doesn't answer may have ended, too.
MIN_COMPARED = 2  # servers


async def accepts_connections(address: Address, timeout: float) -> bool:
    """Return whether a connection to ``address`` opens within ``timeout`` s.

    That says nothing of the run of the server that was there before.
    """
    try:
        async with asyncio.timeout(timeout):
            _, writer = await asyncio.open_connection(*address)
    except CONNECT_ERRORS:
        return False
    writer.close()
    return True


async def refuses_connections(address: Address, timeout: float) -> bool:
    """Return whether nothing listens at ``address`` any more.

    One that doesn't answer at all within ``timeout`` s may still be running.
    """
    try:
        async with asyncio.timeout(timeout):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return True
    except CONNECT_ERRORS:
        return False
    writer.close()
    return False


async def is_path_sound(others: Iterable[Address], timeout: float) -> bool:
    """Return whether one of the first few other servers accepts connections.

    ``others`` accepted connections until just now. If none does any more, a
    server that refuses connections need not have ended: they may be refused on
    the way. With too few others to compare with it has.
    """
    compared = list(islice(others, MAX_COMPARED))
    if len(compared) < MIN_COMPARED:
        return True
    found = await asyncio.gather(
        *(accepts_connections(address, timeout) for address in compared)
    )
    return any(found)
