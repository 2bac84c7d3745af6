"""Graceful shutdown: no new requests, and all in progress end.

The balancer sees the host as not ready first. Requests that still arrive
are refused with ``DRAINING`` before they run.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from kumquat_core.result_codes import ResultCode, RouterError

__all__ = ["Drain"]

RETRY_AFTER_S = 1.0


class Drain:
    """Counts the requests in progress and refuses new ones when asked."""

    def __init__(self, max_requests: int) -> None:
        self._max_requests = max_requests
        self._in_progress = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.draining = False

    @property
    def in_progress(self) -> int:
        """Return the number of requests in progress."""
        return self._in_progress

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request while it runs; raises when it can't be taken."""
        if self.draining:
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
        """Refuse new requests from now on."""
        self.draining = True

    def end(self) -> None:
        """Accept requests again."""
        self.draining = False

    async def wait_idle(self, limit_s: float) -> bool:
        """Wait until no request is in progress; False at the limit."""
        try:
            async with asyncio.timeout(limit_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
