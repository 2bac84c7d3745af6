"""Estimates of the wait in the queue of a shard.

The decode engines of a shard run ``slots`` requests at a time, each for the
mean hold time of its class. The prefill engines need the mean prefill time of
its class for each request. A request waits for the work ahead of it at both
stages; the longer wait counts.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["ArrivalRate", "ShardCapacity", "WaitEstimator"]

SMOOTHING_FACTOR = 0.1
RATE_TIME_CONSTANT_S = 5.0


@dataclass(frozen=True)
class ShardCapacity:
    """Current capacity of a shard for requests of one model."""

    slots: int
    free_slots: int
    prefill_engines: int
    prefill_backlog_s: float


class ArrivalRate:
    """Exponentially decaying average of the arrivals per second."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_s = 0.0

    def record(self, now_s: float) -> None:
        """Record one arrival."""
        self._rate = self.per_s(now_s) + 1.0 / RATE_TIME_CONSTANT_S
        self._updated_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the average rate, in requests per second."""
        return self._rate * math.exp(-(now_s - self._updated_s) / RATE_TIME_CONSTANT_S)


class _ClassMeans:
    """Moving averages by class; an unknown class has the overall average."""

    def __init__(self) -> None:
        self._overall_mean = 0.0
        self._means_by_class: dict[str, float] = {}

    def observe(self, class_name: str, value: float) -> None:
        self._overall_mean = _smoothed(self._overall_mean, value)
        mean = self._means_by_class.get(class_name, 0.0)
        self._means_by_class[class_name] = _smoothed(mean, value)

    def for_class(self, class_name: str) -> float:
        return self._means_by_class.get(class_name, self._overall_mean)

    def overall(self) -> float:
        return self._overall_mean

    def total(self, counts: Mapping[str, int]) -> float:
        return sum(count * self.for_class(name) for name, count in counts.items())


class WaitEstimator:
    """Estimates waits from the mean times of recent requests."""

    def __init__(self) -> None:
        self._hold_s = _ClassMeans()
        self._prefill_s = _ClassMeans()
        self._pieces = 0.0

    @property
    def mean_pieces(self) -> float:
        """Return the mean memory of recent grants in pieces, at least one."""
        return max(1.0, self._pieces)

    def observe_hold(self, class_name: str, hold_s: float) -> None:
        """Record how long a released request held decode memory."""
        self._hold_s.observe(class_name, hold_s)

    def observe_prefill(self, class_name: str, prefill_s: float) -> None:
        """Record the duration of a finished prefill."""
        self._prefill_s.observe(class_name, prefill_s)

    def observe_pieces(self, pieces: int) -> None:
        """Record the memory of a granted request."""
        self._pieces = _smoothed(self._pieces, float(pieces))

    def prefill_s(self, class_name: str) -> float:
        """Return the mean prefill time of a class."""
        return self._prefill_s.for_class(class_name)

    def wait_s(self, ahead: Mapping[str, int], capacity: ShardCapacity) -> float:
        """Return the expected wait behind ``ahead`` requests by class."""
        return max(
            self._decode_wait_s(ahead, capacity), self.prefill_wait_s(ahead, capacity)
        )

    def service_rate_per_s(self, capacity: ShardCapacity) -> float:
        """Return the sustainable grant rate, in requests per second.

        Infinite as long as nothing has been observed.
        """
        rates = []
        if self._hold_s.overall() > 0:
            rates.append(capacity.slots / self._hold_s.overall())
        if self._prefill_s.overall() > 0:
            rates.append(capacity.prefill_engines / self._prefill_s.overall())
        return min(rates, default=math.inf)

    def prefill_wait_s(
        self, ahead: Mapping[str, int], capacity: ShardCapacity
    ) -> float:
        """Return the expected wait for a prefill engine."""
        work_s = capacity.prefill_backlog_s + self._prefill_s.total(ahead)
        return work_s / max(1, capacity.prefill_engines)

    def _decode_wait_s(
        self, ahead: Mapping[str, int], capacity: ShardCapacity
    ) -> float:
        count = sum(ahead.values())
        if count < capacity.free_slots:
            return 0.0
        mean_s = self._hold_s.overall()
        if count:
            mean_s = self._hold_s.total(ahead) / count
        releases = count - capacity.free_slots + 1
        return releases * mean_s / max(1, capacity.slots)


def _smoothed(mean: float, value: float) -> float:
    """Return the new moving average; a ``mean`` of 0 means no value yet."""
    if mean == 0.0:
        return value
    return mean + SMOOTHING_FACTOR * (value - mean)
