"""Functions shared by the HTTP clients of external systems.

A faulty server may send a response twice, or one that never ends. A copy on
an idle connection closes it before it is used again, ``proved_exchange`` tells
a later copy from the response to the next request, and an endless response
fails the call.
"""

import asyncio
import json
from collections.abc import Callable
from contextlib import AsyncExitStack
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest, ConnectionKey
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from .intake.first_buffer import socket_with_first_buffer
from .intake.response_room import ResponseRoom
from .parsing_turns import has_too_many_parts, turns_of_loop
from .proved_exchange import exchange, record_connection
from .request_delivery import is_delivered, is_reset
from .result_codes import ResultCode, RouterError

__all__ = [
    "LARGE_RESPONSE_BYTES",
    "MAX_RESPONSE_BYTES",
    "TRANSPORT_ERRORS",
    "AnswerTooLargeError",
    "create_session",
    "read_response_body",
    "request_json",
]


class AnswerTooLargeError(ConnectionError):
    """Raised when a response body exceeds its size limit."""


TRANSPORT_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError, OSError)

# One host has about 510 open streams on average at the target size; the limit
# allows for load peaks and bounds the number of sockets.
MAX_CONNECTIONS = 8192
KEEPALIVE_S = 30.0
# The largest response is a snapshot of the configuration, less than 2 MB for
# 12,000 engines.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# aiohttp parses up to a sixteenth as many chunks in one step.
READ_BUFFER_BYTES = 32 * 1024
# The same for responses that may wait until they are read.
WAITING_BUFFER_BYTES = 8 * 1024
# Parts of a response that may have any size.
MAX_SMALL_PARTS = 32 * 1024
# Responses up to this size are read without waiting for memory.
LARGE_RESPONSE_BYTES = 64 * 1024
# Reading as many parts takes a few milliseconds.
PARTS_PER_TURN = 256
# Responses that were parsed and not read. Sound servers send one or two
# interim responses at most.
MAX_WAITING_RESPONSES = 16
HEAD_READ_BYTES = 4 * 1024
# A server that wrote one copy tends to write more. Each copy on a used
# connection costs a call, so this long every call gets a new connection.
NO_REUSE_S = 30.0


class _ResponseHandler(ResponseHandler):
    """Fails a response that is cut by a reset, or has no end before its body.

    aiohttp takes a reset for the end of a body without a length, which lasts
    until the connection is closed. So it does with an end that comes before
    the server has received the request. It parses all that was read in one
    step and reads interim responses until the timeout of the call.
    """

    def data_received(self, data: bytes) -> None:
        """Parse what was read; before the body, a part of it at a time."""
        payload = self._payload
        if len(data) <= HEAD_READ_BYTES or (payload and not payload.is_eof()):
            super().data_received(data)
            return
        for begin in range(0, len(data), HEAD_READ_BYTES):
            if len(self._buffer) > MAX_WAITING_RESPONSES:
                if self.transport is not None:
                    self.transport.close()
                self.set_exception(AnswerTooLargeError("too many interim responses"))
                return
            super().data_received(data[begin : begin + HEAD_READ_BYTES])

    def eof_received(self) -> None:
        """Fail a body that ends before the server has received the request."""
        transport = self.transport
        if transport is not None and not is_delivered(transport):
            self._fail_body(ConnectionError("ended before the request"))
        elif transport is not None and is_reset(transport):
            self._fail_body(ConnectionResetError("reset behind its end"))
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        if exc is not None:
            self._fail_body(exc)
        super().connection_lost(exc)

    def _fail_body(self, exc: BaseException) -> None:
        """Fail the body that is being received, if any."""
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"connection lost: {type(exc).__name__}"),
                exc,
            )


