"""Callers that send much behind a request whose server takes its time."""

import asyncio
import contextlib
import socket

from .crowd_forms import CrowdCaller
from .intake_host import BoundedHost

__all__ = ["check_answers_before_dropped_requests"]

CALLERS = 60
PROCESSING_S = 1.0
# Of each caller, in requests that have not begun.
BEHIND_BYTES = 512 * 1024
WAIT_S = 20.0


async def check_answers_before_dropped_requests(host: BoundedHost) -> None:
    """Check that each request in progress is answered."""
    host.server.processing_s = PROCESSING_S
    answers = await asyncio.gather(*(_ask(host, str(n)) for n in range(CALLERS)))
    host.server.processing_s = 0.0
    await host.answer()
    lost = [answer for answer in answers if not answer.startswith(b"HTTP/1.1 200")]
    print(f"{len(lost)} of {CALLERS} got no answer, {len(host.errors())} errors")
    assert not lost
    assert host.errors() == []


async def _ask(host: BoundedHost, name: str) -> bytes:
    """Send a request, and others once it runs; return its response.

    The response is empty if the host has closed the connection.
    """
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        await loop.sock_connect(sock, (host.callers.ip, host.callers.port))
        caller = CrowdCaller(sock, name, host.path, host.extra_headers)
        await caller.head("Content-Length: 0")
        async with asyncio.timeout(WAIT_S):
            while caller.names[0] not in host.server.paths:
                await asyncio.sleep(0.01)
        sending = asyncio.ensure_future(_send_behind(caller))
        received = b""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(WAIT_S):
                received = await loop.sock_recv(sock, 65536)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        return received


async def _send_behind(caller: CrowdCaller) -> None:
    """Send requests with long heads, which wait for the one in progress."""
    with contextlib.suppress(ConnectionError):
        for _ in range(BEHIND_BYTES // 16_000):
            head = caller.request_head(f"X-1: {'h' * 8_000}\r\nContent-Length: 8000")
            await caller.send(head + bytes(8000))
