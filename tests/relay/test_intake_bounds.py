"""A host bounds the memory and descriptors that its callers take.

Guards against callers that no operator controls: many large bodies at once,
most of which stop just before their end, heads and empty lines without end,
responses that are not read, and more connections than the process has
descriptors. A host of 150 MB, of which it takes 42 itself, grew by up to
375 MB under them.
"""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from .intake_host import BoundedHost, bounded_host
from .relay_harness import HOST

CALLERS = 80
BODY_BYTES = 4 * 1024 * 1024
MAX_BODY_BYTES = 5 * 1024 * 1024
MAX_HEADER_BYTES = 16384
MEMORY_MB = 150
MAX_GROWTH_MB = 92
SMALLEST_MB = 88
# The callers send this long, and hold their connections as long.
LOAD_S = 4.0
SAMPLE_S = 0.02
BLOCK = bytes(64 * 1024)
FAILURE = b"HTTP/1.1 500"
# 200 descriptors are left to files.
FEW_DESCRIPTORS = 400
MANY_CONNECTIONS = 450

Form = Callable[["Caller"], Awaitable[None]]


class Caller:
    """A connection that sends without keeping copies of what it sends."""

    def __init__(self, sock: socket.socket, number: int) -> None:
        self._sock = sock
        self.number = number

    async def send(self, data: bytes | memoryview) -> None:
        """Send bytes, as fast as the host reads."""
        await asyncio.get_running_loop().sock_sendall(self._sock, data)

    async def head(self, framing: str) -> None:
        """Send the head of a request."""
        await self.send(
            (
                f"POST /once/p HTTP/1.1\r\nHost: {HOST}\r\nX-Deadline-Ms: 2500\r\n"
                f"X-Request-Id: crowd-{self.number}\r\n{framing}\r\n\r\n"
            ).encode()
        )

    async def body(self, size: int) -> None:
        """Send bytes of a body."""
        for begin in range(0, size, len(BLOCK)):
            await self.send(memoryview(BLOCK)[: size - begin])


async def declared(caller: Caller) -> None:
    """Stop a body with a length one byte before its end."""
    await caller.head(f"Content-Length: {BODY_BYTES}")
    await caller.body(BODY_BYTES - 1)


