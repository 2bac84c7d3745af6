"""Lets one reader of the event loop at a time parse many small parts.

Load pattern: faulty peers send parts of a byte without end on many connections
at once. Their readers always have data, so none of them waits by itself, and
each part takes as long to parse as a large one.
"""

import asyncio
from collections import deque
from weakref import WeakKeyDictionary

__all__ = ["ParsingTurns", "has_too_many_parts", "turns_of_loop"]

# Parts of a body beyond the free ones must have this size on average.
MIN_MEAN_PART_BYTES = 256


class ParsingTurns:
    """Gives one reader a turn in each iteration of the event loop.

    A turn is always scheduled while a reader waits for one.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def wait_for_turn(self) -> None:
        """Wait until the readers that came before have had a turn."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if len(self._waiting) == 1:
            loop.call_soon(self._begin_turn)
        await turn

    def _begin_turn(self) -> None:
        """Let the first reader go on; the next one in the next iteration."""
        turn = self._waiting.popleft()
        while turn.done() and self._waiting:
            # The reader was cancelled.
            turn = self._waiting.popleft()
        if not turn.done():
            turn.set_result(None)
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._begin_turn)


_turns_by_loop: WeakKeyDictionary[asyncio.AbstractEventLoop, ParsingTurns]
_turns_by_loop = WeakKeyDictionary()


def turns_of_loop() -> ParsingTurns:
    """Return the turns that all readers of the running loop share."""
    return _turns_by_loop.setdefault(asyncio.get_running_loop(), ParsingTurns())


def has_too_many_parts(size: int, parts: int, free_parts: int) -> bool:
    """Tell whether a body of ``size`` bytes came in too many parts.

    ``free_parts`` may have any size.
    """
    return parts > free_parts + size // MIN_MEAN_PART_BYTES
