"""One HTTP/1.1 connection to an engine or backend server.

A connection carries one exchange at a time. It is reused only if the server's
machine has received the whole request and the whole response was read. Data
that arrives on an idle connection belongs to no request and closes it.
``SendFailedError`` means that no byte of the request was sent,
``ConnectionBrokenError`` that the peer may have received it.

A server may write an answer again later. The request id tells the copy from
the next answer unless the same request is sent again, so a connection carries
no request id twice.
"""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import h11

from kumquat_core.intake.first_buffer import socket_with_first_buffer
from kumquat_core.request_delivery import is_delivered
from kumquat_core.settings import Address

from .body_limit import BodyLimit
from .caller_request import Header
from .receive_budget import ReceiveBudget
from .response_framing import BodyCheck, idle_limit_s, is_framed
from .response_protocol import (
    ConnectionBrokenError,
    EndlessResponseError,
    ResponseProtocol,
)

__all__ = [
    "ConnectionBrokenError",
    "EndlessResponseError",
    "EngineConnection",
    "ResponseHead",
    "SendFailedError",
]

# A host that has lost power sends no TCP reset. Keep-alive probes detect that
# on idle connections, the user timeout on those with unacknowledged data.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000

# Bounds the memory for the ids of a connection's requests to 8 KB.
MAX_EXCHANGES = 1000


class SendFailedError(Exception):
    """The request was not sent: no byte of it has left this host."""


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

    @property
    def content_length(self) -> int | None:
        """Return the declared length of the body in bytes, if any."""
        value = self.get(b"content-length")
        return int(value) if value is not None and value.isdigit() else None


class EngineConnection:
    """A connection to one address.

    ``exchanges`` counts its requests, ``returns_ids`` tells if an answer had
    the id of one. ``idle_limit_s`` is the announced idle timeout, if any.
    """

    def __init__(self, address: Address, protocol: ResponseProtocol) -> None:
        self.address = address
        self.idle_since_s = 0.0
        self.idle_limit_s: float | None = None
        self.exchanges = 0
        self.returns_ids = False
        self._protocol = protocol
        self._may_be_reused = True
        self._sent_ids = bytearray()
        self._body_check: BodyCheck | None = None

    @classmethod
    async def open(
        cls, address: Address, timeout_s: float, budget: ReceiveBudget | None = None
    ) -> "EngineConnection":
        """Open a connection; raises ``SendFailedError`` on failure.

        ``budget`` is shared with the other connections of the host.
        """
        loop = asyncio.get_running_loop()
        shared_budget = budget or ReceiveBudget()
        try:
            async with asyncio.timeout(timeout_s):
                sock = await _connect(address)
                transport, protocol = await loop.create_connection(
                    lambda: ResponseProtocol(shared_budget), sock=sock
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

    @property
    def body_parts(self) -> int:
        """Return how many parts of the current body were read."""
        return self._protocol.body_parts

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
        on_endless: Callable[[str], None] | None = None,
    ) -> None:
        """Send a request; ``request_id`` is empty if it bears none.

        ``on_endless`` is called with the reason if the response has no end.
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
            data = [protocol.parser.send(request) or b""]
            if body:
                # Without a copy, since bodies may have some megabytes.
                event = h11.Data(data=body)
                data += protocol.parser.send_with_data_passthrough(event) or []
            data.append(protocol.parser.send(h11.EndOfMessage()) or b"")
        except h11.LocalProtocolError as error:
            raise SendFailedError(f"invalid request: {error}") from error
        protocol.begin_exchange()
        protocol.on_endless = on_endless
        self.exchanges += 1
        self.record_id(request_id)
        protocol.transport.writelines(data)

    async def read_head(self) -> ResponseHead:
        """Return the response head; informational responses are skipped."""
        event = await self._protocol.next_head()
        headers = tuple(event.headers.raw_items())
        self.idle_limit_s = idle_limit_s(headers, self.idle_limit_s)
        self._body_check = None if is_framed(headers) else BodyCheck()
        return ResponseHead(event.status_code, event.reason, headers)

    async def read_body(self, limit: BodyLimit | None = None) -> AsyncIterator[bytes]:
        """Yield the parts of the response body as they arrive.

        Raises ``ConnectionBrokenError`` if the body is incomplete, and
        ``EndlessResponseError`` if it is over ``limit``.
        """
        protocol, check = self._protocol, self._body_check
        while part := await protocol.next_part():
            if limit is not None:
                excess = limit.excess(protocol.body_bytes, protocol.body_parts)
                if excess:
                    raise self.endless(excess)
            if check is not None and check.has_other_head(part):
                raise protocol.broken("another answer in the body")
            yield part

    @property
    def is_held(self) -> bool:
        """Tell whether the host reads nothing, for want of memory."""
        return self._protocol.is_held

    def hold(self) -> None:
        """Read nothing more from the connection until ``end_hold``."""
        self._protocol.hold()

    def end_hold(self) -> None:
        """Read from the connection again."""
        self._protocol.end_hold()

    def endless(self, reason: str) -> EndlessResponseError:
        """Return the error of a response without end; report it once."""
        protocol = self._protocol
        seen = f"{protocol.body_bytes} bytes in {protocol.body_parts} parts"
        return protocol.endless(f"{reason}: {seen}")

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
            protocol.body_complete
            and self._may_be_reused
            and self.exchanges < MAX_EXCHANGES
            and self._is_sent()
            and not protocol.closed
            and not protocol.failure
            and parser.our_state is h11.DONE
            and parser.their_state is h11.DONE
            and not protocol.has_unparsed
        )
        if not reusable:
            self.abort()
            return False
        protocol.end_exchange()
        return True

    def _is_sent(self) -> bool:
        """Tell whether the server's machine has the whole request."""
        transport = self._protocol.transport
        return transport is not None and is_delivered(transport)

    def abort(self) -> None:
        """Close the connection at once, which also cancels the peer's work."""
        self._protocol.abort()


def _digest(request_id: str) -> bytes:
    """Return eight bytes that are equal for equal ids."""
    return hash(request_id).to_bytes(8, "big", signed=True)


async def _connect(address: Address) -> socket.socket:
    """Return a connected socket with a small first receive buffer."""
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    target = (address.ip, address.port)
    sock = socket_with_first_buffer((family, socket.SOCK_STREAM, 0, "", target))
    try:
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, target)
    except BaseException:
        sock.close()
        raise
    return sock


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
