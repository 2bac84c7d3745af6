"""How a response ends and how long its connection may be idle.

Load pattern: a faulty server writes an answer again directly behind it. After
a response with a length or chunks these bytes belong to no request. Without
either the body lasts until the connection ends, and they look like its part.
"""

import re
from collections.abc import Iterable

from .caller_request import Header

__all__ = ["BodyCheck", "idle_limit_s", "is_copied_answer", "is_framed"]

# A status line and the beginning of a header line. Text about HTTP rarely has
# the line ends of the protocol.
_HEAD = re.compile(rb"HTTP/\d\.\d[ \t]+\d{3}[^\r\n]{0,128}\r\n[!#-'*+.^_`|~\w-]{1,64}:")
_STATUS = re.compile(rb"HTTP/\d\.\d[ \t]+(\d{3})")
# Sound servers may send this before they close an idle connection.
_REQUEST_TIMEOUT = b"408"
# Longer than any match that is still incomplete.
_OVERLAP_BYTES = 256


class BodyCheck:
    """Finds the head of another response in a body without framing.

    A copy that is cut before its first header is not found.
    """

    def __init__(self) -> None:
        self._tail = b""

    def has_other_head(self, data: bytes) -> bool:
        """Add a part of the body; tell whether a head begins in it."""
        searched = self._tail + data
        self._tail = searched[-_OVERLAP_BYTES:]
        return _HEAD.search(searched) is not None


def is_framed(headers: Iterable[Header]) -> bool:
    """Tell whether a response with a body states where the body ends."""
    return any(
        name.lower() in (b"content-length", b"transfer-encoding") for name, _ in headers
    )


def is_copied_answer(data: bytes) -> bool:
    """Tell whether bytes without a request begin another answer."""
    match = _STATUS.match(data)
    return match is not None and match[1] != _REQUEST_TIMEOUT


def idle_limit_s(headers: Iterable[Header], limit_s: float | None) -> float | None:
    """Return the timeout of the last Keep-Alive header, else ``limit_s``."""
    for name, value in headers:
        if name.lower() == b"keep-alive":
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                if key.lower() == b"timeout" and number.strip().isdigit():
                    limit_s = float(number)
    return limit_s
