"""One HTTP/1.1 connection to an engine or backend server.

A connection carries one exchange at a time. It is reused only if the whole
request was sent and the whole response read. Data that arrives on an idle
connection belongs to no request and closes it. ``SendFailedError`` means that
no byte of the request was sent, ``ConnectionBrokenError`` that the peer may
have received it.

A server may write an answer again later. The request id tells the copy from
the next answer unless the same request is sent again, so a connection carries
no request id twice.
"""

import asyncio
import socket
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import cast

import h11

from kumquat_core.settings import Address

from .answer_check import is_joined_head
from .caller_request import Header
from .response_framing import BodyCheck, idle_limit_s, is_copied_answer, is_framed

__all__ = [
    "ConnectionBrokenError",
    "EngineConnection",
    "ResponseHead",
    "SendFailedError",
]

# Reading pauses while this much of the body is queued, so that slow callers do
# not make the host buffer whole responses: the smallest hosts have 128 MB for
# some hundred streams.
PAUSE_READING_BYTES = 64 * 1024

# A host that has lost power sends no TCP reset. Keep-alive probes detect that
# on idle connections, the user timeout on those with unacknowledged data.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000

# Limit on an incomplete response head or the framing of an incomplete chunk.
MAX_HEAD_BYTES = 64 * 1024
# Bounds the memory for the ids of a connection's requests to 8 KB.
MAX_EXCHANGES = 1000
# Servers send one or two informational (1xx) responses at most.
MAX_INFORMATIONAL_RESPONSES = 16


class SendFailedError(Exception):
    """The request was not sent: no byte of it has left this host."""


class ConnectionBrokenError(Exception):
    """The exchange failed after the request may have been sent.

    ``closed_by_peer`` is set if the peer closed or reset the connection.
    """

    def __init__(self, reason: str, *, closed_by_peer: bool = False) -> None:
        super().__init__(reason)
        self.closed_by_peer = closed_by_peer


