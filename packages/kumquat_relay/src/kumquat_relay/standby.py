"""A further run that begins while the current run of a stream is silent.

Load pattern: a sound engine falls silent for a second and goes on, or never
does. The run there is given up only once another engine has sent an event, so
a silence costs nothing if no other engine can take over. If the silent run
goes on first, the further one is cancelled.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from kumquat_core.clock import Clock
from kumquat_core.task_errors import log_task_error

from .stream_limits import EventTimeouts

__all__ = ["Standby"]

# Another engine may have appeared or have capacity again after this time.
RETRY_S = 0.5

T = TypeVar("T")


class Standby(Generic[T]):
    """Begins a further run after a silence.

    ``begin`` returns the run, None if none could begin. It is called while
    ``may_begin`` holds, after the silences in ``limits``. ``discard`` ends a
    run that is not needed.
    """

    def __init__(
        self,
        clock: Clock,
        limits: EventTimeouts,
        begin: Callable[[], Awaitable[T | None]],
        may_begin: Callable[[], bool],
        discard: Callable[[T], None],
    ) -> None:
        self.limits = limits
        self._clock = clock
        self._begin = begin
        self._may_begin = may_begin
        self._discard = discard
        self._task: asyncio.Task[T | None] | None = None
        self._retry_at_s = float("-inf")

    @property
    def pending(self) -> "set[asyncio.Task[T | None]]":
        """Return the task to wait for, if it is in progress."""
        return set() if self._task is None or self._task.done() else {self._task}

    @property
    def is_ready(self) -> bool:
        """Tell whether the further run has begun."""
        return self._result() is not None

    @property
    def is_active(self) -> bool:
        """Tell whether the further run is beginning or has begun."""
        return bool(self.pending) or self.is_ready

    def observe_silence(self, silent_s: float, limit_s: float) -> None:
        """Begin the further run if the silence has lasted for ``limit_s``."""
        if silent_s < limit_s or self.is_active:
            return
        now_s = self._clock.monotonic()
        if self._task is not None:
            self._task = None
            self._retry_at_s = now_s + RETRY_S
        if now_s < self._retry_at_s or not self._may_begin():
            return
        self._task = asyncio.ensure_future(self._run())
        self._task.add_done_callback(log_task_error)

    async def take(self) -> T | None:
        """Return the further run once it has begun, None if there is none."""
        if self._task is None:
            return None
        await asyncio.wait({self._task})
        result, self._task = self._result(), None
        return result

    def cancel(self) -> None:
        """Cancel or end the further run, since it is not needed."""
        task, self._task = self._task, None
        if task is None:
            return
        task.cancel()
        task.add_done_callback(self._discard_result)

    async def _run(self) -> T | None:
        return await self._begin()

    def _result(self) -> T | None:
        if self._task is None or not self._task.done() or self._task.cancelled():
            return None
        return None if self._task.exception() else self._task.result()

    def _discard_result(self, task: "asyncio.Task[T | None]") -> None:
        if task.cancelled() or task.exception() is not None:
            return
        result = task.result()
        if result is not None:
            self._discard(result)
