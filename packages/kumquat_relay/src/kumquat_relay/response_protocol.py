"""Receives and parses the responses of one connection to a server.

Load pattern: sound servers send a response in a few reads and parts. A faulty
one sends bytes without end, tens of thousands of parts in each read, or many
interim responses, while its caller waits or reads slowly.

Received bytes stay unparsed until the reader of the response asks for them, so
no object is kept for a part that waits. Reading from the socket pauses while
more than ``PAUSE_READING_BYTES`` wait. The reader gives way to the event loop
after ``PARTS_PER_TURN`` parts.
"""

import asyncio
from collections.abc import Callable
from typing import cast

import h11

from kumquat_core.request_delivery import is_delivered, is_reset

from .answer_check import is_joined_head
from .receive_budget import MAX_BUFFERED_BYTES, ReceiveBudget
from .response_framing import is_copied_answer

__all__ = ["ConnectionBrokenError", "EndlessResponseError", "ResponseProtocol"]

# The smallest hosts have 128 MB for some hundred streams with slow callers.
PAUSE_READING_BYTES = 64 * 1024
READ_BYTES = 64 * 1024
# Size of a read once the connections of the host hold too much together.
REDUCED_READ_BYTES = 2 * 1024
# Parsing as many parts takes about half a millisecond.
PARTS_PER_TURN = 32

# Limit on an incomplete response head or the framing of an incomplete chunk.
MAX_HEAD_BYTES = 64 * 1024
# Servers send one or two informational (1xx) responses at most.
MAX_INFORMATIONAL_RESPONSES = 16
# The status that the parser suggests for a head above its limit.
HEAD_TOO_LARGE_STATUS = 431

# All connections read into the same buffer: its content is copied before the
# next read begins.
_READ_BUFFER = memoryview(bytearray(READ_BYTES))


class ConnectionBrokenError(Exception):
    """The exchange failed after the request may have been sent.

    ``closed_by_peer`` is set if the peer closed or reset the connection.
    """

    def __init__(self, reason: str, *, closed_by_peer: bool = False) -> None:
        super().__init__(reason)
        self.closed_by_peer = closed_by_peer


class EndlessResponseError(ConnectionBrokenError):
    """The server sent more than a response of this kind may have."""


