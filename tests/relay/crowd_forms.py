"""What callers send that no operator controls, each form on its own."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from .relay_harness import HOST

__all__ = ["BODY_BYTES", "FORMS_BY_NAME", "CrowdCaller"]

BODY_BYTES = 4 * 1024 * 1024
HEAD_BYTES = 16384
BLOCK = bytes(64 * 1024)
TRICKLE_S = 0.1
PIPELINED = 32
PIPELINED_BODY = 60_000
PIPELINED_HEADER = 8_000
MANY_HEADERS = 2_300
# About as many as a parser accepts.
SHORT_HEADERS = "".join(f"h{number}:1\r\n" for number in range(110))
# Large enough to keep a receive buffer full.
PART_BYTES = 64 * 1024
CHUNKED = "Transfer-Encoding: chunked"


class CrowdCaller:
    """A connection that sends without keeping copies of what it sends.

    ``names`` are those of its requests, in order, which end their paths.
    """

    def __init__(
        self, sock: socket.socket, name: str, path: str, extra_headers: str
    ) -> None:
        self.sock = sock
        self.names: list[str] = []
        self._name = name
        self._path = path
        self._extra_headers = extra_headers

    async def send(self, data: bytes | memoryview) -> None:
        """Send bytes, as fast as the host reads."""
        await asyncio.get_running_loop().sock_sendall(self.sock, data)
        # A send that does not block would keep the loop from other callers.
        await asyncio.sleep(0)

    def request_head(self, framing: str) -> bytes:
        """Return the head of the next request."""
        name = f"crowd-{self._name}-{len(self.names)}"
        self.names.append(name)
        return (
            f"POST {self._path}{name} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Deadline-Ms: 2500\r\nX-Request-Id: {name}\r\n"
            f"{self._extra_headers}{framing}\r\n\r\n"
        ).encode()

    async def head(self, framing: str) -> None:
        """Send the head of a request."""
        await self.send(self.request_head(framing))

    async def body(self, size: int) -> None:
        """Send bytes of a body."""
        for begin in range(0, size, len(BLOCK)):
            await self.send(memoryview(BLOCK)[: size - begin])


async def declared(caller: CrowdCaller) -> None:
    """Stop a body with a length one byte before its end."""
    await caller.head(f"Content-Length: {BODY_BYTES}")
    await caller.body(BODY_BYTES - 1)


async def whole(caller: CrowdCaller) -> None:
    """Send whole bodies one after another, without reading responses."""
    while True:
        await caller.head(f"Content-Length: {BODY_BYTES}")
        await caller.body(BODY_BYTES)


async def large_chunks(caller: CrowdCaller) -> None:
    """Stop a body in chunks of 16 KiB before its last chunk."""
    await caller.head(CHUNKED)
    chunk = b"4000\r\n" + bytes(0x4000) + b"\r\n"
    for _ in range(BODY_BYTES // 0x4000):
        await caller.send(chunk)


async def one_chunk(caller: CrowdCaller) -> None:
    """Stop a body in a single chunk one byte before its end."""
    await caller.head(CHUNKED)
    await caller.send(b"%x\r\n" % BODY_BYTES)
    await caller.body(BODY_BYTES - 1)


async def tiny_chunks(caller: CrowdCaller) -> None:
    """Stop a body in chunks of four bytes before its last chunk."""
    await caller.head(CHUNKED)
    part = b"4\r\nbody\r\n" * 1024
    for _ in range(BODY_BYTES // 4096):
        await caller.send(part)


async def padded_sizes(caller: CrowdCaller) -> None:
    """Send chunks of a byte whose sizes have zeros and long extensions."""
    await caller.head(CHUNKED)
    part = (b"0" * 15 + b"1;" + b"e" * 4000 + b"\r\nb\r\n") * 16
    while True:
        await caller.send(part)


async def trickle(caller: CrowdCaller) -> None:
    """Send three quarters of a body, and then single bytes."""
    await caller.head(f"Content-Length: {BODY_BYTES}")
    await caller.body(BODY_BYTES * 3 // 4)
    while True:
        await caller.send(b"b")
        await asyncio.sleep(TRICKLE_S)


async def extension(caller: CrowdCaller) -> None:
    """Send one chunk whose extension does not end."""
    await caller.head(CHUNKED)
    await caller.send(b"4;e=")
    while True:
        await caller.send(b"e" * PART_BYTES)


async def trailers(caller: CrowdCaller) -> None:
    """Send trailers without end behind a short body."""
    await caller.head(CHUNKED)
    await caller.send(b"4\r\nbody\r\n0\r\n")
    number = 0
    while True:
        number += 1
        await caller.send(b"X-%d: " % number + b"t" * 8_000 + b"\r\n")


async def short_trailers(caller: CrowdCaller) -> None:
    """Send trailers of a few bytes without end behind a short body."""
    await caller.head(CHUNKED)
    await caller.send(b"4\r\nbody\r\n0\r\n")
    while True:
        await caller.send(b"t:1\r\n" * 8_000)


async def pipelined(caller: CrowdCaller) -> None:
    """Send requests with long heads behind one that is in progress."""
    for _ in range(PIPELINED):
        framing = f"X-1: {'h' * PIPELINED_HEADER}\r\nContent-Length: {PIPELINED_BODY}"
        await caller.send(caller.request_head(framing) + bytes(PIPELINED_BODY))


async def pipelined_headers(caller: CrowdCaller) -> None:
    """Send requests in many short headers behind one that is in progress."""
    while True:
        await caller.send(caller.request_head(f"{SHORT_HEADERS}Content-Length: 0"))


async def small_pipelined(caller: CrowdCaller) -> None:
    """Send requests without a body, without reading responses."""
    while True:
        heads = [caller.request_head("Content-Length: 0") for _ in range(64)]
        await caller.send(b"".join(heads))


async def upgrade(caller: CrowdCaller) -> None:
    """Ask for another protocol and send without waiting for it."""
    await caller.head("Connection: Upgrade\r\nUpgrade: websocket\r\nContent-Length: 0")
    while True:
        await caller.send(BLOCK)


async def many_headers(caller: CrowdCaller) -> None:
    """Send a head in very many headers, and a body short of its end."""
    headers = "".join(f"{number % 1000}:\r\n" for number in range(MANY_HEADERS))
    await caller.head(f"{headers}Content-Length: {BODY_BYTES}")
    await caller.body(BODY_BYTES - 1)


async def endless_head(caller: CrowdCaller) -> None:
    """Send a head over the limit that does not end."""
    await caller.send(f"POST /once/p HTTP/1.1\r\nHost: {HOST}\r\n".encode())
    number = 0
    while True:
        number += 1
        await caller.send(b"X-%d: " % number + b"h" * 16_000 + b"\r\n")


async def long_head(caller: CrowdCaller) -> None:
    """Send a head just under the limit that does not end."""
    start = f"POST /once/p HTTP/1.1\r\nHost: {HOST}\r\nX-1: ".encode()
    await caller.send(start.ljust(HEAD_BYTES - 8, b"h"))


async def short_headers_head(caller: CrowdCaller) -> None:
    """Send a head in many short headers that does not end."""
    await caller.send(f"POST /once/p HTTP/1.1\r\n{SHORT_HEADERS}".encode())


async def empty_lines(caller: CrowdCaller) -> None:
    """Send empty lines in place of a request."""
    while True:
        await caller.send(b"\r\n" * 1024)


async def idle(caller: CrowdCaller) -> None:
    """Send nothing."""


async def short_body(caller: CrowdCaller) -> None:
    """Stop a body of 16 KB before its end."""
    await caller.head("Content-Length: 16384")
    await caller.send(bytes(16383))


async def short_headers(caller: CrowdCaller) -> None:
    """Send many short headers and a short body, not to its end."""
    await caller.head(f"{SHORT_HEADERS}Content-Length: 16")
    await caller.send(bytes(15))


async def bad_chunks(caller: CrowdCaller) -> None:
    """Send a chunk and then bytes that are no chunk."""
    await caller.head(CHUNKED)
    await caller.send(b"4\r\nbody\r\n")
    while True:
        await caller.send(b"z" * PART_BYTES)


async def bad_chunks_behind_refusal(caller: CrowdCaller) -> None:
    """Send bytes that are no chunk for a route that does not exist."""
    await caller.send(
        f"POST /none HTTP/1.1\r\nHost: {HOST}\r\n{CHUNKED}\r\n\r\n".encode()
    )
    await asyncio.sleep(0.5)
    while True:
        await caller.send(b"z" * PART_BYTES)


async def unread(caller: CrowdCaller) -> None:
    """Send a small request and read no response."""
    await caller.head("Content-Length: 0")


Form = Callable[[CrowdCaller], Awaitable[None]]
FORMS_BY_NAME: dict[str, Form] = {
    form.__name__: form
    for form in (
        declared,
        whole,
        large_chunks,
        one_chunk,
        tiny_chunks,
        padded_sizes,
        trickle,
        extension,
        trailers,
        short_trailers,
        pipelined,
        pipelined_headers,
        small_pipelined,
        upgrade,
        many_headers,
        endless_head,
        long_head,
        short_headers_head,
        empty_lines,
        idle,
        short_body,
        short_headers,
        bad_chunks,
        bad_chunks_behind_refusal,
        unread,
    )
}
