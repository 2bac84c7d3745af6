"""Whether an engine fails clearly more often than the others of its service.

Load pattern: one engine of many fails a third or half of its runs for some
seconds, while its health check is good and its successes in between hide any
row of failures. Each host sees a few of its runs only; the owner of the queue
hears how all of them end.

A few failures tell enough when the other engines hardly fail. When all fail
alike, the cause lies elsewhere and none stands out.
"""

import math
from collections import deque
from collections.abc import Iterable

__all__ = ["FailureShare", "fails_often"]

# Outcomes that are kept of an engine, and for how many seconds. Troubles of
# engines last some seconds; an engine that was left out is tried again then.
RECENT_RUNS = 20
RECENT_S = 6.0
# One or two failures may be chance or the fault of their requests.
MIN_FAILURES = 3
# The chance of as many failures at an engine that is like the others.
CHANCE = 0.01
# Start value of the share of failures, and the runs that it counts for.
FIRST_SHARE = 0.05
FIRST_RUNS = 20


class FailureShare:
    """How the recent runs of one engine ended; times are steady seconds."""

    def __init__(self) -> None:
        self._outcomes: deque[tuple[float, bool]] = deque(maxlen=RECENT_RUNS)

    def observe(self, failed: bool, now_s: float) -> None:
        """Note the end of a run."""
        self._outcomes.append((now_s, failed))

    def counts(self, now_s: float) -> tuple[int, int]:
        """Return the recent failures and the recent runs."""
        while self._outcomes and now_s - self._outcomes[0][0] > RECENT_S:
            self._outcomes.popleft()
        return sum(failed for _, failed in self._outcomes), len(self._outcomes)


def fails_often(
    own: FailureShare, others: Iterable[FailureShare], now_s: float
) -> bool:
    """Tell whether an engine stands out against the others."""
    failures, runs = own.counts(now_s)
    if failures < MIN_FAILURES:
        return False
    counts = [share.counts(now_s) for share in others]
    usual_failures = sum(count[0] for count in counts) + FIRST_SHARE * FIRST_RUNS
    usual_runs = sum(count[1] for count in counts) + FIRST_RUNS
    return _at_least(failures, runs, usual_failures / usual_runs) < CHANCE


def _at_least(failures: int, runs: int, share: float) -> float:
    """Return the chance of so many failures or more among ``runs``."""
    return sum(
        math.comb(runs, count) * share**count * (1 - share) ** (runs - count)
        for count in range(failures, runs + 1)
    )
