"""Callers that no operator controls, in the forms that a host has to bound.

A crowd opens its connections to one host at once and holds them until it
ends. Only requests of the form ``whole`` may run; the checks of the soak find
requests at engines that nobody sent to their end.
"""

import asyncio
import itertools
import random
import socket
from collections.abc import Awaitable, Callable

from tests.relay.raw_answers import RawAnswer, parse_answer
from tests.relay.relay_harness import HOST

from .accounts import key_of
from .callers import RequestOutcome, SentRequest
from .host_process import HostProcess
from .soak_harness import SoakHarness

__all__ = ["CROWD_BODY_BYTES", "FORMS", "crowd_one_host"]

# Without bounds the bodies of a crowd exceed the memory of a host.
CROWD_BODY_BYTES = 4 * 1024 * 1024
CALLERS = 40
# Engines of the soak keep what they receive, and refuse bodies of 1 MiB.
WHOLE_BODY = bytes(960 * 1024)
# Without a bound they exceed the descriptors that hosts of a soak state, 400.
MANY_CONNECTIONS = 400
CHUNK_BYTES = 0x4000
BLOCK = bytes(64 * 1024)
ROUTE = "once"
HEAD_LIMIT_BYTES = 16384
# Bodies that bring nothing for a second may be refused.
DURATION_S = (1.0, 4.0)
# Callers share the event loop with the checks of the soak.
PAUSE_S = 0.01

_numbers = itertools.count()


class CrowdCaller:
    """A connection that sends without keeping copies of what it sends."""

    def __init__(self, sock: socket.socket, request_id: str) -> None:
        self._sock = sock
        self.request_id = request_id

    async def send(self, data: bytes | memoryview) -> None:
        """Send bytes, as fast as the host reads."""
        await asyncio.get_running_loop().sock_sendall(self._sock, data)
        await asyncio.sleep(0)

    async def head(self, framing: str) -> None:
        """Send the head of a request."""
        request_id = self.request_id
        await self.send(
            (
                f"POST /{ROUTE}/p%2Fq?x=1 HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Deadline-Ms: 3000\r\nX-Request-Id: {request_id}\r\n"
                f"X-Api-Key: {key_of(request_id)}\r\n{framing}\r\n\r\n"
            ).encode()
        )

    async def body(self, size: int) -> None:
        """Send bytes of a body."""
        for begin in range(0, size, len(BLOCK)):
            await self.send(memoryview(BLOCK)[: size - begin])

    async def answer(self) -> RawAnswer:
        """Return the response; the host closes the connection behind it."""
        data = b""
        while part := await asyncio.get_running_loop().sock_recv(self._sock, 4096):
            data += part
        return parse_answer(data, reset=False)


async def declared(caller: CrowdCaller) -> None:
    """Stop a body with a length one byte before its end."""
    await caller.head(f"Content-Length: {CROWD_BODY_BYTES}")
    await caller.body(CROWD_BODY_BYTES - 1)


