"""Schedules when refused requests should retry.

Load pattern: a load peak refuses many callers within a second. Given the same
retry time, they would come back together and form the next load peak.

New requests, which can be on time, are served before retries, which are late.
Retries are therefore scheduled after the load peak, and then one by one at the
rate at which slots become free, as far as the callers' deadlines allow. The
length of load peaks is learned from earlier ones. Scheduled retries are
evenly spaced, so no random jitter is needed.
"""

from collections import deque

from .running_mean import RunningMean

__all__ = ["RetrySchedule"]

# Expected length of a load peak until the first one has ended.
INITIAL_PEAK_S = 4.0
# Weight of the latest load peak: the last three make up most of the mean.
PEAK_LEARNING_RATE = 0.3
# A load peak is over after this time without a refusal: even a small service
# receives a few requests per second.
PEAK_END_S = 1.0
# Fewer refusals are single requests that did not fit, not a load peak.
MIN_PEAK_REFUSALS = 5
# A load peak longer than expected should last for this fraction of its length
# more.
OVERDUE_SHARE = 0.25
# Callers retry within this fraction of the time until their deadline.
MAX_DEADLINE_SHARE = 1 / 3
# Fraction of the slots that is expected to be available to retries.
RETRY_SLOT_SHARE = 0.5


class RetrySchedule:
    """Retry times of one service's refused requests, in monotonic seconds.

    Without ``spread_retries`` each caller is told when a slot is expected.
    """

    def __init__(self, *, spread_retries: bool = True) -> None:
        self._spread_retries = spread_retries
        self._scheduled: deque[float] = deque()
        self._peak_s = RunningMean(INITIAL_PEAK_S, PEAK_LEARNING_RATE)
        self._peak_began_s = float("-inf")
        self._last_refusal_s = float("-inf")
        self._peak_refusals = 0

    def next_retry_s(
        self,
        wait_s: float,
        slots: int,
        slot_s: float,
        deadline_left_s: float,
        now_s: float,
    ) -> float:
        """Schedule a retry; return the seconds until then.

        ``wait_s`` is the time until a slot is expected, ``slot_s`` how long a
        run holds one of the ``slots``, and ``deadline_left_s`` the time until
        the caller's deadline.
        """
        if not self._spread_retries:
            return min(wait_s, max(0.0, deadline_left_s) * MAX_DEADLINE_SHARE)
        self._record_refusal(now_s)
        while self._scheduled and self._scheduled[0] <= now_s:
            self._scheduled.popleft()
        spacing_s = slot_s / max(1.0, slots * RETRY_SLOT_SHARE)
        earliest_s = now_s + max(self._remaining_peak_s(now_s), wait_s)
        if self._scheduled:
            earliest_s = max(earliest_s, self._scheduled[-1] + spacing_s)
        retry_s = min(
            earliest_s, now_s + max(0.0, deadline_left_s) * MAX_DEADLINE_SHARE
        )
        self._scheduled.append(retry_s)
        return retry_s - now_s

    def _record_refusal(self, now_s: float) -> None:
        """Count a refusal; learn the length of the last peak if it is over."""
        if now_s - self._last_refusal_s > PEAK_END_S:
            if self._peak_refusals >= MIN_PEAK_REFUSALS:
                self._peak_s.observe(
                    self._last_refusal_s - self._peak_began_s + PEAK_END_S
                )
            self._peak_began_s, self._peak_refusals = now_s, 0
        self._last_refusal_s = now_s
        self._peak_refusals += 1

    def _remaining_peak_s(self, now_s: float) -> float:
        """Return how long the current load peak is expected to last."""
        elapsed_s = now_s - self._peak_began_s
        return max(OVERDUE_SHARE * elapsed_s, self._peak_s.value - elapsed_s)
