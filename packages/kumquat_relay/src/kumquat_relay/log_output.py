"""Structured logging to standard output that never blocks a request.

Lines are buffered and written in batches to a non-blocking descriptor. While
nothing reads the output, lines that would exceed ``MAX_PENDING_BYTES`` are
dropped and counted; a later line states their number.
"""

import asyncio
import logging
import os
import sys
from collections.abc import Callable

from kumquat_core.log_events import KeyValueFormatter, log_event

__all__ = ["BoundedLogHandler", "configure_output"]

# Holds the lines of about two seconds at the highest load of a host.
MAX_PENDING_BYTES = 256 * 1024
FLUSH_INTERVAL_S = 0.1

logger = logging.getLogger(__name__)


class BoundedLogHandler(logging.Handler):
    """Buffers formatted lines and writes as much as the descriptor accepts.

    ``on_dropped`` is called with the number of lines for each drop.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.setFormatter(KeyValueFormatter())
        self._descriptor = descriptor
        self._pending = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._dropped = 0
        self.on_dropped: Callable[[int], None] = lambda count: None

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer one line, or drop and count it if the buffer is full."""
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._dropped += 1
            self.on_dropped(1)
            return
        self._pending += line
        self._schedule_flush()

    def flush(self) -> None:
        """Write as much as possible without blocking."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                break
            except OSError:
                # The output is closed, so the error cannot be reported either.
                self._pending.clear()
                break
            del self._pending[:written]

    def _schedule_flush(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._timer = loop.call_later(FLUSH_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.flush()
        if self._dropped and len(self._pending) < MAX_PENDING_BYTES // 2:
            dropped, self._dropped = self._dropped, 0
            log_event(logger, "log_lines_dropped", level=logging.WARNING, count=dropped)
        if self._pending:
            self._schedule_flush()


def configure_output(level: str) -> BoundedLogHandler:
    """Send all logs of the process to standard output.

    Returns the handler, which has to be flushed before the process exits.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedLogHandler(descriptor)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    return handler
