"""Tracks the health of engines from the outcomes of requests sent to them.

Load pattern: engines that fail some of their requests while their health
checks pass, that accept connections but never respond, or that stop before
the store reports it.

An engine is avoided after ``MAX_CONSECUTIVE_FAILURES`` failures in a row, or
when more than half of its recent requests failed. The avoidance time doubles
each time the engine is avoided again. After it has passed, the engine receives
single trial requests until one succeeds. An engine that could not be connected
to counts as unreachable until it accepts a connection.

A sound engine may fall silent for a second and go on. After runs that were
given up for that, it is avoided only until it sends an event again.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from kumquat_core.clock import Clock

from .engine_registry import EngineEntry
from .relay_rules import ALL_RULES, RelayRules

__all__ = ["EngineHealth", "Failure"]

# An engine that fails one request in a hundred rarely fails two in a row, and
# an engine that is down costs only a few requests before it is avoided.
MAX_CONSECUTIVE_FAILURES = 2
OUTCOME_WINDOW = 10
MIN_RECENT_FAILURES = 4
# Shortest and longest avoidance time. The shortest slow periods of engines
# last 0.6 s; a crashed engine has restarted or left the store after about 5 s.
MIN_AVOID_S = 0.7
MAX_AVOID_S = 5.6


class Failure(IntEnum):
    """How a request failed; the value is its weight as a consecutive failure.

    An error response may be caused by the request itself, so it counts only
    towards the proportion of recent failures. A single failed connection
    attempt is enough to avoid the engine, and so is a response without end.
    """

    ERROR_ANSWER = 0
    BROKEN = 1
    UNREACHABLE = 2
    ENDLESS = 3


@dataclass
class _EngineRecord:
    """Outcomes and avoidance state of one engine.

    ``avoid_s`` is the length of the next avoidance time, ``next_trial_s`` the
    earliest time of the next trial request. ``silences`` counts the runs that
    were given up for a silence since the engine last sent an event.
    """

    consecutive_failures: int = 0
    recent_successes: deque[bool] = field(
        default_factory=lambda: deque(maxlen=OUTCOME_WINDOW)
    )
    avoid_until_s: float = float("-inf")
    avoid_s: float = MIN_AVOID_S
    avoided: bool = False
    next_trial_s: float = float("-inf")
    unreachable: bool = False
    silences: int = 0
    avoided_for_silence: bool = False


class EngineHealth:
    """Records request outcomes and decides which engines are avoided."""

    def __init__(self, clock: Clock, rules: RelayRules = ALL_RULES) -> None:
        self._clock = clock
        self._rules = rules
        self._records_by_id: dict[str, _EngineRecord] = {}

    def record_success(self, engine_id: str) -> bool:
        """Record a success; return whether it ends an avoidance."""
        record = self._records_by_id.setdefault(engine_id, _EngineRecord())
        record.consecutive_failures = record.silences = 0
        record.unreachable = record.avoided_for_silence = False
        record.recent_successes.append(True)
        recovered = record.avoided
        if recovered:
            record.avoided = False
            record.recent_successes.clear()
        elif len(record.recent_successes) == OUTCOME_WINDOW and all(
            record.recent_successes
        ):
            record.avoid_s = MIN_AVOID_S
        return recovered

    def record_failure(self, engine_id: str, failure: Failure) -> bool:
        """Record a failure; return whether it starts a new avoidance time."""
        if not self._rules.avoidance:
            return False
        record = self._records_by_id.setdefault(engine_id, _EngineRecord())
        record.consecutive_failures += failure
        record.unreachable |= failure is Failure.UNREACHABLE and self._rules.probes
        record.recent_successes.append(False)
        failures = record.recent_successes.count(False)
        mostly_fails = failures >= MIN_RECENT_FAILURES and failures * 2 > len(
            record.recent_successes
        )
        if record.consecutive_failures < MAX_CONSECUTIVE_FAILURES and not mostly_fails:
            return False
        record.avoided_for_silence = False
        return self._avoid(record)

    def record_silence(self, engine_id: str) -> bool:
        """Record a run given up for a silence; see ``record_failure``."""
        if not self._rules.avoidance:
            return False
        record = self._records_by_id.setdefault(engine_id, _EngineRecord())
        record.silences += 1
        if record.silences < MAX_CONSECUTIVE_FAILURES:
            return False
        if not record.avoided:
            record.avoided_for_silence = True
        return self._avoid(record)

    def record_event(self, engine_id: str) -> bool:
        """Record an event of a run; return whether it ends an avoidance."""
        record = self._records_by_id.get(engine_id)
        if record is None or not record.silences:
            return False
        record.silences = 0
        if not (record.avoided and record.avoided_for_silence):
            return False
        record.avoided = record.avoided_for_silence = False
        record.avoid_until_s = float("-inf")
        record.avoid_s = MIN_AVOID_S
        return True

    def _avoid(self, record: _EngineRecord) -> bool:
        """Avoid an engine; return false if it still is."""
        now_s = self._clock.monotonic()
        if now_s < record.avoid_until_s:
            return False
        record.avoid_until_s = now_s + record.avoid_s
        record.avoid_s = min(MAX_AVOID_S, record.avoid_s * 2)
        record.avoided = True
        record.next_trial_s = float("-inf")
        return True

    @property
    def any_unhealthy(self) -> bool:
        """Tell whether any engine is avoided or unreachable."""
        return any(
            record.avoided or record.unreachable
            for record in self._records_by_id.values()
        )

    def mark_reachable(self, engine_id: str) -> None:
        """Clear the failures of an unreachable engine after a connection."""
        record = self._records_by_id.get(engine_id)
        if record is None or not record.unreachable:
            return
        record.unreachable = False
        record.avoided = False
        record.consecutive_failures = 0
        record.recent_successes.clear()

    def is_unreachable(self, engine_id: str) -> bool:
        """Tell whether the last connection attempt to an engine failed."""
        record = self._records_by_id.get(engine_id)
        return record is not None and record.unreachable

    def is_avoided(self, engine_id: str) -> bool:
        """Tell whether an engine should receive no request now.

        After its avoidance time an engine may receive one trial request per
        second.
        """
        record = self._records_by_id.get(engine_id)
        if record is None or not record.avoided:
            return False
        now_s = self._clock.monotonic()
        return now_s < record.avoid_until_s or now_s < record.next_trial_s

    def record_send(self, engine_id: str) -> None:
        """Record a sent request, which is a trial if the engine is avoided."""
        record = self._records_by_id.get(engine_id)
        if record is not None and record.avoided:
            record.next_trial_s = self._clock.monotonic() + 1.0

    def preferred(self, entries: Iterable[EngineEntry]) -> list[EngineEntry]:
        """Return the entries that are not avoided, or all if none is left."""
        entries = list(entries)
        usable = [entry for entry in entries if not self.is_avoided(entry.id)]
        return usable or entries

    def reachable(self, entries: Iterable[EngineEntry]) -> list[EngineEntry]:
        """Return the preferred entries among those that are not unreachable.

        Unlike ``preferred``, it returns an empty list if all engines are
        unreachable, since requests to them would certainly fail.
        """
        return self.preferred(
            entry for entry in entries if not self.is_unreachable(entry.id)
        )

    def remove(self, engine_id: str) -> None:
        """Delete the record of an engine that was removed."""
        self._records_by_id.pop(engine_id, None)
