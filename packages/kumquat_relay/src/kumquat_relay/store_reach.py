"""Lets one watch try a store that is away while the others wait for it.

Load pattern: the store refuses hundreds of hosts for seconds, or is away for
all of them. Each host follows several kinds of state; if each of them tried
the store by itself, they would multiply the calls at the worst moment.
"""

import asyncio

from .protocols import StateKind

__all__ = ["StoreReach"]


class StoreReach:
    """Whether the store answers this host, as its watches find out."""

    def __init__(self) -> None:
        self._trying: StateKind | None = None
        self._back = asyncio.Event()

    async def wait(self, kind: StateKind, delay_s: float) -> None:
        """Return when a watch that failed should call the store again.

        The first one that failed returns after its delay, the others when any
        watch has reached the store.
        """
        if self._trying not in (None, kind):
            await self._back.wait()
            return
        self._trying = kind
        self._back.clear()
        await asyncio.sleep(delay_s)

    def reached(self) -> None:
        """Note that the store has answered a watch."""
        if self._trying is not None:
            self._trying = None
            self._back.set()
