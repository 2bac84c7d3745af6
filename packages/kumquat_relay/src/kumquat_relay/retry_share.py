"""This host's share of the retry budget that all hosts have in common.

Load pattern: an engine group fails or sheds while traffic is high; without
a bound every request would be sent several times. Hosts cannot agree on each
retry, so each one keeps to a part that holds for any sliding window: the
ratio of its own requests and an equal part of the fixed allowance.
"""

from collections import deque
from dataclasses import dataclass, field

from kumquat_core.clock import Clock

__all__ = ["RetryShare", "RetryTerms"]

# Part of the share that is used: requests on their way when a window closes
# reach the engines in the next one.
SAFETY = 0.85

# The allowance is shared with hosts that are added before they are known.
UNKNOWN_HOSTS = 2


@dataclass(frozen=True)
class RetryTerms:
    """The common budget: ``allowance`` + ``ratio`` x requests in a window."""

    ratio: float
    window_s: float
    allowance: float


@dataclass
class _Window:
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


class RetryShare:
    """Sliding windows by service."""

    def __init__(self, clock: Clock, terms: RetryTerms) -> None:
        self._clock = clock
        self._terms = terms
        self._windows_by_service: dict[str, _Window] = {}
        self.host_count = 1

    def set_terms(self, terms: RetryTerms) -> None:
        """Use other terms from now on."""
        self._terms = terms

    def count_request(self, service: str) -> None:
        """Note a caller's request for a service."""
        self._window(service).requests.append(self._clock.monotonic())

    def try_spend(self, service: str) -> bool:
        """Use one repeat; return false when this host's share is used up."""
        window = self._window(service)
        if len(window.repeats) + 1 > self.limit(service):
            return False
        window.repeats.append(self._clock.monotonic())
        return True

    def count_unavoidable(self, service: str) -> None:
        """Note an extra arrival that was not asked for beforehand."""
        self._window(service).repeats.append(self._clock.monotonic())

    def limit(self, service: str) -> float:
        """Return how many repeats the present window may hold."""
        terms = self._terms
        share = terms.allowance / (self.host_count + UNKNOWN_HOSTS)
        own = terms.ratio * len(self._window(service).requests)
        return SAFETY * (share + own)

    def _window(self, service: str) -> _Window:
        window = self._windows_by_service.setdefault(service, _Window())
        oldest_s = self._clock.monotonic() - self._terms.window_s
        for times in (window.requests, window.repeats):
            while times and times[0] < oldest_s:
                times.popleft()
        return window
