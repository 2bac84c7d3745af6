"""Connections that are closed once no request has arrived for long enough.

Load pattern: several hundred connections are kept by callers, which use them
for up to four fifths of the idle limit that they know. The limit may change at
any time; the web server would apply the one of the time at which a connection
was opened, and would close a connection on which part of a head has arrived.
"""

import asyncio
import fcntl
import struct
import termios
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from .limit_history import LimitHistory

__all__ = ["IdleConnection"]

# Callers reuse connections that were idle for up to 80 % of the idle limit.
# Closing them later than the limit loses no request.
IDLE_MARGIN_S = 2.0
# How long the event loop needs at most to read what has arrived.
READ_S = 0.02
INT_BYTES = 4
# Empty lines between requests begin no head.
LINE_END = b"\r\n"


class IdleConnection(RequestHandler):
    """A connection whose idle limit follows the configuration.

    An idle connection is closed after the longest limit that was in force
    while it was idle, and not before a head that has begun had its time.
    """

    __slots__ = ("_head_began_s", "_limits")

    def __init__(
        self, manager: web.Server, limits: LimitHistory, **options: Any
    ) -> None:
        idle_s = limits.current.idle_timeout_ms / 1000 + IDLE_MARGIN_S
        super().__init__(manager, keepalive_timeout=idle_s, **options)
        self._limits = limits
        self._head_began_s: float | None = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and record when a head begins."""
        count = self._request_count
        super().data_received(data)
        if self._request_count != count:
            self._head_began_s = None
        elif (
            self._head_began_s is None and self._awaits_request and data.strip(LINE_END)
        ):
            self._head_began_s = self._loop.time()

    def close_idle(self) -> None:
        """Close the connection, on which no request has arrived."""
        self.force_close()

    @property
    def _awaits_request(self) -> bool:
        """Tell whether all requests were answered and none has arrived."""
        return self._waiter is not None and not self._waiter.done()

    def _process_keepalive(self) -> None:
        """Close the connection if it has been idle for long enough.

        The web server calls this when the limit of the time at which the
        connection was opened has passed, and again after a later request.
        """
        self._keepalive_handle = None
        if self._force_close or not self._keepalive or not self._awaits_request:
            return
        now_s = self._loop.time()
        due_s = self._due_s(now_s)
        if now_s >= due_s and _has_unread_bytes(self.transport):
            # The loop may run timers before it reads a request.
            due_s = now_s + READ_S
        if now_s < due_s:
            self._keepalive_handle = self._loop.call_at(due_s, self._process_keepalive)
        else:
            self.close_idle()

    def _due_s(self, now_s: float) -> float:
        """Return when to close the connection if nothing arrives before."""
        idle_since_s = self._next_keepalive_close_time - self._keepalive_timeout
        limits = self._limits.widest_over_last(now_s - idle_since_s)
        due_s = idle_since_s + limits.idle_timeout_ms / 1000
        if self._head_began_s is not None:
            limits = self._limits.widest_over_last(now_s - self._head_began_s)
            head_due_s = self._head_began_s + limits.header_timeout_ms / 1000
            due_s = max(due_s, head_due_s)
        return due_s + IDLE_MARGIN_S


def _has_unread_bytes(transport: asyncio.Transport | None) -> bool:
    """Tell whether bytes have arrived that the event loop has not read."""
    if transport is None:
        return False
    try:
        sock = transport.get_extra_info("socket")
        unread = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(INT_BYTES))
    except (OSError, ValueError):
        # The socket is closed.
        return False
    return bool(struct.unpack("i", unread)[0])
