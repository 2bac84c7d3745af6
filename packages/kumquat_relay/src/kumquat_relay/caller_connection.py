"""Connections of callers, which a stopping host closes without losing bytes.

Load pattern: several hundred connections are open when a host stops, most of
them idle, some with a request or part of one, some with responses that their
callers have not read yet. Bytes that the host has not read stay in the
kernel, so that a caller knows that its request has not run. The sending side
is closed first, and the connection once the caller has closed it too or after
a short time: closing it with unread bytes resets it, which would destroy a
response that is still on its way.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from kumquat_core.intake.intake_gate import IntakeGate
from kumquat_core.log_events import log_event
from kumquat_core.partial_heads import ends_within_head

from .caller_socket import is_closed, unsent_bytes
from .intake.bounded_connection import BoundedConnection
from .intake.raw_responses import HEAD_TIMEOUT, HEAD_TOO_LARGE, NO_MEMORY, REFUSAL
from .limit_history import DEFAULT_LIMITS, LimitHistory

__all__ = ["CallerConnection", "CallerConnections"]

# How long callers that do not close a connection themselves may read the last
# response before unread bytes reset the connection.
LINGER_S = 0.3
# Time for the last responses and closes once the process must exit. The margin
# of the shutdown includes it.
LAST_RESPONSES_S = 0.35
# Time for them if the grace period is over before the close begins, since it
# is very short or was shortened by a reload. The handlers of requests that are
# cut need a few steps of the event loop to answer.
MIN_CLOSE_S = 0.2
# How long a caller may read nothing of its response once its deadline has
# passed. Callers abandon streams after pauses of this length.
UNREAD_S = 2.0
POLL_S = 0.01
# Lines of a head may be as long as this under all configurations.
MIN_LINE_BYTES = DEFAULT_LIMITS.max_header_bytes

logger = logging.getLogger(__name__)


class CallerConnection(BoundedConnection):
    """A connection that can stop reading for good.

    ``closing`` is set when the sending side is about to be closed, after the
    last response, and ``close_announced`` if that response says so. ``due_s``
    is the loop time of the latest deadline of its requests.
    """

    __slots__ = (
        "_connections",
        "_drops_requests",
        "_reading_stopped",
        "_unsent",
        "_unsent_since_s",
        "close_announced",
        "closing",
        "due_s",
    )

    def __init__(
        self,
        manager: "CallerConnections",
        limits: LimitHistory,
        gate: IntakeGate | None,
        **options: Any,
    ) -> None:
        super().__init__(manager, limits, gate, **options)
        self._connections = manager
        self._reading_stopped = False
        self._drops_requests = False
        # The bytes that were unsent, and since when there have been as many.
        self._unsent = 0
        self._unsent_since_s = float("-inf")
        self.closing = False
        self.close_announced = False
        self.due_s = float("-inf")

    def data_received(self, data: bytes) -> None:
        """Parse received bytes unless further requests are dropped."""
        if not self._drops_requests:
            super().data_received(data)

    def refuse_request(self) -> None:
        """Refuse a request that has not begun and close the connection."""
        if self.transport is not None and not self.closing:
            self.close_announced = True
            self.transport.write(NO_MEMORY)
            self._connections.start_closer(self)

    def close_after_response(self) -> None:
        """Close the connection once its last response has arrived."""
        self._connections.start_closer(self)

    def close_idle(self) -> None:
        """Close the connection; refuse the head that has begun, if any."""
        self._connections.start_closer(self, HEAD_TIMEOUT)

    def refuse_head(self) -> None:
        """Answer a head that is too long, unless a request is in progress.

        Nothing more is read, so the connection ends at its idle limit then.
        """
        answered = self.answered
        self.stop_reading()
        self._drops_requests = True
        if answered and self.transport is not None and not self.closing:
            self.close_announced = True
            self.transport.write(HEAD_TOO_LARGE)
            self._connections.start_closer(self)

    def _end_parsing(self, *, answered: bool) -> bool:
        """Parse no further heads; tell whether part of one can be refused.

        Unless all that was read is ``answered``, a refusal would be written
        within an answer.
        """
        if self.in_body:
            return False
        self._drops_requests = True
        return answered and not self.close_announced and ends_within_head(self)

    @property
    def has_next_request(self) -> bool:
        """Tell whether a request was read that is not being handled yet."""
        return bool(self._messages)

    @property
    def answered(self) -> bool:
        """Tell whether all requests that were read have been answered."""
        task = self._task_handler
        if self.closing or self.transport is None or task is None or task.done():
            return True
        return self.is_answered

    def is_abandoned(self) -> bool:
        """Tell whether the caller has left its response unread.

        It may read at any time until its deadline, and for as long as it goes
        on reading. Must be called repeatedly.
        """
        if self.transport is None:
            return True
        now_s = asyncio.get_running_loop().time()
        unsent = unsent_bytes(self.transport)
        if not unsent or unsent != self._unsent:
            self._unsent, self._unsent_since_s = unsent, now_s
        return now_s >= max(self.due_s, self._unsent_since_s + UNREAD_S)

    def stop_reading(self) -> None:
        """Leave all further bytes unread, except the rest of a body."""
        if not self.in_body:
            self._reading_stopped = True
            self._pause_transport_reading()

    def drop_body(self) -> None:
        """Leave all further bytes unread, also the rest of a body."""
        self.drop_requests()
        self._reading_stopped = True
        self._pause_transport_reading()
        # It holds up to 256 KB that were received and not parsed.
        self._parser = None

    def drop_requests(self) -> None:
        """Leave the requests behind the current one unhandled.

        They must not run, since their responses could not be sent.
        """
        self._drops_requests = True
        self._drop_messages()

    def _resume_transport_reading(self) -> None:
        if not self._reading_stopped:
            super()._resume_transport_reading()

    async def finish(self, left_s: Callable[[], float], refusal: bytes) -> int:
        """Close the connection once its responses have arrived.

        ``refusal`` is sent if part of a head was read. Returns the bytes that
        could not be sent while ``left_s`` was positive and the caller read
        them.
        """
        if self.closing or self.transport is None:
            return 0
        answered, self.closing = self.answered, True
        transport = self.transport
        if not transport.is_closing():
            self._close_sending_side(transport, refusal, answered=answered)
        while self._is_open() and left_s() > 0 and unsent_bytes(transport):
            if self.is_abandoned():
                break
            await asyncio.sleep(POLL_S)
        linger_end_s = asyncio.get_running_loop().time() + LINGER_S
        while self._is_open() and left_s() > 0 and not transport.is_closing():
            if asyncio.get_running_loop().time() >= linger_end_s:
                break
            await asyncio.sleep(POLL_S)
        unsent = unsent_bytes(transport) if self._is_open() else 0
        if unsent:
            transport.abort()
        else:
            transport.close()
        return unsent

    def _close_sending_side(
        self, transport: asyncio.Transport, refusal: bytes, *, answered: bool
    ) -> None:
        """Send the end of the connection after what is in the buffers."""
        self.stop_reading()
        if self._end_parsing(answered=answered):
            log_event(logger, "head_incomplete")
            transport.write(refusal)
        try:
            transport.write_eof()
        except OSError as error:
            log_event(logger, "caller_connection_lost", error=repr(error))

    def _is_open(self) -> bool:
        """Tell whether the caller has not closed the connection yet."""
        return self.transport is not None and not is_closed(self.transport)


class CallerConnections(web.Server):
    """All connections of callers.

    ``left_s`` returns the seconds until the process must exit.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        left_s: Callable[[], float],
        limits: LimitHistory,
        gate: IntakeGate | None = None,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self._gate = gate
        self._left_s = left_s
        self._limits = limits
        self._closers: set[asyncio.Task[int]] = set()
        self._min_end_s = float("-inf")
        self.unsent_counts: list[int] = []

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        longest = max(MIN_LINE_BYTES, self._limits.current.max_header_bytes)
        lines = {"max_line_size": longest, "max_field_size": longest}
        options = self._kwargs | lines
        return CallerConnection(
            self, self._limits, self._gate, loop=self._loop, **options
        )

    def expect_answer(self, http_request: web.BaseRequest, due_s: float) -> None:
        """Record the loop time until which a caller waits for its response."""
        connection = _connection_of(http_request)
        connection.due_s = max(connection.due_s, due_s)

    async def send_last(
        self, http_request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """Send a response and close its connection afterwards.

        Requests that were read behind this one are answered first.
        """
        connection = _connection_of(http_request)
        if connection.has_next_request:
            return
        connection.stop_reading()
        connection.close_announced = True
        response.headers["Connection"] = "close"
        try:
            await response.prepare(http_request)
            await response.write_eof()
        except ConnectionError as error:
            log_event(logger, "caller_connection_lost", error=repr(error))
            return
        self.close_later(http_request)

    async def end_body(
        self, http_request: web.BaseRequest, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Send the response to a request whose body is not read any further.

        The connection is closed afterwards.
        """
        connection = _connection_of(http_request)
        connection.drop_body()
        connection.close_announced = True
        response.headers["Connection"] = "close"
        try:
            await response.prepare(http_request)
            await response.write_eof()
        except ConnectionError as error:
            log_event(logger, "caller_connection_lost", error=repr(error))
            return response
        self.start_closer(connection)
        return response

    def has_next_request(self, http_request: web.BaseRequest) -> bool:
        """Tell whether a request was read behind this one."""
        return _connection_of(http_request).has_next_request

    def close_announced(self, http_request: web.BaseRequest) -> bool:
        """Tell whether a response announced the close of the connection."""
        return _connection_of(http_request).close_announced

    def close_later(self, http_request: web.BaseRequest) -> None:
        """Close the connection after a response that announced the close.

        Requests that were sent behind the one of a stream are not answered:
        the head of the stream told the caller that they won't be.
        """
        connection = _connection_of(http_request)
        if connection.has_next_request:
            log_event(logger, "requests_behind_stream_dropped")
        connection.drop_requests()
        connection.close_announced = True
        self.start_closer(connection)

    async def close_all(self) -> None:
        """Answer what was read and close all connections.

        No further request is read. ``unsent_counts`` has the bytes of each
        connection that could not be sent.
        """
        self._min_end_s = asyncio.get_running_loop().time() + MIN_CLOSE_S
        while self._seconds_left() > 0:
            for connection in self._caller_connections():
                connection.stop_reading()
            await asyncio.sleep(POLL_S)
            waiting = [item for item in self._caller_connections() if not item.answered]
            abandoned = [item.is_abandoned() for item in waiting]
            if all(abandoned):
                break
        for connection in self._caller_connections():
            self.start_closer(connection)
        # Errors are logged when a closer ends.
        await asyncio.gather(*self._closers, return_exceptions=True)

    def start_closer(
        self, connection: CallerConnection, refusal: bytes = REFUSAL
    ) -> None:
        """Close a connection; a head that is incomplete gets ``refusal``."""
        task = asyncio.ensure_future(connection.finish(self._seconds_left, refusal))
        self._closers.add(task)
        task.add_done_callback(self._closer_ended)

    def _closer_ended(self, task: asyncio.Task[int]) -> None:
        self._closers.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log_event(
                logger,
                "close_failed",
                level=logging.ERROR,
                error=repr(error),
            )
        elif not task.cancelled() and task.result():
            self.unsent_counts.append(task.result())

    def _seconds_left(self) -> float:
        min_left_s = self._min_end_s - asyncio.get_running_loop().time()
        return max(self._left_s() + LAST_RESPONSES_S, min_left_s)

    def _caller_connections(self) -> list[CallerConnection]:
        return [item for item in self.connections if isinstance(item, CallerConnection)]


def _connection_of(http_request: web.BaseRequest) -> CallerConnection:
    connection = http_request.protocol
    assert isinstance(connection, CallerConnection)
    return connection
