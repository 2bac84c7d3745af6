"""An event loop whose time moves only when no task can run.

Timeouts and sleeps of seconds then take no real time, and the same program
gives the same order of events on every run. No sockets are served.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from kumquat_core.clock import ManualClock

__all__ = ["VirtualTimeLoop", "run_in_virtual_time"]

Value = TypeVar("Value")


class _VirtualSelector(selectors.SelectSelector):
    """Advances the clock instead of waiting."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("no task can run and no timer is set")
        if timeout > 0:
            self._clock.advance(timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that reads its time from a manual clock."""

    def __init__(self, clock: ManualClock) -> None:
        self._manual_clock = clock
        super().__init__(_VirtualSelector(clock))

    def time(self) -> float:
        """Return the time of the manual clock in seconds."""
        return self._manual_clock.monotonic()


def run_in_virtual_time(
    main: Callable[[ManualClock], Coroutine[Any, Any, Value]],
) -> Value:
    """Run a coroutine function that receives the clock of its loop."""
    clock = ManualClock(start_s=1000.0)
    with asyncio.Runner(loop_factory=lambda: VirtualTimeLoop(clock)) as runner:
        return runner.run(main(clock))
