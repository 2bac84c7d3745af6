"""Logs the errors of tasks whose results nobody reads."""

import asyncio
import logging
from typing import Any

from .log_events import log_event

__all__ = ["MAX_ERROR_CHARACTERS", "describe_error", "log_task_error"]

# An error may contain a whole entry or message of another program.
MAX_ERROR_CHARACTERS = 200

logger = logging.getLogger(__name__)


def describe_error(error: BaseException) -> str:
    """Return an error as a text that fits into a log line."""
    return repr(error)[:MAX_ERROR_CHARACTERS]


def log_task_error(task: "asyncio.Future[Any]") -> None:
    """Log the error of a task that has ended; a callback for its end."""
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        name = task.get_name() if isinstance(task, asyncio.Task) else None
        log_event(
            logger,
            "task_failed",
            level=logging.ERROR,
            task=name,
            error=describe_error(error),
        )
