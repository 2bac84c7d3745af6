"""Connections of callers with bounds on heads and on their number.

Load pattern: several hundred connections, most of them idle. Callers that no
operator controls send heads without end, or open more connections than the
process has descriptors.
"""

import asyncio
from typing import Any, cast

from aiohttp import web
from aiohttp.streams import StreamReader

from kumquat_core.intake.bounded_handler import BoundedHandler
from kumquat_core.intake.byte_budget import Cause
from kumquat_core.intake.framing_meter import FramingMeter
from kumquat_core.intake.head_meter import HeadMeter
from kumquat_core.intake.intake_gate import RETRY_AFTER_S, IntakeGate
from kumquat_core.intake.waiting_input import WaitingInput
from kumquat_core.result_codes import ResultCode, RouterError

from .responses import raw_error_response

__all__ = ["CallerConnection", "CallerConnectionFactory", "drops_input"]

# aiohttp closes a connection that has sent no request for this time.
KEEPALIVE_S = 75.0
# aiohttp keeps up to twice as many bytes of a body that is not read.
READ_BUFFER_BYTES = 8 * 1024


class CallerConnection(BoundedHandler):
    """A connection of a caller."""

    __slots__ = (
        "_drops_input",
        "_ended_requests",
        "_expected_bytes",
        "_framing",
        "_gate",
        "_head_began_s",
        "_holds_queue",
        "_input",
        "_last_payload",
        "_longest_head",
        "_meter",
        "_own_transport",
    )

    def __init__(
        self, manager: web.Server, gate: IntakeGate, longest_head: int, **options: Any
    ) -> None:
        super().__init__(
            manager, max_line_size=longest_head, max_field_size=longest_head, **options
        )
        self._gate = gate
        self._longest_head = longest_head
        self._framing = FramingMeter()
        self._meter = HeadMeter()
        self._input = WaitingInput()
        self._ended_requests = 0
        self._expected_bytes = 0
        self._holds_queue = False
        self._head_began_s: float | None = None
        self._last_payload: StreamReader | None = None
        self._own_transport: asyncio.Transport | None = None
        self._drops_input = False

    @property
    def longest_head(self) -> int:
        """Return the limit on the bytes of a head."""
        return self._longest_head

    @property
    def closing_rank(self) -> tuple[int, float] | None:
        """Return the order in which the connection is closed to make room.

        One that only waits for its caller to close it comes first.
        """
        if self._own_transport is not None and self._own_transport.is_closing():
            return (-1, 0.0)
        return super().closing_rank

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve a connection; others may be closed for it."""
        self._own_transport = cast(asyncio.Transport, transport)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End all counts of the connection."""
        self._own_transport = None
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes unless a head was refused."""
        if self._drops_input:
            return
        super().data_received(data)
        if not self._meter.head_bytes:
            self._head_began_s = None
        elif self._head_began_s is None:
            self._head_began_s = self._loop.time()

    def refuse_head(self) -> None:
        """Answer a head that is too long and close the connection.

        Behind a request that is in progress no answer can be sent: what
        follows is dropped, and the connection closes after its response.
        """
        self._drops_input = True
        if self.is_answered and self.transport is not None:
            error = RouterError(ResultCode.HEAD_TOO_LARGE)
            self.transport.write(raw_error_response(error))
            self.force_close()

    def refuse_request(self) -> None:
        """Refuse a request that has not begun and close the connection."""
        if self.transport is not None:
            error = RouterError(
                ResultCode.NO_CAPACITY_IN_TIME,
                Cause.NO_MEMORY.value,
                retry_after_s=RETRY_AFTER_S,
            )
            self.transport.write(raw_error_response(error))
            self.force_close()

    def close_for_room(self) -> None:
        """Close the connection at once, without waiting for its caller."""
        transport = self._own_transport
        self.force_close()
        if transport is not None:
            transport.abort()


class CallerConnectionFactory:
    """Creates the connections of a server."""

    def __init__(
        self,
        manager: web.Server,
        gate: IntakeGate,
        longest_head: int,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._manager = manager
        self._gate = gate
        self._longest_head = longest_head
        self._loop = loop

    def __call__(self) -> CallerConnection:
        """Return the handler of a new connection."""
        return CallerConnection(
            self._manager,
            self._gate,
            self._longest_head,
            loop=self._loop,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            read_bufsize=READ_BUFFER_BYTES,
        )


def drops_input(http_request: web.BaseRequest) -> bool:
    """Tell whether the connection of a request closes after its response."""
    connection = http_request.protocol
    return isinstance(connection, BoundedHandler) and connection.drops_input
