"""Measures the time in which the event loop of this host ran.

Load pattern: large bodies, peaks of requests, or a suspended process keep the
loop from running for tens of milliseconds to seconds. Replies wait in their
sockets meanwhile, so that time says nothing about the peer.
"""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from kumquat_core.clock import Clock

__all__ = ["RunningTime"]

STEP_S = 0.01
# A longer step is delayed; timers of an idle loop are late by up to 1 ms.
MAX_STEP_S = 0.012
# What counts of a delayed step, which is two passes of the loop. A call takes
# tens of passes if the link has to be opened again.
DELAYED_STEP_S = 0.005

Result = TypeVar("Result")


class RunningTime:
    """Counts time in steps, of which a delayed one counts little.

    The loop polls its sockets in each step, so an endless series of delayed
    steps reaches each timeout, too. ``total_s`` is accurate only while
    ``sleep`` or ``wait`` are in progress.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._read_s = clock.monotonic()
        self._total_s = 0.0

    def total_s(self) -> float:
        """Return seconds from an arbitrary origin."""
        now_s = self._clock.monotonic()
        self._total_s += _counted_s(now_s - self._read_s)
        self._read_s = now_s
        return self._total_s

    async def sleep(self, seconds: float) -> None:
        """Wait until the loop has run for a time."""
        while seconds > 0:
            began_s = self._clock.monotonic()
            await asyncio.sleep(min(seconds, STEP_S))
            seconds -= self._step_s(began_s)

    async def wait(self, awaitable: Awaitable[Result], timeout_s: float) -> Result:
        """Return the result of an awaitable.

        Cancels it and raises ``TimeoutError`` when the loop has run for
        ``timeout_s`` seconds without a result.
        """
        task = asyncio.ensure_future(awaitable)
        try:
            while True:
                began_s = self._clock.monotonic()
                await asyncio.wait({task}, timeout=min(timeout_s, STEP_S))
                timeout_s -= self._step_s(began_s)
                if task.done():
                    return task.result()
                if timeout_s <= 0:
                    raise TimeoutError
        except (TimeoutError, asyncio.CancelledError):
            # Not if the coroutine is closed: its loop may be closed as well,
            # and then a task can't be cancelled.
            task.cancel()
            raise

    def _step_s(self, began_s: float) -> float:
        """Return what counts of a step."""
        self.total_s()
        return _counted_s(self._clock.monotonic() - began_s)


def _counted_s(step_s: float) -> float:
    return step_s if step_s <= MAX_STEP_S else DELAYED_STEP_S
