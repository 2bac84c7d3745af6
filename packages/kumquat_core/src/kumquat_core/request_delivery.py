"""Tells whether a request has reached its server, and how a connection ended.

Load pattern: a server answers long uploads before it has read them, with a
response that ends with its connection. Such an end looks the same whether the
response is whole or the server has given up in the middle of both, and the end
of a connection that was reset behind it is read without an error.

A server that has read a whole request has acknowledged it before it answers,
so a response is taken for whole by its end only if nothing is unacknowledged.
"""

import asyncio
import fcntl
import socket
import struct
import termios

__all__ = ["is_delivered", "is_reset"]

# The state of a connection that was reset, in the first byte of TCP_INFO.
TCP_CLOSE = 7
INT_BYTES = 4


def is_delivered(transport: asyncio.WriteTransport) -> bool:
    """Tell whether the peer's machine has acknowledged all that was written.

    True if the operating system does not tell and nothing waits here.
    """
    if transport.get_write_buffer_size() > 0:
        return False
    sock = transport.get_extra_info("socket")
    try:
        unacknowledged = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(INT_BYTES))
    except (AttributeError, OSError, ValueError):
        # The socket is closed, or it is none of TCP.
        return True
    return not struct.unpack("i", unacknowledged)[0]


def is_reset(transport: asyncio.BaseTransport) -> bool:
    """Tell whether the peer has reset the connection.

    An end that was received before the reset hides it from reads.
    """
    sock = transport.get_extra_info("socket")
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except (AttributeError, OSError, ValueError):
        return False
    return bool(info[0] == TCP_CLOSE)
