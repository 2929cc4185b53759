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
    """Number the test worker that this process is."""
    name = os.environ.get('PYTEST_XDIST_WORKER', 'gw0')
    return int(name.removeprefix('gw')) % WORKERS


def _candidates() -> Iterator[int]:
    """Go round ports below those that outgoing connections are given."""
    first = FIRST_PORT + worker_number() * PORTS_PER_WORKER
    ports = range(first, first + PORTS_PER_WORKER)
    start = os.getpid() % PORTS_PER_WORKER
    return islice(cycle(ports), start, None)


def _is_unused(port: int) -> bool:
    with suppress(OSError), socket.socket() as probe:
        probe.bind((HOST, port))
        return True
    return False


PORTS = filter(_is_unused, _candidates())


def free_ports(count: int) -> list[int]:
    """Return ports that nobody listens on."""
    return list(islice(PORTS, count))
