"""Shares memory and parsing time between the connections to servers.

Load pattern: faulty servers send bytes without end on many connections at
once, in parts of a byte each, while sound ones send a few kilobytes in a few
parts. Received bytes wait unparsed, which costs no more than their size. Once
all connections together hold ``MAX_BUFFERED_BYTES``, each reads less at a
time. A reader with many parts waits for a turn between them, and one reader
of the host gets a turn in each iteration of the event loop.
"""

from kumquat_core.parsing_turns import turns_of_loop

__all__ = ["MAX_BUFFERED_BYTES", "ReceiveBudget"]

# A sixteenth of the memory of the smallest host, which has 128 MB.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024


class ReceiveBudget:
    """The received bytes of all connections, and their turns to parse."""

    def __init__(self) -> None:
        self.buffered_bytes = 0

    async def wait_for_turn(self) -> None:
        """Wait until the readers that came before have had a turn."""
        await turns_of_loop().wait_for_turn()
