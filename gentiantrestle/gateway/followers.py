"""The followers of an instance: one for each kind of objects that it needs."""

import random

from gentiantrestle.gateway.batch.records import JOB_KIND
from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.follower import (
    Follower,
    StoreHandlers,
    WatchGate,
    WatchSpec,
)
from gentiantrestle.gateway.ports import Adapter

# Pauses after a watch has returned changes, so that one call reads a series
# of them. Configuration and leaving upstreams must take effect within 2.5 s
# of the store's answer.
CONFIG_WATCH_PAUSE = 0.2  # seconds
UPSTREAM_WATCH_PAUSE = 0.4  # seconds
JOB_WATCH_PAUSE = 1.5  # seconds


def build_followers(
    adapter: Adapter,
    state: FleetState,
    jobs: StoreHandlers,
    rng: random.Random,
    gate: WatchGate,
) -> dict[str, Follower]:
    """Return the followers by kind; they watch while ``gate`` is set."""
    kinds = adapter.kinds
    followed = (
        (
            WatchSpec(kinds.config, CONFIG_WATCH_PAUSE, read_at_start=True),
            state.config_handlers(),
        ),
        (
            WatchSpec(
                kinds.upstreams, UPSTREAM_WATCH_PAUSE, read_at_start=True
            ),
            state.upstream_handlers(),
        ),
        (WatchSpec(JOB_KIND, JOB_WATCH_PAUSE), jobs),
    )
    return {
        spec.kind: Follower(adapter.store, spec, handlers, rng, gate)
        for spec, handlers in followed
    }
