"""The memory that the runs of one engine will use until they end.

Load pattern: at a peak hundreds of waiting requests are compared with the
engines at each event, while few runs begin or end between two events.

The use of a run grows linearly from its prompt to its end, so the peaks of
the sum lie just before the ends. A plan holds the sum at each end; whether a
further run fits is read off in one pass over the ends, without a sum over all
runs at each of them.
"""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["MemoryPlan", "PlannedRun"]


@dataclass(frozen=True)
class PlannedRun:
    """A run that holds ``tokens`` now, until ``end_s`` (steady seconds).

    ``grows`` is false for one that lasts longer than was expected.
    """

    tokens: float
    end_s: float
    grows: bool


class MemoryPlan:
    """Tokens in use at any time, as known at ``now_s``.

    All runs of an engine make ``tokens_per_s``.
    """

    def __init__(
        self, runs: Iterable[PlannedRun], now_s: float, tokens_per_s: float
    ) -> None:
        ordered = sorted(runs, key=lambda run: run.end_s)
        self._now_s = now_s
        self._tokens_per_s = tokens_per_s
        self._ends_s = [run.end_s for run in ordered]
        # Tokens and growth of the runs that end at an index or later.
        self._tokens = [0.0] * (len(ordered) + 1)
        self._growth = [0.0] * (len(ordered) + 1)
        for index in range(len(ordered) - 1, -1, -1):
            run = ordered[index]
            growth = tokens_per_s if run.grows else 0.0
            self._tokens[index] = self._tokens[index + 1] + run.tokens
            self._growth[index] = self._growth[index + 1] + growth

    @property
    def first_end_s(self) -> float:
        """Return when the first run is expected to end."""
        return self._ends_s[0] if self._ends_s else float("inf")

    def used_at(self, at_s: float) -> float:
        """Return the tokens in use just before the ends at ``at_s``."""
        return self._used(bisect_left(self._ends_s, at_s), at_s)

    def peak_with(
        self, prompt_tokens: int, expected_tokens: int, begins_s: float
    ) -> float:
        """Return the largest use while a further run lasts.

        It makes its first token at ``begins_s``.
        """
        end_s = begins_s + expected_tokens / self._tokens_per_s
        peak = self.used_at(end_s) + prompt_tokens + expected_tokens
        for index, at_s in enumerate(self._ends_s):
            if at_s >= end_s:
                break
            made = max(0.0, at_s - begins_s) * self._tokens_per_s
            peak = max(peak, self._used(index, at_s) + prompt_tokens + made)
        return peak

    def _used(self, index: int, at_s: float) -> float:
        grown_s = max(0.0, at_s - self._now_s)
        return self._tokens[index] + self._growth[index] * grown_s
