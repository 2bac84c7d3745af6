"""Estimates the length of answers from what callers expect.

Callers' estimates are right at the median and often off by a factor of two.
Measured on the standard sites, the logarithm of an answer's length moves half
as far from the mean as that of the caller's estimate, so the estimate here
lies between both: a request said to make 11,000 tokens makes 8,400 on average
and one said to make 2,000 makes 3,600.
"""

import math

__all__ = ["OutputEstimate"]

# Mean of what callers expect on the standard sites, in tokens.
FIRST_MEAN_TOKENS = 5500.0
# Weight of a new request in the mean; thirty requests arrive in ten seconds.
LEARNING_RATE = 0.03


class OutputEstimate:
    """Learns the usual estimate of callers, as the mean of logarithms."""

    def __init__(self, hint_weight: float) -> None:
        self._hint_weight = hint_weight
        self._mean_log = math.log(FIRST_MEAN_TOKENS)

    def observe(self, expected_tokens: int) -> None:
        """Take what a caller expects into account."""
        value = math.log(max(1, expected_tokens))
        self._mean_log += LEARNING_RATE * (value - self._mean_log)

    def tokens(self, expected_tokens: int) -> int:
        """Return the tokens to plan for."""
        weight = self._hint_weight
        hint_log = math.log(max(1, expected_tokens))
        return round(math.exp(weight * hint_log + (1 - weight) * self._mean_log))
