"""Sends signals to child processes while another thread waits for them.

``Process.send_signal`` of asyncio polls the child first. If the child has just
exited, the poll takes the exit status that asyncio's own wait needs, which
then reports 255. A file descriptor of the process needs no poll and never
means another process that got the same id.
"""

import os
import signal
import weakref

__all__ = ["ChildSignals"]


class ChildSignals:
    """Sends signals to one child process until it has exited."""

    def __init__(self, pid: int) -> None:
        self._fd: int | None = None
        try:
            self._fd = os.pidfd_open(pid)
        except ProcessLookupError:
            # The child has exited and its status was read.
            return
        weakref.finalize(self, os.close, self._fd)

    def send(self, number: signal.Signals) -> bool:
        """Send a signal; return false if the child has exited."""
        if self._fd is None:
            return False
        try:
            signal.pidfd_send_signal(self._fd, number)
        except ProcessLookupError:
            return False
        return True
