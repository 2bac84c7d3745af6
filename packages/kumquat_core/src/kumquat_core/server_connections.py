"""Connections of an aiohttp server, closed so that no answer is lost.

aiohttp closes a connection at once when its last answer is written to the
transport. Bytes that the client sent meanwhile and that nobody reads then
reset the connection, which destroys an answer that is still on its way. At a
stop aiohttp also drops what it reads from busy connections, and does not wait
until answers have left the buffers of the transports.

Here, a connection is half-closed first and closed when the client has closed
it too (a lingering close). At a stop, idle connections are closed unread,
requests that were read get their answer, and the stop ends when all answers
were sent.
"""

import asyncio
import fcntl
import logging
import struct
import termios
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from aiohttp import web

from .log_events import log_event
from .partial_heads import ends_within_head

__all__ = ["ClosedConnections", "ServerConnections"]

# A client that has read the answer closes its side within a round trip.
LINGER_S = 2.0
# For a client that reads slowly. One that reads nothing must not keep its
# connection open for ever.
MAX_LINGER_S = 60.0
CLOSE_POLL_S = 0.02

# The request of a connection that was accepted just before the stop is on its
# way: it gets a refusal.
NEW_CONNECTION_S = 0.2

# A client may send empty lines after a body; they begin no request.
BETWEEN_REQUESTS = b"\r\n"
C_INT = struct.Struct("i")

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class ClosedConnections:
    """Result of closing all connections of a server.

    ``cut`` connections were closed before their last answer was sent.
    """

    refused_heads: int
    cut: int


class _LingeringTransport(asyncio.Transport):
    """Passes all calls to a transport, except for a lingering ``close``."""

    __slots__ = ("_is_lingering", "_on_close", "_transport")

    def __init__(
        self, transport: asyncio.Transport, on_close: Callable[[], None]
    ) -> None:
        super().__init__()
        self._transport = transport
        self._on_close = on_close
        self._is_lingering = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self._transport.write(data)

    def writelines(self, list_of_data: Any) -> None:
        self._transport.writelines(list_of_data)

    def write_eof(self) -> None:
        self._transport.write_eof()

    def can_write_eof(self) -> bool:
        return self._transport.can_write_eof()

    def close(self) -> None:
        if self.is_closing():
            return
        self._is_lingering = True
        self._on_close()

    def abort(self) -> None:
        self._transport.abort()

    def is_closing(self) -> bool:
        return self._is_lingering or self._transport.is_closing()

    def is_reading(self) -> bool:
        return self._transport.is_reading()

    def pause_reading(self) -> None:
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        self._transport.resume_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._transport.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        return self._transport.get_write_buffer_size()

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self._transport.get_write_buffer_limits()

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        self._transport.set_write_buffer_limits(high, low)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self._transport.set_protocol(protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self._transport.get_protocol()


class _Connection(asyncio.Protocol):
    """Passes events to aiohttp's protocol and knows what is unanswered."""

    __slots__ = (
        "_has_partial_head",
        "_is_lingering",
        "_linger_end_s",
        "_linger_timer",
        "_on_lost",
        "handler",
        "last_request",
        "transport",
    )
    transport: asyncio.Transport

    def __init__(
        self, handler: web.RequestHandler, on_lost: Callable[["_Connection"], None]
    ) -> None:
        self.handler = handler
        self.last_request = ""
        self._on_lost = on_lost
        self._is_lingering = False
        self._has_partial_head = False
        self._linger_timer: asyncio.TimerHandle | None = None
        self._linger_end_s = 0.0

    # aiohttp has no public view of the requests that a connection has read.

    @property
    def is_idle(self) -> bool:
        """Return whether the connection waits for the next request."""
        waiter = self.handler._waiter
        return waiter is not None and not waiter.done()

    @property
    def is_unused(self) -> bool:
        """Return whether nothing was read from the connection."""
        return self.handler._request_count == 0 and not self._has_partial_head

    @property
    def has_next_request(self) -> bool:
        """Return whether more than the current request was read."""
        return bool(self.handler._messages) or self._has_partial_head

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Transports of uvloop are no subclass of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.handler.connection_made(_LingeringTransport(self.transport, self._linger))

    def connection_lost(self, exc: BaseException | None) -> None:
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self.handler.connection_lost(exc)
        self._on_lost(self)

    def data_received(self, data: bytes) -> None:
        if self._is_lingering:
            return
        handler = self.handler
        count, request = handler._request_count, handler._current_request
        expects_body = request is not None and not request.content.is_eof()
        handler.data_received(data)
        if handler._request_count != count:
            self._has_partial_head = False
        elif not expects_body and data.strip(BETWEEN_REQUESTS):
            self._has_partial_head |= count == 0 or request is not None or self.is_idle

    def eof_received(self) -> None:
        self.handler.eof_received()

    def pause_writing(self) -> None:
        self.handler.pause_writing()

    def resume_writing(self) -> None:
        self.handler.resume_writing()

    def close_if_idle(self, refusal: bytes) -> bool:
        """Close an idle connection; return whether a refusal was sent.

        What it has not read stays unread. Half a head that it has read is
        answered with the refusal.
        """
        if not self.is_idle or self.handler.transport is None:
            return False
        if self.transport.is_closing():
            return False
        if self._has_partial_head or ends_within_head(self.handler):
            self.transport.write(refusal)
            self.handler.force_close()
            return True
        self.transport.pause_reading()
        # Bytes that arrive at a closed connection reset it, which destroys an
        # answer that the client's kernel has not acknowledged.
        if not _unsent_bytes(self.transport):
            self.transport.close()
        return False

    def abort(self) -> bool:
        """Close at once; return whether an answer was not sent completely."""
        unsent_bytes = _unsent_bytes(self.transport)
        cut = unsent_bytes > 0 or self.handler._current_request is not None
        if cut:
            log_event(
                logger,
                "answer_cut",
                level=logging.WARNING,
                request=self.last_request,
                unsent_bytes=unsent_bytes,
            )
        self.transport.abort()
        return cut

    def _linger(self) -> None:
        """Half-close, and close when the client has closed or after a time."""
        if self.transport.is_closing():
            return
        self._is_lingering = True
        self.transport.write_eof()
        if not self.transport.is_reading():
            self.transport.resume_reading()
        self._linger_end_s = asyncio.get_running_loop().time() + MAX_LINGER_S
        self._restart_linger_timer()

    def _restart_linger_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._linger_timer = loop.call_later(LINGER_S, self._end_linger)

    def _end_linger(self) -> None:
        """Close, unless the client has not received the whole answer."""
        is_over = asyncio.get_running_loop().time() >= self._linger_end_s
        if not is_over and _unsent_bytes(self.transport):
            self._restart_linger_timer()
        else:
            self.transport.close()


def _unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the client's kernel has not acknowledged."""
    buffered: int = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(C_INT.size))
    except (OSError, ValueError):
        return buffered
    return buffered + int(C_INT.unpack(queued)[0])


