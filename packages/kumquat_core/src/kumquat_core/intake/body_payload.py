"""A request body that is written to a server in parts, without a copy.

Load pattern: bodies of some kilobytes, and bodies of several megabytes from
many callers at once to servers that read them slowly. aiohttp joins a body
with the head, which takes its size a second time until the server has read
it.
"""

from aiohttp import Payload
from aiohttp.abc import AbstractStreamWriter

__all__ = ["BodyPayload"]

PART_BYTES = 64 * 1024


class BodyPayload(Payload):
    """The whole body of a request, which may be sent more than once."""

    _autoclose = True

    def __init__(self, body: bytes) -> None:
        super().__init__(body, content_type="application/octet-stream")
        self._size = len(body)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return str(self._value, encoding, errors)

    async def as_bytes(self, encoding: str = "utf-8", errors: str = "strict") -> bytes:
        """Return the body."""
        body: bytes = self._value
        return body

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the body, as fast as the server reads it."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body or its first ``content_length`` bytes."""
        body = memoryview(self._value)[:content_length]
        for begin in range(0, len(body), PART_BYTES):
            await writer.write(bytes(body[begin : begin + PART_BYTES]))
