"""The daemon's settings as data: one entry for each."""

from typing import NamedTuple

ENV_PREFIX = 'GENTIANTRESTLE_'


class Option(NamedTuple):
    """One setting: its flag, default, unit, bounds and help text."""

    name: str
    default: str | int | float | bool | None
    text: str
    unit: str = ''
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()
    secret: bool = False

    @property
    def env(self) -> str:
        """Name the environment variable that sets this option."""
        return ENV_PREFIX + self.name.upper()

    @property
    def required(self) -> bool:
        """Tell whether the daemon can't start without this option."""
        return self.default is None


MAX_PORT = 65535
MEBIBYTE = 1024 * 1024

OPTIONS = (
    Option('instance', None, 'Name of this instance, unique in the fleet.'),
    Option('zone', None, 'Availability zone this instance stands in.'),
    Option('region', None, 'Region of the availability zone.'),
    Option('host', '127.0.0.1', 'IP number to listen on and to announce.'),
    Option('http_port', 8080, 'Port for callers.', 'port', 1, MAX_PORT),
    Option('peer_port', 8081, 'Port for peers.', 'port', 1, MAX_PORT),
    Option('store', None, 'Address of the object API, IP:PORT.'),
    Option(
        'peers',
        '',
        'Comma-separated IP:PORT of peers to greet at start; the live list '
        'and heartbeats bring the others.',
    ),
    Option(
        'admin_key_hash',
        '',
        'SHA-256 in hex of the key that administers; empty means that the '
        'configuration alone names administrators.',
        secret=True,
    ),
    Option(
        'log_level',
        'INFO',
        'Lowest level that is logged.',
        choices=(
            'DEBUG',
            'INFO',
            'WARNING',
            'ERROR',
        ),
    ),
    Option('log_json', False, 'Log JSON lines instead of text.'),
    Option('heartbeat', 0.25, 'Time between heartbeats.', 's', 0.05, 10),
    Option('silence', 1.5, 'Silence after which a peer is lost.', 's', 0.2, 60),
    Option('lease', 6.0, 'Lease of a chunk holder.', 's', 1, 300),
    Option('grace', 30.0, 'Time a planned stop may take.', 's', 0, 600),
    Option('store_timeout', 2.0, 'Longest store call.', 's', 0.1, 60),
    Option('max_connections', 2000, 'Caller connections.', 'count', 1, 100000),
    Option('max_body', MEBIBYTE, 'Largest online body.', 'bytes', 1024, None),
    Option(
        'max_batch_body',
        128 * MEBIBYTE,
        'Largest batch body.',
        'bytes',
        1024,
        None,
    ),
    Option('header_timeout', 10.0, 'Time to send a header.', 's', 0.1, 300),
    Option('idle_timeout', 75.0, 'Idle connection is kept.', 's', 1, 3600),
    Option('stall_timeout', 30.0, 'Peer may stall a body.', 's', 0.1, 600),
    Option('answer_timeout', 120.0, 'Wait for an answer.', 's', 0.1, 3600),
    Option('queue_wait', 5.0, 'Longest wait for a slot.', 's', 0, 60),
    Option('queue_length', 500, 'Waiting requests.', 'count', 0, 100000),
    Option('batch_streams', 16, 'Batch items in flight.', 'count', 0, 10000),
)
