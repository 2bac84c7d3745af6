"""Measures how long the event loop does not run.

Load pattern: a response with tens of thousands of parts, or a host that is
suspended, keeps the loop from running for seconds. No timeout can end a
request meanwhile. The processor time that the process used tells the two
apart.
"""

import logging
import time
from collections.abc import Callable

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.timers import RESOLUTION_S, TimerService

__all__ = ["LoopDelay", "watch_loop"]

# Shorter delays cost no request its deadline.
MIN_LOGGED_DELAY_S = 0.25

logger = logging.getLogger(__name__)


class LoopDelay:
    """Compares the time between two passes of the timers with their period.

    ``processor_s`` returns the processor time of the process, ``count`` is
    called with each long delay in seconds.
    """

    def __init__(
        self,
        clock: Clock,
        processor_s: Callable[[], float],
        count: Callable[[float], None],
    ) -> None:
        self._clock = clock
        self._processor_s = processor_s
        self._count = count
        self._checked_s = clock.monotonic()
        self._checked_processor_s = processor_s()

    def check(self) -> None:
        """Record the delay of this pass; log it if it is long."""
        now_s, processor_s = self._clock.monotonic(), self._processor_s()
        delay_s = max(0.0, now_s - self._checked_s - RESOLUTION_S)
        busy_s = processor_s - self._checked_processor_s
        self._checked_s, self._checked_processor_s = now_s, processor_s
        if delay_s < MIN_LOGGED_DELAY_S:
            return
        self._count(delay_s)
        log_event(
            logger,
            "loop_delayed",
            level=logging.WARNING,
            ms=round(delay_s * 1000),
            busy_ms=round(busy_s * 1000),
        )


def watch_loop(
    timers: TimerService, clock: Clock, count: Callable[[float], None]
) -> None:
    """Check the delay of the event loop in each pass of the timers."""
    timers.on_pass = LoopDelay(clock, time.process_time, count).check