async def chunked(caller: Caller) -> None:
    """Stop a body in chunks of 16 KiB before its last chunk."""
    await caller.head("Transfer-Encoding: chunked")
    chunk = b"4000\r\n" + bytes(0x4000) + b"\r\n"
    for _ in range(BODY_BYTES // 0x4000):
        await caller.send(chunk)


async def trickle(caller: Caller) -> None:
    """Send three quarters of a body, and then single bytes."""
    await caller.head(f"Content-Length: {BODY_BYTES}")
    await caller.body(BODY_BYTES * 3 // 4)
    while True:
        await caller.send(b"b")
        await asyncio.sleep(0.1)


async def trickle_small(caller: Caller) -> None:
    """Send single bytes of a body of a kilobyte."""
    await caller.head("Content-Length: 1000")
    while True:
        await caller.send(b"b")
        await asyncio.sleep(1.0)


async def whole(caller: Caller) -> None:
    """Send a whole body; the server takes a second to answer."""
    await caller.head(f"Content-Length: {BODY_BYTES}")
    await caller.body(BODY_BYTES)


async def endless_head(caller: Caller) -> None:
    """Send a head over the limit that does not end."""
    await caller.send(f"POST /once/p HTTP/1.1\r\nHost: {HOST}\r\n".encode())
    for number in range(120):
        await caller.send(f"X-{number}: ".encode() + b"h" * 16000 + b"\r\n")


async def long_head(caller: Caller) -> None:
    """Send a head just under the limit that does not end."""
    start = f"POST /once/p HTTP/1.1\r\nHost: {HOST}\r\nX-1: ".encode()
    await caller.send(start.ljust(MAX_HEADER_BYTES - 8, b"h"))


async def empty_lines(caller: Caller) -> None:
    """Send empty lines in place of a request."""
    while True:
        await caller.send(b"\r\n" * 1024)


async def small_chunks(caller: Caller) -> None:
    """Send a body in chunks of four bytes, not to its end."""
    await caller.head("Transfer-Encoding: chunked")
    while True:
        await caller.send(b"4\r\nbody\r\n" * 1024)


async def unread(caller: Caller) -> None:
    """Send small requests one after another and read no response."""
    await asyncio.sleep(caller.number * LOAD_S / 2 / CALLERS)
    await caller.head("Content-Length: 0")


FORMS: list[Form] = [
    declared,
    chunked,
    trickle,
    whole,
    endless_head,
    long_head,
    empty_lines,
    small_chunks,
    unread,
]


async def connect(host: BoundedHost) -> socket.socket:
    """Open a connection, of which the test keeps the descriptor only."""
    sock = socket.socket()
    sock.setblocking(False)
    address = (host.callers.ip, host.callers.port)
    await asyncio.get_running_loop().sock_connect(sock, address)
    return sock


async def play(host: BoundedHost, form: Form) -> tuple[float, int]:
    """Let all callers send at once; return the growth and descriptors."""
    sockets = [await connect(host) for _ in range(CALLERS)]

    async def send(sock: socket.socket, number: int) -> None:
        with contextlib.suppress(OSError):
            await form(Caller(sock, number))

    tasks = [
        asyncio.ensure_future(send(sock, number)) for number, sock in enumerate(sockets)
    ]
    end_s = asyncio.get_running_loop().time() + LOAD_S
    peak_mb, descriptors = 0.0, 0
    while asyncio.get_running_loop().time() < end_s:
        assert host.process.running
        peak_mb = max(peak_mb, host.private_mb() + host.unread_mb())
        descriptors = max(descriptors, host.descriptors())
        await asyncio.sleep(SAMPLE_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await host.answer()
    for sock in sockets:
        with contextlib.suppress(OSError):
            # Guards against errors of the host, which it answers with 500.
            assert not sock.recv(len(FAILURE)).startswith(FAILURE)
        sock.close()
    await host.answer()
    return max(peak_mb, host.private_mb()) - host.base_mb, descriptors


@pytest.mark.parametrize("form", FORMS, ids=lambda form: form.__name__)
def test_callers_take_no_more_than_the_stated_memory(
    form: Form, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with bounded_host(
            tmp_path, MAX_BODY_BYTES, memory_mb=MEMORY_MB, max_descriptors=1638
        ) as host:
            host.server.processing_s = 1.0 if form is whole else 0.0
            host.server.response_bytes = BODY_BYTES if form is unread else 0
            growth_mb, descriptors = await play(host, form)
            print(f"{form.__name__}: base {host.base_mb:.0f} MB, +{growth_mb:.0f} MB")
            assert host.process.running
            assert growth_mb < MAX_GROWTH_MB
            assert descriptors < 2 * CALLERS + 60

    asyncio.run(scenario())


def test_smallest_host_serves_the_largest_body(tmp_path: Path) -> None:
    """Guards against bounds that refuse what the limits allow."""

    async def scenario() -> None:
        async with bounded_host(
            tmp_path, BODY_BYTES, memory_mb=SMALLEST_MB, max_descriptors=1638
        ) as host:
            for _ in range(3):
                body = await host.answer(bytes(BODY_BYTES))
                assert body == str(BODY_BYTES).encode()
                assert host.private_mb() < SMALLEST_MB

    asyncio.run(scenario())


@pytest.mark.parametrize("form", [None, trickle_small], ids=["idle", "bodies"])
def test_connections_leave_descriptors_to_the_host(
    form: Form | None, tmp_path: Path
) -> None:
    """Guards against callers that take all descriptors of the process.

    Those that send a body without end must not keep others out either.
    """

    async def scenario() -> None:
        async with bounded_host(
            tmp_path, BODY_BYTES, memory_mb=MEMORY_MB, max_descriptors=FEW_DESCRIPTORS
        ) as host:
            sockets, tasks = [], []
            descriptors = 0
            for number in range(MANY_CONNECTIONS):
                sockets.append(await connect(host))
                descriptors = max(descriptors, host.descriptors())
                if form is not None:
                    caller = Caller(sockets[-1], number)
                    tasks.append(asyncio.ensure_future(form(caller)))
            await host.answer()
            descriptors = max(descriptors, host.descriptors())
            assert host.process.running
            assert descriptors < FEW_DESCRIPTORS
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for sock in sockets:
                sock.close()

    asyncio.run(scenario())
