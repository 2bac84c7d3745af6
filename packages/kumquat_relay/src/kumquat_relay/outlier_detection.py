"""Detects engines that fail significantly more often than their peers.

Load pattern: one engine of many fails a third or half of its runs for some
seconds. Its health check passes, and successful runs in between keep the
number of consecutive failures low. Each host sees only a few of its runs; the
owner of the queue receives the outcomes of all of them.

A few failures are sufficient evidence when the other engines hardly ever fail.
When all engines fail at the same rate, the cause lies elsewhere and none is an
outlier. If several hosts have runs at an engine, failures reported by only one
of them are not sufficient: that host may have lost its connection to the
engine.
"""

import math
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = ["OutcomeWindow", "is_outlier", "outlier_ids"]

# Number of outcomes kept for each engine, and their maximum age. Partial
# failures last some seconds; after that an outlier is used again.
MAX_OUTCOMES = 20
WINDOW_S = 6.0
# One or two failures may be random or caused by the requests themselves.
MIN_FAILURES = 3
# An engine is an outlier if its failures have a lower probability than this
# at the failure rate of its peers.
SIGNIFICANCE_LEVEL = 0.01
# Prior for the failure rate of the peers, and its weight in runs.
PRIOR_FAILURE_RATE = 0.05
PRIOR_RUNS = 20


@dataclass(frozen=True)
class _Outcome:
    ended_s: float
    host_id: str
    failed: bool


class OutcomeWindow:
    """Recent run outcomes of one engine; times are monotonic seconds."""

    def __init__(self) -> None:
        self._outcomes: deque[_Outcome] = deque(maxlen=MAX_OUTCOMES)

    def observe(self, failed: bool, host_id: str, now_s: float) -> None:
        """Record the outcome of a run that a host sent."""
        self._outcomes.append(_Outcome(now_s, host_id, failed))

    def counts(self, now_s: float) -> tuple[int, int]:
        """Return the number of recent failures and of recent runs.

        If several hosts have recent runs, at most ``MIN_FAILURES`` - 1
        failures of each host count, so that the reports of one host alone do
        not make the engine an outlier.
        """
        while self._outcomes and now_s - self._outcomes[0].ended_s > WINDOW_S:
            self._outcomes.popleft()
        failures_by_host = Counter(
            outcome.host_id for outcome in self._outcomes if outcome.failed
        )
        max_failures_per_host = MAX_OUTCOMES
        if len({outcome.host_id for outcome in self._outcomes}) > 1:
            max_failures_per_host = MIN_FAILURES - 1
        failures = sum(
            min(count, max_failures_per_host) for count in failures_by_host.values()
        )
        return failures, len(self._outcomes)


def is_outlier(
    own: OutcomeWindow, peers: Iterable[OutcomeWindow], now_s: float
) -> bool:
    """Tell whether an engine fails significantly more often than its peers."""
    failures, runs = own.counts(now_s)
    if failures < MIN_FAILURES:
        return False
    counts = [window.counts(now_s) for window in peers]
    peer_failures = sum(count[0] for count in counts) + PRIOR_FAILURE_RATE * PRIOR_RUNS
    peer_runs = sum(count[1] for count in counts) + PRIOR_RUNS
    return (
        _binomial_tail(failures, runs, peer_failures / peer_runs) < SIGNIFICANCE_LEVEL
    )


def outlier_ids(windows_by_id: Mapping[str, OutcomeWindow], now_s: float) -> set[str]:
    """Return the ids of the outliers, each compared with all other engines."""
    return {
        engine_id
        for engine_id, window in windows_by_id.items()
        if is_outlier(
            window,
            (peer for peer in windows_by_id.values() if peer is not window),
            now_s,
        )
    }


def _binomial_tail(failures: int, runs: int, failure_rate: float) -> float:
    """Return the probability of at least ``failures`` failures in ``runs``."""
    return sum(
        math.comb(runs, count)
        * failure_rate**count
        * (1 - failure_rate) ** (runs - count)
        for count in range(failures, runs + 1)
    )
