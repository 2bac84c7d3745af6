"""Decides whether a response is the answer to the request that was sent.

Load pattern: a faulty server writes an earlier answer again, whole or cut, in
the place of the answer to the next request. A copy that is believed gives a
caller an answer of another request, or reports a request that ran as refused.
Statuses that HTTP does not define for final responses have no meaning to pass
on.
"""

import re
from collections.abc import Iterable, Sequence
from enum import Enum

from .caller_request import Header

__all__ = ["AnswerFault", "answer_fault", "is_final_status", "is_joined_head"]

FIRST_STATUS = 200
LAST_STATUS = 599
# The status line of a response inside the head of another: the bytes before it
# were an earlier response that ended there.
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d[ \t]+\d{3}(?!\d)")


class AnswerFault(Enum):
    """Why a response is not accepted as the answer to a request."""

    NO_ID = "no_id"
    OTHER_ID = "other_id"
    SEVERAL_IDS = "several_ids"
    JOINED_HEAD = "joined_head"
    INVALID_STATUS = "invalid_status"

    @property
    def may_be_copy(self) -> bool:
        """Tell whether the response may be that to another request."""
        return self is not AnswerFault.INVALID_STATUS


def answer_fault(
    ids: Sequence[str], request_id: str, *, reused: bool
) -> AnswerFault | None:
    """Return why a response is not accepted, None if it is.

    ``ids`` are the request ids that the response names. On a ``reused``
    connection a response without one may be a copy of an earlier response,
    whatever its status. A connection on which a response without one was
    accepted must not be reused: a copy of it could not be told apart.
    """
    if not ids:
        return AnswerFault.NO_ID if reused else None
    if len(ids) > 1:
        return AnswerFault.SEVERAL_IDS
    return None if ids[0] == request_id else AnswerFault.OTHER_ID


def is_final_status(status: int) -> bool:
    """Tell whether a final response may have this status."""
    return FIRST_STATUS <= status <= LAST_STATUS


def is_joined_head(
    reason: bytes, headers: Iterable[Header], request_id: str = ""
) -> bool:
    """Tell whether a head consists of the beginnings of two responses.

    If a copy of an earlier response is cut in its head, the response after it
    goes on in the last reason phrase or header value. The result has headers
    of both, such as the refusal of one and the request id of the other. The
    id itself is skipped, since callers choose it.
    """
    own_id = request_id.encode("latin-1", "replace")
    return _STATUS_LINE.search(reason) is not None or any(
        b"HTTP/" in value and value != own_id and _STATUS_LINE.search(value) is not None
        for _, value in headers
    )
