"""Runs an entry that reaches the other entries by links of its own.

The store lists one host for each entry; this process connects to another one
instead, at the same port.
"""

import asyncio
import os
import sys
from typing import Any

import uvloop

from gentiantrestle.platform.__main__ import main

LINK_BLOCK = 'LINKS_BLOCK'
LINK_OFFSET = 'LINKS_OFFSET'
ENTRY_NUMBERS = range(1, 100)  # last parts of the addresses of entries


def redirect_connections(block: str, offset: int) -> None:
    """Let connections to hosts of a block go to hosts of higher numbers."""
    connect = uvloop.Loop.create_connection

    async def create_connection(
        loop: asyncio.AbstractEventLoop,
        factory: Any,
        host: str | None = None,
        port: int | None = None,
        **options: Any,
    ) -> Any:
        start, _, number = (host or '').rpartition('.')
        if start == block and int(number) in ENTRY_NUMBERS:
            host = f'{block}.{int(number) + offset}'
        return await connect(loop, factory, host, port, **options)

    uvloop.Loop.create_connection = create_connection


if __name__ == '__main__':
    redirect_connections(os.environ[LINK_BLOCK], int(os.environ[LINK_OFFSET]))
    sys.exit(main())
