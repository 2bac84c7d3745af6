"""Tells when a body brings too many bytes that are no part of it.

Load pattern: called for each read from the connection of a body. Chunks of
usual bodies take a few bytes besides their data. Some callers send extensions
or trailers without end; the parser drops the former and keeps the latter.
"""

from aiohttp import web

__all__ = ["BodyFramingError", "FramingMeter"]

# The shortest chunk takes five bytes besides its byte, and a longer size only
# that of a longer chunk.
MAX_FRAMING_RATIO = 8
FREE_BYTES = 512 * 1024


class BodyFramingError(web.RequestPayloadError):
    """A body brought too many bytes that are no part of it."""


class FramingMeter:
    """Counts what one body brings besides its data.

    A run of bytes without data is an extension or the trailers, which are
    limited like a head.
    """

    __slots__ = ("_body_bytes", "_framing_bytes", "_run_bytes")

    def __init__(self) -> None:
        self._body_bytes = self._framing_bytes = self._run_bytes = 0

    def add(self, parsed: int, data: int, max_run_bytes: int) -> bool:
        """Count ``parsed`` bytes with ``data`` bytes of the body.

        Returns false after too many other bytes.
        """
        self._body_bytes += data
        self._framing_bytes += parsed - data
        self._run_bytes = 0 if data else self._run_bytes + parsed
        if self._run_bytes > max_run_bytes:
            return False
        allowed = FREE_BYTES + MAX_FRAMING_RATIO * self._body_bytes
        return self._framing_bytes <= allowed

    def begin_body(self) -> None:
        """Begin with the next body."""
        self._body_bytes = self._framing_bytes = self._run_bytes = 0
