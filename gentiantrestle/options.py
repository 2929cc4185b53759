"""Definitions of the daemon's settings."""

from typing import NamedTuple

ENV_PREFIX = 'GENTIANTRESTLE_'


class Option(NamedTuple):
    """A setting: name of its flag, default, help text, unit and bounds.

    An option whose default is ``None`` is required. ``low`` and ``high`` are
    inclusive. The value of a secret is a SHA-256 in hex and is not printed.
    """

    name: str
    default: str | int | float | bool | None
    help_text: str
    unit: str = ''
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()
    secret: bool = False

    @property
    def env(self) -> str:
        """Name of the environment variable of this option."""
        return ENV_PREFIX + self.name.upper()

    @property
    def required(self) -> bool:
        """Whether the daemon can't start without this option."""
        return self.default is None


MAX_PORT = 65535
MEBIBYTE = 1024 * 1024

OPTIONS = (
    Option('instance', None, 'Name of this instance, unique in the fleet.'),
    Option('zone', None, 'Availability zone of this instance.'),
    Option('region', None, 'Region of the availability zone.'),
    Option('host', '127.0.0.1', 'IP address to listen on and to announce.'),
    Option('http_port', 8080, 'Port for callers.', 'port', 1, MAX_PORT),
    Option('peer_port', 8081, 'Port for peers.', 'port', 1, MAX_PORT),
    Option('store', None, 'Address of the object store, IP:PORT.'),
    Option(
        'peers',
        '',
        'Comma-separated IP:PORT of peers to contact at start; other peers are '
        'found through the live list in the store and through heartbeats.',
    ),
    Option(
        'admin_key_hash',
        '',
        'SHA-256 in hex of the administrator key; if it is empty, only the '
        'configuration defines administrators.',
        secret=True,
    ),
    Option(
        'log_level',
        'INFO',
        'Lowest level to log.',
        choices=(
            'DEBUG',
            'INFO',
            'WARNING',
            'ERROR',
        ),
    ),
    Option('log_json', False, 'Log JSON lines instead of plain text.'),
    Option('heartbeat', 0.25, 'Time between heartbeats.', 's', 0.05, 10),
    Option(
        'silence',
        1.5,
        'Time without a heartbeat after which a peer is lost.',
        's',
        0.2,
        60,
    ),
    Option(
        'lease',
        6.0,
        'Duration of the lease of an instance on its chunks.',
        's',
        1,
        300,
    ),
    Option('grace', 30.0, 'Longest time for a graceful stop.', 's', 0, 600),
    Option(
        'store_timeout',
        2.0,
        'Longest time without progress of a store call.',
        's',
        0.1,
        60,
    ),
    Option(
        'max_connections',
        2000,
        'Limit of open caller connections.',
        'count',
        1,
        100000,
    ),
    Option(
        'max_body',
        MEBIBYTE,
        'Largest body of an online request.',
        'bytes',
        1024,
        None,
    ),
    Option(
        'max_batch_body',
        128 * MEBIBYTE,
        'Largest body of a batch job.',
        'bytes',
        1024,
        None,
    ),
    Option(
        'header_timeout',
        10.0,
        'Longest time to receive a request head.',
        's',
        0.1,
        300,
    ),
    Option(
        'idle_timeout',
        75.0,
        'Time that an idle connection stays open.',
        's',
        1,
        3600,
    ),
    Option(
        'stall_timeout',
        30.0,
        'Longest pause in the transfer of a body.',
        's',
        0.1,
        600,
    ),
    Option(
        'answer_timeout', 120.0, 'Longest wait for an answer.', 's', 0.1, 3600
    ),
    Option(
        'queue_wait', 5.0, 'Longest wait in the queue for a slot.', 's', 0, 60
    ),
    Option(
        'queue_length',
        500,
        'Limit of requests in the queue.',
        'count',
        0,
        100000,
    ),
    Option(
        'batch_streams',
        16,
        'Limit of batch items in flight.',
        'count',
        0,
        10000,
    ),
)
