"""Tasks that outlive the request that started them, such as cleanup."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from kumquat_core.log_events import log_event

__all__ = ["BackgroundTasks"]

logger = logging.getLogger(__name__)


class BackgroundTasks:
    """Keeps references to background tasks and waits for them at shutdown."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> None:
        """Run a coroutine in a separate task; an exception is logged."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def drain(self, timeout_s: float) -> None:
        """Wait for all tasks; cancel those still running at the timeout."""
        if not self._tasks:
            return
        _, pending = await asyncio.wait(self._tasks, timeout=timeout_s)
        for task in pending:
            task.cancel()

    def _on_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        log_event(
            logger,
            "background_task_failed",
            level=logging.WARNING,
            task=task.get_name(),
            error=repr(task.exception()),
        )
