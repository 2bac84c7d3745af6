"""Reads the bodies of callers' requests within the memory of the host.

Load pattern: a few hundred requests per second with bodies of some kilobytes.
Callers that no operator controls send many bodies of the largest allowed size
at once and stop just before their end, or send a body in chunks of a byte,
each of which takes as long to parse as a large one.
"""

import asyncio

from aiohttp import HttpVersion11, StreamReader, hdrs, web

from kumquat_core.intake.bounded_handler import BodyFramingError, BoundedHandler
from kumquat_core.intake.byte_budget import Holding
from kumquat_core.intake.intake_gate import (
    RETRY_AFTER_S,
    BodyReceiver,
    IntakeGate,
    IntakeRefusedError,
)
from kumquat_core.parsing_turns import has_too_many_parts, turns_of_loop
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.settings import Limits

__all__ = ["expect_body", "read_body"]

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Parts beyond these must have a mean size.
FREE_PARTS = 32 * 1024
# Reading as many chunks takes a few milliseconds.
PARTS_PER_TURN = 256
# A body in many parts of less than this size is parsed more slowly than it is
# received, so as many bytes of it wait as the web server reads at a time.
MIN_TINY_PARTS = 256
TINY_PART_BYTES = 64
UNPARSED_BYTES = 256 * 1024


async def expect_body(http_request: web.Request) -> None:
    """Check the header ``Expect``; ``read_body`` asks for the body."""
    expect = http_request.headers.get(hdrs.EXPECT, "")
    if http_request.version >= HttpVersion11 and expect.lower() != "100-continue":
        raise web.HTTPExpectationFailed(text=f"Unknown Expect: {expect}")


async def read_body(
    http_request: web.Request, limits: Limits, gate: IntakeGate, holding: Holding
) -> bytes:
    """Return the body, whose memory stays in ``holding``.

    Waits for the memory before the body is read. Its size and the time to
    send it are limited. Raises ``RouterError`` if there is no body, whose rest
    is not read then.
    """
    try:
        return await _read_within_limits(http_request, limits, gate, holding)
    except RouterError:
        # The web server would parse what comes for seconds.
        if isinstance(http_request.protocol, BoundedHandler):
            http_request.protocol.drop_body()
        raise


async def _read_within_limits(
    http_request: web.Request, limits: Limits, gate: IntakeGate, holding: Holding
) -> bytes:
    declared = http_request.content_length
    if declared is not None and declared > limits.max_body_bytes:
        raise RouterError(ResultCode.BODY_TOO_LARGE)
    connection = http_request.protocol
    receiver = connection if isinstance(connection, BodyReceiver) else None
    try:
        async with gate.reading(holding, declared, receiver):
            is_asked = hdrs.EXPECT in http_request.headers
            is_asked = is_asked and http_request.version >= HttpVersion11
            if is_asked and http_request.transport is not None:
                http_request.transport.write(CONTINUE)
            async with asyncio.timeout(limits.body_timeout_s):
                body = await _read_whole(http_request, limits, gate, holding)
    except IntakeRefusedError as error:
        raise RouterError(
            ResultCode.NO_CAPACITY_IN_TIME,
            error.cause.value,
            retry_after_s=RETRY_AFTER_S,
        ) from error
    except TimeoutError as error:
        raise RouterError(ResultCode.SLOW_SENDER) from error
    except BodyFramingError as error:
        raise RouterError(ResultCode.BODY_TOO_LARGE, "too much framing") from error
    except web.RequestPayloadError as error:
        raise RouterError(ResultCode.MALFORMED_BODY, "invalid framing") from error
    gate.begin_run(holding, len(body))
    return body


async def _read_whole(
    http_request: web.Request, limits: Limits, gate: IntakeGate, holding: Holding
) -> bytes:
    body, parts = bytearray(), 0
    is_chunked = hdrs.TRANSFER_ENCODING in http_request.headers
    content = http_request.content
    while True:
        if is_chunked and parts % PARTS_PER_TURN == PARTS_PER_TURN - 1:
            await turns_of_loop().wait_for_turn()
        parts += 1
        chunk = await (_read_chunk(content) if is_chunked else content.readany())
        if not chunk:
            return bytes(body)
        size = len(body) + len(chunk)
        is_tiny = parts >= MIN_TINY_PARTS and size < parts * TINY_PART_BYTES
        unparsed = UNPARSED_BYTES if is_chunked and is_tiny else 0
        await gate.received(holding, len(chunk), size + unparsed)
        body += chunk
        # Not kept while the next one is awaited.
        chunk = b""
        if len(body) > limits.max_body_bytes:
            raise RouterError(ResultCode.BODY_TOO_LARGE)
        if is_chunked and has_too_many_parts(len(body), parts, FREE_PARTS):
            gate.admit_many_parts(holding)


async def _read_chunk(content: StreamReader) -> bytes:
    """Return the next chunk, or what has arrived of it; empty at the end."""
    chunk, ended = await content.readchunk()
    while ended and not chunk:
        # The end of a chunk that was returned before.
        chunk, ended = await content.readchunk()
    return chunk
