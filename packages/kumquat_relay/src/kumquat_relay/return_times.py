"""When refused requests should come back.

Load pattern: a peak refuses many callers within a second. Told the same
time, they would return together and form the next peak.

Requests that come in time go before returning ones, which are late. So these
return after the peak, and then one after the other at the pace at which places
become free, as far as the time of their callers allows. How long peaks last
is learned from the ones before. Booked returns are spread evenly, so no
randomness is needed.
"""

from collections import deque

from .learned_mean import LearnedMean

__all__ = ["ReturnTimes"]

# Start value of the length of a peak, replaced by the first one that ended.
FIRST_PEAK_S = 4.0
# Weight of a peak: the last three make up most of the mean.
PEAK_RATE = 0.3
# A peak is over when nothing was refused for so long: a few requests arrive
# each second even at a small service.
QUIET_S = 1.0
# Fewer refusals are no peak but single requests that did not fit.
MIN_REFUSALS = 5
# A peak that outlasts the usual length goes on for this part of it.
OVERDUE_SHARE = 0.25
# Callers return within this part of the time they have left.
RETURN_PART = 1 / 3
# Part of the places that is expected to be free for returning requests.
RETURN_SHARE = 0.5


class ReturnTimes:
    """Booked returns of one service, steady seconds, in order.

    Without ``spreads`` each caller returns when a place is expected.
    """

    def __init__(self, *, spreads: bool = True) -> None:
        self._spreads = spreads
        self._booked: deque[float] = deque()
        self._peak_s = LearnedMean(FIRST_PEAK_S, PEAK_RATE)
        self._began_s = float("-inf")
        self._refused_s = float("-inf")
        self._refusals = 0

    def next_return_s(
        self, wait_s: float, places: int, place_s: float, left_s: float, now_s: float
    ) -> float:
        """Book a return; return the seconds until then.

        ``place_s`` is how long a stream holds one of the places, ``left_s``
        the time that the caller has left.
        """
        if not self._spreads:
            return min(wait_s, max(0.0, left_s) * RETURN_PART)
        self._note_refusal(now_s)
        while self._booked and self._booked[0] <= now_s:
            self._booked.popleft()
        spacing_s = place_s / max(1.0, places * RETURN_SHARE)
        earliest_s = now_s + max(self._peak_left_s(now_s), wait_s)
        if self._booked:
            earliest_s = max(earliest_s, self._booked[-1] + spacing_s)
        return_s = min(earliest_s, now_s + max(0.0, left_s) * RETURN_PART)
        self._booked.append(return_s)
        return return_s - now_s

    def _note_refusal(self, now_s: float) -> None:
        if now_s - self._refused_s > QUIET_S:
            if self._refusals >= MIN_REFUSALS:
                self._peak_s.observe(self._refused_s - self._began_s + QUIET_S)
            self._began_s, self._refusals = now_s, 0
        self._refused_s = now_s
        self._refusals += 1

    def _peak_left_s(self, now_s: float) -> float:
        """Return how long the present peak is expected to go on."""
        lasted_s = now_s - self._began_s
        return max(OVERDUE_SHARE * lasted_s, self._peak_s.value - lasted_s)
