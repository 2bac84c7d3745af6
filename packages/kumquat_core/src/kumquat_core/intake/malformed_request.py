"""Keeps errors of the parser of requests small, and answers them.

Load pattern: requests that can't be parsed are rare. Callers that no operator
controls send them in masses, and the error of the parser repeats up to several
times what was received.
"""

import logging
from collections import deque
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage, HttpProcessingError
from aiohttp.web_protocol import _ErrInfo

from ..log_events import log_event

__all__ = ["malformed_response", "shorten_last_error", "short_message"]

MAX_MESSAGE_CHARACTERS = 200

logger = logging.getLogger(__name__)


def short_message(error: object) -> str:
    """Return what an error of the parser says, without the received bytes."""
    message = error.message if isinstance(error, _ErrInfo) else ""
    return message.partition("\n")[0][:MAX_MESSAGE_CHARACTERS]


def shorten_last_error(messages: deque[Any]) -> None:
    """Replace the last message by a short one, if it is an error.

    Its traceback would keep what was received, too.
    """
    if not messages or not isinstance(messages[-1][0], _ErrInfo):
        return
    error, payload = messages[-1]
    message = short_message(error)
    short = _ErrInfo(error.status, BadHttpMessage(message), message)
    messages[-1] = (short, payload)


def malformed_response(error: BaseException | None, status: int) -> web.Response | None:
    """Return the response to a request that can't be parsed, else None."""
    if not isinstance(error, HttpProcessingError):
        return None
    log_event(logger, "request_malformed", detail=error.message)
    response = web.Response(status=status, text=error.message)
    response.force_close()
    return response