class ResponseProtocol(asyncio.BufferedProtocol):
    """Parses received bytes when a reader asks for the next event.

    ``busy`` is set during an exchange, ``failure`` once the connection failed.
    ``body_bytes`` and ``body_parts`` count what was parsed of the body of the
    current response. ``on_endless`` is called once in an exchange, with the
    reason, if its response has no end.
    """

    def __init__(self, budget: ReceiveBudget) -> None:
        self.parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.transport: asyncio.Transport | None = None
        self.failure: str = ""
        self.busy = False
        self.closed = False
        self.closed_by_peer = False
        self.answered_idle = False
        self.is_held = False
        self.body_complete = False
        self.body_bytes = 0
        self.body_parts = 0
        self.on_endless: Callable[[str], None] | None = None
        self._budget = budget
        self._received = bytearray()
        # Bytes that the parser got and may not have parsed yet.
        self._parsing_bytes = 0
        self._needs_data = True
        self._turn_parts = 0
        self._informational_count = 0
        self._is_endless = False
        self._ended = False
        self._end_parsed = False
        self._paused = False
        self._waiter: asyncio.Future[None] | None = None

    @property
    def has_unparsed(self) -> bool:
        """Tell whether bytes have arrived behind those that were parsed."""
        return bool(self._received or self.parser.trailing_data[0])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of a new connection."""
        # uvloop's transports are not subclasses of asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)

    def begin_exchange(self) -> None:
        """Expect the response to a request that is about to be sent."""
        self.busy = True
        self.body_complete = False
        self.body_bytes = self.body_parts = 0
        self._informational_count = 0

    def end_exchange(self) -> None:
        """Expect nothing after a response that was read to its end."""
        self.parser.start_next_cycle()
        self._count_parsed()
        self._needs_data = True
        self.busy = False
        self.on_endless = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        if self._budget.buffered_bytes < MAX_BUFFERED_BYTES:
            return _READ_BUFFER
        return _READ_BUFFER[:REDUCED_READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Keep what was read; fail on an idle connection."""
        data = _READ_BUFFER[:nbytes]
        if not self.busy:
            self.answered_idle = is_copied_answer(bytes(data))
            self.fail("bytes without a request")
            return
        if self.closed:
            return
        self._budget.buffered_bytes += nbytes
        if self._waiter is not None and not self._waiter.done():
            # The parser has parsed all that came before.
            self._parsing_bytes += nbytes
            self._needs_data = False
            self.parser.receive_data(bytes(data))
            self._waiter.set_result(None)
            return
        self._received += data
        if len(self._received) > PAUSE_READING_BYTES and not self._paused:
            self._paused = True
            assert self.transport is not None
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Record that the peer sends nothing more.

        A body that lasts until here is whole only if the request was read.
        """
        assert self.transport is not None
        self.closed_by_peer = True
        self.closed = True
        if self.busy and not is_delivered(self.transport):
            self.failure = self.failure or "ended before the request"
        elif self.busy and is_reset(self.transport):
            self.failure = self.failure or "reset behind its end"
        else:
            self._ended = self.busy
        self._wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record how the connection ended."""
        self.closed = True
        self.closed_by_peer |= isinstance(error, ConnectionError)
        if error is not None and self.busy:
            # Applies to what is not read yet.
            self.failure = self.failure or type(error).__name__
        self._wake()

    def hold(self) -> None:
        """Read nothing more until ``end_hold``."""
        self.is_held = self._paused = True
        if self.transport is not None and not self.closed:
            self.transport.pause_reading()

    def end_hold(self) -> None:
        """Read again."""
        self.is_held = False
        self._resume_reading()

    def fail(self, reason: str) -> None:
        """Abort the connection; only the first reason is kept."""
        self.failure = self.failure or reason
        self.abort()
        self._wake()

    def abort(self) -> None:
        """Close the connection at once and discard what was received."""
        if self.transport is not None:
            self.transport.abort()
        self.closed = True
        self._ended = False
        self._budget.buffered_bytes -= len(self._received)
        self._received.clear()
        self._count_parsed()

    def endless(self, reason: str) -> EndlessResponseError:
        """Return the error of a response without end, which is reported."""
        on_endless, self.on_endless = self.on_endless, None
        if on_endless is not None:
            on_endless(reason)
        return EndlessResponseError(reason, closed_by_peer=self.closed_by_peer)

    def broken(self, reason: str) -> ConnectionBrokenError:
        """Return the error of an exchange that cannot be completed."""
        if self._is_endless:
            return self.endless(reason)
        return ConnectionBrokenError(reason, closed_by_peer=self.closed_by_peer)

    async def next_head(self) -> h11.Response:
        """Return the head of the response.

        Informational responses are skipped. Raises ``ConnectionBrokenError``
        if the connection ends before it.
        """
        while (event := self._parse()) is None:
            await self._wait_for_data()
        if not isinstance(event, h11.Response):
            raise self.broken(f"unexpected {type(event).__name__}")
        return event

    async def next_part(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        Parts that have arrived together are joined. Raises
        ``ConnectionBrokenError`` if the connection ends before the body.
        """
        if self._turn_parts >= PARTS_PER_TURN:
            await self._budget.wait_for_turn()
            self._turn_parts = 0
        parts: list[bytes] = []
        while not self.body_complete:
            event = self._parse()
            match event:
                case h11.Data():
                    self._turn_parts += 1
                    self.body_parts += 1
                    if event.data:
                        self.body_bytes += len(event.data)
                        parts.append(event.data)
                    if self._turn_parts < PARTS_PER_TURN:
                        continue
                    if not parts:
                        await self._budget.wait_for_turn()
                        self._turn_parts = 0
                        continue
                case h11.EndOfMessage():
                    self.body_complete = True
                case None if not parts:
                    await self._wait_for_data()
                    continue
                case None:
                    pass
                case _:
                    raise self.broken(f"unexpected {type(event).__name__}")
            break
        return bytes(parts[0]) if len(parts) == 1 else b"".join(parts)

    def _parse(self) -> h11.Event | None:
        """Return the next event, None without enough data for one."""
        try:
            while not self._needs_data or self._feed_parser():
                event = self.parser.next_event()
                if event is h11.NEED_DATA:
                    self._needs_data = True
                    continue
                if event is h11.PAUSED:
                    return None
                assert isinstance(event, h11.Event)
                if not isinstance(event, h11.InformationalResponse):
                    return event
                self._check_informational(event)
                if self.failure:
                    return None
        except h11.RemoteProtocolError as error:
            self._is_endless = error.error_status_hint == HEAD_TOO_LARGE_STATUS
            self.fail(f"malformed answer: {error}")
        return None

    def _feed_parser(self) -> bool:
        """Pass received bytes to the parser; return false without any."""
        self._budget.buffered_bytes -= self._parsing_bytes
        self._parsing_bytes = len(self._received)
        if self._received:
            self._needs_data = False
            self.parser.receive_data(bytes(self._received))
            self._received.clear()
            if self._paused:
                self._resume_reading()
            return True
        if self._ended and not self._end_parsed:
            self._end_parsed, self._needs_data = True, False
            self.parser.receive_data(b"")
            return True
        return False

    def _count_parsed(self) -> None:
        """Discount the bytes that the parser got before."""
        self._budget.buffered_bytes -= self._parsing_bytes
        self._parsing_bytes = 0

    def _check_informational(self, event: h11.InformationalResponse) -> None:
        self._informational_count += 1
        if self._informational_count > MAX_INFORMATIONAL_RESPONSES:
            self._is_endless = True
            self.fail("too many interim answers")
        elif is_joined_head(event.reason, event.headers.raw_items()):
            # The final answer is part of this head.
            self.fail("joined interim answer")

    def _resume_reading(self) -> None:
        self._paused = False
        if self.transport is not None and not self.closed:
            self.transport.resume_reading()

    async def _wait_for_data(self) -> None:
        """Wait for further bytes; raises if there will be none."""
        if self.failure or self.closed:
            raise self.broken(self.failure or "closed")
        self._turn_parts = 0
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
