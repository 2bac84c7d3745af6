"""A proxy that makes any HTTP/1.1 server write earlier answers again.

Load pattern: a faulty server writes an answer a second time. The copy may be
whole or cut, may lack its request id, and arrives with the answer, on the idle
connection, or where the next answer is expected.

``StutteringProxy`` forwards one exchange at a time per connection and shows
each answer to ``plan``, which returns the copy to write and its time, or None.
"""

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import h11

from kumquat_core.settings import Address

__all__ = [
    "Copy",
    "CopyTime",
    "Exchange",
    "Plan",
    "StutteringProxy",
    "as_chunked",
    "without_id",
]

READ_BYTES = 65536
_ID_LINE = re.compile(rb"\r\nX-Request-Id:[^\r\n]*", re.IGNORECASE)
_LENGTH_LINE = re.compile(rb"\r\nContent-Length:[^\r\n]*", re.IGNORECASE)


class CopyTime(Enum):
    """When a copy is written.

    ``AT_ONCE``: with the end of the answer. ``IDLE``: ``delay_s`` after it,
    before the next request is forwarded.
    ``AFTER_REQUEST``: as soon as the next request has arrived.
    ``BEFORE_NEXT``: in one write with the first bytes of the next answer.
    """

    AT_ONCE = "at_once"
    IDLE = "idle"
    AFTER_REQUEST = "after_request"
    BEFORE_NEXT = "before_next"


@dataclass(frozen=True)
class Copy:
    """Bytes that are written to the caller of the proxy, and when."""

    data: bytes
    time: CopyTime = CopyTime.BEFORE_NEXT
    delay_s: float = 0.0


@dataclass(frozen=True)
class Exchange:
    """A request and the bytes of its complete answer."""

    method: str
    target: str
    request_id: str
    status: int
    answer: bytes


Plan = Callable[[Exchange], Copy | None]


def without_id(answer: bytes) -> bytes:
    """Return an answer without the request id in its head."""
    head, end, body = answer.partition(b"\r\n\r\n")
    return _ID_LINE.sub(b"", head) + end + body


def as_chunked(answer: bytes) -> bytes:
    """Return an answer with a length as one with a single chunk."""
    head, end, body = answer.partition(b"\r\n\r\n")
    head = _LENGTH_LINE.sub(b"", head) + b"\r\nTransfer-Encoding: chunked"
    chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    return head + end + chunk + b"0\r\n\r\n"


class StutteringProxy:
    """Forwards connections to a server and adds copies of its answers.

    ``copies`` counts the copies that were written, ``exchanges_in_progress``
    the exchanges of which an answer or an idle copy is still to be written.
    """

    def __init__(self, server: Address, plan: Plan | None = None) -> None:
        self._server_address = server
        self.plan = plan
        self.copies = 0
        self.connections = 0
        self.exchanges_in_progress = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", port)

    async def stop(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        while self._writers:
            await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            await self._forward(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        server = self._server_address
        try:
            streams = await asyncio.open_connection(server.ip, server.port)
        except OSError:
            writer.transport.abort()
            return
        try:
            await _Connection(self, reader, writer, *streams).run()
        except (ConnectionError, h11.RemoteProtocolError):
            writer.transport.abort()
        finally:
            streams[1].transport.abort()
            writer.close()


class _Connection:
    """One connection of a caller and its connection to the server."""

    def __init__(
        self,
        proxy: StutteringProxy,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        server_reader: asyncio.StreamReader,
        server_writer: asyncio.StreamWriter,
    ) -> None:
        self._proxy = proxy
        self._reader = reader
        self._writer = writer
        self._server_reader = server_reader
        self._server_writer = server_writer
        self._pending: Copy | None = None
        # Bytes of the caller that were read while an answer was forwarded.
        self._read_ahead = b""

    async def run(self) -> None:
        while True:
            parser = h11.Connection(h11.SERVER)
            request, raw = await self._read_request(parser)
            if request is None:
                return
            self._proxy.exchanges_in_progress += 1
            try:
                if not await self._exchange(request, raw):
                    return
            finally:
                self._proxy.exchanges_in_progress -= 1

    async def _exchange(self, request: h11.Request, raw: bytes) -> bool:
        """Forward a request and its answer; return whether to go on."""
        self._write_pending(CopyTime.AFTER_REQUEST)
        self._server_writer.write(raw)
        exchange = await self._forward_answer(request)
        if exchange is None:
            return False
        self._pending = self._proxy.plan(exchange) if self._proxy.plan else None
        self._write_pending(CopyTime.AT_ONCE)
        if self._pending and self._pending.time is CopyTime.IDLE:
            await asyncio.sleep(self._pending.delay_s)
            self._write_pending(CopyTime.IDLE)
        return True

    async def _read_request(
        self, parser: h11.Connection
    ) -> tuple[h11.Request | None, bytes]:
        """Return the next request and its bytes, None at the end."""
        raw, request = b"", None
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                return request, raw
            elif event is h11.NEED_DATA:
                data = self._read_ahead or await self._reader.read(READ_BYTES)
                self._read_ahead = b""
                if not data:
                    return None, raw
                raw += data
                parser.receive_data(data)

    async def _forward_answer(self, request: h11.Request) -> Exchange | None:
        """Forward an answer; return None if the connection can't go on."""
        parser = h11.Connection(h11.CLIENT)
        method = request.method.decode()
        parser.send(h11.Request(method=method, target="/", headers=[("Host", "h")]))
        parser.send(h11.EndOfMessage())
        raw, status = bytearray(), 0
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                break
            elif event is h11.NEED_DATA:
                data = await self._read_answer()
                if not data:
                    return None
                self._write_pending(CopyTime.BEFORE_NEXT)
                # A copy is not written into the next answer.
                self._pending = None
                self._writer.write(data)
                raw += data
                parser.receive_data(data)
        ids = [value for name, value in request.headers if name == b"x-request-id"]
        request_id = ids[0].decode("latin-1") if ids else ""
        return Exchange(
            method, request.target.decode("latin-1"), request_id, status, bytes(raw)
        )

    async def _read_answer(self) -> bytes:
        """Return bytes of the answer, empty once either side has closed."""
        answer = asyncio.ensure_future(self._server_reader.read(READ_BYTES))
        caller = asyncio.ensure_future(self._reader.read(READ_BYTES))
        try:
            await asyncio.wait({answer, caller}, return_when=asyncio.FIRST_COMPLETED)
            if caller.done():
                self._read_ahead += caller.result()
                if not caller.result():
                    return b""
            return await answer
        finally:
            for task in (answer, caller):
                if not task.done():
                    task.cancel()
            await asyncio.gather(answer, caller, return_exceptions=True)

    def _write_pending(self, time: CopyTime) -> None:
        """Write the pending copy if this is its time."""
        if self._pending is None or self._pending.time is not time:
            return
        copy, self._pending = self._pending, None
        if not self._writer.is_closing():
            self._proxy.copies += 1
            self._writer.write(copy.data)
