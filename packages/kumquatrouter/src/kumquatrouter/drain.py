"""Graceful shutdown: refuses new requests and waits for those in progress.

The host first reports that it is not ready. During a notice period it still
accepts requests, because the load balancer needs time to see this. Requests
that arrive later are refused with ``DRAINING`` before they run, and so are
those that may last longer than the process. Those still in progress at the
end are cut: their callers get an answer that says so.
"""

import asyncio
import logging
import math
from collections.abc import Awaitable, Iterator
from contextlib import contextmanager
from typing import TypeVar

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.settings import Limits

__all__ = ["Drain", "RequestInProgress"]

RETRY_AFTER_S = 1.0

# Time to send the answer of a request that takes as long as it may.
ANSWER_MARGIN_S = 0.2

Value = TypeVar("Value")

logger = logging.getLogger(__name__)


class RequestInProgress:
    """A request that runs on this host and can be cut at its end."""

    __slots__ = ("_drain", "_ends_s", "_scope", "_started_s", "is_cut", "request_id")

    def __init__(self, drain: "Drain", request_id: str, started_s: float) -> None:
        self._drain = drain
        self._started_s = started_s
        self._ends_s: float | None = None
        self._scope: asyncio.Timeout | None = None
        self.request_id = request_id
        self.is_cut = False

    def check_time_left(self, longest_s: float) -> None:
        """Refuse the request if it may last longer than the process."""
        self._ends_s = self._drain.clock.monotonic() + longest_s
        if longest_s + ANSWER_MARGIN_S > self._drain.left_s:
            detail = "the host ends before the deadline of the request"
            raise RouterError(ResultCode.DRAINING, detail, retry_after_s=RETRY_AFTER_S)

    async def run(self, work: Awaitable[Value], error_when_cut: RouterError) -> Value:
        """Return the result of a part of the request.

        Raises ``error_when_cut`` when the request is cut meanwhile.
        """
        try:
            async with asyncio.timeout(None) as self._scope:
                if self.is_cut:
                    self.cut()
                return await work
        except TimeoutError:
            if not self.is_cut:
                raise
            raise error_when_cut from None
        finally:
            self._scope = None

    def log_cut(self, reason: str) -> None:
        """Log how long the request ran, and what it still had to run."""
        now_s = self._drain.clock.monotonic()
        left_ms = None if self._ends_s is None else round((self._ends_s - now_s) * 1000)
        log_event(
            logger,
            "request_cut",
            level=logging.WARNING,
            request=self.request_id,
            reason=reason,
            ms=round((now_s - self._started_s) * 1000),
            left_ms=left_ms,
        )

    def cut(self) -> None:
        """End the current part of the request, or the next one."""
        self.is_cut = True
        if self._scope is not None:
            self._scope.reschedule(asyncio.get_running_loop().time())


class Drain:
    """Counts the requests in progress and refuses new ones when draining.

    The process exits at most ``limit_s`` seconds after ``begin_stop``.
    """

    def __init__(
        self,
        max_requests: int,
        clock: Clock,
        notice_s: float = 0.0,
        limit_s: float = math.inf,
    ) -> None:
        self._max_requests = max_requests
        self.clock = clock
        self._notice_s = notice_s
        self._limit_s = limit_s
        self._began_s: float | None = None
        self._stop_began_s: float | None = None
        self._stop_scope: asyncio.Timeout | None = None
        self._refuses_all = False
        self._requests: set[RequestInProgress] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @classmethod
    def from_config(cls, limits: Limits, clock: Clock) -> "Drain":
        """Return the drain of an entry host from its settings."""
        return cls(
            limits.max_streams, clock, limits.drain_notice_s, limits.drain_limit_s
        )

    @property
    def draining(self) -> bool:
        """Return whether a drain has begun, so that the host is not ready."""
        return self._began_s is not None

    @property
    def refusing(self) -> bool:
        """Return whether the notice period of a drain is over."""
        return self._refuses_all or (
            self._began_s is not None and self._notice_left_s <= 0
        )

    @property
    def in_progress(self) -> int:
        """Return the number of requests in progress."""
        return len(self._requests)

    @property
    def left_s(self) -> float:
        """Return the time until the process must exit."""
        if self._stop_began_s is None:
            return math.inf
        ends_s = self._stop_began_s + self._limit_s
        return max(0.0, ends_s - self.clock.monotonic())

    @property
    def _notice_left_s(self) -> float:
        if self._began_s is None:
            return self._notice_s
        return max(0.0, self._began_s + self._notice_s - self.clock.monotonic())

    @contextmanager
    def request(self, request_id: str = "") -> Iterator[RequestInProgress]:
        """Count a request while it runs.

        Raises ``RouterError`` when the host refuses requests or has reached
        its limit of requests in progress.
        """
        if self.refusing:
            raise RouterError(ResultCode.DRAINING, retry_after_s=RETRY_AFTER_S)
        if self.in_progress >= self._max_requests:
            detail = "too many requests on this host"
            raise RouterError(
                ResultCode.NO_CAPACITY_IN_TIME, detail, retry_after_s=RETRY_AFTER_S
            )
        request = RequestInProgress(self, request_id, self.clock.monotonic())
        self._requests.add(request)
        self._idle.clear()
        try:
            yield request
        finally:
            self._requests.remove(request)
            if not self._requests:
                self._idle.set()

    def begin(self) -> None:
        """Report not ready and refuse new requests after the notice period."""
        if self._began_s is None:
            self._began_s = self.clock.monotonic()

    def end(self) -> None:
        """Cancel the drain and accept requests again, unless a stop began."""
        if self._stop_began_s is None:
            self._began_s = None

    def begin_stop(self) -> None:
        """Begin a drain that ends with the process."""
        self.begin()
        if self._stop_began_s is None:
            self._stop_began_s = self.clock.monotonic()

    def change_limit(self, limit_s: float) -> None:
        """Change the limit, also of a stop that has begun.

        Requests were accepted for the time left until then. Those that a
        shorter limit cuts get an answer that says so.
        """
        self._limit_s = limit_s
        if self._stop_scope is not None and not self._stop_scope.expired():
            loop = asyncio.get_running_loop()
            self._stop_scope.reschedule(loop.time() + self.left_s)

    async def wait_for_stop(self) -> bool:
        """Wait like ``wait_idle``, until the process must exit.

        Follows a limit that changes meanwhile.
        """
        try:
            async with asyncio.timeout(self.left_s) as self._stop_scope:
                await self._wait_until_unused()
        except TimeoutError:
            return False
        finally:
            self._stop_scope = None
        return True

    async def _wait_until_unused(self) -> None:
        await asyncio.sleep(self._notice_left_s)
        await self._idle.wait()

    async def wait_idle(self, limit_s: float) -> bool:
        """Wait for the notice period and until no request is in progress.

        Returns False when this takes more than ``limit_s`` seconds.
        """
        try:
            async with asyncio.timeout(limit_s):
                await self._wait_until_unused()
        except TimeoutError:
            return False
        return True

    def cut_requests(self, reason: str) -> int:
        """Refuse new requests and cut all in progress.

        Returns the number of requests that were not cut before.
        """
        self.begin()
        self._refuses_all = True
        # One that was cut before may be on its way out.
        uncut = [request for request in self._requests if not request.is_cut]
        for request in uncut:
            request.log_cut(reason)
            request.cut()
        return len(uncut)
