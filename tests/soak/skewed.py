"""Runs an entry whose time of day jumps as a file says."""

import os
import time
from pathlib import Path

from gentiantrestle.platform.__main__ import main

CLOCK_FILE = 'SOAK_CLOCK_FILE'
LOOK_TIME = 0.2  # seconds between looks at the file


class SkewedClock:
    """The time of day, off by what the file holds in s."""

    def __init__(self, path: Path) -> None:
        """Read the file at the first question."""
        self._real = time.time
        self._path = path
        self._looked = float(0)
        self._offset = float(0)

    def __call__(self) -> float:
        """Return the time of day as this process believes it."""
        now = self._real()
        if now - self._looked > LOOK_TIME:
            self._looked = now
            told = self._path.read_text() if self._path.exists() else '0'
            self._offset = float(told or '0')
        return now + self._offset


if __name__ == '__main__':
    time.time = SkewedClock(Path(os.environ[CLOCK_FILE]))
    main()
