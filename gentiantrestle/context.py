"""What the parts of a daemon share: settings, metrics, clocks, randomness."""

import random
import time
from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle.config import Settings
from gentiantrestle.metrics import Metrics


class Context(NamedTuple):
    """Shared by all parts of the daemon.

    ``now`` is the monotonic clock and ``wall`` the wall clock, both in s.
    ``incarnation`` is the start time in ns since the epoch.
    """

    cfg: Settings
    metrics: Metrics
    incarnation: int
    random: random.Random
    now: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time

    @classmethod
    def from_config(cls, cfg: Settings) -> 'Context':
        """Use the system clocks and new metrics; seed from the start time."""
        incarnation = time.time_ns()
        return cls(
            cfg,
            Metrics.from_config(cfg),
            incarnation,
            random.Random(incarnation),
        )
