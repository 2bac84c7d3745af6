"""Speed of each engine as the router observes it.

Load reports show a straggler late, so engines are judged by the durations of
requests: the ratio of observed to nominal time, compared with a baseline
over the peers. A ratio above the baseline decays towards it while there is no
new observation, so that load returns gradually. An overdue prefill counts as
a slow observation before it ends. A failed engine receives no work for a time
that doubles with each failure.
"""

from dataclasses import dataclass
from statistics import median_low

__all__ = ["SpeedTracker", "overdue_ratio", "scaled_time_s"]

# Fixed cost of a request (messages, scheduling) that does not depend on the
# speed of the engine. Without it, a prefill of a few tokens would make an
# engine look slow.
FIXED_TIME_S = 0.02

# Weights of a new observation above and below the current ratio. One slow
# prefill is enough to shift load.
SLOW_WEIGHT = 0.7
FAST_WEIGHT = 0.4

# Weight of an observation in the long-run mean ratio of all engines, which
# compensates for nominal rates that are configured wrongly.
LONG_RUN_WEIGHT = 0.03

# Slowdowns by noisy neighbours last about two seconds.
RECOVERY_HALF_LIFE_S = 1.0

# Up to this multiple of the engine's ratio, the duration of an unfinished
# prefill is within normal variation.
OVERDUE_RATIO = 1.5

MIN_BLOCK_S = 0.25
MAX_BLOCK_S = 10.0
RATIO_BOUNDS = (0.05, 50.0)


def scaled_time_s(nominal_s: float, ratio: float) -> float:
    """Return the expected duration of work of ``nominal_s`` at this ratio."""
    return max(0.0, (nominal_s + FIXED_TIME_S) * ratio - FIXED_TIME_S)


def overdue_ratio(nominal_s: float, elapsed_s: float) -> float:
    """Return the lowest ratio that unfinished work can still end with."""
    return (elapsed_s + FIXED_TIME_S) / (nominal_s + FIXED_TIME_S)


@dataclass
class _ObservedRatio:
    ratio: float
    at_s: float


@dataclass
class _Failures:
    count: int
    blocked_until_s: float


class _PeerRatios:
    """Observed ratios of the engines for one kind of work.

    An engine without observations has the baseline ratio.
    """

    def __init__(self) -> None:
        self._ratios_by_id: dict[str, _ObservedRatio] = {}
        self._long_run_mean = 1.0
        self._baseline = 1.0

    def observe(self, engine_id: str, ratio: float, now_s: float) -> None:
        ratio = min(max(ratio, RATIO_BOUNDS[0]), RATIO_BOUNDS[1])
        current = self.ratio(engine_id, now_s)
        weight = SLOW_WEIGHT if ratio > current else FAST_WEIGHT
        value = current + weight * (ratio - current)
        self._ratios_by_id[engine_id] = _ObservedRatio(value, now_s)
        step = min(ratio, 2 * self._long_run_mean) - self._long_run_mean
        self._long_run_mean += LONG_RUN_WEIGHT * step
        # With the median alone, the ratio of a single slow engine would be its
        # own baseline: it would not decay, and the engine would never receive
        # work again.
        median = median_low(speed.ratio for speed in self._ratios_by_id.values())
        self._baseline = min(median, self._long_run_mean)

    def ratio(self, engine_id: str, now_s: float) -> float:
        speed = self._ratios_by_id.get(engine_id)
        if speed is None:
            return self._baseline
        if speed.ratio <= self._baseline:
            return speed.ratio
        decay: float = 0.5 ** ((now_s - speed.at_s) / RECOVERY_HALF_LIFE_S)
        return self._baseline + (speed.ratio - self._baseline) * decay

    def keep_only(self, engine_ids: set[str]) -> None:
        for engine_id in self._ratios_by_id.keys() - engine_ids:
            del self._ratios_by_id[engine_id]


class SpeedTracker:
    """Observed speed of the engines of one shard.

    A ratio of 1 is the nominal speed and 10 is ten times slower. If
    ``enabled`` is false, every engine has the ratio 1 and only failures have
    an effect.
    """

    def __init__(self, *, enabled: bool = True) -> None:
        self._enabled = enabled
        self._prefill = _PeerRatios()
        self._step = _PeerRatios()
        self._failures_by_id: dict[str, _Failures] = {}

    def observe_prefill(
        self, engine_id: str, nominal_s: float, observed_s: float, now_s: float
    ) -> None:
        """Record the duration of a finished prefill and clear failures."""
        self._failures_by_id.pop(engine_id, None)
        ratio = overdue_ratio(nominal_s, observed_s)
        self._prefill.observe(engine_id, ratio, now_s)

    def observe_step(
        self, engine_id: str, nominal_ms: float, observed_ms: float, now_s: float
    ) -> None:
        """Record a time between tokens and clear failures.

        It comes from a release or a load report.
        """
        self._failures_by_id.pop(engine_id, None)
        if nominal_ms > 0:
            self._step.observe(engine_id, observed_ms / nominal_ms, now_s)

    def observe_failure(self, engine_id: str, now_s: float) -> None:
        """Record a failed request and block the engine.

        The time doubles with each failure up to ``MAX_BLOCK_S``. Failures
        while the engine is blocked do not count.
        """
        failures = self._failures_by_id.setdefault(engine_id, _Failures(0, now_s))
        if failures.blocked_until_s > now_s:
            return  # requests that were already in progress fail together
        block_s = min(MIN_BLOCK_S * 2.0**failures.count, MAX_BLOCK_S)
        failures.count += 1
        failures.blocked_until_s = now_s + block_s

    @property
    def has_failures(self) -> bool:
        """Return whether any engine failed and has not succeeded since."""
        return bool(self._failures_by_id)

    def is_blocked(self, engine_id: str, now_s: float) -> bool:
        """Return whether an engine is blocked after a failure."""
        failures = self._failures_by_id.get(engine_id)
        return failures is not None and failures.blocked_until_s > now_s

    def prefill_ratio(self, engine_id: str, now_s: float) -> float:
        """Return the ratio of observed to nominal time of a prefill."""
        return self._prefill.ratio(engine_id, now_s) if self._enabled else 1.0

    def step_ratio(self, engine_id: str, now_s: float) -> float:
        """Return the ratio of observed to nominal time of a decode step."""
        return self._step.ratio(engine_id, now_s) if self._enabled else 1.0

    def remaining_s(
        self, engine_id: str, nominal_s: float, elapsed_s: float, now_s: float
    ) -> float:
        """Return the expected remaining time of a prefill in progress.

        An overdue prefill is expected to take as long again as it has taken.
        """
        expected_s = scaled_time_s(nominal_s, self.prefill_ratio(engine_id, now_s))
        if elapsed_s < expected_s:
            return expected_s - elapsed_s
        overdue = overdue_ratio(nominal_s, elapsed_s)
        baseline = self.prefill_ratio(engine_id, now_s)
        if not self._enabled or overdue < OVERDUE_RATIO * baseline:
            return 0.0
        return elapsed_s

    def keep_only(self, engine_ids: set[str]) -> None:
        """Remove the engines that are no longer in the shard."""
        self._prefill.keep_only(engine_ids)
        self._step.keep_only(engine_ids)
        for engine_id in self._failures_by_id.keys() - engine_ids:
            del self._failures_by_id[engine_id]
