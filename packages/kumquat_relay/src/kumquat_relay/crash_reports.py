"""Tells crashes of engines from broken connections at the queue owner.

Load pattern: connections of one host to an engine are reset while the engine
serves the other hosts, or an engine breaks off a single answer. A crash ends
all runs of the engine, and its hosts report them within milliseconds.
"""

from collections import deque

__all__ = ["CRASH_WINDOW_S", "CrashReports"]

# Hosts report the end of their runs within this time after a crash.
CRASH_WINDOW_S = 0.5
MAX_RECORDS = 4096


class CrashReports:
    """The runs that recently ended with a broken connection, by engine."""

    def __init__(self) -> None:
        self._broken_s_by_engine: dict[str, deque[float]] = {}

    def record_broken_run(self, engine_id: str, now_s: float) -> None:
        """Record that the connection of a run at an engine broke."""
        if len(self._broken_s_by_engine) > MAX_RECORDS:
            self._broken_s_by_engine.clear()
        broken = self._broken_s_by_engine.setdefault(engine_id, deque())
        broken.append(now_s)
        while broken[0] < now_s - CRASH_WINDOW_S:
            broken.popleft()

    def is_crash(self, engine_id: str, remaining_runs: int, now_s: float) -> bool:
        """Return whether most runs of an engine have just ended together.

        Hosts that are frozen report the end of their runs later.
        """
        broken = self._broken_s_by_engine.get(engine_id, deque())
        recent = sum(time_s >= now_s - CRASH_WINDOW_S for time_s in broken)
        return recent > 0 and recent >= remaining_runs

    def remove_engine(self, engine_id: str) -> None:
        """Discard the records of an engine that was removed."""
        self._broken_s_by_engine.pop(engine_id, None)
