"""Which backend server gets a plain request.

Load pattern: many short requests from each host to a few servers that are
far from full, of which one may be slow, failing or at its connection limit
for seconds. The server with the least expected time is taken: the requests
this host has open there times the time its answers took lately. Servers in
the same failure domain win when the others are not clearly faster.

A server that has not answered here for a while counts as nearly as quick as
the quickest one, so that one that was slow, or is new, is tried again when the
others are busy. A host with little work keeps to servers that it has used,
since a new connection costs the server a place for a moment.
"""

import random
from dataclasses import dataclass

from kumquat_core.clock import Clock

from .engine_health import EngineHealth
from .engine_notices import EngineNotices
from .engine_registry import EngineEntry, EngineRegistry
from .relay_rules import ALL_RULES, RelayRules

__all__ = ["PlainChoice"]

# Weight of a new answer time; a slow server shows after about six answers.
LEARNING_RATE = 0.15
# Answer time before any server has answered, in milliseconds; only ratios
# between servers decide.
FIRST_ANSWER_MS = 60.0
# Just above the ratio of the two ends of the random factor.
UNKNOWN_FACTOR = 1.4
# Slow periods of servers last one to six seconds.
STALE_S = 6.0
# A hop to another failure domain adds about 2 ms to answers of 50 ms, and
# traffic between them is priced.
DISTANCE_FACTOR = 1.15
# Half-width of the random factor that keeps hosts from choosing alike.
JITTER = 0.15


@dataclass
class _Pace:
    answer_ms: float | None = None
    answered_s: float = float("-inf")
    open_requests: int = 0


class PlainChoice:
    """Chooses among the servers of a service."""

    def __init__(
        self,
        registry: EngineRegistry,
        health: EngineHealth,
        failure_domain: str,
        rng: random.Random,
        notices: EngineNotices,
        clock: Clock,
        rules: RelayRules = ALL_RULES,
    ) -> None:
        self._rules = rules
        self._notices = notices
        self._clock = clock
        self._registry = registry
        self._health = health
        self._failure_domain = failure_domain
        self._rng = rng
        self._paces_by_id: dict[str, _Pace] = {}

    def choose(self, service: str, excluded: set[str]) -> EngineEntry | None:
        """Return a server that was not tried, or None.

        Servers that asked this host to stay away for a while are left out.
        """
        entries = [
            entry
            for entry in self._registry.usable(service)
            if entry.id not in excluded and self._notices.pause_left_s(entry.id) <= 0
        ]
        entries = self._health.preferred(entries)
        if not self._rules.plain_choice:
            return self._rng.choice(entries) if entries else None
        quickest_ms = self._quickest_ms(service)
        return min(
            entries, key=lambda entry: self._cost(entry, quickest_ms), default=None
        )

    def pause_left_s(self, service: str, excluded: set[str]) -> float | None:
        """Return the seconds until the first server takes work again.

        None unless all servers of the service have asked for a pause.
        """
        pauses_s = [
            self._notices.pause_left_s(entry.id)
            for entry in self._registry.usable(service)
            if entry.id not in excluded
        ]
        return min(pauses_s, default=0.0) or None

    def answer_s(self, service: str) -> float:
        """Return the time of an answer of the quickest server of a service."""
        return self._quickest_ms(service) / 1000

    def begin(self, engine_id: str) -> None:
        """Note that a request is sent."""
        self._pace(engine_id).open_requests += 1
        self._health.begin(engine_id)

    def end(self, engine_id: str, answer_ms: float | None) -> None:
        """Note that a request ended; ``answer_ms`` is None without answer."""
        pace = self._pace(engine_id)
        pace.open_requests = max(0, pace.open_requests - 1)
        if answer_ms is None:
            return
        known_ms = self._fresh_ms(pace)
        if known_ms is None:
            pace.answer_ms = answer_ms
        else:
            pace.answer_ms = known_ms + LEARNING_RATE * (answer_ms - known_ms)
        pace.answered_s = self._clock.monotonic()

    def forget(self, engine_id: str) -> None:
        """Drop what is known of a server that is gone."""
        self._paces_by_id.pop(engine_id, None)

    def _quickest_ms(self, service: str) -> float:
        paces = (
            self._fresh_ms(self._pace(entry.id))
            for entry in self._registry.usable(service)
        )
        known_ms = [answer_ms for answer_ms in paces if answer_ms is not None]
        return min(known_ms, default=FIRST_ANSWER_MS)

    def _fresh_ms(self, pace: _Pace) -> float | None:
        """Return the answer time of a server that has answered lately."""
        fresh = self._clock.monotonic() - pace.answered_s <= STALE_S
        return pace.answer_ms if fresh else None

    def _cost(self, entry: EngineEntry, quickest_ms: float) -> float:
        pace = self._pace(entry.id)
        answer_ms = self._fresh_ms(pace) or quickest_ms * UNKNOWN_FACTOR
        near = entry.failure_domain == self._failure_domain
        distance = 1.0 if near else DISTANCE_FACTOR
        jitter = self._rng.uniform(1 - JITTER, 1 + JITTER)
        return (1 + pace.open_requests) * answer_ms * distance * jitter

    def _pace(self, engine_id: str) -> _Pace:
        return self._paces_by_id.setdefault(engine_id, _Pace())
