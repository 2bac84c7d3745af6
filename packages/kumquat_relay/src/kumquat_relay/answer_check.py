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
    SEVERAL_IDS = "several_ids"


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
