"""Unusual requests within the limits of the pages, one at a time.

Their limits are on the bytes of a head and of a body, not on the number of
headers or chunks.
"""

import asyncio

from .crowd_forms import BODY_BYTES, HEAD_BYTES
from .intake_host import BoundedHost
from .relay_harness import HOST

__all__ = ["REQUESTS_BY_NAME", "check_single_request"]

ANSWER_S = 60.0
BLOCK_BYTES = 64 * 1024
FORWARDED_HEADERS = 200


def _chunked(size: int, chunk: int) -> bytes:
    part = b"%x\r\n" % chunk + bytes(chunk) + b"\r\n"
    return part * (size // chunk) + b"0\r\n\r\n"


CHUNKED = "Transfer-Encoding: chunked"
HEADERS = "".join(f"X-{number}: 1\r\n" for number in range(FORWARDED_HEADERS))
assert len(HEADERS) < HEAD_BYTES // 2
# The header fields, the body as it is sent, and its size.
REQUESTS_BY_NAME = {
    "chunks_of_64_bytes": (CHUNKED, _chunked(BODY_BYTES, 64), BODY_BYTES),
    "chunks_of_one_byte": (CHUNKED, _chunked(64 * 1024, 1), 64 * 1024),
    "many_headers": (f"{HEADERS}Content-Length: 4", b"body", 4),
}


async def check_single_request(host: BoundedHost, name: str) -> None:
    """Send one request to an idle host and check that it is served."""
    fields, body, size = REQUESTS_BY_NAME[name]
    head = (
        f"POST {host.path}{name} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Deadline-Ms: 9000\r\nX-Request-Id: {name}\r\n"
        f"{host.extra_headers}Connection: close\r\n{fields}\r\n\r\n"
    )
    response = await _exchange(host, head.encode() + body)
    assert response.startswith(b"HTTP/1.1 200 "), response[:200]
    assert response.endswith(b"\r\n\r\n%d" % size)
    assert host.errors() == []


async def _exchange(host: BoundedHost, request: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(host.callers.ip, host.callers.port)
    sending = asyncio.ensure_future(_send(writer, request))
    try:
        async with asyncio.timeout(ANSWER_S):
            return await reader.read()
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        writer.close()


async def _send(writer: asyncio.StreamWriter, request: bytes) -> None:
    for begin in range(0, len(request), BLOCK_BYTES):
        writer.write(request[begin : begin + BLOCK_BYTES])
        await writer.drain()
