"""Expected wait in the queue of a shard.

The decode memory of a shard serves ``slots`` requests at once, each for the
mean hold time, so a request behind ``ahead`` others waits for that many
releases at the rate slots / hold time. Its prefill waits for the prefills
ahead at the rate of the prefill engines. The longer of the two counts.
"""

import math
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


class WaitEstimator:
    """Mean times of recent requests, and the waits that follow from them."""

    def __init__(self) -> None:
        self._hold_s = 0.0
        self._prefill_s = 0.0
        self._pieces = 0.0

    @property
    def mean_pieces(self) -> float:
        """Return the mean memory of recent grants, at least one piece."""
        return max(1.0, self._pieces)

    def observe_hold(self, hold_s: float) -> None:
        """Note how long a released request held decode memory."""
        self._hold_s = _average(self._hold_s, hold_s)

    def observe_prefill(self, prefill_s: float) -> None:
        """Note the time of a finished prefill."""
        self._prefill_s = _average(self._prefill_s, prefill_s)

    def observe_pieces(self, pieces: int) -> None:
        """Note the memory of a granted request."""
        self._pieces = _average(self._pieces, float(pieces))

    def wait_s(self, ahead: int, capacity: ShardCapacity) -> float:
        """Return the wait of a request behind ``ahead`` others."""
        return max(
            self._decode_wait_s(ahead, capacity), self._prefill_wait_s(ahead, capacity)
        )

    def requests_per_s(self, capacity: ShardCapacity) -> float:
        """Return the rate at which requests can be granted for long."""
        rates = []
        if self._hold_s > 0:
            rates.append(capacity.slots / self._hold_s)
        if self._prefill_s > 0:
            rates.append(capacity.prefill_engines / self._prefill_s)
        return min(rates, default=math.inf)

    def _decode_wait_s(self, ahead: int, capacity: ShardCapacity) -> float:
        if ahead < capacity.free_slots:
            return 0.0
        releases = ahead - capacity.free_slots + 1
        return releases * self._hold_s / max(1, capacity.slots)

    def _prefill_wait_s(self, ahead: int, capacity: ShardCapacity) -> float:
        work_s = capacity.prefill_backlog_s + ahead * self._prefill_s
        return work_s / max(1, capacity.prefill_engines)


def _average(mean: float, value: float) -> float:
    if mean == 0.0:
        return value
    return mean + NEW_WEIGHT * (value - mean)
