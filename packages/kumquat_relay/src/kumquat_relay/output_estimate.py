"""Estimates the length of answers from what callers expect.

Load pattern: callers' estimates are right at the median and often off by a
factor of two, so planning memory by them alone either preempts runs or leaves
memory idle. How far the length of an answer follows the estimate differs by
deployment; it is learned from the answers that were complete.

The logarithm of the length is predicted as a line in the logarithm of the
estimate. Until answers are known, the line lies halfway between the estimate
and the mean of all estimates.
"""

import math

__all__ = ["OutputEstimate"]

# Older answers count less: some fifty make up the line.
KEEP = 0.98
# Answers' worth of the start values below.
START_COUNT = 12.0
START_SLOPE = 0.5
# Standard deviations of logarithms: of estimates, and of answers around the
# line. A factor of 1.6 and 1.5.
START_ESTIMATE_SPREAD = 0.5
START_ERROR = 0.4
# Lines outside of these slopes come from too few answers.
MAX_SLOPE = 1.2


class OutputEstimate:
    """Learns the line from estimates to answers of one service.

    Without ``learns`` the callers' estimates are taken as they are.
    """

    def __init__(self, *, learns: bool = True) -> None:
        self._learns = learns
        self._requests = 0.0
        self._request_log = 0.0
        self._answers = 0.0
        self._estimate_log = 0.0
        self._answer_log = 0.0
        self._estimate_squares = START_COUNT * START_ESTIMATE_SPREAD**2
        self._products = START_SLOPE * self._estimate_squares
        self._error_count = START_COUNT
        self._error_squares = START_COUNT * START_ERROR**2

    def observe_request(self, expected_tokens: int) -> None:
        """Take the estimate of a caller into account."""
        self._requests = self._requests * KEEP + 1
        step = (_log(expected_tokens) - self._request_log) / self._requests
        self._request_log += step

    def observe_answer(self, expected_tokens: int, made_tokens: int) -> None:
        """Learn from a complete answer to a request with that estimate."""
        made = _log(made_tokens)
        if self._answers > 0:
            error = made - self._predict(_log(expected_tokens))
            self._error_count = self._error_count * KEEP + 1
            self._error_squares = self._error_squares * KEEP + error**2
        self._answers = self._answers * KEEP + 1
        estimate_offset = _log(expected_tokens) - self._estimate_log
        self._estimate_log += estimate_offset / self._answers
        answer_offset = made - self._answer_log
        self._answer_log += answer_offset / self._answers
        if self._answers > 1:
            self._estimate_squares = self._estimate_squares * KEEP + estimate_offset**2
            product = estimate_offset * answer_offset
            self._products = self._products * KEEP + product

    def tokens(self, expected_tokens: int) -> int:
        """Return the tokens to plan for."""
        if not self._learns:
            return max(1, expected_tokens)
        return max(1, round(math.exp(self._predict(_log(expected_tokens)))))

    @property
    def error(self) -> float:
        """Return the standard error of the estimates, as a part of them."""
        return math.sqrt(self._error_squares / self._error_count)

    def _predict(self, estimate_log: float) -> float:
        slope = min(MAX_SLOPE, max(0.0, self._products / self._estimate_squares))
        if self._answers > 0:
            # Answers arrive seconds after their requests; until there are
            # some, the estimates stand in for them.
            known = self._answers / (self._answers + 1)
            centre = known * self._estimate_log + (1 - known) * self._request_log
            level = known * self._answer_log + (1 - known) * self._request_log
            return level + slope * (estimate_log - centre)
        if self._requests == 0:
            return estimate_log
        return self._request_log + slope * (estimate_log - self._request_log)


def _log(tokens: int) -> float:
    return math.log(max(1, tokens))
