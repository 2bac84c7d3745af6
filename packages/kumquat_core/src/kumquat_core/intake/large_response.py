"""Sends a large response in parts, as fast as its caller reads it.

Load pattern: most responses have some kilobytes and are written at once. Those
of several megabytes would be copied into the buffer of their connection, where
they stay for as long as the caller does not read them.
"""

from collections.abc import Callable

from aiohttp import web

__all__ = ["PART_BYTES", "LargeResponse", "is_large"]

# Responses up to this size are written at once.
PART_BYTES = 64 * 1024


class LargeResponse:
    """A response whose body is written in parts."""

    def __init__(self, http_request: web.BaseRequest, response: web.Response) -> None:
        body = response.body
        assert isinstance(body, bytes)
        self._http_request = http_request
        self._rest = memoryview(body)
        self.size = len(body)
        self._sent = web.StreamResponse(
            status=response.status, reason=response.reason, headers=response.headers
        )
        self._sent.content_length = len(body)

    async def send(self, on_sent: Callable[[int], None]) -> web.StreamResponse:
        """Send the response; ``on_sent`` gets the size of each part.

        Raises ``ConnectionError`` if the caller has disconnected.
        """
        sent = self._sent
        await sent.prepare(self._http_request)
        while self._rest:
            part = self._rest[:PART_BYTES]
            self._rest = self._rest[PART_BYTES:]
            await sent.write(bytes(part))
            on_sent(len(part))
        await sent.write_eof()
        return sent

    def flush(self) -> None:
        """Write the rest at once, since the connection is about to close."""
        transport, rest = self._http_request.transport, self._rest
        if transport is not None and self._sent.prepared and rest:
            self._rest = rest[:0]
            transport.write(bytes(rest))

    def abort(self) -> None:
        """Close the connection, whose caller does not read."""
        if (transport := self._http_request.transport) is not None:
            transport.abort()


def is_large(response: web.StreamResponse) -> bool:
    """Tell whether the body of a response is to be written in parts."""
    if not isinstance(response, web.Response):
        return False
    return isinstance(response.body, bytes) and len(response.body) > PART_BYTES
