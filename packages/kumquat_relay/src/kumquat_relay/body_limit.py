"""Limits on the size of a response body and on the number of its parts.

Load pattern: sound servers send some kilobytes, rarely megabytes, and some of
them each byte in a chunk of its own. A faulty one sends chunks of a byte
without end. Parsing a part takes about as long whatever its size, so a limit
on bytes alone allows minutes of work.
"""

from dataclasses import dataclass

from kumquat_core.parsing_turns import has_too_many_parts

__all__ = ["ANSWER_BODY", "SHORT_BODY", "BodyLimit"]


@dataclass(frozen=True)
class BodyLimit:
    """How many bytes a body may have, and in how many parts it may come.

    ``free_parts`` may have any size.
    """

    max_bytes: int
    free_parts: int

    def excess(self, size: int, parts: int) -> str:
        """Return in which way a body is over its limit, empty if it isn't."""
        if size > self.max_bytes:
            return "answer is too large"
        if self.has_too_many_parts(size, parts):
            return "answer has too many parts"
        return ""

    def has_too_many_parts(self, size: int, parts: int) -> bool:
        """Tell whether a body of this size came in too many parts."""
        return has_too_many_parts(size, parts, self.free_parts)


# The answer to a request of a caller. Large ones are allowed while the memory
# of the host permits them.
ANSWER_BODY = BodyLimit(max_bytes=8 * 1024 * 1024, free_parts=32 * 1024)
# Control calls and refusals are answered in some hundred bytes, and reports of
# engines in some kilobytes.
SHORT_BODY = BodyLimit(max_bytes=64 * 1024, free_parts=4 * 1024)