class _Connector(aiohttp.TCPConnector):
    """Opens connections that tell a reset from the end of a response."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # aiohttp has no public option for the class of its protocol.
        create: Callable[..., ResponseHandler] = _ResponseHandler
        self._factory = partial(create, loop=self._loop)


class _CheckedConnector(_Connector):
    """Reuses only connections on which nothing arrived while they were idle.

    aiohttp treats such bytes as the response to the next request and has no
    public option to prevent that. One whose server has responded before it
    received the whole request is not reused either. No connection to a server
    is reused for ``NO_REUSE_S`` after a response that may belong to another
    request.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._reused_again_s_by_key: dict[ConnectionKey, float] = {}

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        connection = await super().connect(req, traces, timeout)
        if connection.protocol is not None:
            on_doubt = partial(self._stop_reuse, req.connection_key)
            record_connection(connection.protocol, on_doubt)
        return connection

    def _release(
        self,
        key: ConnectionKey,
        protocol: ResponseHandler,
        *,
        should_close: bool = False,
    ) -> None:
        transport = protocol.transport
        is_early = transport is not None and not is_delivered(transport)
        super()._release(key, protocol, should_close=should_close or is_early)

    def _stop_reuse(self, key: ConnectionKey) -> None:
        self._reused_again_s_by_key[key] = self._loop.time() + NO_REUSE_S

    def _may_reuse(self, key: ConnectionKey) -> bool:
        reused_again_s = self._reused_again_s_by_key.get(key)
        if reused_again_s is None:
            return True
        if self._loop.time() < reused_again_s:
            return False
        del self._reused_again_s_by_key[key]
        return True

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        may_reuse = self._may_reuse(key)
        for protocol, _ in self._conns.get(key, ()):
            if protocol.should_close or not may_reuse:
                protocol.close()
        return await super()._get(key, traces)


def create_session(
    connect_timeout_s: float, *, reuse_connections: bool = True
) -> aiohttp.ClientSession:
    """Return a client session without a total timeout.

    A session that does not reuse connections sends each request only once.
    Its responses may wait for a ``ResponseRoom``.
    """
    read_bufsize = READ_BUFFER_BYTES
    if reuse_connections:
        connector: _Connector = _CheckedConnector(
            limit=MAX_CONNECTIONS, keepalive_timeout=KEEPALIVE_S
        )
    else:
        connector = _Connector(
            limit=MAX_CONNECTIONS,
            force_close=True,
            socket_factory=socket_with_first_buffer,
        )
        read_bufsize = WAITING_BUFFER_BYTES
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s)
    session = aiohttp.ClientSession(
        connector=connector, timeout=timeout, read_bufsize=read_bufsize
    )
    if not reuse_connections:
        # aiohttp retries PUT and DELETE once when a connection breaks, even a
        # new one, and has no public option to prevent that.
        session._retry_connection = False
    return session


async def read_response_body(
    response: aiohttp.ClientResponse, limit: int, room: ResponseRoom | None = None
) -> bytes:
    """Return the complete body of a response.

    A large one is read on only once ``room`` has its size. Raises
    ``AnswerTooLargeError`` when it exceeds ``limit`` bytes or comes in too
    many parts.
    """
    body, parts = bytearray(), 0
    declared = min(response.content_length or 0, limit)
    needs_room = room is not None and not response.content.at_eof()
    async with AsyncExitStack() as stack:
        if room is not None and needs_room and declared > LARGE_RESPONSE_BYTES:
            # The buffer and the bytes that are returned.
            await stack.enter_async_context(room.reading(2 * declared))
            needs_room = False
        async for part, _ in response.content.iter_chunks():
            body += part
            parts += 1
            if len(body) > limit:
                response.close()
                raise AnswerTooLargeError(f"response exceeds {limit} bytes")
            if has_too_many_parts(len(body), parts, MAX_SMALL_PARTS):
                response.close()
                raise AnswerTooLargeError(f"response has {parts} parts")
            if room is not None and needs_room and len(body) > LARGE_RESPONSE_BYTES:
                await stack.enter_async_context(room.reading(2 * limit))
                needs_room = False
            if parts % PARTS_PER_TURN == 0:
                await turns_of_loop().wait_for_turn()
        return bytes(body)


async def request_json(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    *,
    body: Any = None,
    timeout_s: float,
    error_code: ResultCode,
) -> tuple[int, Any]:
    """Send a request and return the status and the decoded JSON body.

    Raises ``RouterError`` with ``error_code`` when no complete response
    arrives within ``timeout_s`` seconds or it is not JSON.
    """
    try:
        async with asyncio.timeout(timeout_s):
            async with exchange(session, method, url, json=body) as response:
                body = await read_response_body(response, MAX_RESPONSE_BYTES)
                return response.status, json.loads(body)
    except TRANSPORT_ERRORS as error:
        raise RouterError(
            error_code, f"{method} failed: {type(error).__name__}"
        ) from error
    except (ValueError, RecursionError) as error:
        raise RouterError(error_code, f"{method} answered no JSON") from error
