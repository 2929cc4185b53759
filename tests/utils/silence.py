"""Sockets that fall silent: nothing that arrives is acknowledged."""

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26
DROP_ALL = struct.pack('HBBI', 6, 0, 0, 0)  # returns a length of 0


def drop_packets(sock: socket.socket) -> None:
    """Let a socket drop what arrives by a filter, which takes no privilege."""
    program = ctypes.create_string_buffer(DROP_ALL, len(DROP_ALL))
    pointer = struct.pack('HL', 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, pointer)
