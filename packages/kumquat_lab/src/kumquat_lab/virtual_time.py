"""An event loop whose clock advances only when no task can run.

Timeouts and sleeps then take no real time, and a program gives the same order
of events in every run. The loop does not wait for sockets.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from kumquat_core.clock import ManualClock

__all__ = ["VirtualTimeLoop", "run_in_virtual_time"]

Value = TypeVar("Value")


class _VirtualSelector(selectors.SelectSelector):
    """Advances the clock to the next timer instead of waiting for it."""

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
    """An event loop that takes its time from a manual clock."""

    def __init__(self, clock: ManualClock) -> None:
        self._manual_clock = clock
        super().__init__(_VirtualSelector(clock))

    def time(self) -> float:
        """Return the time of the manual clock in seconds."""
        return self._manual_clock.monotonic()


def run_in_virtual_time(
    main: Callable[[ManualClock], Coroutine[Any, Any, Value]],
) -> Value:
    """Run a coroutine function with the manual clock of its event loop."""
    clock = ManualClock(start_s=1000.0)
    with asyncio.Runner(loop_factory=lambda: VirtualTimeLoop(clock)) as runner:
        return runner.run(main(clock))
