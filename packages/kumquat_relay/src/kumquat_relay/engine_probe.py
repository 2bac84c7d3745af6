"""Probes unreachable engines until they accept connections again.

Load pattern: the only engine of a role crashes at a load peak and restarts
within seconds. Trial requests would waste the prefill of their prompts, so the
owner of the queue opens connections periodically until one is accepted. That
connection goes into the pool for the next request.
"""

import asyncio
import logging
from collections.abc import Callable

from kumquat_core.log_events import log_event
from kumquat_core.task_errors import log_task_error

from .engine_connection import SendFailedError
from .engine_health import EngineHealth
from .engine_pool import EnginePool
from .engine_registry import EngineRegistry

__all__ = ["EngineProbe"]

# An engine restarts within 2 to 5 s, so this adds at most about a tenth to its
# downtime. A shorter period would cost more new connections, which are billed.
PROBE_PERIOD_S = 0.25

logger = logging.getLogger(__name__)


class EngineProbe:
    """Probes unreachable engines; calls ``on_connected`` on each success."""

    def __init__(
        self,
        pool: EnginePool,
        health: EngineHealth,
        registry: EngineRegistry,
        on_connected: Callable[[], None] = lambda: None,
    ) -> None:
        self._pool = pool
        self._health = health
        self._registry = registry
        self.on_connected = on_connected
        self._tasks_by_engine: dict[str, asyncio.Task[None]] = {}

    def start(self, engine_id: str) -> None:
        """Probe an engine until it accepts a connection or is removed."""
        if engine_id in self._tasks_by_engine:
            return
        task = asyncio.ensure_future(self._run(engine_id))
        self._tasks_by_engine[engine_id] = task
        task.add_done_callback(lambda _: self._tasks_by_engine.pop(engine_id, None))
        task.add_done_callback(log_task_error)

    def close(self) -> None:
        """Cancel all probes."""
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
            self._pool.release(connection)
            self._health.mark_reachable(engine_id)
            log_event(logger, "engine_reached", engine=engine_id, attempts=attempts)
            self.on_connected()