@dataclass(frozen=True)
class ResponseHead:
    """Status line and headers of a response, with header names as received."""

    status: int
    reason: bytes
    headers: tuple[Header, ...]

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` is in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class _Protocol(asyncio.Protocol):
    """Parses received data and queues the parsed events.

    ``busy`` is set during an exchange, ``failure`` once the connection failed.
    """

    def __init__(self) -> None:
        self.parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.transport: asyncio.Transport | None = None
        self.events: deque[h11.Event] = deque()
        self.failure: str = ""
        self.busy = False
        self.closed = False
        self.closed_by_peer = False
        self.answered_idle = False
        self._informational_count = 0
        self._queued_bytes = 0
        self._paused = False
        self._waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not subclasses of asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)

    def begin_exchange(self) -> None:
        self.busy = True
        self._informational_count = 0

    def data_received(self, data: bytes) -> None:
        if not self.busy:
            self.answered_idle = is_copied_answer(data)
            self.fail("bytes without a request")
            return
        self._feed(data)

    def eof_received(self) -> bool:
        self.closed_by_peer = True
        if self.busy:
            self._feed(b"")
        self.closed = True
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self.closed_by_peer |= isinstance(error, ConnectionError)
        if self.busy and (error is not None or not self._response_ended()):
            cause = type(error).__name__ if error is not None else "closed"
            self.failure = self.failure or cause
        self._wake()

    def fail(self, reason: str) -> None:
        """Abort the connection; only the first reason is kept."""
        self.failure = self.failure or reason
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
        self._wake()

    def _response_ended(self) -> bool:
        """Tell whether the response was received to its end."""
        return self.parser.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    def _feed(self, data: bytes) -> None:
        try:
            self.parser.receive_data(data)
            while True:
                event = self.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                assert isinstance(event, h11.Event)
                if isinstance(event, h11.InformationalResponse):
                    self._informational_count += 1
                    if self._informational_count > MAX_INFORMATIONAL_RESPONSES:
                        self.fail("too many interim answers")
                        return
                    if is_joined_head(event.reason, event.headers.raw_items()):
                        # The final answer is part of this head.
                        self.fail("joined interim answer")
                        return
                    continue
                self.events.append(event)
                if isinstance(event, h11.Data):
                    self._add_queued(len(event.data))
                if isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                    break
        except h11.RemoteProtocolError as error:
            self.fail(f"malformed answer: {error}")
        self._wake()

    def broken(self, reason: str) -> ConnectionBrokenError:
        """Return the error of an exchange that cannot be completed."""
        return ConnectionBrokenError(reason, closed_by_peer=self.closed_by_peer)

    def _add_queued(self, size: int) -> None:
        """Count queued body bytes; pause reading above the limit."""
        self._queued_bytes += size
        if self._queued_bytes > PAUSE_READING_BYTES and not self._paused:
            self._paused = True
            assert self.transport is not None
            self.transport.pause_reading()

    def body_consumed(self, size: int) -> None:
        """Discount consumed body bytes; resume reading at half the limit."""
        self._queued_bytes -= size
        if self._paused and self._queued_bytes < PAUSE_READING_BYTES // 2:
            self._paused = False
            if self.transport is not None and not self.closed:
                self.transport.resume_reading()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def next_event(self) -> h11.Event:
        """Return the next parsed event.

        Raises ``ConnectionBrokenError`` if the connection ends before it.
        """
        while not self.events:
            if self.failure or self.closed:
                raise self.broken(self.failure or "closed")
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self.events.popleft()


class EngineConnection:
    """A connection to one address.

    ``exchanges`` counts its requests, ``returns_ids`` tells if an answer had
    the id of one. ``idle_limit_s`` is the announced idle timeout, if any.
    """

    def __init__(self, address: Address, protocol: _Protocol) -> None:
        self.address = address
        self.idle_since_s = 0.0
        self.idle_limit_s: float | None = None
        self.exchanges = 0
        self.returns_ids = False
        self._protocol = protocol
        self._body_complete = False
        self._may_be_reused = True
        self._sent_ids = bytearray()
        self._body_check: BodyCheck | None = None

    @classmethod
    async def open(cls, address: Address, timeout_s: float) -> "EngineConnection":
        """Open a connection; raises ``SendFailedError`` on failure."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                transport, protocol = await loop.create_connection(
                    _Protocol, address.ip, address.port
                )
        except TimeoutError as error:
            raise SendFailedError("connect timeout") from error
        except OSError as error:
            raise SendFailedError(type(error).__name__) from error
        _enable_keepalive(transport)
        return cls(address, protocol)

    @property
    def usable(self) -> bool:
        """Tell whether the connection is open and idle."""
        protocol = self._protocol
        return not (protocol.closed or protocol.failure or protocol.busy)

    @property
    def closed_by_peer(self) -> bool:
        """Tell whether the peer has closed or reset the connection."""
        return self._protocol.closed_by_peer

    @property
    def answered_idle(self) -> bool:
        """Tell whether the server wrote an answer while it was idle."""
        return self._protocol.answered_idle

    def has_carried(self, request_id: str) -> bool:
        """Tell whether this id was used here; may also hold for others."""
        return _digest(request_id) in self._sent_ids

    def record_id(self, request_id: str) -> None:
        """Record an id that a copy of this exchange bears; empty for none."""
        self._sent_ids += _digest(request_id) if request_id else b""

    def send(
        self,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        request_id: str = "",
    ) -> None:
        """Send a request; ``request_id`` is empty if it bears none.

        Raises ``SendFailedError`` if the connection is unusable or the request
        is not valid HTTP.
        """
        protocol = self._protocol
        if not self.usable or protocol.transport is None:
            raise SendFailedError("connection is closed")
        framed_headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        if not body and method in ("GET", "HEAD", "DELETE", "OPTIONS"):
            framed_headers = headers
        try:
            request = h11.Request(method=method, target=target, headers=framed_headers)
            data = protocol.parser.send(request) or b""
            if body:
                data += protocol.parser.send(h11.Data(data=body)) or b""
            data += protocol.parser.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            raise SendFailedError(f"invalid request: {error}") from error
        protocol.begin_exchange()
        self._body_complete = False
        self.exchanges += 1
        self.record_id(request_id)
        protocol.transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Return the response head; informational responses are skipped."""
        event = await self._protocol.next_event()
        if not isinstance(event, h11.Response):
            raise self._protocol.broken(f"unexpected {type(event).__name__}")
        headers = tuple(event.headers.raw_items())
        self.idle_limit_s = idle_limit_s(headers, self.idle_limit_s)
        self._body_check = None if is_framed(headers) else BodyCheck()
        return ResponseHead(event.status_code, event.reason, headers)

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the response body as they arrive.

        Raises ``ConnectionBrokenError`` if the body is incomplete.
        """
        while True:
            event = await self._protocol.next_event()
            if isinstance(event, h11.Data):
                self._protocol.body_consumed(len(event.data))
                if self._body_check and self._body_check.has_other_head(event.data):
                    raise self._protocol.broken("another answer in the body")
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._body_complete = True
                return
            else:
                raise self._protocol.broken(f"unexpected {type(event).__name__}")

    def end_reuse(self) -> None:
        """Close the connection at the end of the exchange."""
        self._may_be_reused = False

    def finish(self) -> bool:
        """End the exchange; return whether the connection can be reused.

        Aborts the connection if it cannot.
        """
        protocol = self._protocol
        parser = protocol.parser
        if self.exchanges == 0:
            return self.usable
        reusable = (
            self._body_complete
            and self._may_be_reused
            and self.exchanges < MAX_EXCHANGES
            and self._is_sent()
            and not protocol.closed
            and not protocol.failure
            and not protocol.events
            and parser.our_state is h11.DONE
            and parser.their_state is h11.DONE
            and not parser.trailing_data[0]
        )
        if not reusable:
            self.abort()
            return False
        parser.start_next_cycle()
        protocol.busy = False
        return True

    def _is_sent(self) -> bool:
        """Tell whether all bytes of the request have left this process."""
        transport = self._protocol.transport
        return transport is not None and transport.get_write_buffer_size() == 0

    def abort(self) -> None:
        """Close the connection at once, which also cancels the peer's work."""
        if self._protocol.transport is not None:
            self._protocol.transport.abort()
        self._protocol.closed = True


def _digest(request_id: str) -> bytes:
    """Return eight bytes that are equal for equal ids."""
    return hash(request_id).to_bytes(8, "big", signed=True)


def _enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Set socket options that detect a peer which failed without a reset."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_NODELAY, 1),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
