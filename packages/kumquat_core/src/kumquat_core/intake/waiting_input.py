"""Counts what the web server has received of requests that it can't begin.

Load pattern: most requests begin when they are read. Some callers send many
requests behind one whose server is slow, or a body that the host does not
read yet; the web server then keeps up to 256 KB unparsed besides them.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import EmptyStreamReader, StreamReader

from .head_meter import parsed_head_size

__all__ = [
    "MAX_QUEUED_BYTES",
    "WaitingInput",
    "parts_bytes",
    "queued_bytes",
    "received_bytes",
]

# A connection with more behind the request in progress is read no further.
MAX_QUEUED_BYTES = 64 * 1024
# What the web server keeps for a part of a body besides its bytes.
PART_BYTES = 96
# What the web server keeps for a request besides its head.
MESSAGE_BYTES = 1024


def queued_bytes(messages: Iterable[tuple[Any, StreamReader]]) -> int:
    """Return the bytes of requests that are read and not begun."""
    return sum(_size(message) + payload.total_bytes for message, payload in messages)


def parts_bytes(payload: StreamReader | None) -> int:
    """Return what the unread parts of a body take besides its bytes."""
    if payload is None or isinstance(payload, EmptyStreamReader):
        return 0
    return PART_BYTES * len(payload._buffer)


def received_bytes(payload: StreamReader | None) -> int:
    """Return what has come of a body, before it is decompressed."""
    if payload is None or isinstance(payload, EmptyStreamReader):
        return 0
    return payload.total_raw_bytes


def _size(message: Any) -> int:
    """Return the memory of a head, or of a short error of the parser."""
    if not isinstance(message, RawRequestMessage):
        return MESSAGE_BYTES
    return MESSAGE_BYTES + parsed_head_size(message.path, message.raw_headers)


@dataclass(slots=True)
class WaitingInput:
    """What one connection has received and its requests have not.

    ``queued`` are the bytes of requests behind the one in progress and
    ``unparsed`` those that the parser keeps while it is paused. ``parts`` is
    what the parts of a body take besides its bytes until they are read.
    """

    queued: int = 0
    unparsed: int = 0
    parts: int = 0

    @property
    def total(self) -> int:
        """Return all bytes that wait."""
        return self.queued + self.unparsed + self.parts
