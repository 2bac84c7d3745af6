"""When refused requests should come back.

Load pattern: a peak refuses many callers within a second. Told the same
time, they would return together and form the next peak.

Returns are booked one after the other at the pace at which places become
free, not before the wait that is expected now, and forgotten once their time
has passed. Booked returns are spread evenly, so no randomness is needed.
"""

from collections import deque

__all__ = ["ReturnTimes"]

# A place becomes free every 0.15 s at an engine with twelve places.
MIN_RETURN_S = 0.3
# Callers do not wait longer than a third of the time they have left.
MAX_RETURN_S = 4.0
# Mean time that a stream holds a place, measured on the standard sites.
PLACE_S = 3.5
# Part of the places that is expected to be free for returning requests.
RETURN_SHARE = 0.5


class ReturnTimes:
    """Booked returns of one service, steady seconds, in order."""

    def __init__(self) -> None:
        self._booked: deque[float] = deque()

    def next_return_s(self, wait_s: float, places: int, now_s: float) -> float:
        """Book a return; return the seconds until then."""
        while self._booked and self._booked[0] <= now_s:
            self._booked.popleft()
        spacing_s = PLACE_S / max(1.0, places * RETURN_SHARE)
        earliest_s = now_s + max(MIN_RETURN_S, wait_s)
        if self._booked:
            earliest_s = max(earliest_s, self._booked[-1] + spacing_s)
        return_s = min(earliest_s, now_s + MAX_RETURN_S)
        self._booked.append(return_s)
        return return_s - now_s
