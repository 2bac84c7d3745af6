"""Expected wait in the queue of a shard.

The decode memory of a shard serves ``slots`` requests at once, each for the
mean hold time of its class, and the prefill engines take the mean prefill
time of each class. A request waits for the work ahead of it at both; the
longer wait counts.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["ArrivalRate", "ShardCapacity", "WaitEstimator"]

NEW_WEIGHT = 0.1
RATE_TIME_S = 5.0


@dataclass(frozen=True)
class ShardCapacity:
    """Capacity for requests of one model at present."""

    slots: int
    free_slots: int
    prefill_engines: int
    prefill_backlog_s: float


class ArrivalRate:
    """Exponentially weighted rate of arrivals per second."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._at_s = 0.0

    def record(self, now_s: float) -> None:
        """Count one arrival."""
        self._rate = self.per_s(now_s) + 1.0 / RATE_TIME_S
        self._at_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the recent rate."""
        return self._rate * math.exp(-(now_s - self._at_s) / RATE_TIME_S)


class _Means:
    """Mean values by class; an unseen class has the mean of all."""

    def __init__(self) -> None:
        self._all = 0.0
        self._by_class: dict[str, float] = {}

    def observe(self, class_name: str, value: float) -> None:
        self._all = _average(self._all, value)
        mean = self._by_class.get(class_name, 0.0)
        self._by_class[class_name] = _average(mean, value)

    def of(self, class_name: str) -> float:
        return self._by_class.get(class_name, self._all)

    def overall(self) -> float:
        return self._all

    def total(self, counts: Mapping[str, int]) -> float:
        return sum(count * self.of(name) for name, count in counts.items())


class WaitEstimator:
    """Mean times of recent requests, and the waits that follow from them."""

    def __init__(self) -> None:
        self._hold_s = _Means()
        self._prefill_s = _Means()
        self._pieces = 0.0

    @property
    def mean_pieces(self) -> float:
        """Return the mean memory of recent grants, at least one piece."""
        return max(1.0, self._pieces)

    def observe_hold(self, class_name: str, hold_s: float) -> None:
        """Note how long a released request held decode memory."""
        self._hold_s.observe(class_name, hold_s)

    def observe_prefill(self, class_name: str, prefill_s: float) -> None:
        """Note the time of a finished prefill."""
        self._prefill_s.observe(class_name, prefill_s)

    def observe_pieces(self, pieces: int) -> None:
        """Note the memory of a granted request."""
        self._pieces = _average(self._pieces, float(pieces))

    def prefill_s(self, class_name: str) -> float:
        """Return the mean prefill time of a class."""
        return self._prefill_s.of(class_name)

    def wait_s(self, ahead: Mapping[str, int], capacity: ShardCapacity) -> float:
        """Return the wait behind so many requests of each class."""
        return max(
            self._decode_wait_s(ahead, capacity), self.prefill_wait_s(ahead, capacity)
        )

    def requests_per_s(self, capacity: ShardCapacity) -> float:
        """Return the rate at which requests can be granted for long."""
        rates = []
        if self._hold_s.overall() > 0:
            rates.append(capacity.slots / self._hold_s.overall())
        if self._prefill_s.overall() > 0:
            rates.append(capacity.prefill_engines / self._prefill_s.overall())
        return min(rates, default=math.inf)

    def prefill_wait_s(
        self, ahead: Mapping[str, int], capacity: ShardCapacity
    ) -> float:
        """Return the wait for the prefill engines alone."""
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


def _average(mean: float, value: float) -> float:
    if mean == 0.0:
        return value
    return mean + NEW_WEIGHT * (value - mean)
