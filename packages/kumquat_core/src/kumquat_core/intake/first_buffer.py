"""Lets the kernel receive little of a response before it is read.

Load pattern: most responses have some kilobytes and fit into the first buffer.
Many of several megabytes may begin at once and wait until they are read. The
kernel enlarges the buffer of one that is read.
"""

import logging
import socket

from aiohttp import AddrInfoType

from ..log_events import log_event
from .receive_buffers import SO_BUF_LOCK, TUNED_BY_KERNEL

__all__ = ["socket_with_first_buffer"]

# Doubled by the kernel, which uses a half for its own structures.
FIRST_BYTES = 16 * 1024

logger = logging.getLogger(__name__)


def socket_with_first_buffer(address: AddrInfoType) -> socket.socket:
    """Return a socket for a connection to ``address``.

    The size is set before the connection is opened: a sender takes a window
    that shrinks for one that is too small to use.
    """
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    try:
        # First, to keep the size of a kernel that could not enlarge it.
        sock.setsockopt(socket.SOL_SOCKET, SO_BUF_LOCK, TUNED_BY_KERNEL)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, FIRST_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, SO_BUF_LOCK, TUNED_BY_KERNEL)
    except OSError as error:
        log_event(logger, "first_buffer_kept", level=logging.DEBUG, error=repr(error))
    return sock
