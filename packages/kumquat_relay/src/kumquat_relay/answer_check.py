"""Decides whether a response is the answer to the request that was sent.

Load pattern: a faulty server writes an earlier answer again, whole or cut, in
the place of the answer to the next request. A copy that is believed gives a
caller an answer of another request, or reports a request that ran as refused.
"""

from collections.abc import Sequence
from enum import Enum

__all__ = ["AnswerFault", "answer_fault"]


class AnswerFault(Enum):
    """Why a response is not accepted as the answer to a request."""

    NO_ID = "no_id"
    OTHER_ID = "other_id"


def answer_fault(
    status: int, ids: Sequence[str], request_id: str, *, reused: bool
) -> AnswerFault | None:
    """Return why a response is not accepted, None if it is.

    ``ids`` are the request ids that the response names. On a ``reused``
    connection a successful response without one may be a copy of an earlier
    response.
    """
    if not ids:
        if reused and 200 <= status < 300:
            return AnswerFault.NO_ID
        return None
    return None if ids[0] == request_id else AnswerFault.OTHER_ID
