"""Ends the waits of many requests early, all at once.

Load pattern: every request waits within one ``timeout_at``, which costs two
set operations. ``end_all`` is called once in the life of a process, when it
must exit, and ends up to a few hundred waits with ``TimeoutError``, as their
deadlines would.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

__all__ = ["HOST_STOPPED", "Cutoff"]

# The reason that is logged for requests that end because their host exits.
HOST_STOPPED = "host_stopped"


class Cutoff:
    """Deadlines that can be moved to now; ``reached`` tells if they were."""

    def __init__(self) -> None:
        self.reached = False
        self._timeouts: set[asyncio.Timeout] = set()

    @asynccontextmanager
    async def timeout_at(self, when_s: float | None) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` at a loop time, or when the cutoff ends.

        None is no deadline.
        """
        if self.reached:
            when_s = asyncio.get_running_loop().time()
        async with asyncio.timeout_at(when_s) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    def end_all(self) -> None:
        """End all waits that are open, and those that begin later."""
        self.reached = True
        now_s = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now_s)
