"""Graceful shutdown of an entry host.

Load pattern: all hosts are restarted one after the other while callers keep
their connections open. The host immediately fails its readiness check, asks
callers with each response to close the connection and serves the requests that
still arrive. It exits when no request is in progress and none has arrived for
a while, at the latest shortly before the platform kills the process.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum

from kumquat_core.clock import Clock

__all__ = ["ExitReason", "Shutdown"]

# Time until the load balancer has removed the host: it checks readiness once
# per second and removes a host after two failed checks.
DETECTION_S = 2.5
# How long after the start of the shutdown new streams are accepted; later ones
# would be cut off when the process exits.
ACCEPT_STREAMS_S = 2.0
# A caller that still uses an open connection sends its next request within
# this time.
QUIET_S = 0.5
# A host without requests for this long is idle; hosts of busy services receive
# requests more often.
IDLE_S = 2.0
# Time kept before the platform kills the process, for closing connections and
# removing the host's entry from the store.
EXIT_MARGIN_S = 0.7
POLL_S = 0.05


class ExitReason(Enum):
    """Why a stopping process exits."""

    # Nothing was in progress when the load balancer had removed the host.
    IDLE = "idle"
    # The last request in progress has ended.
    WORK_DONE = "work_done"
    # The platform is about to kill the process; requests may be cut.
    GRACE_OVER = "grace_over"


class Shutdown:
    """Counts the requests in progress and decides when the host may exit.

    ``grace_s`` is the time from the start of the shutdown until the platform
    kills the process.
    """

    def __init__(self, clock: Clock, grace_s: float) -> None:
        self._clock = clock
        self.grace_s = grace_s
        self.in_progress = 0
        self._began_s: float | None = None
        self._last_request_s = float("-inf")
        self._had_work_after_detection = False

    @property
    def draining(self) -> bool:
        """Tell whether the shutdown has begun."""
        return self._began_s is not None

    def begin(self) -> None:
        """Begin the shutdown; further calls have no effect."""
        if self._began_s is None:
            self._began_s = self._clock.monotonic()

    @property
    def refuses_streams(self) -> bool:
        """Tell whether new streams are refused since they would be cut off."""
        if self._began_s is None:
            return False
        return self._clock.monotonic() >= self._began_s + ACCEPT_STREAMS_S

    @property
    def left_s(self) -> float:
        """Return the seconds until the process must exit.

        Infinite before the shutdown.
        """
        if self._began_s is None:
            return float("inf")
        end_s = self._began_s + self.grace_s - EXIT_MARGIN_S
        return end_s - self._clock.monotonic()

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as in progress while the context is open."""
        self.in_progress += 1
        self._last_request_s = self._clock.monotonic()
        try:
            yield
        finally:
            self.in_progress -= 1
            self._last_request_s = self._clock.monotonic()

    @property
    def idle(self) -> bool:
        """Tell whether there has been no request for ``IDLE_S`` seconds."""
        idle_s = self._clock.monotonic() - self._last_request_s
        return self.in_progress == 0 and idle_s > IDLE_S

    @property
    def elapsed_s(self) -> float:
        """Return the seconds since the start of the shutdown, 0 before it."""
        if self._began_s is None:
            return 0.0
        return self._clock.monotonic() - self._began_s

    def exit_reason(self) -> ExitReason | None:
        """Return why the process may exit now, None if it may not."""
        if self._began_s is None:
            return None
        now_s = self._clock.monotonic()
        if self.left_s <= 0:
            return ExitReason.GRACE_OVER
        if now_s < self._began_s + DETECTION_S:
            return None
        if self.in_progress or now_s < self._last_request_s + QUIET_S:
            self._had_work_after_detection = True
            return None
        if self._had_work_after_detection:
            return ExitReason.WORK_DONE
        return ExitReason.IDLE

    async def wait(self) -> ExitReason:
        """Return why the process exits, as soon as it may."""
        while (reason := self.exit_reason()) is None:
            await asyncio.sleep(POLL_S)
        return reason
