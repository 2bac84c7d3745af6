"""Graceful shutdown: no new requests, and all in progress end.

The balancer sees the host as not ready first, and for a notice period the
host still takes what the balancer sends. Requests that arrive later are
refused with ``DRAINING`` before they run.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from kumquat_core.clock import Clock
from kumquat_core.result_codes import ResultCode, RouterError

__all__ = ["Drain"]

RETRY_AFTER_S = 1.0


class Drain:
    """Counts the requests in progress and refuses new ones when asked."""

    def __init__(self, max_requests: int, clock: Clock, notice_s: float = 0.0) -> None:
        self._max_requests = max_requests
        self._clock = clock
        self._notice_s = notice_s
        self._began_s: float | None = None
        self._in_progress = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def draining(self) -> bool:
        """Tell whether the host is not ready for new requests."""
        return self._began_s is not None

    @property
    def refusing(self) -> bool:
        """Tell whether the notice period is over."""
        if self._began_s is None:
            return False
        return self._clock.monotonic() >= self._began_s + self._notice_s

    @property
    def in_progress(self) -> int:
        """Return the number of requests in progress."""
        return self._in_progress

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request while it runs; raises when it can't be taken."""
        if self.refusing:
            raise RouterError(ResultCode.DRAINING, retry_after_s=RETRY_AFTER_S)
        if self._in_progress >= self._max_requests:
            detail = "too many requests on this host"
            raise RouterError(
                ResultCode.NO_CAPACITY_IN_TIME, detail, retry_after_s=RETRY_AFTER_S
            )
        self._in_progress += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._in_progress -= 1
            if self._in_progress == 0:
                self._idle.set()

    def begin(self) -> None:
        """Be not ready, and refuse new requests after the notice period."""
        if self._began_s is None:
            self._began_s = self._clock.monotonic()

    def end(self) -> None:
        """Accept requests again."""
        self._began_s = None

    async def wait_idle(self, limit_s: float) -> bool:
        """Wait for the notice period and until no request is in progress.

        Returns False at the limit.
        """
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.sleep(self._notice_s)
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
