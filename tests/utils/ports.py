"""Free ports on the loopback address."""

import socket

HOST = '127.0.0.1'


def free_ports(count: int) -> list[int]:
    """Return ports that nobody listens on right now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((HOST, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()