async def chunked(caller: CrowdCaller) -> None:
    """Stop a body in large chunks before its last chunk."""
    await caller.head("Transfer-Encoding: chunked")
    chunk = f"{CHUNK_BYTES:x}\r\n".encode() + bytes(CHUNK_BYTES) + b"\r\n"
    for _ in range(CROWD_BODY_BYTES // CHUNK_BYTES):
        await caller.send(chunk)


async def trickle(caller: CrowdCaller) -> None:
    """Send three quarters of a body, and then single bytes."""
    await caller.head(f"Content-Length: {CROWD_BODY_BYTES}")
    await caller.body(CROWD_BODY_BYTES * 3 // 4)
    while True:
        await caller.send(b"b")
        await asyncio.sleep(0.1)


async def small_chunks(caller: CrowdCaller) -> None:
    """Send a body in chunks of four bytes, not to its end."""
    await caller.head("Transfer-Encoding: chunked")
    while True:
        await caller.send(b"4\r\nbody\r\n" * 1024)
        await asyncio.sleep(PAUSE_S)


async def extension(caller: CrowdCaller) -> None:
    """Send one chunk whose extension does not end."""
    await caller.head("Transfer-Encoding: chunked")
    await caller.send(b"4;e=")
    while True:
        await caller.send(b"e" * CHUNK_BYTES)
        await asyncio.sleep(PAUSE_S)


async def trailers(caller: CrowdCaller) -> None:
    """Send trailers without end behind a short body."""
    await caller.head("Transfer-Encoding: chunked")
    await caller.send(b"4\r\nbody\r\n0\r\n")
    while True:
        await caller.send(b"X-1: " + b"t" * 8000 + b"\r\n")
        await asyncio.sleep(PAUSE_S)


async def endless_head(caller: CrowdCaller) -> None:
    """Send a head over the limit that does not end."""
    await caller.send(f"POST /{ROUTE}/p HTTP/1.1\r\nHost: {HOST}\r\n".encode())
    for number in range(120):
        await caller.send(f"X-{number}: ".encode() + b"h" * 16000 + b"\r\n")


async def long_head(caller: CrowdCaller) -> None:
    """Send a head just under the limit that does not end."""
    start = f"POST /{ROUTE}/p HTTP/1.1\r\nHost: {HOST}\r\nX-1: ".encode()
    await caller.send(start.ljust(HEAD_LIMIT_BYTES - 8, b"h"))


async def empty_lines(caller: CrowdCaller) -> None:
    """Send empty lines in place of a request."""
    while True:
        await caller.send(b"\r\n" * 1024)
        await asyncio.sleep(PAUSE_S)


async def idle(caller: CrowdCaller) -> None:
    """Send nothing."""


async def whole(caller: CrowdCaller) -> RawAnswer:
    """Send a whole request and read its response."""
    await caller.head(f"Content-Length: {len(WHOLE_BODY)}\r\nConnection: close")
    await caller.send(WHOLE_BODY)
    return await caller.answer()


Form = Callable[[CrowdCaller], Awaitable[RawAnswer | None]]
FORMS: dict[str, Form] = {
    form.__name__: form
    for form in (
        declared,
        chunked,
        trickle,
        small_chunks,
        extension,
        trailers,
        endless_head,
        long_head,
        empty_lines,
        idle,
        whole,
    )
}


async def crowd_one_host(harness: SoakHarness, rng: random.Random) -> list[SentRequest]:
    """Let a crowd of one form call a host, past its proxy for other callers.

    Returns the whole requests. A caller that still waits for its response
    when the crowd ends disconnects.
    """
    host = rng.choice(harness.hosts)
    form = rng.choice(sorted(FORMS))
    name = f"crowd{next(_numbers)}"
    harness.notes.append(f"{name} at {host.host_id}: {form}")
    sent: list[SentRequest] = []
    tasks = [
        asyncio.ensure_future(_call(form, f"{name}-{number}", host, sent))
        for number in range(MANY_CONNECTIONS if form == "idle" else CALLERS)
    ]
    try:
        await asyncio.sleep(rng.uniform(*DURATION_S))
    finally:
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
    errors = [item for item in results if isinstance(item, Exception)]
    if errors:
        raise errors[0]
    return sent


async def _call(
    form: str,
    request_id: str,
    host: HostProcess,
    sent: list[SentRequest],
) -> None:
    """Connect and send; hold the connection until cancelled."""
    loop = asyncio.get_running_loop()
    began_s, ended_s = loop.time(), 0.0
    outcome, answer = RequestOutcome.LEFT, None
    with socket.socket() as sock:
        sock.setblocking(False)
        try:
            try:
                await loop.sock_connect(sock, (host.callers.ip, host.callers.port))
                answer = await FORMS[form](CrowdCaller(sock, request_id))
            except OSError:
                outcome = RequestOutcome.CLOSED
            ended_s = loop.time()
            await loop.create_future()
        finally:
            if form == "whole":
                if answer is not None:
                    complete = answer.status and answer.complete
                    outcome = (
                        RequestOutcome.ANSWERED if complete else RequestOutcome.CLOSED
                    )
                sent.append(
                    SentRequest(
                        request_id,
                        ROUTE,
                        host.host_id,
                        began_s,
                        ended_s or loop.time(),
                        outcome,
                        answer.status if answer else 0,
                        answer.header("X-Response-Seal") if answer else "",
                        answer.header("X-Request-Id") if answer else "",
                        answer.body if answer else b"",
                        sent_body=WHOLE_BODY,
                    )
                )
