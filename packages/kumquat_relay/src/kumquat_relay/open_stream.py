"""The response of a model engine to a run, once its head has arrived.

Load pattern: an engine pauses all its runs while it prefills a prompt. After a
crash without a TCP reset it sends nothing more, and a faulty engine may send
bytes that never complete an event. The time without a complete event is the
idle time of the stream: it is reported at intervals and fails the run when it
reaches the timeouts of the route.
"""

import asyncio
import math
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

from kumquat_core.clock import Clock

from .body_limit import ANSWER_BODY
from .engine_connection import ConnectionBrokenError, EngineConnection
from .engine_pool import EnginePool
from .event_stream import MAX_EVENT_BYTES, EventSplitter, EventTooLargeError
from .standby import Standby
from .stream_limits import EventTimeouts

__all__ = ["ContinuationError", "OpenStream", "RunFailedError"]

# Several times the usual gap between two events.
STALL_S = 0.35
# Part of the gaps between events that may be pauses. An engine that pauses
# more often is slow.
MAX_PAUSE_SHARE = 0.25
# Parts of a body without an event. Engines may write each byte of an event in
# a chunk of its own.
MAX_IDLE_PARTS = 16 * 1024


class RunFailedError(Exception):
    """The run failed after the engine may have started it.

    ``closed_by_engine`` is set if the engine closed or reset the connection,
    ``silent`` if it sent no event in time.
    """

    def __init__(
        self, reason: str, *, closed_by_engine: bool = False, silent: bool = False
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.closed_by_engine = closed_by_engine
        self.silent = silent

    @classmethod
    def from_silence(cls) -> "RunFailedError":
        """Return the failure of a run whose engine fell silent."""
        return cls("silent", silent=True)

    @classmethod
    def from_broken(
        cls, error: ConnectionBrokenError, prefix: str = ""
    ) -> "RunFailedError":
        """Return the failure of a run whose connection broke."""
        return cls(f"{prefix}{error}", closed_by_engine=error.closed_by_peer)


class ContinuationError(RunFailedError):
    """The answer of another engine does not continue a response.

    ``kind`` is a reason of a small fixed set, ``reason`` may tell more.
    """

    def __init__(self, kind: str, detail: str = "") -> None:
        super().__init__(f"{kind}_{detail}" if detail else kind)
        self.kind = kind


@dataclass
class OpenStream:
    """A response whose head has arrived.

    ``head_ms`` is the time from sending the request to the head. It includes
    the prefill if the engine prefills the prompt itself.
    """

    engine_id: str
    status: int
    headers: list[tuple[str, str]]
    is_event_stream: bool
    _connection: EngineConnection
    _pool: EnginePool
    _clock: Clock
    head_ms: float = 0.0
    events_forwarded: int = 0
    _is_open: bool = True
    _pending_read: "asyncio.Future[bytes] | None" = None
    _first_event_s: float | None = field(default=None)
    _last_event_s: float = 0.0
    _pauses: int = 0
    _paused_s: float = 0.0

    async def events(
        self,
        splitter: EventSplitter,
        timeouts: EventTimeouts,
        on_stall: Callable[[int], None],
        standby: Standby[Any] | None = None,
        max_events: float = math.inf,
    ) -> AsyncIterator[bytes]:
        """Yield the bytes of complete events as they arrive.

        Raises ``RunFailedError`` if the connection breaks, the stream ends
        within an event, no event completes within ``timeouts`` or the limits
        on what may arrive without one, there are more than ``max_events``, or
        the run of ``standby`` has begun meanwhile, and ``ContinuationError``
        if an event does not continue the stream.
        ``on_stall`` is called with the idle time in milliseconds after each
        ``STALL_S`` without an event.
        """
        body = self._connection.read_body()
        last_progress_s = self._clock.monotonic()
        stalls = idle_bytes = idle_parts = 0
        while True:
            limit_s = self._limit_s(timeouts)
            chunk = await self._next_chunk(body, last_progress_s + limit_s, standby)
            idle_s = self._clock.monotonic() - last_progress_s
            if chunk is None and idle_s >= limit_s:
                raise RunFailedError.from_silence()
            if chunk is None and standby is not None:
                if standby.is_ready:
                    raise RunFailedError.from_silence()
                standby.observe_silence(idle_s, self._limit_s(standby.limits))
            if idle_s >= (stalls + 1) * STALL_S:
                stalls += 1
                on_stall(int(idle_s * 1000))
            if chunk is None:
                continue
            if not chunk:
                break
            count = splitter.events
            try:
                complete = splitter.feed(chunk)
            except EventTooLargeError as error:
                raise self._endless("endless_event") from error
            has_event = splitter.events > count
            parts = self._connection.body_parts
            if has_event:
                idle_bytes, idle_parts = 0, parts
            else:
                idle_bytes += len(chunk)
            if complete:
                if has_event:
                    self._record_event_time()
                    if standby is not None:
                        standby.cancel()
                yield complete
                if has_event:
                    # Time spent waiting for a slow caller is not idle time
                    # of the engine.
                    last_progress_s, stalls = self._clock.monotonic(), 0
            if splitter.misplaced:
                raise ContinuationError("event", splitter.misplaced)
            if splitter.events > max_events:
                raise self._endless("endless_stream")
            if idle_bytes > MAX_EVENT_BYTES or parts - idle_parts > MAX_IDLE_PARTS:
                raise self._endless("endless_comments")
        if splitter.awaits_event:
            raise ContinuationError("empty")
        closed = self._connection.closed_by_peer
        if splitter.remainder:
            raise RunFailedError("partial_event", closed_by_engine=closed)
        if closed and self._first_event_s is None:
            # A response without a length may also end like this when its
            # engine stops before the first event.
            raise RunFailedError("no_event", closed_by_engine=True)

    def _endless(self, reason: str) -> RunFailedError:
        """Return the failure of a run without end, which is recorded."""
        error = self._connection.endless(reason)
        return RunFailedError(reason, closed_by_engine=error.closed_by_peer)

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body of a response that is not an event stream."""
        try:
            async for part in self._connection.read_body(ANSWER_BODY):
                yield part
        except ConnectionBrokenError as error:
            raise RunFailedError.from_broken(error) from error

    def _limit_s(self, timeouts: EventTimeouts) -> float:
        """Return the timeout for the next event."""
        if self._first_event_s is None:
            return timeouts.first_event_s
        return timeouts.gap_s

    async def _next_chunk(
        self,
        body: AsyncIterator[bytes],
        deadline_s: float,
        standby: Standby[Any] | None,
    ) -> bytes | None:
        """Return the next bytes, empty at the end of the body.

        Returns None if none arrive within ``STALL_S``, by the deadline, or
        before the run of ``standby`` has begun or failed.
        """
        wait_s = min(STALL_S, max(0.0, deadline_s - self._clock.monotonic()))
        if self._pending_read is None:
            self._pending_read = asyncio.ensure_future(_next_part(body))
        awaited: set[asyncio.Future[Any]] = {self._pending_read}
        if standby is not None:
            awaited |= standby.pending
        await asyncio.wait(awaited, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
        if not self._pending_read.done():
            return None
        pending, self._pending_read = self._pending_read, None
        try:
            return pending.result()
        except ConnectionBrokenError as error:
            raise RunFailedError.from_broken(error) from error

    def _record_event_time(self) -> None:
        now_s = self._clock.monotonic()
        if self._first_event_s is None:
            self._first_event_s = now_s
        elif now_s - self._last_event_s >= STALL_S:
            self._pauses += 1
            self._paused_s += now_s - self._last_event_s
        self._last_event_s = now_s

    def finish(self) -> None:
        """Return the connection to the pool after a complete response."""
        self._is_open = False
        self._pool.release(self._connection)

    def abort_if_open(self) -> None:
        """Abort the connection, which cancels the run, unless it has ended."""
        if self._pending_read is not None:
            self._pending_read.cancel()
            self._pending_read = None
        if self._is_open:
            self._is_open = False
            self._connection.abort()

    def mean_gap_ms(self, events: int) -> float:
        """Return the mean time between events, 0 for fewer than three.

        Single pauses are left out: they say nothing about the speed of the
        engine, which would get no runs for as long as it seems slow.
        """
        if events < 3 or self._first_event_s is None:
            return 0.0
        streamed_s, gaps = self._last_event_s - self._first_event_s, events - 1
        if self._pauses <= MAX_PAUSE_SHARE * gaps:
            streamed_s, gaps = streamed_s - self._paused_s, gaps - self._pauses
        return streamed_s * 1000 / gaps


async def _next_part(body: AsyncIterator[bytes]) -> bytes:
    """Return the next non-empty part of a body, empty bytes at its end."""
    async for part in body:
        if part:
            return part
    return b""
