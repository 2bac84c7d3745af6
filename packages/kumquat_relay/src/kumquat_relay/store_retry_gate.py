"""Lets one watch retry an unreachable store while the others wait.

Load pattern: the store refuses hundreds of hosts for seconds, or is
unreachable for all of them. Each host watches several kinds of state; if every
watch retried by itself, it would multiply the calls during the outage.
"""

import asyncio

from .protocols import StateKind

__all__ = ["StoreRetryGate"]


class StoreRetryGate:
    """Coordinates the retries of the watches of one host."""

    def __init__(self) -> None:
        self._retrying: StateKind | None = None
        self._reconnected = asyncio.Event()

    async def wait(self, kind: StateKind, delay_s: float) -> None:
        """Return when a watch that failed should call the store again.

        The first watch that failed returns after its delay. The others return
        as soon as any watch has reached the store.
        """
        if self._retrying not in (None, kind):
            await self._reconnected.wait()
            return
        self._retrying = kind
        self._reconnected.clear()
        await asyncio.sleep(delay_s)

    def mark_reachable(self) -> None:
        """Release the waiting watches after a successful call."""
        if self._retrying is not None:
            self._retrying = None
            self._reconnected.set()
