"""Speed of each engine as the router observes it.

Load reports show a straggler late, so engines are judged by the times that
requests took: the ratio of observed to nominal time, compared with the
usual ratio of the peers. A slow ratio decays towards the usual one while
there is no new observation, so that load returns gradually. A prefill that is
overdue right now counts as a slow observation before it ends. A failed
engine receives no work for a time that doubles with each failure.
"""

from dataclasses import dataclass
from statistics import median_low

__all__ = ["SpeedTracker", "overdue_ratio", "scaled_time_s"]

# Fixed cost of a request (messages, scheduling) that is no matter of speed;
# without it a prefill of a few tokens would make an engine look slow.
FIXED_TIME_S = 0.02

# Weight of a new observation. One slow prefill is enough to shift load.
SLOW_WEIGHT = 0.7
FAST_WEIGHT = 0.4

# Weight of an observation in the long-run ratio of all engines, which
# corrects nominal rates that are configured wrongly.
LONG_RUN_WEIGHT = 0.03

# Noisy neighbours last about two seconds.
RESTORE_HALF_LIFE_S = 1.0

# Below this ratio an unfinished prefill is within the usual variation.
OVERDUE_RATIO = 1.5

MIN_BLOCK_S = 0.25
MAX_BLOCK_S = 10.0
RATIO_BOUNDS = (0.05, 50.0)


def scaled_time_s(nominal_s: float, ratio: float) -> float:
    """Return the expected time of work that takes ``nominal_s`` nominally."""
    return max(0.0, (nominal_s + FIXED_TIME_S) * ratio - FIXED_TIME_S)


def overdue_ratio(nominal_s: float, elapsed_s: float) -> float:
    """Return the smallest ratio that unfinished work can end with."""
    return (elapsed_s + FIXED_TIME_S) / (nominal_s + FIXED_TIME_S)


@dataclass
class _Speed:
    ratio: float
    at_s: float


@dataclass
class _Failures:
    count: int
    blocked_until_s: float


class _Peers:
    """Ratios of one kind of work, by engine id."""

    def __init__(self) -> None:
        self._speeds_by_id: dict[str, _Speed] = {}
        self._long_run = 1.0
        self._usual = 1.0

    def observe(self, engine_id: str, ratio: float, now_s: float) -> None:
        ratio = min(max(ratio, RATIO_BOUNDS[0]), RATIO_BOUNDS[1])
        current = self.ratio(engine_id, now_s)
        weight = SLOW_WEIGHT if ratio > current else FAST_WEIGHT
        value = current + weight * (ratio - current)
        self._speeds_by_id[engine_id] = _Speed(value, now_s)
        step = min(ratio, 2 * self._long_run) - self._long_run
        self._long_run += LONG_RUN_WEIGHT * step
        # The median alone would take the slowness of a single engine as usual
        # and so never send it work again.
        middle = median_low(speed.ratio for speed in self._speeds_by_id.values())
        self._usual = min(middle, self._long_run)

    def ratio(self, engine_id: str, now_s: float) -> float:
        speed = self._speeds_by_id.get(engine_id)
        if speed is None:
            return self._usual
        if speed.ratio <= self._usual:
            return speed.ratio
        decay: float = 0.5 ** ((now_s - speed.at_s) / RESTORE_HALF_LIFE_S)
        return self._usual + (speed.ratio - self._usual) * decay

    def keep_only(self, engine_ids: set[str]) -> None:
        for engine_id in self._speeds_by_id.keys() - engine_ids:
            del self._speeds_by_id[engine_id]


class SpeedTracker:
    """Observed speed of the engines of one shard.

    A ratio of 1 is the nominal speed and 10 is ten times slower. With
    ``enabled`` false every engine has the ratio 1 and only failures count.
    """

    def __init__(self, *, enabled: bool = True) -> None:
        self._enabled = enabled
        self._prefill = _Peers()
        self._step = _Peers()
        self._failures_by_id: dict[str, _Failures] = {}

    def observe_prefill(
        self, engine_id: str, nominal_s: float, observed_s: float, now_s: float
    ) -> None:
        """Note the time of a finished prefill."""
        self._failures_by_id.pop(engine_id, None)
        ratio = overdue_ratio(nominal_s, observed_s)
        self._prefill.observe(engine_id, ratio, now_s)

    def observe_step(
        self, engine_id: str, nominal_ms: float, observed_ms: float, now_s: float
    ) -> None:
        """Note a time between tokens, from a release or a load report."""
        self._failures_by_id.pop(engine_id, None)
        if nominal_ms > 0:
            self._step.observe(engine_id, observed_ms / nominal_ms, now_s)

    def observe_failure(self, engine_id: str, now_s: float) -> None:
        """Note a failed request; blocks the engine for a growing time."""
        failures = self._failures_by_id.setdefault(engine_id, _Failures(0, now_s))
        if failures.blocked_until_s > now_s:
            return  # requests that were already under way fail together
        block_s = min(MIN_BLOCK_S * 2.0**failures.count, MAX_BLOCK_S)
        failures.count += 1
        failures.blocked_until_s = now_s + block_s

    @property
    def has_failures(self) -> bool:
        """Tell whether any engine failed and has not succeeded since."""
        return bool(self._failures_by_id)

    def is_blocked(self, engine_id: str, now_s: float) -> bool:
        """Tell whether an engine waits after a failure."""
        failures = self._failures_by_id.get(engine_id)
        return failures is not None and failures.blocked_until_s > now_s

    def prefill_ratio(self, engine_id: str, now_s: float) -> float:
        """Return observed over nominal time of a prefill."""
        return self._prefill.ratio(engine_id, now_s) if self._enabled else 1.0

    def step_ratio(self, engine_id: str, now_s: float) -> float:
        """Return observed over nominal time of a decode step."""
        return self._step.ratio(engine_id, now_s) if self._enabled else 1.0

    def remaining_s(
        self, engine_id: str, nominal_s: float, elapsed_s: float, now_s: float
    ) -> float:
        """Return the expected rest of a prefill in progress.

        An overdue prefill is expected to take as long again.
        """
        expected_s = scaled_time_s(nominal_s, self.prefill_ratio(engine_id, now_s))
        if elapsed_s < expected_s:
            return expected_s - elapsed_s
        overdue = overdue_ratio(nominal_s, elapsed_s)
        usual = self.prefill_ratio(engine_id, now_s)
        if not self._enabled or overdue < OVERDUE_RATIO * usual:
            return 0.0
        return elapsed_s

    def keep_only(self, engine_ids: set[str]) -> None:
        """Forget the engines that are not in the shard any more."""
        self._prefill.keep_only(engine_ids)
        self._step.keep_only(engine_ids)
        for engine_id in self._failures_by_id.keys() - engine_ids:
            del self._failures_by_id[engine_id]
