"""Runs an entry that has no path to upstreams while a file says so.

The file, named after the entry, has the ports that can't be connected to, one
a line. The entry takes the service for cut off, unless ``UNNOTICED`` is listed.
Connections that are open stay.
"""

import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gentiantrestle.gateway import upstream_connection, upstream_runs
from gentiantrestle.gateway.reach.service import UpstreamReach
from gentiantrestle.http.link import RequestNotSentError
from gentiantrestle.models import Address
from gentiantrestle.platform.__main__ import main
from gentiantrestle.platform.settings import SETTINGS_VARIABLE
from tests.gateway.wire_samples import SERVICE

CUT = '.cut'  # suffix of the file
UNNOTICED = 'unnoticed'


def read_cut() -> list[str]:
    """Return the lines of the file; none without one."""
    path = Path(os.environ[SETTINGS_VARIABLE]).with_suffix(CUT)
    return path.read_text().split() if path.exists() else []


def wrap(open_link: Callable[..., Any]) -> Callable[..., Any]:
    """Return a function that connects, except to the listed ports."""

    async def open_unless_cut(address: Address, *limits: Any) -> Any:
        if str(address.port) in read_cut():
            raise RequestNotSentError('the path is cut')
        return await open_link(address, *limits)

    return open_unless_cut


def is_cut_off(reach: UpstreamReach, service: str) -> bool:
    """Stand in for the method of this name."""
    cut = read_cut()
    return service == SERVICE and bool(cut) and UNNOTICED not in cut


if __name__ == '__main__':
    for module in (upstream_connection, upstream_runs):
        module.open_link = wrap(module.open_link)
    UpstreamReach.is_cut_off = is_cut_off
    sys.exit(main())
