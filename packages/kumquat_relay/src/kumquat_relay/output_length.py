"""Predicts output lengths from the lengths that callers declare.

Load pattern: declared lengths are right at the median but often off by a
factor of two. Memory forecasts based on them alone either cause preemptions
or leave memory unused. How closely the output length follows the declared one
differs by deployment; it is learned from complete outputs.

The logarithm of the output length is predicted by linear regression on the
logarithm of the declared length. Until outputs are complete, the prediction
lies halfway between the declared length and the mean of all declared lengths.
"""

import math

__all__ = ["OutputLengthEstimator"]

# Factor by which the weight of an output decreases with each later one. The
# regression covers about the last fifty outputs.
DECAY = 0.98
# Number of outputs that the initial values below count for.
INITIAL_COUNT = 12.0
INITIAL_SLOPE = 0.5
# Standard deviations of the logarithms of declared lengths and of the
# prediction errors; they correspond to factors of 1.6 and 1.5.
INITIAL_ESTIMATE_DEVIATION = 0.5
INITIAL_ERROR = 0.4
# Slopes below 0 or above this limit result from too few outputs.
MAX_SLOPE = 1.2


class OutputLengthEstimator:
    """Regression of output lengths on declared lengths for one service.

    If it is not ``enabled``, the declared lengths are used unchanged.
    """

    def __init__(self, *, enabled: bool = True) -> None:
        self._enabled = enabled
        self._request_count = 0.0
        self._request_log = 0.0
        self._output_count = 0.0
        self._declared_log = 0.0
        self._output_log = 0.0
        self._declared_squares = INITIAL_COUNT * INITIAL_ESTIMATE_DEVIATION**2
        self._products = INITIAL_SLOPE * self._declared_squares
        self._error_count = INITIAL_COUNT
        self._error_squares = INITIAL_COUNT * INITIAL_ERROR**2

    def observe_declared(self, declared_tokens: int) -> None:
        """Update the mean of the declared lengths with a new request."""
        self._request_count = self._request_count * DECAY + 1
        step = (_log(declared_tokens) - self._request_log) / self._request_count
        self._request_log += step

    def observe_output(self, declared_tokens: int, generated_tokens: int) -> None:
        """Update the regression and its error with a complete output."""
        output_log = _log(generated_tokens)
        if self._output_count > 0:
            error = output_log - self._predict_log(_log(declared_tokens))
            self._error_count = self._error_count * DECAY + 1
            self._error_squares = self._error_squares * DECAY + error**2
        self._output_count = self._output_count * DECAY + 1
        declared_offset = _log(declared_tokens) - self._declared_log
        self._declared_log += declared_offset / self._output_count
        output_offset = output_log - self._output_log
        self._output_log += output_offset / self._output_count
        if self._output_count > 1:
            self._declared_squares = self._declared_squares * DECAY + declared_offset**2
            product = declared_offset * output_offset
            self._products = self._products * DECAY + product

    def predict_tokens(self, declared_tokens: int) -> int:
        """Return the predicted output length, at least 1."""
        if not self._enabled:
            return max(1, declared_tokens)
        return max(1, round(math.exp(self._predict_log(_log(declared_tokens)))))

    @property
    def error(self) -> float:
        """Return the relative standard error of the predictions."""
        return math.sqrt(self._error_squares / self._error_count)

    def _predict_log(self, declared_log: float) -> float:
        """Return the predicted logarithm of the output length."""
        slope = min(MAX_SLOPE, max(0.0, self._products / self._declared_squares))
        if self._output_count > 0:
            # Outputs are complete seconds after their requests arrive. While
            # there are few of them, the declared lengths complement them.
            output_weight = self._output_count / (self._output_count + 1)
            center = (
                output_weight * self._declared_log
                + (1 - output_weight) * self._request_log
            )
            level = (
                output_weight * self._output_log
                + (1 - output_weight) * self._request_log
            )
            return level + slope * (declared_log - center)
        if self._request_count == 0:
            return declared_log
        return self._request_log + slope * (declared_log - self._request_log)


def _log(tokens: int) -> float:
    return math.log(max(1, tokens))
