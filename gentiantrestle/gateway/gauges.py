"""The gauges of an instance, and what they are read from."""

from collections.abc import Callable
from typing import NamedTuple

from gentiantrestle.gateway.batch.item_states import ItemStates
from gentiantrestle.gateway.metrics import Metrics

DESCRIPTIONS = {
    'active': 'Requests in flight.',
    'waiting': 'Requests waiting for a slot.',
    'quarantined_requests': (
        'Traits, or sets of them, of requests that crash upstreams.'
    ),
    'config_version': 'Version of the configuration in force.',
    'config_lag_seconds': (
        'For how long another instance has had a newer configuration, in s.'
    ),
    'config_confirmation_age_seconds': (
        'For how long the configuration in force may be out of date, in s; 0 '
        'where revocations have no time bound.'
    ),
    'store_connected': (
        '1 if this instance watches the store and reaches it, else 0.'
    ),
    'services_cut_off': (
        'Services none of whose upstreams this instance reaches.'
    ),
    'jobs_open': 'Jobs known here whose items may still be run, by anybody.',
    'memory_held': 'Bytes held for callers, upstreams and batch items.',
    'accounts_over_share': (
        'Accounts over their share of slots, if this instance counts these.'
    ),
    'upstreams_slow': (
        'Upstreams counted here that are slower than their peers.'
    ),
    'upstreams_starting': (
        'Upstreams counted here that get few slots after a start.'
    ),
}


class GaugeSources(NamedTuple):
    """Functions that return the current values of the gauges by name."""

    active: Callable[[], int]
    waiting: Callable[[], int]
    quarantined_requests: Callable[[], int]
    config_version: Callable[[], int]
    config_lag_seconds: Callable[[], float]
    config_confirmation_age_seconds: Callable[[], float]
    store_connected: Callable[[], int]
    services_cut_off: Callable[[], int]
    jobs_open: Callable[[], int]
    memory_held: Callable[[], int]
    accounts_over_share: Callable[[], int]
    upstreams_slow: Callable[[], int]
    upstreams_starting: Callable[[], int]


def build_metrics(
    instance: str,
    zone: str,
    sources: GaugeSources,
    read_states: Callable[[], ItemStates],
) -> Metrics:
    """Build the metrics, with a gauge for each source and state of items."""
    metrics = Metrics(instance, zone)
    for name, read in sources._asdict().items():
        metrics.add_gauge(name, DESCRIPTIONS[name], read)
    for state in ItemStates._fields:
        metrics.add_gauge(
            f'batch_items_{state}',
            f'Batch items of jobs that run here that are {state}.',
            _state_reader(read_states, state),
        )
    return metrics


def _state_reader(
    read_states: Callable[[], ItemStates], state: str
) -> Callable[[], int]:
    return lambda: getattr(read_states(), state)
