"""The environment of one run: settings, clocks, counters."""

import random
import time
from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle.config import Settings
from gentiantrestle.metrics import Metrics


class Context(NamedTuple):
    """What every child of the root supervisor is given."""

    cfg: Settings
    metrics: Metrics
    incarnation: int
    random: random.Random
    now: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time

    @classmethod
    def from_config(cls, cfg: Settings) -> 'Context':
        """Take the process's clocks and a fresh set of counters."""
        incarnation = time.time_ns()
        return cls(
            cfg,
            Metrics.from_config(cfg),
            incarnation,
            random.Random(incarnation),
        )
