"""Reads the bodies of callers' requests.

A caller may stop in the middle of a body, or send bytes there that are no part
of it, after which the web server waits for the rest. It may also send a body
in chunks of a byte, each of which takes as long to parse as a large one.
"""

import asyncio
import functools
import logging
from collections.abc import Awaitable, Callable

from aiohttp import StreamReader, hdrs, web

from kumquat_core.intake.bounded_handler import BodyFramingError
from kumquat_core.intake.byte_budget import Holding
from kumquat_core.intake.intake_gate import BodyReceiver, IntakeGate
from kumquat_core.log_events import log_event
from kumquat_core.parsing_turns import turns_of_loop
from kumquat_core.result_codes import ResultCode

from .body_limit import ANSWER_BODY
from .caller_response import CallerResponse, client_error
from .limit_history import LimitHistory, widest

__all__ = ["BODY_FRAMING", "INVALID_BODY", "TOO_MANY_PARTS", "read_body"]

# How long the event loop needs at most to read what has arrived.
READ_S = 0.02
# The reason of the refusal of a body that is too large, in very many chunks.
TOO_MANY_PARTS = "body_in_too_many_parts"
# The reasons of the refusal of a body with too much besides its data, and of
# an invalid one.
BODY_FRAMING = "body_framing"
INVALID_BODY = "invalid_body"
# Reading as many chunks takes a few milliseconds.
PARTS_PER_TURN = 256
# A body in many parts of less than this size is parsed more slowly than it is
# received, so as many bytes of it wait as the web server reads at a time.
MIN_TINY_PARTS = 256
TINY_PART_BYTES = 64
UNPARSED_BYTES = 256 * 1024

logger = logging.getLogger(__name__)


async def read_body(
    http_request: web.BaseRequest,
    history: LimitHistory,
    gate: IntakeGate,
    holding: Holding,
) -> bytes | CallerResponse:
    """Return the whole body, or the response if there is none.

    Waits for the memory of the body, and keeps it in ``holding``. Raises
    ``IntakeRefusedError`` if it is refused.

    The readers of bodies in many chunks take turns.

    A body may pause for as long as a connection may be idle. The limits of its
    beginning apply, and larger ones that come into force while it is read.
    """
    declared = http_request.content_length
    if declared is not None:
        declared = min(declared, history.current.max_body_bytes)
    connection = http_request.protocol
    receiver = connection if isinstance(connection, BodyReceiver) else None
    async with gate.reading(holding, declared, receiver):
        # After there is memory for the body, which is not sent before.
        if http_request.headers.get("Expect", "").lower() == "100-continue":
            assert http_request.transport is not None
            http_request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body = await _read_whole(http_request, history, gate, holding)
    if isinstance(body, bytes):
        gate.begin_run(holding, len(body))
    return body


async def _read_whole(
    http_request: web.BaseRequest,
    history: LimitHistory,
    gate: IntakeGate,
    holding: Holding,
) -> bytes | CallerResponse:
    limits = history.current
    body = bytearray()
    is_chunked = hdrs.TRANSFER_ENCODING in http_request.headers
    content = http_request.content
    read = functools.partial(_read_chunk, content) if is_chunked else content.readany
    parts = 0
    while True:
        if is_chunked and parts % PARTS_PER_TURN == PARTS_PER_TURN - 1:
            await turns_of_loop().wait_for_turn()
        parts += 1
        try:
            chunk = await _next_chunk(read, limits.idle_timeout_ms / 1000)
        except TimeoutError:
            log_event(logger, "body_incomplete", bytes=len(body))
            return client_error(408, ResultCode.SLOW_SENDER, "body_incomplete")
        except BodyFramingError as error:
            log_event(logger, "body_invalid", bytes=len(body), error=repr(error))
            return client_error(413, ResultCode.BODY_TOO_LARGE, BODY_FRAMING)
        except web.RequestPayloadError as error:
            log_event(logger, "body_invalid", bytes=len(body), error=repr(error))
            return client_error(400, ResultCode.MALFORMED_BODY, INVALID_BODY)
        if not chunk:
            return bytes(body)
        size = len(body) + len(chunk)
        is_tiny = parts >= MIN_TINY_PARTS and size < parts * TINY_PART_BYTES
        unparsed = UNPARSED_BYTES if is_chunked and is_tiny else 0
        await gate.received(holding, len(chunk), size + unparsed)
        body += chunk
        # Not kept while the next one is awaited.
        chunk = b""
        limits = widest(limits, history.current)
        has_many_parts = is_chunked and ANSWER_BODY.has_too_many_parts(len(body), parts)
        if len(body) > limits.max_body_bytes:
            reason = TOO_MANY_PARTS if has_many_parts else "body_too_large"
            return client_error(413, ResultCode.BODY_TOO_LARGE, reason)
        if has_many_parts:
            gate.admit_many_parts(holding)


async def _read_chunk(content: StreamReader) -> bytes:
    """Return the next chunk, or what has arrived of it; empty at the end."""
    chunk, ended = await content.readchunk()
    while ended and not chunk:
        # The end of a chunk that was returned before.
        chunk, ended = await content.readchunk()
    return chunk


async def _next_chunk(read: Callable[[], Awaitable[bytes]], limit_s: float) -> bytes:
    """Return the next bytes, empty at the end of the body.

    Raises ``TimeoutError`` if none have arrived within ``limit_s``. The loop
    of a host that was busy may run the timer before it reads what arrived.
    """
    try:
        async with asyncio.timeout(limit_s):
            return await read()
    except TimeoutError:
        async with asyncio.timeout(READ_S):
            return await read()
