"""What all hosts together saw of one server in the last seconds.

Load pattern: a server answers some tens of requests a second, which 88 to 380
hosts send, so each report contains at most a few of them. Counts decay with
time; a server that becomes slow or fails dominates them within a second.

A server is silent if a request has been open there far longer than usual and
no host has had a later answer. A server that pauses shows this within 0.3 s.
"""

import math
from dataclasses import dataclass, field

from kumquat_core.load_messages import ServerLoad

__all__ = ["ServerWindow"]

# Half-lives of the counts. At 40 requests a second the latency is the mean
# over about 60; a few failures are rarer and have to be remembered longer.
LATENCY_HALF_LIFE_S = 1.0
FAILURE_HALF_LIFE_S = 1.0
# Reported latencies count up to this many times the known one. The requests
# that wait for the end of a pause would make the server look slow for seconds
# after it; a server that stays slow still shows it within a second.
MAX_LATENCY_RISE = 3.0
# More failures from one host do not count, since it may have lost its
# connection to the server.
MAX_FAILURES_PER_HOST = 2.0
# Below this a decayed count is discarded.
MIN_COUNT = 0.05
# Answers that the failure rate of a server without answers is weighed with.
PRIOR_ANSWERS = 4.0
# Expected cost of a failure to a caller in milliseconds: one that may not be
# retried is lost. Refusals have no cost: a server refuses for a few tenths of
# a second after a pause, and in simulations with a cost for refusals the
# servers were overloaded in turn.
FAILURE_COST_MS = 3000.0
# A request that is open for longer, and for several times the usual latency,
# shows a silent server.
MIN_SILENCE_S = 0.1
SILENCE_LATENCIES = 2.5
# Reports about open requests arrive every 0.5 s; without another one the
# server is tried again.
SILENCE_TTL_S = 0.6


@dataclass
class ServerWindow:
    """Decayed counts of one server; times are monotonic seconds."""

    _decayed_s: float
    answered: float = 0.0
    _latency_sum_ms: float = 0.0
    _ended: float = 0.0
    _failures_by_host: dict[str, float] = field(default_factory=dict)
    _answered_at_s: float = float("-inf")
    _stuck_since_s: float = float("-inf")
    _silent_until_s: float = float("-inf")

    def apply(self, load: ServerLoad, host_id: str, now_s: float) -> None:
        """Add what a host reports."""
        self.decay(now_s)
        latency_ms = load.latency_ms
        if self.latency_ms is not None:
            latency_ms = min(latency_ms, MAX_LATENCY_RISE * self.latency_ms)
        self.answered += load.answered
        self._latency_sum_ms += load.answered * latency_ms
        self._ended += load.answered + load.failed + load.refused
        if load.failed:
            known = self._failures_by_host.get(host_id, 0.0)
            self._failures_by_host[host_id] = known + load.failed
        if load.answered:
            answered_at_s = now_s - load.answer_age_ms / 1000
            self._answered_at_s = max(self._answered_at_s, answered_at_s)
        self._apply_open(load.oldest_ms / 1000, now_s)

    def _apply_open(self, oldest_s: float, now_s: float) -> None:
        latency_s = (self.latency_ms or 0.0) / 1000
        if oldest_s > max(MIN_SILENCE_S, SILENCE_LATENCIES * latency_s):
            # Requests that it had begun before are answered up to here.
            stuck_since_s = now_s - oldest_s + latency_s
            self._stuck_since_s = max(self._stuck_since_s, stuck_since_s)
            self._silent_until_s = now_s + SILENCE_TTL_S

    def decay(self, now_s: float) -> None:
        """Let the counts decay up to now."""
        passed_s = now_s - self._decayed_s
        self._decayed_s = now_s
        factor = 0.5 ** (passed_s / LATENCY_HALF_LIFE_S)
        self.answered *= factor
        self._latency_sum_ms *= factor
        factor = 0.5 ** (passed_s / FAILURE_HALF_LIFE_S)
        self._ended *= factor
        self._failures_by_host = {
            host_id: count * factor
            for host_id, count in self._failures_by_host.items()
            if count * factor > MIN_COUNT
        }

    @property
    def latency_ms(self) -> float | None:
        """Return the mean latency, None without any answer."""
        return self._latency_sum_ms / self.answered if self.answered > 0 else None

    @property
    def failure_rate(self) -> float:
        """Return the part of the requests that failed."""
        failures = sum(
            min(MAX_FAILURES_PER_HOST, count)
            for count in self._failures_by_host.values()
        )
        return min(1.0, failures / (self._ended + PRIOR_ANSWERS))

    @property
    def rate_per_s(self) -> float:
        """Return how many requests ended in a second, refused ones too."""
        return self._ended * math.log(2) / FAILURE_HALF_LIFE_S

    def silent_s(self, now_s: float) -> float:
        """Return for how long a server that stopped answering is avoided."""
        if self._answered_at_s > self._stuck_since_s:
            return 0.0
        return max(0.0, self._silent_until_s - now_s)

    def cost_ms(self, usual_ms: float) -> float:
        """Return the expected cost of a request to its caller.

        ``usual_ms`` is the latency of a server without any answer.
        """
        return (self.latency_ms or usual_ms) + self.failure_rate * FAILURE_COST_MS
