"""Ports on the loopback address, different ones for each test process."""

import fcntl
import os
import socket
import tempfile
from collections.abc import Iterator
from contextlib import suppress
from functools import cache
from itertools import cycle, islice
from pathlib import Path

HOST = '127.0.0.1'
FIRST_PORT = 20000
PORTS_PER_WORKER = 750
WORKERS = 16
# Keeps the files whose locks last until the process ends.
_LOCKED_FILES: list[int] = []


@cache
def worker_number() -> int:
    """Return the number of this process's block of ports, below ``WORKERS``.

    Test runs of several checkouts at one time get different ones.
    """
    name = os.environ.get('PYTEST_XDIST_WORKER', 'gw0')
    first = int(name.removeprefix('gw')) % WORKERS
    preferred = (first, *range(WORKERS))
    return next(filter(_lock_block, preferred), first)


def _lock_block(number: int) -> bool:
    path = Path(tempfile.gettempdir(), f'gentiantrestle-ports-{number}.lock')
    opened = os.open(path, os.O_CREAT | os.O_RDWR, 0o666)
    try:
        fcntl.flock(opened, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(opened)
        return False
    _LOCKED_FILES.append(opened)
    return True


def _candidates() -> Iterator[int]:
    """Yield the ports of this process endlessly.

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


def free_port_pair() -> int:
    """Return the first of two ports in a row that are not in use now."""
    first = next(PORTS)
    for port in PORTS:
        if port == first + 1:
            break
        first = port
    return first
