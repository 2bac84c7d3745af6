"""A connection of a caller with a bounded head, and the bound on their number.

Load pattern: several hundred connections with heads below a kilobyte. Callers
that no operator controls send heads and empty lines without end, send many
requests behind one that is in progress, and open more connections than the
process has descriptors.
"""

import asyncio
import logging
from typing import Any

from aiohttp import web
from aiohttp.helpers import set_exception
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

from ..log_events import log_event
from .byte_budget import Cause
from .connection_room import close_oldest_heads, make_room
from .framing_meter import BodyFramingError, FramingMeter
from .head_meter import HeadMeter
from .intake_gate import REQUEST_BYTES, IntakeGate
from .malformed_request import malformed_response, short_message, shorten_last_error
from .waiting_input import (
    MAX_QUEUED_BYTES,
    WaitingInput,
    parts_bytes,
    queued_bytes,
    received_bytes,
)

__all__ = ["BodyFramingError", "BoundedHandler"]

logger = logging.getLogger(__name__)


class BoundedHandler(RequestHandler):
    """A connection that reads no more of a head than the limit allows.

    The attributes below are those of subclasses, which have their slots.
    ``_gate`` counts the bytes of incomplete heads and of requests that wait
    behind others; None sets no bound on the number of connections.
    """

    __slots__ = ()

    _gate: IntakeGate | None
    # Requests that were answered, or dropped before they began.
    _ended_requests: int
    _head_began_s: float | None
    _last_payload: StreamReader | None
    _meter: HeadMeter
    _framing: FramingMeter
    _input: WaitingInput
    _holds_queue: bool
    _drops_input: bool
    _expected_bytes: int

    @property
    def longest_head(self) -> int:
        """Return the limit on the bytes of a head."""
        raise NotImplementedError

    def refuse_head(self) -> None:
        """Answer a head that is too long and close the connection."""
        self.force_close()

    def expect_body(self, size: int) -> None:
        """Receive up to ``size`` bytes of a body ahead of its reader."""
        if self._gate is not None and self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            self._gate.buffers.expect_body(self, sock, size)

    def refuse_request(self) -> None:
        """Refuse a request that has not begun and close the connection."""
        self.force_close()

    def close_for_room(self) -> None:
        """Close the connection to make room for others."""
        self.force_close()

    def stop_input(self) -> None:
        """Drop what waits and all that comes, and close after the response.

        The response is that to the request in progress, or to the one that
        begins in the next step. Without one the connection closes now.
        """
        self._drop_messages(0 if self._is_serving else 1)
        self._end_input()
        if not self.is_answered:
            return
        if self._awaits_request:
            self.close_for_room()
        else:
            self.close_after_response()

    def drop_body(self) -> None:
        """Read no more of a body whose request is refused."""
        self._end_input()
        # The connection may stay until its caller has closed it.
        self._last_payload = None  # type: ignore[misc]

    @property
    def drops_input(self) -> bool:
        """Tell whether the connection closes after the last response."""
        return self._drops_input

    def _end_input(self) -> None:
        """Drop all that comes; what was read before is answered."""
        self._drops_input = True  # type: ignore[misc]
        self._pause_transport_reading()
        # The parser has the rest of what was received.
        self._parser = None
        self._message_tail = b""
        # The rest of a body does not come.
        self._lingering_time = 0.0
        self._end_head()
        self._count_waiting(WaitingInput())

    def _drop_messages(self, kept: int = 0) -> None:
        """Drop requests that have not begun, except the first ``kept``."""
        while len(self._messages) > kept:
            self._messages.pop()
            self._ended_requests += 1  # type: ignore[misc]

    def close_after_response(self) -> None:
        """Close the connection, whose last response has been written."""
        self._close = True

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer an error; that of a caller is none of the host."""
        response = malformed_response(exc, status)
        if response is not None:
            return response
        return super().handle_error(request, status, exc, message)

    @property
    def in_body(self) -> bool:
        """Tell whether the body of the last request is incomplete."""
        return self._last_payload is not None and not self._last_payload.is_eof()

    @property
    def _is_serving(self) -> bool:
        """Tell whether a request was taken to be handled and has not ended.

        The loop may read from the connection before the request begins.
        """
        return self._request_count - self._ended_requests > len(self._messages)

    @property
    def is_answered(self) -> bool:
        """Tell whether all requests that were read have been answered."""
        return self._request_count == self._ended_requests

    @property
    def _awaits_request(self) -> bool:
        """Tell whether all requests were answered and none has arrived."""
        if self._waiter is not None:
            return not self._waiter.done()
        # The task of the connection may not have begun.
        return not self._request_count

    @property
    def head_began_s(self) -> float | None:
        """Return when a head began that is incomplete, None without one."""
        if not self._meter.head_bytes:
            return None
        # Behind a request in progress the time is not known.
        return self._head_began_s or 0.0

    @property
    def closing_rank(self) -> tuple[int, float] | None:
        """Return the order in which the connection is closed to make room."""
        if self._awaits_request and self.transport is not None:
            if self._head_began_s is not None:
                return (1, self._head_began_s)
            return (0, self._next_keepalive_close_time - self._keepalive_timeout)
        # Requests before the one of the body have been answered.
        if self._last_payload is not None and self.in_body and not self._messages:
            return (2, self._last_payload.total_bytes)
        return None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve a connection; others may be closed for it."""
        super().connection_made(transport)
        gate, manager = self._gate, self._manager
        if gate is None or manager is None:
            return
        sock = transport.get_extra_info("socket")
        gate.buffers.opened(self, sock, transport.is_closing)
        excess = len(manager._connections) - gate.limits.max_connections
        if excess > 0:
            others = [item for item in _bounded(manager) if item is not self]
            make_room(self, others, gate, excess)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End all counts of the connection."""
        self._end_head()
        self._end_expected()
        self._count_waiting(WaitingInput())
        if self._gate is not None:
            self._gate.buffers.closed(self)
        super().connection_lost(exc)
        # It refers to the connection, which would stay until a collection.
        self._last_payload = None  # type: ignore[misc]

    def data_received(self, data: bytes) -> None:
        """Parse received bytes unless the head is too long."""
        if self._drops_input:
            return
        paused = self._buffer_paused or self._upgraded
        is_head = bool(data) and not (self.in_body or paused)
        if is_head and self._meter.exceeds(data, self.longest_head):
            self._close_head("head_too_large")
            self.refuse_head()
            return
        count, begun = self._request_count, self._last_payload
        known = received_bytes(begun)
        unparsed = self._input.unparsed
        super().data_received(data)
        added = self._request_count - count
        if added and begun is not None and not begun.is_eof():
            # The error of the parser counts as a request.
            self._ended_requests += 1  # type: ignore[misc]
            self._refuse_body(begun, self._messages.pop()[0])
            return
        if added and self._refuses_request():
            return
        if added:
            shorten_last_error(self._messages)
            # The slot is one of the subclass.
            self._last_payload = self._messages[-1][1]  # type: ignore[misc]
            self._framing.begin_body()
        growth = received_bytes(begun) - known
        waiting = self._waiting_after(unparsed + len(data), growth, added)
        self._count_waiting(waiting)
        if waiting.queued or self._upgraded:
            self._bound_queue()
        if added:
            self._end_head()
        elif begun is not None and not begun.is_eof():
            parsed = len(data) + unparsed - waiting.unparsed
            if not self._framing.add(parsed, growth, self.longest_head):
                self._close_body(begun)
        elif is_head:
            self._count_head(data)

    def _waiting_after(self, received: int, growth: int, added: int) -> WaitingInput:
        """Return what waits after ``received`` bytes were given to the parser.

        A body has grown by ``growth`` and ``added`` requests were parsed.
        """
        waiting = WaitingInput(parts=parts_bytes(self._last_payload))
        if self._upgraded:
            waiting.unparsed = len(self._message_tail)
        elif self._reading_paused or self._buffer_paused:
            parsed = growth
            if added:
                parsed += queued_bytes(list(self._messages)[-added:])
            # A paused parser keeps the rest.
            waiting.unparsed = max(0, received - parsed)
        # A single request begins in the next step, unless another runs.
        if len(self._messages) > (0 if self._is_serving else 1):
            waiting.queued = queued_bytes(self._messages)
        return waiting

    def _count_head(self, data: bytes) -> None:
        """Count bytes of an incomplete head, or empty lines before one."""
        counted = self._meter.memory_bytes
        if not self._meter.add(data):
            self._close_head("empty_lines")
            self.force_close()
        elif self._gate is not None:
            self._gate.budget.change_unframed(self._meter.memory_bytes - counted)
            if self._gate.budget.has_too_much_unframed and self._manager is not None:
                close_oldest_heads(_bounded(self._manager), self._gate)

    async def _handle_request(self, *args: Any) -> tuple[web.StreamResponse, bool]:
        """Handle a request, which does not wait behind others any more."""
        self._end_expected()
        waiting = WaitingInput()
        waiting.unparsed = self._input.unparsed
        waiting.queued = queued_bytes(self._messages)
        self._count_waiting(waiting)
        if self._holds_queue and waiting.queued <= MAX_QUEUED_BYTES:
            self._holds_queue = False  # type: ignore[misc]
            if not (self._reading_paused or self._buffer_paused):
                self._resume_transport_reading()
        try:
            return await super()._handle_request(*args)
        finally:
            self._ended_requests += 1  # type: ignore[misc]
            # What came behind a request for an upgrade is parsed now.
            shorten_last_error(self._messages)
            if self._input.parts:
                waiting = WaitingInput(self._input.queued, self._input.unparsed)
                self._count_waiting(waiting)
            # Requests that were read before the input ended are answered.
            if self._drops_input and not self._messages:
                self.close_after_response()

    def _refuses_request(self) -> bool:
        """Refuse a request for which there is no memory, before it begins.

        Not behind others, whose responses come first.
        """
        gate, task = self._gate, self._task_handler
        if gate is None or task is None or self._is_serving:
            return False
        if len(self._messages) != 1:
            return False
        size = REQUEST_BYTES + queued_bytes(self._messages)
        if gate.budget.expect_request(size):
            self._expected_bytes = size  # type: ignore[misc]
            return False
        # It would begin in the next step.
        task.cancel()
        self._drop_messages()
        self._end_input()
        gate.record_refusal(Cause.NO_MEMORY)
        self.refuse_request()
        return True

    def _end_expected(self) -> None:
        """Count no request any more that was parsed and has not begun."""
        if self._gate is not None and self._expected_bytes:
            self._gate.budget.end_expected(self._expected_bytes)
            self._expected_bytes = 0  # type: ignore[misc]

    def _refuse_body(self, payload: StreamReader, error: object) -> None:
        """End a body whose rest can't be parsed, as the parser tells."""
        self._fail_body(payload, web.RequestPayloadError(short_message(error)))

    def _close_body(self, payload: StreamReader) -> None:
        """End a body that brings too many bytes that are no part of it."""
        log_event(
            logger, "caller_closed", cause="body_framing", bytes=payload.total_bytes
        )
        if self._gate is not None:
            self._gate.record_closed("body_framing", 1)
        self._fail_body(payload, BodyFramingError("too many bytes besides the body"))

    def _fail_body(self, payload: StreamReader, error: Exception) -> None:
        """End a body with an error for its reader."""
        self._end_input()
        if self.is_answered:
            # The web server discards the rest and expects no error.
            self._close = True
            payload.feed_eof()
        else:
            set_exception(payload, error)

    def _resume_transport_reading(self) -> None:
        if not (self._holds_queue or self._drops_input):
            super()._resume_transport_reading()

    def _count_waiting(self, waiting: WaitingInput) -> None:
        """Replace the count of what waits, unless the connection was lost."""
        if self._manager is None:
            return
        change = waiting.total - self._input.total
        if self._gate is not None and change:
            self._gate.budget.change_unframed(change)
        self._input = waiting  # type: ignore[misc]

    def _bound_queue(self) -> None:
        """Read no further behind too much that waits, or drop it."""
        if self._input.queued > MAX_QUEUED_BYTES and not self._holds_queue:
            self._holds_queue = True  # type: ignore[misc]
            self._pause_transport_reading()
        gate = self._gate
        if gate is None or not gate.budget.has_too_much_unframed:
            return
        log_event(logger, "caller_closed", cause="pipelined", bytes=self._input.total)
        gate.record_closed("pipelined", 1)
        self.stop_input()

    def _end_head(self) -> None:
        """Count no bytes of an incomplete head any more."""
        if self._gate is not None and self._meter.head_bytes:
            self._gate.budget.change_unframed(-self._meter.memory_bytes)
        self._meter.end_head()

    def _close_head(self, cause: str) -> None:
        log_event(logger, "caller_closed", cause=cause, bytes=self._meter.head_bytes)
        if self._gate is not None:
            self._gate.record_closed(cause, 1)
        self._end_head()


def _bounded(manager: web.Server) -> list[BoundedHandler]:
    """Return the connections of a server that have bounds."""
    return [item for item in manager._connections if isinstance(item, BoundedHandler)]
