"""Graceful shutdown of an entry host: what it accepts and when it exits.

Load pattern: all hosts are restarted one after the other while callers keep
their connections open and never pause. The host immediately fails its
readiness check and asks callers with each response to close the connection.
Until the load balancer has removed it, it accepts requests whose longest time
ends before the process must exit; it refuses all others, which another host
accepts immediately. It exits when the accepted work has ended, at the latest
shortly before the platform kills the process. Requests that are refused never
delay the exit.

The usual time of a request decides nothing: servers may take as long as the
timeout of the route.
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
# Time kept for sending a response that comes at the deadline of its request.
ANSWER_MARGIN_S = 0.1
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
    """Counts the accepted work and decides when the host may exit.

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
    def detected(self) -> bool:
        """Tell whether the load balancer has removed the host."""
        return self.draining and self.elapsed_s >= DETECTION_S

    def accepts(self, longest_s: float) -> bool:
        """Tell whether a request that may take ``longest_s`` is accepted."""
        if not self.draining:
            return True
        return not self.detected and longest_s + ANSWER_MARGIN_S <= self.left_s

    @property
    def left_s(self) -> float:
        """Return the seconds until the process must exit.

        Infinite before the shutdown.
        """
        if self._began_s is None:
            return float("inf")
        end_s = self._began_s + self.grace_s - EXIT_MARGIN_S
        return end_s - self._clock.monotonic()

    def begin_work(self) -> None:
        """Count an accepted request as work until ``end_work``."""
        self.in_progress += 1
        self._last_request_s = self._clock.monotonic()

    def end_work(self) -> None:
        """Record that an accepted request has ended."""
        self.in_progress -= 1
        self._last_request_s = self._clock.monotonic()

    @contextmanager
    def track_work(self) -> Iterator[None]:
        """Count an accepted request as work while the context is open."""
        self.begin_work()
        try:
            yield
        finally:
            self.end_work()

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
        if self.left_s <= 0:
            return ExitReason.GRACE_OVER
        if not self.detected:
            return None
        if self.in_progress:
            self._had_work_after_detection = True
            return None
        if self._had_work_after_detection:
            return ExitReason.WORK_DONE
        return ExitReason.IDLE

    async def wait_for_detection(self) -> None:
        """Return when the load balancer has removed the host."""
        while not self.detected and self.left_s > 0:
            await asyncio.sleep(POLL_S)

    async def wait(self) -> ExitReason:
        """Return why the process exits, as soon as it may."""
        while (reason := self.exit_reason()) is None:
            await asyncio.sleep(POLL_S)
        return reason
