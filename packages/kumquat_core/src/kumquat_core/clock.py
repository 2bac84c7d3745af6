"""Time sources.

All code that depends on time takes a ``Clock``, so that tests can advance
time explicitly and are deterministic.

The monotonic clock includes the time in which the machine was suspended, so
that leases, deadlines and pauses that ended meanwhile have expired when the
host resumes.
"""

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """A source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return seconds from an arbitrary origin; never decreases."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


# Only Linux has a monotonic clock that advances during suspension.
MONOTONIC_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since the machine booted, suspensions included."""
        return time.clock_gettime(MONOTONIC_CLOCK_ID)

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock that advances only when a test calls ``advance``."""

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s

    def monotonic(self) -> float:
        """Return the current time of this clock in seconds."""
        return self._now_s

    def wall_ms(self) -> int:
        """Return the current time of this clock in milliseconds."""
        return int(self._now_s * 1000)

    def advance(self, seconds: float) -> None:
        """Advance the clock by ``seconds``."""
        self._now_s += seconds
