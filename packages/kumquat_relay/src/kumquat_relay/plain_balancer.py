"""Balances plain requests over the backend servers of a service.

Load pattern: each host sends many short requests to a few servers that are far
from their capacity, but one of them may be slow, failing or at its connection
limit for seconds. The server with the lowest expected time is chosen: the
number of requests that this host has open there, multiplied by its recent
latency. Servers in the same failure domain are preferred unless others are
clearly faster.

A server that has not responded to this host recently is assumed to be slightly
slower than the fastest one, so that a new server, or one that was slow, is
tried when the others are busy. A host with few requests keeps using the same
servers, since each new connection briefly occupies a slot of the server.

Where many hosts share few servers, ``balance`` picks the first server by the
shares of the whole fleet.
"""

import random
from dataclasses import dataclass

from kumquat_core.clock import Clock

from .balance.even_load import EvenLoad
from .balance.overload_gate import OverloadGate
from .balance.send_counts import SendOutcome
from .engine_health import EngineHealth
from .engine_notices import EngineNotices
from .engine_registry import EngineEntry, EngineRegistry
from .host_parts import HostParts
from .relay_rules import ALL_RULES, RelayRules

__all__ = ["PlainBalancer"]

# Weight of a new latency in the moving average; a server that becomes slow is
# detected after about six responses.
LATENCY_SMOOTHING = 0.15
# Assumed latency before any server has responded. Its value does not affect
# the choice, since only ratios between servers do.
INITIAL_LATENCY_MS = 60.0
# Just above the ratio of the largest to the smallest jitter factor, so that
# jitter alone never prefers a server without a recent latency to the fastest.
UNMEASURED_FACTOR = 1.4
# Age after which a latency is ignored. Slow periods of servers last 1 to 6 s.
STALE_S = 6.0
# A hop to another failure domain adds about 2 ms to a latency of 50 ms, and
# traffic between failure domains is billed.
CROSS_DOMAIN_FACTOR = 1.15
# Half-width of the random factor that keeps hosts from all choosing the same
# server.
JITTER = 0.15


@dataclass
class _ServerStats:
    """Latency and open requests of one server, as seen by this host."""

    latency_ms: float | None = None
    measured_s: float = float("-inf")
    open_requests: int = 0


