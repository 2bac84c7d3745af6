"""Lets requests of callers wait for memory, and ends those that are refused.

Load pattern: almost all requests pass without waiting. Under load that the
memory of the host does not hold, some hundred wait, and ``ByteBudget`` decides
ten times a second which of them go on.
"""

import asyncio
import logging
import weakref
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, Protocol, runtime_checkable

from aiohttp import web

from ..clock import Clock
from ..log_events import log_event
from ..timers import TimerService
from .byte_budget import ByteBudget, Cause, Holding
from .head_meter import parsed_head_size
from .heap_trim import HeapTrim
from .intake_limits import IntakeLimits
from .large_response import LargeResponse
from .parts_place import PartsPlace
from .receive_buffers import ReceiveBuffers
from .stream_buffers import StreamBuffers

__all__ = [
    "REQUEST_BYTES",
    "RETRY_AFTER_S",
    "BodyReceiver",
    "IntakeGate",
    "IntakeMetrics",
    "IntakeRefusedError",
]

RESOLVE_PERIOD_S = 0.1
TRIM_PERIOD_S = 1.0
# Until then bodies that stall have been refused and others have ended.
RETRY_AFTER_S = 1.0
# What a host keeps for a request besides its head and body.
REQUEST_BYTES = 10 * 1024

logger = logging.getLogger(__name__)


class IntakeRefusedError(Exception):
    """The memory of a request was taken back; ``cause`` tells why."""

    def __init__(self, cause: Cause) -> None:
        super().__init__(cause.value)
        self.cause = cause


@runtime_checkable
class BodyReceiver(Protocol):
    """The connection of a body."""

    def expect_body(self, size: int) -> None:
        """Receive up to ``size`` bytes of the body ahead of its reader."""


class IntakeMetrics(Protocol):
    """Metrics of the bounds on what callers take."""

    def set_intake_bytes_source(self, read: Callable[[], float]) -> None:
        """Set the function that returns the bytes taken now."""

    def record_intake_refusal(self, cause: str) -> None:
        """Count a request or response that was ended for its memory."""

    def record_intake_closed(self, cause: str, count: int) -> None:
        """Count connections of callers that were closed."""


