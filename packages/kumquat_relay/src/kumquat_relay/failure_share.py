"""Whether an engine fails clearly more often than the others of its service.

Load pattern: one engine of many fails a third or half of its runs for some
seconds, while its health check is good and its successes in between hide any
row of failures. Each host sees a few of its runs only; the owner of the queue
hears how all of them end.

A few failures tell enough when the other engines hardly fail. When all fail
alike, the cause lies elsewhere and none stands out. Where several hosts have
runs at an engine, the failures that one of them reports are not enough: that
host may be cut off from the engine.
"""

import math
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = ["FailureShare", "failing_ids", "fails_often"]

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


@dataclass(frozen=True)
class _Outcome:
    at_s: float
    host_id: str
    failed: bool


class FailureShare:
    """How the recent runs of one engine ended; times are steady seconds."""

    def __init__(self) -> None:
        self._outcomes: deque[_Outcome] = deque(maxlen=RECENT_RUNS)

    def observe(self, failed: bool, host_id: str, now_s: float) -> None:
        """Note the end of a run of a host."""
        self._outcomes.append(_Outcome(now_s, host_id, failed))

    def counts(self, now_s: float) -> tuple[int, int]:
        """Return the recent failures and the recent runs.

        Of several hosts each counts with fewer failures than stand out.
        """
        while self._outcomes and now_s - self._outcomes[0].at_s > RECENT_S:
            self._outcomes.popleft()
        failures_by_host = Counter(
            outcome.host_id for outcome in self._outcomes if outcome.failed
        )
        most = RECENT_RUNS
        if len({outcome.host_id for outcome in self._outcomes}) > 1:
            most = MIN_FAILURES - 1
        failures = sum(min(count, most) for count in failures_by_host.values())
        return failures, len(self._outcomes)


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


def failing_ids(shares_by_id: Mapping[str, FailureShare], now_s: float) -> set[str]:
    """Return the engines that stand out, each against all others."""
    return {
        engine_id
        for engine_id, share in shares_by_id.items()
        if fails_often(
            share,
            (other for other in shares_by_id.values() if other is not share),
            now_s,
        )
    }


def _at_least(failures: int, runs: int, share: float) -> float:
    """Return the chance of so many failures or more among ``runs``."""
    return sum(
        math.comb(runs, count) * share**count * (1 - share) ** (runs - count)
        for count in range(failures, runs + 1)
    )
