"""Finds out when an engine that could not be reached accepts connections.

Load pattern: the only engine of a role crashes at a peak and is back within
seconds. Trying it with requests would have their prompts read in vain, so
the owner opens a connection now and then until one is accepted; that one is
kept for the next request.
"""

import asyncio
import logging
from collections.abc import Callable

from kumquat_core.log_events import log_event

from .engine_connection import SendFailedError
from .engine_health import EngineHealth
from .engine_pool import EnginePool
from .engine_registry import EngineRegistry

__all__ = ["EngineProbe"]

# New connections are priced and an engine restarts within 2 to 5 s; the delay
# is a tenth of that.
PROBE_PERIOD_S = 0.25

logger = logging.getLogger(__name__)


class EngineProbe:
    """Tries unreachable engines; ``on_reached`` is called for each success."""

    def __init__(
        self,
        pool: EnginePool,
        health: EngineHealth,
        registry: EngineRegistry,
        on_reached: Callable[[], None] = lambda: None,
    ) -> None:
        self._pool = pool
        self._health = health
        self._registry = registry
        self.on_reached = on_reached
        self._tasks_by_engine: dict[str, asyncio.Task[None]] = {}

    def begin(self, engine_id: str) -> None:
        """Try an engine until it is reached or its entry is gone."""
        if engine_id in self._tasks_by_engine:
            return
        task = asyncio.ensure_future(self._run(engine_id))
        self._tasks_by_engine[engine_id] = task
        task.add_done_callback(lambda _: self._tasks_by_engine.pop(engine_id, None))

    def close(self) -> None:
        """Stop all attempts."""
        for task in self._tasks_by_engine.values():
            task.cancel()

    async def _run(self, engine_id: str) -> None:
        attempts = 0
        while self._health.is_unreachable(engine_id):
            entry = self._registry.get(engine_id)
            if entry is None:
                return
            attempts += 1
            try:
                connection = await self._pool.open(entry.address)
            except SendFailedError:
                await asyncio.sleep(PROBE_PERIOD_S)
                continue
            self._pool.give_back(connection)
            self._health.reached(engine_id)
            log_event(logger, "engine_reached", engine=engine_id, attempts=attempts)
            self.on_reached()
