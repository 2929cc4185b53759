"""Settings of the gateway; the platform gives its location and addresses."""

from gentiantrestle.options import MAX_PORT, Option

DEFAULT_METRICS_PORT = 9464
# Values of the option ``upstream_pace``.
AUTO_PACE = 'auto'
NO_PACE = 'off'
OPTIONS = (
    Option(
        'metrics_port',
        DEFAULT_METRICS_PORT,
        'Port of the metrics, on the address of the instance; 0 for none.',
        'port',
        0,
        MAX_PORT,
    ),
    Option(
        'gateway_log_level',
        'INFO',
        'Least important level that is logged.',
        choices=('DEBUG', 'INFO', 'WARNING', 'ERROR'),
    ),
    Option(
        'upstream_pace',
        NO_PACE,
        'Whether work is placed by the pace that answers show of upstreams, '
        'and upstreams that have started get few slots at first.',
        choices=(AUTO_PACE, NO_PACE),
    ),
)
