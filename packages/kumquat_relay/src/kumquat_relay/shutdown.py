"""Planned stop of an entry host.

Load pattern: all hosts are stopped and started in turn while callers keep
their connections open. The host says at once that it is not ready, asks
callers to close their connections with each answer, serves what still
arrives, and ends when nothing is in progress and nothing has arrived for a
while, at the latest shortly before the platform kills it.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from kumquat_core.clock import Clock

__all__ = ["Shutdown"]

# The balancer asks once a second and takes a host out after two misses.
NOTICE_S = 2.5
# A stream that begins later would be cut by the end of the process.
LAST_STREAM_S = 2.0
# A caller that still uses an open connection sends within this time.
QUIET_S = 0.5
# Hosts of busy services get a request more often than this, in seconds.
IDLE_S = 2.0
# Left before the kill for closing connections and the entry in the store.
END_MARGIN_S = 0.7
POLL_S = 0.05


class Shutdown:
    """Counts the requests in progress and tells when the host may end."""

    def __init__(self, clock: Clock, grace_s: float) -> None:
        self._clock = clock
        self.grace_s = grace_s
        self.in_progress = 0
        self._began_s: float | None = None
        self._last_request_s = float("-inf")

    @property
    def draining(self) -> bool:
        """Tell whether a planned stop has begun."""
        return self._began_s is not None

    def begin(self) -> None:
        """Begin the planned stop."""
        if self._began_s is None:
            self._began_s = self._clock.monotonic()

    @property
    def refuses_streams(self) -> bool:
        """Tell whether a stream that begins now would be cut."""
        if self._began_s is None:
            return False
        return self._clock.monotonic() >= self._began_s + LAST_STREAM_S

    @property
    def left_s(self) -> float:
        """Return the time until the process ends, infinite when it runs on."""
        if self._began_s is None:
            return float("inf")
        end_s = self._began_s + self.grace_s - END_MARGIN_S
        return end_s - self._clock.monotonic()

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request while it is served."""
        self.in_progress += 1
        self._last_request_s = self._clock.monotonic()
        try:
            yield
        finally:
            self.in_progress -= 1
            self._last_request_s = self._clock.monotonic()

    @property
    def idle(self) -> bool:
        """Tell whether there has been no request for a while."""
        idle_s = self._clock.monotonic() - self._last_request_s
        return self.in_progress == 0 and idle_s > IDLE_S

    def may_end(self) -> bool:
        """Tell whether the process may end now."""
        if self._began_s is None:
            return False
        now_s = self._clock.monotonic()
        if now_s >= self._began_s + self.grace_s - END_MARGIN_S:
            return True
        if now_s < self._began_s + NOTICE_S or self.in_progress:
            return False
        return now_s >= self._last_request_s + QUIET_S

    async def wait(self) -> None:
        """Return when the process may end."""
        while not self.may_end():
            await asyncio.sleep(POLL_S)
