"""A mean that is learned from observations and starts from a guess.

The first observation replaces the guess, later ones count equally until each
has the weight ``rate``. A guess that is off by far is therefore corrected by
the first observations, while single outliers later move the mean little.
"""

from dataclasses import dataclass

__all__ = ["LearnedMean"]

# An observation beyond this ratio to the mean counts as that ratio; engines
# slow down by up to eight times.
MAX_RATIO = 8.0


@dataclass
class LearnedMean:
    """The mean of a positive figure; ``rate`` weighs a new observation."""

    value: float
    rate: float
    count: int = 0

    @property
    def known(self) -> bool:
        """Tell whether anything was observed."""
        return self.count > 0

    def observe(self, value: float) -> None:
        """Take an observation into account."""
        if self.known:
            value = min(self.value * MAX_RATIO, max(self.value / MAX_RATIO, value))
        self.count += 1
        self.value += max(self.rate, 1 / self.count) * (value - self.value)
