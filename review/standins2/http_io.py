"""A small HTTP/1.1 server and client on the loopback interface.

The server reads each request whole and passes it to a handler, which writes
its answer itself and may stop halfway. The client sends one request on a new
connection and returns what came back.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

LOOPBACK = "127.0.0.1"
HEAD_END = b"\r\n\r\n"
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 410: "Gone"}


@dataclass
class Request:
    """A request as it was received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass
class Answer:
    """What a client got; ``status`` is 0 if no head came."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers; None at the end of input."""
    try:
        head = await reader.readuntil(HEAD_END)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[: -len(HEAD_END)].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a chunked body without trailers."""
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


class Connection:
    """A connection to the server; ``left`` is set once the peer closes."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader, self.writer = reader, writer
        self.left = asyncio.Event()

    async def answer(
        self, status: int, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> None:
        """Write a whole answer with its length."""
        fields = {"Content-Length": str(len(body)), **(headers or {})}
        await self.write(head(status, fields) + body)

    async def write(self, data: bytes) -> None:
        """Write bytes of an answer; a peer that has left is ignored."""
        self.writer.write(data)
        with contextlib.suppress(ConnectionError):
            await self.writer.drain()

    async def watch_end(self) -> None:
        """Set ``left`` when the peer closes while a request is handled."""
        # Nothing is pipelined, so any byte would be an error of the peer.
        with contextlib.suppress(ConnectionError):
            await self.reader.read(1)
        self.left.set()

    def abort(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


def head(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


Handler = Callable[[Request, Connection], Awaitable[None]]


class Server:
    """Listens on a free port; one task for each connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """Return the address as ``IP:PORT``."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self) -> None:
        """Listen, on the same port as before if there was one."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        result = await read_head(reader)
        if result is None:
            return False
        first, headers = result
        method, target, _ = first.split(" ", 2)
        body = b""
        if "chunked" in headers.get("transfer-encoding", ""):
            body = await read_chunks(reader)
        elif length := int(headers.get("content-length", "0")):
            body = await reader.readexactly(length)
        connection = Connection(reader, writer)
        watch = asyncio.ensure_future(connection.watch_end())
        try:
            await self._handler(Request(method, target, headers, body), connection)
        finally:
            watch.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watch
        return not (connection.left.is_set() or writer.transport.is_closing())


async def fetch(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    leave_after_s: float | None = None,
) -> Answer:
    """Send a request on a new connection and return the answer to it.

    The connection is closed after ``leave_after_s`` without a whole answer.
    """
    ip, port = address.rsplit(":", 1)
    answer = Answer()
    try:
        reader, writer = await asyncio.open_connection(ip, int(port))
    except OSError:
        return answer
    fields = dict(headers)
    if body or method not in ("GET", "DELETE"):
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        async with asyncio.timeout(leave_after_s):
            await _read_answer(reader, answer)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        pass
    finally:
        writer.transport.abort() if not answer.complete else writer.close()
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    result = await read_head(reader)
    if result is None:
        return
    first, answer.headers = result
    answer.status = int(first.split(" ")[1])
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).split(b";")[0], 16):
            answer.body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
    answer.complete = True
