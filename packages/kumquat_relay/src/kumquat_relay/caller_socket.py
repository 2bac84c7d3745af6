"""What the kernel knows of the connection of a caller.

Load pattern: asked every few milliseconds for each connection that is being
closed, some hundred when a host stops.
"""

import asyncio
import fcntl
import socket
import struct
import termios

__all__ = ["is_closed", "unsent_bytes"]

# The state of a TCP connection that both sides have closed, see tcp(7).
TCP_STATE_CLOSED = 7
INT_BYTES = 4


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the caller's host has not acknowledged yet."""
    buffered: int = transport.get_write_buffer_size()
    try:
        sock = transport.get_extra_info("socket")
        in_kernel = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(INT_BYTES))
    except (OSError, ValueError):
        # The socket is closed; the kernel sends what it has.
        return buffered
    return buffered + int(struct.unpack("i", in_kernel)[0])


def is_closed(transport: asyncio.Transport) -> bool:
    """Tell whether both sides have closed the connection, or it was reset."""
    try:
        sock = transport.get_extra_info("socket")
        state: bytes = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except (OSError, ValueError):
        return True
    return state[0] == TCP_STATE_CLOSED