class IntakeGate:
    """The memory for requests of callers, which may have to wait for it."""

    def __init__(
        self, limits: IntakeLimits, clock: Clock, metrics: IntakeMetrics
    ) -> None:
        self.limits = limits
        self.budget = ByteBudget(limits)
        self.buffers = ReceiveBuffers(limits)
        self._heap_trim = HeapTrim(self.budget)
        metrics.set_intake_bytes_source(lambda: self.budget.total_bytes)
        self._clock = clock
        self._metrics = metrics
        self._waiters: dict[Holding, asyncio.Future[None]] = {}
        # What ends the reading of a body or the sending of a response.
        self._enders: dict[Holding, Callable[[], object]] = {}
        self._receivers_by_holding: dict[Holding, BodyReceiver] = {}
        self._streams = StreamBuffers(self.budget)
        self._parts_place = PartsPlace()
        self._detached: set[Holding] = set()
        self._large_responses: set[LargeResponse] = set()
        self._timer: asyncio.Handle | None = None
        self._resolves_s = 0.0

    def subscribe(self, timers: TimerService) -> None:
        """Return memory to the system periodically."""
        timers.every(TRIM_PERIOD_S, self._heap_trim.check, "heap_trim")

    def open(self, http_request: web.BaseRequest | None = None) -> Holding:
        """Return the holding of a new request, whose head counts if given."""
        base = REQUEST_BYTES
        if http_request is not None:
            headers = http_request.raw_headers
            base += parsed_head_size(http_request.raw_path, headers)
        return self.budget.open(self._clock.monotonic(), base)

    def close(self, holding: Holding) -> None:
        """Give back all bytes of a request unless it runs on detached."""
        if holding in self._detached:
            return
        self.budget.close(holding)
        self._streams.end(holding)
        self._enders.pop(holding, None)
        if self.budget.under_pressure:
            self._schedule(0.0)

    def detach(self, holding: Holding, task: "asyncio.Task[Any]") -> None:
        """Keep the bytes of a request until its task has ended."""
        self._detached.add(holding)

        def ended(_: object) -> None:
            self._detached.discard(holding)
            self.close(holding)

        task.add_done_callback(ended)

    @asynccontextmanager
    async def reading(
        self,
        holding: Holding,
        declared: int | None,
        receiver: BodyReceiver | None = None,
    ) -> AsyncIterator[None]:
        """Take memory for a body, whose reading may end with the block.

        ``receiver`` receives as much ahead as there is memory for. Raises
        ``IntakeRefusedError`` if the memory is taken back.
        """
        loop = asyncio.get_running_loop()
        holding.grows = declared is None
        try:
            async with asyncio.timeout(None) as limit:
                self._enders[holding] = lambda: limit.reschedule(loop.time())
                await self._take(holding, holding.base + (declared or 0))
                if receiver is not None:
                    self._receivers_by_holding[holding] = receiver
                    receiver.expect_body(declared or 0)
                yield
        except TimeoutError:
            if holding.refused is None:
                raise
            raise IntakeRefusedError(holding.refused) from None
        finally:
            self._parts_place.leave(holding)
            self._enders.pop(holding, None)
            if (receiver := self._receivers_by_holding.pop(holding, None)) is not None:
                receiver.expect_body(0)

    async def received(self, holding: Holding, size: int, total: int) -> None:
        """Count received bytes of a body; may wait for more memory."""
        self.budget.record_progress(holding, size, self._clock.monotonic())
        needed = total + holding.base
        if not self.budget.grow(holding, needed, self._clock.monotonic()):
            await self._wait(holding)
        if (receiver := self._receivers_by_holding.get(holding)) is not None:
            receiver.expect_body(holding.taken - needed)

    def admit_many_parts(self, holding: Holding) -> None:
        """Read on a body that comes in very many parts.

        Raises ``IntakeRefusedError`` while another such body is read.
        """
        if not self._parts_place.take(holding):
            holding.refused = Cause.MANY_PARTS
            self._record_refusal(holding)
            raise IntakeRefusedError(Cause.MANY_PARTS)

    def begin_run(self, holding: Holding, size: int) -> None:
        """Keep the bytes of a body that was read until its run ends."""
        self.budget.begin_run(holding, holding.base + size)

    def count_until_unused(self, owner: object, size: int) -> None:
        """Count ``size`` bytes until nothing refers to their owner any more.

        A call may go on after its caller has got a response or has left.
        """
        holding = self.open()
        self.begin_run(holding, size)
        weakref.finalize(owner, self.close, holding).atexit = False

    async def send_large(
        self, holding: Holding, http_request: web.BaseRequest, response: web.Response
    ) -> web.StreamResponse:
        """Send a large response as fast as its caller reads it.

        The connection is closed if the caller reads nothing while the memory
        is needed.
        """
        large = LargeResponse(http_request, response)
        size = holding.base + large.size
        self.budget.begin_answer(holding, size, self._clock.monotonic())
        self._enders[holding] = large.abort
        if self.budget.under_pressure:
            self._schedule(0.0)

        def record(size: int) -> None:
            self.budget.record_progress(holding, size, self._clock.monotonic())

        self._large_responses.add(large)
        try:
            return await large.send(record)
        finally:
            self._large_responses.discard(large)

    def begin_stream(self, holding: Holding, transport: asyncio.Transport) -> None:
        """Count what a stream has in the write buffer of its connection.

        The connection is closed if the caller reads nothing while the memory
        is needed.
        """
        self._streams.begin(holding, transport, self._clock.monotonic())
        self._enders[holding] = transport.abort

    def stream_written(self, holding: Holding, size: int) -> None:
        """Record bytes that were written to a stream."""
        self._streams.record_written(holding, size, self._clock.monotonic())

    async def wait_for_room(self) -> None:
        """Wait while more is taken than the budget, as by unread responses."""
        while self.budget.is_over_limit:
            self._schedule(RESOLVE_PERIOD_S)
            await asyncio.sleep(RESOLVE_PERIOD_S)

    def flush(self) -> None:
        """Write all responses to their connections, which are then closed."""
        for large in self._large_responses:
            large.flush()

    def record_closed(self, cause: str, count: int) -> None:
        """Count connections that were closed."""
        self._metrics.record_intake_closed(cause, count)

    def record_refusal(self, cause: Cause) -> None:
        """Count a request that was refused before it began."""
        self._metrics.record_intake_refusal(cause.value)

    async def _take(self, holding: Holding, size: int) -> None:
        if not self.budget.take(holding, size, self._clock.monotonic()):
            await self._wait(holding)

    async def _wait(self, holding: Holding) -> None:
        """Wait until a request gets what it wants, or raise its refusal."""
        if holding.refused is not None:
            self._record_refusal(holding)
            raise IntakeRefusedError(holding.refused)
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[holding] = waiter
        self._schedule(RESOLVE_PERIOD_S)
        try:
            await waiter
        finally:
            self._waiters.pop(holding, None)

    def _schedule(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time() + delay_s
        if self._timer is not None and self._resolves_s > due_s:
            self._timer.cancel()
            self._timer = None
        if self._timer is None:
            # Kept here: handles of uvloop do not tell it without a delay.
            self._resolves_s = due_s
            self._timer = loop.call_later(delay_s, self._resolve)

    def _resolve(self) -> None:
        self._timer = None
        now_s = self._clock.monotonic()
        self._streams.update_all(now_s)
        resolution = self.budget.resolve(now_s)
        for holding in resolution.granted:
            waiter = self._waiters.get(holding)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)
        for holding in resolution.refused:
            self._record_refusal(holding)
            if (ender := self._enders.pop(holding, None)) is not None:
                ender()
        if self.budget.under_pressure:
            self._schedule(RESOLVE_PERIOD_S)

    def _record_refusal(self, holding: Holding) -> None:
        assert holding.refused is not None
        self._metrics.record_intake_refusal(holding.refused.value)
        log_event(
            logger,
            "intake_refused",
            cause=holding.refused.value,
            bytes=holding.moved,
            total_bytes=self.budget.total_bytes,
            open=len(self.budget),
        )
