"""Bounds the memory of responses that are read from servers.

Load pattern: responses of servers have some kilobytes and pass without
waiting. Many callers may ask at once for responses of several megabytes,
which are read completely before they are forwarded.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

__all__ = ["ResponseRoom"]


class ResponseRoom:
    """The memory for large responses while they are read.

    One is always read, also if it is larger than ``max_bytes``; the others
    take their turn in the order in which they asked. ``wait_for_room`` waits
    while callers hold too much. ``count_until_unused`` counts what was read
    as held by callers, until nothing refers to its owner any more.
    """

    def __init__(
        self,
        max_bytes: int,
        wait_for_room: Callable[[], Awaitable[None]],
        count_until_unused: Callable[[object, int], None],
    ) -> None:
        self._max_bytes = max_bytes
        self._wait_for_room = wait_for_room
        self.count_until_unused = count_until_unused
        # Sizes of the responses that wait, and what wakes them.
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()
        self._taken = 0

    @asynccontextmanager
    async def reading(self, size: int) -> AsyncIterator[None]:
        """Take room for a response until the block ends."""
        if self._waiting or not self._fits(size):
            await self._wait_for_turn(size)
        else:
            self._taken += size
        try:
            # Responses that were read before may be unread by their callers.
            await self._wait_for_room()
            yield
        finally:
            self._release(size)

    def _fits(self, size: int) -> bool:
        return not self._taken or self._taken + size <= self._max_bytes

    async def _wait_for_turn(self, size: int) -> None:
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((size, turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._release(size)
            raise

    def _release(self, size: int) -> None:
        """Give room back and let those go on that fit."""
        self._taken -= size
        while self._waiting:
            size, turn = self._waiting[0]
            if not turn.done() and not self._fits(size):
                return
            self._waiting.popleft()
            if not turn.done():
                self._taken += size
                turn.set_result(None)
