"""The clock by which the age of what an instance knows is judged."""

import time


def boottime() -> float:
    """Return a time in s that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
