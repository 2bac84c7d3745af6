"""Reads the bodies of callers' requests.

A caller may stop in the middle of a body, or send bytes there that are no part
of it, after which the web server waits for the rest.
"""

import asyncio
import logging

from aiohttp import web

from kumquat_core.log_events import log_event
from kumquat_core.result_codes import ResultCode

from .caller_response import CallerResponse, client_error
from .limit_history import LimitHistory, widest

__all__ = ["read_body"]

logger = logging.getLogger(__name__)


async def read_body(
    http_request: web.BaseRequest, history: LimitHistory
) -> bytes | CallerResponse:
    """Return the whole body, or the response if there is none.

    A body may pause for as long as a connection may be idle. The limits of its
    beginning apply, and larger ones that come into force while it is read.
    """
    limits = history.current
    body = bytearray()
    chunks = http_request.content.iter_any()
    while True:
        try:
            async with asyncio.timeout(limits.idle_timeout_ms / 1000):
                chunk = await anext(chunks, b"")
        except TimeoutError:
            log_event(logger, "body_incomplete", bytes=len(body))
            return client_error(408, ResultCode.SLOW_SENDER, "body_incomplete")
        except web.RequestPayloadError as error:
            log_event(logger, "body_invalid", bytes=len(body), error=repr(error))
            return client_error(400, ResultCode.MALFORMED_BODY, "invalid_body")
        if not chunk:
            return bytes(body)
        body += chunk
        limits = widest(limits, history.current)
        if len(body) > limits.max_body_bytes:
            return client_error(413, ResultCode.BODY_TOO_LARGE, "body_too_large")
