"""Reads the bodies of callers' requests.

A caller may stop in the middle of a body, or send bytes there that are no part
of it, after which the web server waits for the rest.
"""

import asyncio
import logging
from collections.abc import AsyncIterator

from aiohttp import web

from kumquat_core.log_events import log_event
from kumquat_core.result_codes import ResultCode

from .caller_response import CallerResponse, client_error
from .limit_history import LimitHistory, widest

__all__ = ["read_body"]

# How long the event loop needs at most to read what has arrived.
READ_S = 0.02

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
            chunk = await _next_chunk(chunks, limits.idle_timeout_ms / 1000)
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


async def _next_chunk(chunks: AsyncIterator[bytes], limit_s: float) -> bytes:
    """Return the next bytes, empty at the end of the body.

    Raises ``TimeoutError`` if none have arrived within ``limit_s``. The loop
    of a host that was busy may run the timer before it reads what arrived.
    """
    try:
        async with asyncio.timeout(limit_s):
            return await anext(chunks, b"")
    except TimeoutError:
        async with asyncio.timeout(READ_S):
            return await anext(chunks, b"")
