"""Sets the receive buffers that the kernel keeps for connections of callers.

Load pattern: one call for each new connection, and some for each body above
the share of a connection. Without these limits the kernel enlarges the buffer
of a connection by itself, to several megabytes for a fast sender.
"""

import asyncio
import logging
import math
import socket
from collections.abc import Callable
from typing import Protocol

from ..log_events import log_event
from .intake_limits import IntakeLimits
from .receive_share import (
    FixedBuffer,
    ReceiveBuffer,
    ReceiveShare,
    TunedBuffer,
    listener_buffer,
)

__all__ = ["ReceiveBuffers", "TunableSocket"]

# See socket(7); Python has no name for it. Without the lock the kernel goes on
# to enlarge a buffer whose size was set.
SO_BUF_LOCK = 72
TUNED_BY_KERNEL = 0
# A buffer is reduced once the rest of its body is below this part of it,
# so that little is received of what follows.
KEPT_SHARE = 0.75
# The kernel doubles the size that is set.
KERNEL_FACTOR = 2

logger = logging.getLogger(__name__)


class TunableSocket(Protocol):
    """A socket, or what an event loop shows of one."""

    def setsockopt(self, level: int, name: int, value: int, /) -> None:
        """Set an option."""

    def getsockopt(self, level: int, name: int, /) -> int:
        """Return the value of an option."""


class ReceiveBuffers:
    """The receive buffers of all connections of callers to a host.

    A machine that does not offer the options is used without these limits.
    """

    def __init__(self, limits: IntakeLimits) -> None:
        self._limits = limits
        self._share = ReceiveShare(limits)
        self._sockets_by_connection: dict[object, TunableSocket] = {}
        self._is_closing_by_connection: dict[object, Callable[[], bool]] = {}
        self._body_sizes_by_connection: dict[object, int] = {}
        self._available = True
        self._largest = 0

    def prepare_listeners(self, server: asyncio.AbstractServer, backlog: int) -> None:
        """Set what connections receive before the host accepts them."""
        buffer = listener_buffer(self._limits, backlog)
        for sock in getattr(server, "sockets", ()):
            self._set(sock, buffer)

    def opened(
        self,
        connection: object,
        sock: TunableSocket | None,
        is_closing: Callable[[], bool] = lambda: False,
    ) -> None:
        """Set the buffer of a new connection.

        It stays as it is once ``is_closing`` returns true: another connection
        may have the descriptor then.
        """
        if sock is None:
            return
        self._sockets_by_connection[connection] = sock
        self._is_closing_by_connection[connection] = is_closing
        if self._share.change_open(1):
            self._set_all()
        else:
            self._set(sock, self._share.buffer)

    def closed(self, connection: object) -> None:
        """Forget a connection; others may get larger buffers."""
        if connection not in self._sockets_by_connection:
            return
        del self._sockets_by_connection[connection]
        del self._is_closing_by_connection[connection]
        self._body_sizes_by_connection.pop(connection, None)
        if self._share.change_open(-1):
            self._set_all()

    def expect_body(
        self, connection: object, sock: TunableSocket | None, size: int
    ) -> None:
        """Let a connection receive ``size`` bytes that the budget has granted.

        It is called again as they come, with what is left.
        """
        current = self._body_sizes_by_connection.get(connection, 0)
        if sock is None or self._is_closed(connection):
            return
        if size <= self._share.size:
            if current:
                del self._body_sizes_by_connection[connection]
                self._set(sock, self._share.buffer)
        elif not current * KEPT_SHARE < size <= current:
            self._body_sizes_by_connection[connection] = size
            self._set(sock, self._share.buffer_for_body(size, self._largest or size))

    def _set_all(self) -> None:
        """Give all connections without a large body their new share."""
        for connection, sock in self._sockets_by_connection.items():
            has_body = connection in self._body_sizes_by_connection
            if not (has_body or self._is_closed(connection)):
                self._set(sock, self._share.buffer)

    def _is_closed(self, connection: object) -> bool:
        is_closing = self._is_closing_by_connection.get(connection)
        return is_closing is None or is_closing()

    def _set(self, sock: TunableSocket, buffer: ReceiveBuffer) -> None:
        if not self._available:
            return
        try:
            match buffer:
                case FixedBuffer(size):
                    if self._set_size(sock, size) < size:
                        self._tune(sock)
                case TunedBuffer(size):
                    # First, since a size without it would limit the scale of
                    # all windows of a listener.
                    self._tune(sock)
                    self._set_size(sock, size)
                    self._tune(sock)
        except (OSError, ValueError) as error:
            self._check(sock, error)

    def _set_size(self, sock: TunableSocket, size: int) -> int:
        """Set a size and return that which the kernel has chosen."""
        half = math.ceil(size / KERNEL_FACTOR)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, half)
        if size <= self._share.size:
            return size
        chosen = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        if chosen < size:
            self._largest = chosen
        return chosen

    def _tune(self, sock: TunableSocket) -> None:
        """Let the kernel enlarge a buffer again."""
        sock.setsockopt(socket.SOL_SOCKET, SO_BUF_LOCK, TUNED_BY_KERNEL)

    def _check(self, sock: TunableSocket, error: Exception) -> None:
        """Tell a closed connection from a machine without the options."""
        try:
            sock.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE)
        except (OSError, ValueError):
            return
        self._available = False
        log_event(
            logger,
            "receive_buffers_unlimited",
            level=logging.WARNING,
            error=repr(error),
        )
