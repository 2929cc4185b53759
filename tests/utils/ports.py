"""Ports on the loopback address, different ones for each test worker."""

import os
import socket
from collections.abc import Iterator
from contextlib import suppress
from itertools import cycle, islice

HOST = '127.0.0.1'
FIRST_PORT = 20000
PORTS_PER_WORKER = 1500
WORKERS = 8


def worker_number() -> int:
    """Return the number of this test worker, below ``WORKERS``."""
    name = os.environ.get('PYTEST_XDIST_WORKER', 'gw0')
    return int(name.removeprefix('gw')) % WORKERS


def _candidates() -> Iterator[int]:
    """Yield the ports of this worker endlessly.

    They lie below the range of ports that the system gives to outgoing
    connections.
    """
    first = FIRST_PORT + worker_number() * PORTS_PER_WORKER
    ports = range(first, first + PORTS_PER_WORKER)
    start = os.getpid() % PORTS_PER_WORKER
    return islice(cycle(ports), start, None)


def _is_unused(port: int) -> bool:
    with suppress(OSError), socket.socket() as sock:
        sock.bind((HOST, port))
        return True
    return False


PORTS = filter(_is_unused, _candidates())


def free_ports(count: int) -> list[int]:
    """Return ports that are not in use now."""
    return list(islice(PORTS, count))
