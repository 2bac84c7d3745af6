"""Forecasts the memory use of the runs of one engine until they end.

Load pattern: during a load peak hundreds of waiting requests are checked
against the engines at each event, while few runs begin or end between two
events.

The memory use of a run grows linearly until the run ends, so the total peaks
just before an end. A forecast keeps suffix sums over the runs in the order of
their ends. Whether a new run fits is therefore checked in a single pass over
the ends, without a sum over all runs at each of them.
"""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["MemoryForecast", "ForecastRun"]


@dataclass(frozen=True)
class ForecastRun:
    """A run that holds ``tokens`` now and ends at ``end_s``.

    ``growing`` is false for a run that has exceeded its expected output
    length. Times are monotonic seconds.
    """

    tokens: float
    end_s: float
    growing: bool


class MemoryForecast:
    """The tokens in memory at any time from ``now_s`` on.

    Each growing run generates ``tokens_per_s``.
    """

    def __init__(
        self, runs: Iterable[ForecastRun], now_s: float, tokens_per_s: float
    ) -> None:
        ordered = sorted(runs, key=lambda run: run.end_s)
        self._now_s = now_s
        self._tokens_per_s = tokens_per_s
        self._end_times = [run.end_s for run in ordered]
        # Suffix sums: tokens and growth of the runs at an index and after it.
        self._token_sums = [0.0] * (len(ordered) + 1)
        self._growth_sums = [0.0] * (len(ordered) + 1)
        for index in range(len(ordered) - 1, -1, -1):
            run = ordered[index]
            growth = tokens_per_s if run.growing else 0.0
            self._token_sums[index] = self._token_sums[index + 1] + run.tokens
            self._growth_sums[index] = self._growth_sums[index + 1] + growth

    @property
    def first_end_s(self) -> float:
        """Return the time at which the first run is expected to end."""
        return self._end_times[0] if self._end_times else float("inf")

    def usage_at(self, at_s: float) -> float:
        """Return the tokens in memory just before the runs end at ``at_s``."""
        return self._usage(bisect_left(self._end_times, at_s), at_s)

    def peak_usage(
        self, prompt_tokens: int, expected_tokens: int, first_token_s: float
    ) -> float:
        """Return the peak memory use during a new run, which is included.

        It generates its first token at ``first_token_s``.
        """
        end_s = first_token_s + expected_tokens / self._tokens_per_s
        peak = self.usage_at(end_s) + prompt_tokens + expected_tokens
        for index, at_s in enumerate(self._end_times):
            if at_s >= end_s:
                break
            generated = max(0.0, at_s - first_token_s) * self._tokens_per_s
            peak = max(peak, self._usage(index, at_s) + prompt_tokens + generated)
        return peak

    def _usage(self, index: int, at_s: float) -> float:
        """Return the tokens at ``at_s`` of the runs from ``index`` on."""
        elapsed_s = max(0.0, at_s - self._now_s)
        return self._token_sums[index] + self._growth_sums[index] * elapsed_s