class PlainBalancer:
    """Chooses a server for each plain request and tracks latencies."""

    def __init__(
        self,
        registry: EngineRegistry,
        health: EngineHealth,
        failure_domain: str,
        rng: random.Random,
        notices: EngineNotices,
        clock: Clock,
        rules: RelayRules = ALL_RULES,
        even_load: EvenLoad | None = None,
    ) -> None:
        self._rules = rules
        self._even_load = even_load
        self._notices = notices
        self._clock = clock
        self._registry = registry
        self._health = health
        self._failure_domain = failure_domain
        self._rng = rng
        self._stats_by_id: dict[str, _ServerStats] = {}

    @classmethod
    def from_parts(
        cls,
        parts: HostParts,
        failure_domain: str,
        notices: EngineNotices,
        even_load: EvenLoad | None = None,
    ) -> "PlainBalancer":
        """Create the balancer of a host in a failure domain."""
        return cls(
            parts.cluster_state.registry,
            parts.health,
            failure_domain,
            parts.rng,
            notices,
            parts.clock,
            parts.rules,
            even_load,
        )

    @property
    def overload(self) -> OverloadGate | None:
        """Return what rejects requests to overloaded services, if any."""
        return self._even_load.overload if self._even_load is not None else None

    def choose(self, service: str, excluded: set[str]) -> EngineEntry | None:
        """Return the server with the lowest cost, None if there is none.

        Servers in ``excluded`` and servers that have asked this host for a
        pause are not considered.
        """
        return next(iter(self.ranked(service, excluded)), None)

    def ranked(self, service: str, excluded: set[str]) -> list[EngineEntry]:
        """Return the servers that ``choose`` considers, the best one first."""
        entries = [
            entry
            for entry in self._registry.usable(service)
            if entry.id not in excluded
            and self._notices.remaining_pause_s(entry.id) <= 0
        ]
        entries = self._health.preferred(entries)
        if not self._rules.plain_choice:
            return self._rng.sample(entries, len(entries))
        lowest_latency_ms = self._lowest_latency_ms(service)
        ranked = sorted(entries, key=lambda entry: self._cost(entry, lowest_latency_ms))
        picked = self._even_load.pick(service, entries) if self._even_load else None
        if picked is not None:
            ranked.remove(picked)
            ranked.insert(0, picked)
        return ranked

    def remaining_pause_s(self, service: str, excluded: set[str]) -> float | None:
        """Return the seconds until the first pause of a server ends.

        None unless all servers that are not excluded have asked for a pause.
        """
        pauses_s = [
            self._notices.remaining_pause_s(entry.id)
            for entry in self._registry.usable(service)
            if entry.id not in excluded
        ]
        return min(pauses_s, default=0.0) or None

    def lowest_latency_s(self, service: str) -> float:
        """Return the lowest recent latency among the servers of a service."""
        return self._lowest_latency_ms(service) / 1000

    def record_send(self, engine_id: str) -> float:
        """Record that a request is sent to a server; return when."""
        self._stats_of(engine_id).open_requests += 1
        self._health.record_send(engine_id)
        if self._even_load is None:
            return self._clock.monotonic()
        return self._even_load.record_send(engine_id)

    def record_unreachable(self, engine_id: str) -> None:
        """Record that a server could not be connected to."""
        if self._even_load is not None:
            self._even_load.record_unreachable(engine_id)

    def record_end(
        self,
        engine_id: str,
        latency_ms: float | None,
        outcome: SendOutcome,
        sent_s: float,
    ) -> None:
        """Record the end of a request that was sent at ``sent_s``.

        ``latency_ms`` is None if there was no answer.
        """
        if self._even_load is not None:
            self._even_load.record_end(engine_id, outcome, latency_ms, sent_s)
        stats = self._stats_of(engine_id)
        stats.open_requests = max(0, stats.open_requests - 1)
        if latency_ms is None:
            return
        known_ms = self._recent_latency_ms(stats)
        if known_ms is None:
            stats.latency_ms = latency_ms
        else:
            stats.latency_ms = known_ms + LATENCY_SMOOTHING * (latency_ms - known_ms)
        stats.measured_s = self._clock.monotonic()

    def remove(self, engine_id: str) -> None:
        """Delete the statistics of a server that was removed."""
        self._stats_by_id.pop(engine_id, None)
        if self._even_load is not None:
            self._even_load.remove(engine_id)

    def _lowest_latency_ms(self, service: str) -> float:
        latencies_ms = (
            self._recent_latency_ms(self._stats_of(entry.id))
            for entry in self._registry.usable(service)
        )
        known_ms = [latency_ms for latency_ms in latencies_ms if latency_ms is not None]
        return min(known_ms, default=INITIAL_LATENCY_MS)

    def _recent_latency_ms(self, stats: _ServerStats) -> float | None:
        """Return the latency of a server, None without a recent response."""
        is_recent = self._clock.monotonic() - stats.measured_s <= STALE_S
        return stats.latency_ms if is_recent else None

    def _cost(self, entry: EngineEntry, lowest_latency_ms: float) -> float:
        """Return the expected time of one more request, with random jitter."""
        stats = self._stats_of(entry.id)
        latency_ms = (
            self._recent_latency_ms(stats) or lowest_latency_ms * UNMEASURED_FACTOR
        )
        same_domain = entry.failure_domain == self._failure_domain
        domain_factor = 1.0 if same_domain else CROSS_DOMAIN_FACTOR
        jitter = self._rng.uniform(1 - JITTER, 1 + JITTER)
        return (1 + stats.open_requests) * latency_ms * domain_factor * jitter

    def _stats_of(self, engine_id: str) -> _ServerStats:
        return self._stats_by_id.setdefault(engine_id, _ServerStats())
