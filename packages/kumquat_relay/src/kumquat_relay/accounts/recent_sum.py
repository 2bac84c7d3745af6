"""The sum of amounts over a recent time, in constant memory.

Load pattern: one amount for each request of an account, thousands a second
when callers ignore refusals.
"""

import math
from collections import deque

__all__ = ["RecentSum"]

SLOTS = 8


class RecentSum:
    """Sums amounts in slots of time; none is left out too early.

    A slot is left out when all of its amounts are older than ``window_s``.
    """

    def __init__(self, window_s: float) -> None:
        self._slot_s = window_s / SLOTS
        self._sums: deque[tuple[int, float]] = deque()
        self._total = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount; a negative one takes back an earlier amount."""
        self._expire(now_s)
        slot = math.floor(now_s / self._slot_s)
        if self._sums and self._sums[-1][0] == slot:
            amount, total = self._sums.pop()[1] + amount, self._total + amount
        else:
            total = self._total + amount
        self._sums.append((slot, amount))
        self._total = total

    def total(self, now_s: float) -> float:
        """Return the sum of the recent amounts."""
        self._expire(now_s)
        return max(0.0, self._total) if self._sums else 0.0

    def _expire(self, now_s: float) -> None:
        oldest = math.floor(now_s / self._slot_s) - SLOTS
        while self._sums and self._sums[0][0] < oldest:
            self._total -= self._sums.popleft()[1]
        if not self._sums:
            self._total = 0.0
