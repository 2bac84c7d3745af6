"""A running mean that starts from an initial value.

The first observation replaces the initial value. The following ones have
equal weights until a new observation weighs ``min_weight``; from then on the
mean is an exponential moving average. The first observations therefore
correct a wrong initial value, while later outliers hardly move the mean.
"""

from dataclasses import dataclass

__all__ = ["RunningMean"]

# Observations are clipped to this ratio to the mean, since engines slow down
# by a factor of up to eight.
MAX_RATIO = 8.0


@dataclass
class RunningMean:
    """The mean of positive values.

    ``min_weight`` is the smallest weight of a new observation.
    """

    value: float
    min_weight: float
    count: int = 0

    @property
    def has_observations(self) -> bool:
        """Return whether there was any observation."""
        return self.count > 0

    def observe(self, value: float) -> None:
        """Update the mean with an observation."""
        if self.has_observations:
            value = min(self.value * MAX_RATIO, max(self.value / MAX_RATIO, value))
        self.count += 1
        self.value += max(self.min_weight, 1 / self.count) * (value - self.value)
