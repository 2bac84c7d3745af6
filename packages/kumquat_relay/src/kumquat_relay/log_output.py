"""Structured logs on standard output that never block a request.

Lines are collected and written in batches to a non-blocking descriptor. When
nobody reads them, what exceeds ``MAX_PENDING_BYTES`` is dropped and counted;
a later line states how many.
"""

import asyncio
import logging
import os
import sys
from collections.abc import Callable

from kumquat_core.log_events import KeyValueFormatter, log_event

__all__ = ["BoundedLogHandler", "configure_output"]

# About two seconds of lines of a host at its highest load.
MAX_PENDING_BYTES = 256 * 1024
FLUSH_S = 0.1

logger = logging.getLogger(__name__)


class BoundedLogHandler(logging.Handler):
    """Collects formatted lines and writes what the descriptor takes."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.setFormatter(KeyValueFormatter())
        self._descriptor = descriptor
        self._pending = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._dropped = 0
        self.on_dropped: Callable[[int], None] = lambda count: None

    def emit(self, record: logging.LogRecord) -> None:
        """Collect one line, or count it as dropped."""
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._dropped += 1
            self.on_dropped(1)
            return
        self._pending += line
        self._plan_flush()

    def flush(self) -> None:
        """Write what can be written without blocking."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                break
            except OSError:
                # The reader is gone; there is nowhere left to report it.
                self._pending.clear()
                break
            del self._pending[:written]

    def _plan_flush(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._timer = loop.call_later(FLUSH_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.flush()
        if self._dropped and len(self._pending) < MAX_PENDING_BYTES // 2:
            dropped, self._dropped = self._dropped, 0
            log_event(logger, "log_lines_dropped", level=logging.WARNING, count=dropped)
        if self._pending:
            self._plan_flush()


def configure_output(level: str) -> BoundedLogHandler:
    """Send all logs of the process to standard output; return the handler."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedLogHandler(descriptor)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    return handler
