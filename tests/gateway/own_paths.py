"""Runs an entry that reaches the upstreams by paths of its own.

The store lists one host for all upstreams; this process connects to another
one instead, at the same port.
"""

import asyncio
import os
import sys
from typing import Any

import uvloop

from gentiantrestle.platform.__main__ import main

LISTED_HOST = 'PATHS_LISTED_HOST'
OWN_HOST = 'PATHS_OWN_HOST'


def redirect_connections(listed: str, own: str) -> None:
    """Let connections to one host go to another one."""
    connect = uvloop.Loop.create_connection

    async def create_connection(
        loop: asyncio.AbstractEventLoop,
        factory: Any,
        host: str | None = None,
        port: int | None = None,
        **options: Any,
    ) -> Any:
        target = own if host == listed else host
        return await connect(loop, factory, target, port, **options)

    uvloop.Loop.create_connection = create_connection


if __name__ == '__main__':
    redirect_connections(os.environ[LISTED_HOST], os.environ[OWN_HOST])
    sys.exit(main())
