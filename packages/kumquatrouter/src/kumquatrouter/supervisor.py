"""Supervision tree of an entry host.

Children are aiomisc services. They start in order and stop in reverse order.
A ``TaskService`` runs one coroutine and restarts it after a failure, with a
growing delay.
"""

import asyncio
import logging
from collections.abc import Sequence

import aiomisc

from kumquat_core.log_events import log_event
from kumquat_core.timers import TimerService

__all__ = ["Supervisor", "TaskService", "TimerTask"]

RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0

logger = logging.getLogger(__name__)


class TaskService(aiomisc.Service):
    """A service that consists of one coroutine, ``run``."""

    async def start(self) -> None:
        """Start the coroutine in a separate task."""
        self._task = asyncio.get_running_loop().create_task(self._run_with_restarts())

    async def stop(self, exception: Exception | None = None) -> None:
        """Cancel the coroutine and wait for its end."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def run(self) -> None:
        """Do the work of the service until cancelled."""
        raise NotImplementedError

    async def _run_with_restarts(self) -> None:
        """Run the coroutine, again after each failure, until it returns."""
        delay_s = RESTART_DELAY_S
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            try:
                await self.run()
                return
            except Exception as error:
                if loop.time() - began_s > MAX_RESTART_DELAY_S:
                    # It had worked for a while, so this is another failure.
                    delay_s = RESTART_DELAY_S
                log_event(
                    logger,
                    "service_failed",
                    level=logging.ERROR,
                    service=type(self).__name__,
                    error=repr(error),
                    restart_in_s=delay_s,
                )
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, MAX_RESTART_DELAY_S)


class Supervisor:
    """Starts and stops a sequence of services."""

    def __init__(self, services: Sequence[aiomisc.Service]) -> None:
        self._services = services
        self._started: list[aiomisc.Service] = []

    async def start(self) -> None:
        """Start all services in order; after a failure stop those started."""
        for service in self._services:
            service.set_loop(asyncio.get_running_loop())
            try:
                await service.start()
            except Exception:
                await self.stop()
                raise
            self._started.append(service)

    async def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self._started:
            service = self._started.pop()
            try:
                await service.stop()
            except Exception as error:
                log_event(
                    logger,
                    "service_stop_failed",
                    level=logging.ERROR,
                    service=type(service).__name__,
                    error=repr(error),
                )


class TimerTask(TaskService):
    """Runs the timer service under the supervisor."""

    def __init__(self, timers: TimerService) -> None:
        super().__init__()
        self._timers = timers

    async def run(self) -> None:
        """Run the timers until cancelled."""
        await self._timers.run()
