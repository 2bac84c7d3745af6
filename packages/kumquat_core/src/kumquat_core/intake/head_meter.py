"""Tells when the head of a request is too long, or does not begin.

Load pattern: called for each read from a connection of a caller; heads have
less than a kilobyte and arrive in one read. Some callers send heads or empty
lines without end.
"""

from collections.abc import Collection, Iterable

__all__ = ["HeadMeter", "head_size", "parsed_head_size"]

# Some callers send one empty line behind a body.
MAX_EMPTY_BYTES = 1024
LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
# What the web server keeps for each header besides its bytes.
HEADER_BYTES = 192
HEAD_END_REST = len(HEAD_END) - 1


class HeadMeter:
    """Counts the bytes of the incomplete head of one connection.

    ``memory_bytes`` is what the web server keeps of it.
    """

    __slots__ = ("_empty_bytes", "_last", "_lines", "head_bytes")

    def __init__(self) -> None:
        self.head_bytes = self._lines = 0
        self._empty_bytes = 0
        # The end of a head may arrive in two reads, the second with a body.
        self._last = b""

    @property
    def memory_bytes(self) -> int:
        """Return the memory that the head takes."""
        return 2 * self.head_bytes + HEADER_BYTES * self._lines

    def exceeds(self, data: bytes, max_bytes: int) -> bool:
        """Tell whether a head that ``data`` does not end is too long."""
        if self.head_bytes + len(data) <= max_bytes:
            return False
        return (
            HEAD_END not in self._last + data[:HEAD_END_REST] and HEAD_END not in data
        )

    def add(self, data: bytes) -> bool:
        """Count bytes of an incomplete head or of none.

        Returns false after too many empty lines.
        """
        if not self.head_bytes and not data.strip(LINE_END):
            self._empty_bytes += len(data)
            return self._empty_bytes <= MAX_EMPTY_BYTES
        self.head_bytes += len(data)
        self._lines += data.count(b"\n")
        self._last = (self._last + data)[-HEAD_END_REST:]
        return True

    def end_head(self) -> None:
        """Begin with the next head."""
        self.head_bytes = self._empty_bytes = self._lines = 0
        self._last = b""


def head_size(target: str, headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the bytes of a head, without the spaces around its values."""
    return len(target) + sum(len(name) + len(value) + 4 for name, value in headers)


def parsed_head_size(target: str, headers: Collection[tuple[bytes, bytes]]) -> int:
    """Return the memory in bytes that a parsed head takes."""
    return 2 * head_size(target, headers) + HEADER_BYTES * len(headers)
