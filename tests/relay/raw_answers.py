"""A caller that reads the bytes of an answer as they are."""

import asyncio
from dataclasses import dataclass, field

from kumquat_core.settings import Address

from .relay_harness import HOST

__all__ = ["RawAnswer", "exchange", "parse_answer", "read_all", "request_bytes"]

READ_TIMEOUT_S = 4.5


@dataclass(frozen=True)
class RawAnswer:
    """An answer as its bytes show it to a caller.

    ``complete`` is set if its framing ended; ``rest`` are the bytes after it.
    """

    status: int
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    rest: bytes = b""

    def header(self, name: str) -> str:
        """Return a header, empty if there is none."""
        return self.headers.get(name.lower().encode(), b"").decode("latin-1")


def request_bytes(
    route: str,
    request_id: str,
    version: str = "1.1",
    method: str = "POST",
    body: bytes = b"body",
    *headers: str,
) -> bytes:
    """Return the bytes of a request to one of the routes of the harness."""
    lines = [
        f"{method} /{route}/p%2Fq?x=1 HTTP/{version}",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        "X-Deadline-Ms: 2500",
        "X-Model: m",
        "X-Token-Counts: 5000,6000",
        "X-Prefix-Hash: ab:5000",
        *headers,
    ]
    if not any(line.lower().startswith("transfer-encoding") for line in headers):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def exchange(
    address: Address,
    route: str,
    request_id: str,
    version: str = "1.1",
    body: bytes = b"body",
) -> RawAnswer:
    """Send a request on a connection of its own and return its answer."""
    last = ["Connection: close"] if version == "1.1" else []
    data, reset = await read_all(
        address, request_bytes(route, request_id, version, "POST", body, *last)
    )
    return parse_answer(data, reset=reset)


async def read_all(address: Address, *parts: bytes) -> tuple[bytes, bool]:
    """Send bytes, with pauses between the parts, and read to the end.

    Returns what was read and whether the connection was reset.
    """
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    received = bytearray()
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.05)
            while chunk := await reader.read(65536):
                received += chunk
    except ConnectionError:
        return bytes(received), True
    finally:
        writer.close()
    return bytes(received), False


def parse_answer(data: bytes, *, reset: bool, method: str = "POST") -> RawAnswer:
    """Parse one answer; one without a length is complete unless reset."""
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return RawAnswer(0, rest=data)
    status_line, *lines = head.split(b"\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(b":") for line in lines)
    }
    status = int(status_line.split()[1])
    if method == "HEAD" or status in (204, 304):
        return RawAnswer(status, headers, b"", True, rest)
    if headers.get(b"transfer-encoding") == b"chunked":
        body, complete, rest = _parse_chunks(rest)
        return RawAnswer(status, headers, body, complete, rest)
    if b"content-length" in headers:
        size = int(headers[b"content-length"])
        return RawAnswer(status, headers, rest[:size], len(rest) >= size, rest[size:])
    return RawAnswer(status, headers, rest, not reset)


def _parse_chunks(data: bytes) -> tuple[bytes, bool, bytes]:
    """Return the body, whether its last chunk was read, and the rest."""
    body = bytearray()
    while True:
        line, separator, rest = data.partition(b"\r\n")
        if not separator:
            return bytes(body), False, data
        try:
            size = int(line, 16)
        except ValueError:
            return bytes(body), False, data
        if size == 0:
            return bytes(body), rest.startswith(b"\r\n"), rest[2:]
        body += rest[:size]
        if rest[size : size + 2] != b"\r\n":
            return bytes(body), False, rest
        data = rest[size + 2 :]
