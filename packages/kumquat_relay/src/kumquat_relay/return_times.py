"""When refused requests should come back.

Load pattern: a peak refuses many callers within a second. Told the same
time, they would return together and form the next peak.

Requests that come in time go before returning ones, which are late. So these
return after the peak, and then one after the other at the pace at which places
become free, as far as the time of their callers allows. Booked returns are
spread evenly, so no randomness is needed.
"""

from collections import deque

__all__ = ["ReturnTimes"]

# Peaks of the standard sites last 4 to 5 s. In the replay of one with twice
# the capacity, of 129 refused callers 47 were refused again when they returned
# after 4.6 s, 55 after 4 s, 85 after 2 s and 112 after 1 s.
PEAK_S = 4.0
# Callers return within this part of the time they have left.
RETURN_PART = 1 / 3
# Mean time that a stream holds a place, measured on the standard sites.
PLACE_S = 3.5
# Part of the places that is expected to be free for returning requests.
RETURN_SHARE = 0.5


class ReturnTimes:
    """Booked returns of one service, steady seconds, in order."""

    def __init__(self) -> None:
        self._booked: deque[float] = deque()

    def next_return_s(
        self, wait_s: float, places: int, left_s: float, now_s: float
    ) -> float:
        """Book a return; return the seconds until then.

        ``left_s`` is the time that the caller has left.
        """
        while self._booked and self._booked[0] <= now_s:
            self._booked.popleft()
        spacing_s = PLACE_S / max(1.0, places * RETURN_SHARE)
        earliest_s = now_s + max(PEAK_S, wait_s)
        if self._booked:
            earliest_s = max(earliest_s, self._booked[-1] + spacing_s)
        return_s = min(earliest_s, now_s + max(0.0, left_s) * RETURN_PART)
        self._booked.append(return_s)
        return return_s - now_s