class ServerConnections:
    """Creates the connections of a server and closes them at its stop.

    ``refusal`` is the complete response to a client that has sent only a
    part of the head of its request when the server stops.
    """

    def __init__(
        self, create_handler: Callable[[], web.RequestHandler], refusal: bytes
    ) -> None:
        self._create_handler = create_handler
        self._refusal = refusal
        self._connections_by_handler: dict[web.RequestHandler, _Connection] = {}
        self.closing = False

    def __len__(self) -> int:
        return len(self._connections_by_handler)

    def create(self) -> asyncio.Protocol:
        """Return the protocol of a new connection."""
        connection = _Connection(self._create_handler(), self._remove)
        self._connections_by_handler[connection.handler] = connection
        return connection

    def record_answer(self, request: web.BaseRequest, request_id: str) -> bool:
        """Record the request that a connection answers now.

        Return whether the connection has read more than this request. Then
        it must stay open, since a client need not repeat a request that was
        read.
        """
        connection = self._connections_by_handler.get(request.protocol)
        if connection is None:
            return False
        connection.last_request = request_id
        return connection.has_next_request

    async def close(self, limit_s: float) -> ClosedConnections:
        """Close all connections; return when all answers were sent.

        The server must have closed its listener, and must answer each
        request so that its connection closes. Connections that are still
        open after ``limit_s`` are cut.
        """
        self.closing = True
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        end_s = began_s + limit_s
        refused = 0
        # aiohttp begins to wait for requests of a connection that was just
        # accepted in the next step of the loop.
        await asyncio.sleep(0)
        while self._connections_by_handler and loop.time() < end_s:
            is_early = loop.time() < began_s + NEW_CONNECTION_S
            for connection in list(self._connections_by_handler.values()):
                if not (is_early and connection.is_unused):
                    refused += connection.close_if_idle(self._refusal)
            await asyncio.sleep(CLOSE_POLL_S)
        left = list(self._connections_by_handler.values())
        return ClosedConnections(refused, sum(item.abort() for item in left))

    def _remove(self, connection: _Connection) -> None:
        self._connections_by_handler.pop(connection.handler, None)
