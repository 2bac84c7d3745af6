"""Callers that keep a connection and place orders over it."""

import asyncio
import time
from dataclasses import dataclass, field

__all__ = ["KeptCaller", "Link"]

HOST = "ficu95.example"
STEP_BYTES = 64 * 1024


class Link:
    """Shares the rate of a host's link between all uploads to it."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0

    async def take(self, size: int) -> None:
        """Wait until the link has carried ``size`` more bytes."""
        now_s = time.monotonic()
        self._free_s = max(now_s, self._free_s) + size / self._bytes_per_s
        await asyncio.sleep(self._free_s - now_s)


@dataclass
class KeptCaller:
    """One caller; ``outcomes`` holds how each of its requests ended."""

    address: str
    link: Link
    outcomes: dict[str, str] = field(default_factory=dict)
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None

    @property
    def is_closed(self) -> bool:
        """Tell whether there is no connection that can be used."""
        return self._writer is None

    async def connect(self) -> None:
        """Open the connection; raises ``OSError``."""
        ip, port = self.address.split(":")
        self._reader, self._writer = await asyncio.open_connection(ip, int(port))

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def order(
        self, route: str, request_id: str, size: int, deadline_s: float
    ) -> bool:
        """Place an order; return whether the connection is kept."""
        self.outcomes[request_id] = "left without an answer"
        try:
            async with asyncio.timeout(deadline_s):
                await self._send(route, request_id, size, deadline_s)
                status = await self._receive()
        except TimeoutError:
            self.close()
            return False
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.outcomes[request_id] = "closed without an answer"
            self.close()
            return False
        self.outcomes[request_id] = str(status)
        return True

    async def _send(
        self, route: str, request_id: str, size: int, deadline_s: float
    ) -> None:
        assert self._writer is not None
        head = (
            f"POST /{route}/2f HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {int(deadline_s * 1000)}\r\n"
            f"Content-Length: {size}\r\n\r\n"
        )
        self._writer.write(head.encode())
        for sent in range(0, size, STEP_BYTES):
            step = min(STEP_BYTES, size - sent)
            await self.link.take(step)
            self._writer.write(b"b" * step)
            await self._writer.drain()

    async def _receive(self) -> int:
        """Read a whole answer; return its status."""
        assert self._reader is not None
        status = int((await self._read_line()).split()[1])
        length = 0
        while line := (await self._read_line()).strip():
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        await self._reader.readexactly(length)
        return status

    async def _read_line(self) -> bytes:
        assert self._reader is not None
        return await self._reader.readuntil(b"\r\n")
