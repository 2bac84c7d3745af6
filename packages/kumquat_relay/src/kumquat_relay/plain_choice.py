"""Which backend server gets a plain request.

Load pattern: many short requests from each host to a few servers that are
far from full, of which one may be slow, failing or at its connection limit
for seconds. The server with the least expected time is taken: the requests
this host has open there times the time its answers took lately. Servers in
the same failure domain win when the others are not clearly faster.
"""

import random
from dataclasses import dataclass

from .engine_health import EngineHealth
from .engine_registry import EngineEntry, EngineRegistry

__all__ = ["PlainChoice"]

# Weight of a new answer time; a slow server shows after about six answers.
LEARNING_RATE = 0.15
# Answer time of a server before its first answer, in milliseconds; between
# the means of the two standard sites.
FIRST_ANSWER_MS = 60.0
# A hop to another failure domain adds about 2 ms to answers of 50 ms, and
# traffic between them is priced.
DISTANCE_FACTOR = 1.15
# Half-width of the random factor that keeps hosts from choosing alike.
JITTER = 0.15


@dataclass
class _Pace:
    answer_ms: float = FIRST_ANSWER_MS
    open_requests: int = 0


class PlainChoice:
    """Chooses among the servers of a service."""

    def __init__(
        self,
        registry: EngineRegistry,
        health: EngineHealth,
        failure_domain: str,
        rng: random.Random,
    ) -> None:
        self._registry = registry
        self._health = health
        self._failure_domain = failure_domain
        self._rng = rng
        self._paces_by_id: dict[str, _Pace] = {}

    def choose(self, service: str, excluded: set[str]) -> EngineEntry | None:
        """Return a server that was not tried, or None."""
        entries = [
            entry
            for entry in self._registry.usable(service)
            if entry.id not in excluded
        ]
        entries = self._health.preferred(entries)
        return min(entries, key=self._cost, default=None)

    def begin(self, engine_id: str) -> None:
        """Note that a request is sent."""
        self._pace(engine_id).open_requests += 1
        self._health.begin(engine_id)

    def end(self, engine_id: str, answer_ms: float | None) -> None:
        """Note that a request ended; ``answer_ms`` is None without answer."""
        pace = self._pace(engine_id)
        pace.open_requests = max(0, pace.open_requests - 1)
        if answer_ms is not None:
            pace.answer_ms += LEARNING_RATE * (answer_ms - pace.answer_ms)

    def forget(self, engine_id: str) -> None:
        """Drop what is known of a server that is gone."""
        self._paces_by_id.pop(engine_id, None)

    def _cost(self, entry: EngineEntry) -> float:
        pace = self._pace(entry.id)
        near = entry.failure_domain == self._failure_domain
        distance = 1.0 if near else DISTANCE_FACTOR
        jitter = self._rng.uniform(1 - JITTER, 1 + JITTER)
        return (1 + pace.open_requests) * pace.answer_ms * distance * jitter

    def _pace(self, engine_id: str) -> _Pace:
        return self._paces_by_id.setdefault(engine_id, _Pace())
