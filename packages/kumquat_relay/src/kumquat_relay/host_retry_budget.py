"""Limits the retries of this host to its share of the common retry budget.

Load pattern: a group of engines fails or sheds load while traffic is high;
without a limit every request would be sent several times. Hosts cannot
coordinate each retry, so each host limits its own retries in any sliding
window to the budgeted ratio of its own requests plus an equal share of the
fixed allowance.

In a large fleet this limit is a fraction of one retry, and if each host
rounded it down, nothing could be retried. Hosts then round at points of their
own, which depend on their ids, so that the limits together stay at their sum.
"""

import math
from collections import deque
from dataclasses import dataclass, field

import xxhash

from kumquat_core.clock import Clock

__all__ = ["HostRetryBudget", "RetryBudgetSettings"]

# Part of the host's share that it uses. Requests in flight when a window ends
# arrive at the engines in the next window.
USED_SHARE = 0.85

# Hosts that may have been added but are not known here yet; they share the
# allowance too.
UNLISTED_HOSTS = 2

# Smaller fleets round down, as do hosts whose share of the allowance is at
# least one retry.
MIN_ROUNDING_HOSTS = 24
# The sum of the limits is lowered by this many of its standard deviations,
# which are at most half the root of the number of hosts.
ROUNDING_DEVIATIONS = 3.0


@dataclass(frozen=True)
class RetryBudgetSettings:
    """Retry budget of all hosts together.

    In any window of ``window_s`` seconds, ``allowance`` + ``ratio`` x requests
    retries are allowed.
    """

    ratio: float
    window_s: float
    allowance: float


@dataclass
class _Window:
    """Times of the requests and retries of one service, oldest first."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class HostRetryBudget:
    """Counts requests and retries of each service in a sliding window."""

    def __init__(
        self, clock: Clock, settings: RetryBudgetSettings, host_id: str = ""
    ) -> None:
        self._clock = clock
        self._rounding_point = xxhash.xxh32_intdigest(host_id.encode()) / 2**32
        self._settings = settings
        self._windows_by_service: dict[str, _Window] = {}
        self.host_count = 1

    def update_settings(self, settings: RetryBudgetSettings) -> None:
        """Apply other settings from now on."""
        self._settings = settings

    def record_request(self, service: str) -> None:
        """Record a request that a caller sent for a service."""
        self._window(service).requests.append(self._clock.monotonic())

    def may_spend(self, service: str) -> bool:
        """Return whether this host's share allows one more retry."""
        return len(self._window(service).retries) + 1 <= self.limit(service)

    def try_spend(self, service: str) -> bool:
        """Spend one retry; return false if this host's share is used up."""
        if not self.may_spend(service):
            return False
        self._window(service).retries.append(self._clock.monotonic())
        return True

    def record_retry(self, service: str) -> None:
        """Record an extra request that was sent without asking the budget."""
        self._window(service).retries.append(self._clock.monotonic())

    def limit(self, service: str) -> float:
        """Return how many retries are allowed in the current window."""
        settings = self._settings
        share = settings.allowance / (self.host_count + UNLISTED_HOSTS)
        earned = settings.ratio * len(self._window(service).requests)
        return USED_SHARE * (share + earned) + self._rounding(share)

    def _rounding(self, share: float) -> float:
        """Return what this host adds before it rounds its limit down."""
        if share >= 1.0 or self.host_count < MIN_ROUNDING_HOSTS:
            return 0.0
        margin = ROUNDING_DEVIATIONS * 0.5 / math.sqrt(self.host_count)
        return max(0.0, self._rounding_point - margin)

    def _window(self, service: str) -> _Window:
        """Return the window of a service without times that are too old."""
        window = self._windows_by_service.setdefault(service, _Window())
        oldest_s = self._clock.monotonic() - self._settings.window_s
        for times in (window.requests, window.retries):
            while times and times[0] < oldest_s:
                times.popleft()
        return window
