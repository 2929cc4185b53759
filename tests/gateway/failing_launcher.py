"""Runs an entry with a child that fails while a file exists."""

import asyncio
import os
import sys
from collections.abc import Iterable
from pathlib import Path

from gentiantrestle.gateway.service import Gateway
from gentiantrestle.platform.__main__ import main
from gentiantrestle.platform.settings import SETTINGS_VARIABLE
from gentiantrestle.supervisor import Child

FAIL = '.fail'  # suffix of the file
POLL_INTERVAL = 0.05  # seconds
children_of = Gateway._children


async def fail_if_told() -> None:
    """Run until the file exists, then raise."""
    path = Path(os.environ[SETTINGS_VARIABLE]).with_suffix(FAIL)
    while not path.exists():
        await asyncio.sleep(POLL_INTERVAL)
    raise ValueError('told to fail')


def add_child(gateway: Gateway) -> Iterable[Child]:
    """Stand in for the method that lists the children."""
    yield from children_of(gateway)
    yield Child('failing', fail_if_told)


if __name__ == '__main__':
    Gateway._children = add_child
    sys.exit(main())
