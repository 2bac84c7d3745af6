"""Sends the event stream of a response to its caller.

Load pattern: hundreds of streams at a time, each with tens of events per
second, which are written as they arrive.
"""

import socket
import struct
from collections.abc import Sequence

from aiohttp import web
from multidict import CIMultiDict

from kumquat_core.intake.byte_budget import Holding
from kumquat_core.intake.intake_gate import IntakeGate

from .response_sink import CallerDisconnectedError

__all__ = ["CallerSink"]

# With this SO_LINGER value a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CallerSink:
    """Sends a streamed response to the caller.

    ``response`` is None until its head is sent. ``announces_close`` tells
    whether the head says that the connection is closed afterwards.
    """

    def __init__(
        self,
        http_request: web.BaseRequest,
        gate: IntakeGate,
        holding: Holding,
        *,
        close: bool,
    ) -> None:
        self._http_request = http_request
        self._gate = gate
        self._holding = holding
        # The end of a response without chunks is that of the connection.
        self.announces_close = close or http_request.version < (1, 1)
        self.response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Tell whether the head of the response has been sent."""
        return self.response is not None

    async def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the head of the response."""
        response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        if self.announces_close:
            response.headers["Connection"] = "close"
        if self._http_request.version >= (1, 1):
            response.enable_chunked_encoding()
        self.response = response
        if self._http_request.transport is not None:
            self._gate.begin_stream(self._holding, self._http_request.transport)
        try:
            await response.prepare(self._http_request)
        except ConnectionError as error:
            raise CallerDisconnectedError from error

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        assert self.response is not None
        # Counted before the write, which blocks while the buffer is full.
        self._gate.stream_written(self._holding, len(data))
        try:
            await self.response.write(data)
        except ConnectionError as error:
            raise CallerDisconnectedError from error

    async def finish(self) -> None:
        """End the response."""
        assert self.response is not None
        try:
            await self.response.write_eof()
        except ConnectionError as error:
            raise CallerDisconnectedError from error

    def break_off(self) -> None:
        """Close the connection so that the response is seen to be incomplete.

        A response without chunks ends with its connection, so only a reset
        tells an incomplete one from a complete one.
        """
        transport = self._http_request.transport
        if transport is None:
            return
        sock = transport.get_extra_info("socket")
        if self._http_request.version < (1, 1) and sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        transport.abort()
