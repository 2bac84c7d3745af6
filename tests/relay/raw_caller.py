"""A caller that writes bytes to a connection and reads whole responses."""

import asyncio
import socket
from dataclasses import dataclass
from typing import ClassVar

from kumquat_core.settings import Address

from .relay_harness import HOST

__all__ = ["RawCaller", "RawResponse", "request_bytes"]

HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class RawResponse:
    """A response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def closes(self) -> bool:
        """Tell whether the host announced that it closes the connection."""
        return self.headers.get("connection") == "close"


class RawCaller:
    """One connection to a host; ``opened`` has all that were opened."""

    opened: ClassVar[list["RawCaller"]] = []

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(
        cls, address: Address, receive_buffer: int | None = None
    ) -> "RawCaller":
        """Open a connection, with a small receive buffer if given."""
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (address.ip, address.port))
        caller = cls(*await asyncio.open_connection(sock=sock))
        cls.opened.append(caller)
        return caller

    async def read(self) -> RawResponse:
        """Read one response with a length."""
        head = (await self.reader.readuntil(HEAD_END)).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await self.reader.readexactly(int(headers["content-length"]))
        return RawResponse(int(first.split(" ")[1]), headers, body)

    async def at_end(self) -> bool:
        """Tell whether the host closes the connection without more bytes."""
        return await self.reader.read() == b""

    def close(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()


def request_bytes(
    route: str, request_id: str, deadline_ms: int = 1000, body: bytes = b"body"
) -> bytes:
    """Return a request with a body."""
    head = (
        f"POST /{route}/p%2Fq?x=1 HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        "X-Model: m\r\nX-Token-Counts: 5000,6000\r\nX-Prefix-Hash: ab:5000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
