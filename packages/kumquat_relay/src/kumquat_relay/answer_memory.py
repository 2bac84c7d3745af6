"""Bounds the memory of answers that are read whole before they are passed on.

Load pattern: servers in trouble send bytes that are no answer without end, on
many connections at once, while the other answers are a few kilobytes.

One answer may take ``MAX_ANSWER_BYTES`` and all together ``MAX_TOTAL_BYTES``.
When the total is reached, answers above ``SMALL_BYTES`` are cut as they grow,
so those of usual size are still served.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from .engine_connection import ConnectionBrokenError

__all__ = ["AnswerMemory", "PartialAnswer"]

# Large answers are allowed while there is room for them.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# An eighth of the memory of the smallest host, which has 128 MB.
MAX_TOTAL_BYTES = 16 * 1024 * 1024
# Ten times the longest usual answer of a backend server.
SMALL_BYTES = 64 * 1024


class PartialAnswer:
    """The parts of one answer; ``size`` in bytes."""

    def __init__(self, memory: "AnswerMemory") -> None:
        self._memory = memory
        self._parts: list[bytes] = []
        self.size = 0

    def add(self, part: bytes) -> None:
        """Keep a part; raises ``ConnectionBrokenError`` if it is too much."""
        size = self.size + len(part)
        if size > MAX_ANSWER_BYTES:
            raise ConnectionBrokenError("answer is too large")
        total = self._memory.total_bytes + len(part)
        if size > SMALL_BYTES and total > MAX_TOTAL_BYTES:
            raise ConnectionBrokenError("answers take too much memory")
        self._parts.append(part)
        self.size = size
        self._memory.total_bytes = total

    def whole(self) -> bytes:
        """Return all parts in order."""
        return b"".join(self._parts)


class AnswerMemory:
    """Counts the bytes of all answers that are being read."""

    def __init__(self) -> None:
        self.total_bytes = 0

    @contextmanager
    def answer(self) -> Iterator[PartialAnswer]:
        """Count an answer while it is read."""
        answer = PartialAnswer(self)
        try:
            yield answer
        finally:
            self.total_bytes -= answer.size
