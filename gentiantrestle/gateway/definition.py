"""The gateway's own settings; where it stands the platform tells."""

from gentiantrestle.options import MAX_PORT, Option

DEFAULT_METRICS_PORT = 9464
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
)
