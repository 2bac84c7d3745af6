"""Budgets for retries and hedged prefills, and the delay before a retry.

Retries are limited to a share of the first attempts of the same tenant and
pool, so that a failing pool does not receive a multiple of its load.
"""

import random
from dataclasses import dataclass
from typing import Protocol

__all__ = [
    "BudgetedRetries",
    "DeadlineRetries",
    "HedgeBudget",
    "RetryBudget",
    "RetryPolicy",
    "backoff",
]

MAX_RETRIES = 2

RETRY_SHARE = 0.2
# Retries that are allowed before any first attempt was counted; also the most
# that can be saved up while there are few retries.
RETRY_BURST = 10.0

HEDGE_SHARE = 0.05
# Unused budget is saved up to this many hedges of the largest prompt.
HEDGE_BURST_PROMPTS = 3

BASE_DELAY_S = 0.05
MAX_DELAY_S = 2.0


def backoff(attempt: int, rng: random.Random, remaining_s: float) -> float | None:
    """Return the delay in seconds before retry number ``attempt`` (from 1).

    The delay is uniformly distributed between half and the whole of a bound
    that grows exponentially. Returns None if the retry would start after the
    deadline, which is ``remaining_s`` away.
    """
    bound_s = min(MAX_DELAY_S, BASE_DELAY_S * 2.0 ** min(attempt - 1, 16))
    delay_s = bound_s * rng.uniform(0.5, 1.0)
    return delay_s if delay_s < remaining_s else None


@dataclass
class _TokenBucket:
    """Retries that may still be used, as a fraction."""

    tokens: float = RETRY_BURST


class RetryBudget:
    """Limits the retries of each pair of tenant and pool."""

    def __init__(self, share: float = RETRY_SHARE) -> None:
        self._share = share
        self._buckets: dict[tuple[str, str], _TokenBucket] = {}

    def record_first_attempt(self, tenant: str, pool: str) -> None:
        """Add the share of one retry to the budget."""
        bucket = self._bucket(tenant, pool)
        bucket.tokens = min(RETRY_BURST, bucket.tokens + self._share)

    def try_spend(self, tenant: str, pool: str) -> bool:
        """Use one retry; return False if the budget is exhausted."""
        bucket = self._bucket(tenant, pool)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _bucket(self, tenant: str, pool: str) -> _TokenBucket:
        return self._buckets.setdefault((tenant, pool), _TokenBucket())


class RetryPolicy(Protocol):
    """Decides whether and when a failed attempt is retried."""

    def record_first_attempt(self, tenant: str, pool: str) -> None:
        """Record the first attempt of a request."""

    def delay_s(
        self, tenant: str, pool: str, attempt: int, remaining_s: float
    ) -> float | None:
        """Return the delay after failed attempt ``attempt``, or None."""


class BudgetedRetries:
    """Allows ``MAX_RETRIES`` retries of a request, within the budget."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._budget = RetryBudget()

    def record_first_attempt(self, tenant: str, pool: str) -> None:
        """Add the share of one retry to the budget."""
        self._budget.record_first_attempt(tenant, pool)

    def delay_s(
        self, tenant: str, pool: str, attempt: int, remaining_s: float
    ) -> float | None:
        """Return the delay after failed attempt ``attempt``, or None."""
        if attempt > MAX_RETRIES:
            return None
        delay_s = backoff(attempt, self._rng, remaining_s)
        if delay_s is None or not self._budget.try_spend(tenant, pool):
            return None
        return delay_s


class DeadlineRetries:
    """Retries until the deadline, without a budget, as baselines need it.

    A baseline policy has no queue, so a retry is its only way to wait.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def record_first_attempt(self, tenant: str, pool: str) -> None:
        """Do nothing, because there is no budget."""

    def delay_s(
        self, tenant: str, pool: str, attempt: int, remaining_s: float
    ) -> float | None:
        """Return the delay after failed attempt ``attempt``, or None."""
        return backoff(attempt, self._rng, remaining_s)


class HedgeBudget:
    """Limits hedged prefills to a share of the work, counted in tokens.

    Only repeatable model requests may be hedged; the caller checks that.
    ``spent_tokens`` never exceeds ``share`` of ``work_tokens``. Unused budget
    is saved up to ``HEDGE_BURST_PROMPTS`` of the largest prompts seen, so that
    there is budget in a slow period that follows many short prompts.
    """

    def __init__(self, share: float = HEDGE_SHARE) -> None:
        self._share = share
        self._available = 0.0
        self._largest_tokens = 0
        self.work_tokens = 0
        self.spent_tokens = 0

    def record_work(self, prompt_tokens: int) -> None:
        """Count the prefill of a first attempt and add its share."""
        self.work_tokens += prompt_tokens
        self._largest_tokens = max(self._largest_tokens, prompt_tokens)
        burst = float(self._largest_tokens * HEDGE_BURST_PROMPTS)
        self._available = min(burst, self._available + prompt_tokens * self._share)

    def try_spend(self, prompt_tokens: int) -> bool:
        """Use budget for one hedge; return False if there is too little."""
        if prompt_tokens > self._available:
            return False
        self._available -= prompt_tokens
        self.spent_tokens += prompt_tokens
        return True
