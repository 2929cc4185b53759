"""Runs an entry whose wall clock is shifted by an offset from a file.

It may have paths of its own to the upstreams.
"""

import os
import sys
import time
from pathlib import Path

from gentiantrestle.platform.__main__ import main
from tests.gateway.own_paths import (
    LISTED_HOST,
    OWN_HOST,
    redirect_connections,
)

CLOCK_FILE = 'SOAK_CLOCK_FILE'
READ_INTERVAL = 0.2  # seconds between reads of the file


class SkewedClock:
    """The wall clock plus the offset in the file, in seconds."""

    def __init__(self, path: Path) -> None:
        """Wrap ``time.time``; the file is first read by the first call."""
        self._real_time = time.time
        self._path = path
        self._read_at = float(0)
        self._offset = float(0)

    def __call__(self) -> float:
        """Return the shifted Unix time in seconds."""
        now = self._real_time()
        if now - self._read_at > READ_INTERVAL:
            self._read_at = now
            text = self._path.read_text() if self._path.exists() else '0'
            self._offset = float(text or '0')
        return now + self._offset


if __name__ == '__main__':
    if LISTED_HOST in os.environ:
        redirect_connections(os.environ[LISTED_HOST], os.environ[OWN_HOST])
    time.time = SkewedClock(Path(os.environ[CLOCK_FILE]))
    sys.exit(main())
