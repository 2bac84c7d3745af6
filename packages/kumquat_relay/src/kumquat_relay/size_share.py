"""Which requests arrive, by size, and which share of long ones gets a place.

Load pattern: more streams arrive than there are places. Short ones first
serves most callers, but under lasting overload no long one would be served.
Long ones therefore go first while their share is below a part of the share
of all. How many shorter ones arrive tells how often a request is overtaken.
"""

import math
from collections import deque
from dataclasses import dataclass

__all__ = ["SizeShare"]

# Longer than a peak, so that a peak alone serves as many as it can.
WINDOW_S = 12.0
# A usual request holds a place for this long.
FIRST_MEAN_S = 3.5
LEARNING_RATE = 0.03
# Half of a peak; at its rate some twenty requests.
ARRIVALS_S = 2.0
# Shares of fewer requests say nothing.
MIN_ASKED = 2.0


@dataclass
class _Counts:
    asked: float = 0.0
    granted: float = 0.0

    def fade(self, factor: float) -> None:
        self.asked *= factor
        self.granted *= factor

    @property
    def share(self) -> float:
        return self.granted / self.asked if self.asked >= MIN_ASKED else 1.0


class SizeShare:
    """Counts requests that came in time, in exponential windows."""

    def __init__(self, least_share: float) -> None:
        self._least_share = least_share
        self._mean_log = math.log(FIRST_MEAN_S)
        self._long = _Counts()
        self._all = _Counts()
        self._updated_s = float("-inf")
        self._arrivals: deque[tuple[float, float]] = deque()

    def asked(self, place_s: float, now_s: float) -> None:
        """Count a request that would hold a place for ``place_s``."""
        self._fade(now_s)
        self._arrivals.append((now_s, place_s))
        self._all.asked += 1
        if self.is_long(place_s):
            self._long.asked += 1
        value = math.log(max(1e-3, place_s))
        self._mean_log += LEARNING_RATE * (value - self._mean_log)

    def granted(self, place_s: float, now_s: float) -> None:
        """Count a request that got its place."""
        self._fade(now_s)
        self._all.granted += 1
        if self.is_long(place_s):
            self._long.granted += 1

    def is_long(self, place_s: float) -> bool:
        """Tell whether a request is longer than the usual one."""
        return math.log(max(1e-3, place_s)) > self._mean_log

    def shorter_per_s(self, place_s: float, now_s: float) -> float:
        """Return how many shorter requests arrive in a second."""
        while self._arrivals and self._arrivals[0][0] < now_s - ARRIVALS_S:
            self._arrivals.popleft()
        return sum(size < place_s for _, size in self._arrivals) / ARRIVALS_S

    def long_goes_first(self) -> bool:
        """Tell whether long requests get less than their share."""
        return self._long.share < self._least_share * self._all.share

    def _fade(self, now_s: float) -> None:
        if self._updated_s > float("-inf"):
            factor = 0.5 ** ((now_s - self._updated_s) / WINDOW_S)
            self._long.fade(factor)
            self._all.fade(factor)
        self._updated_s = now_s
