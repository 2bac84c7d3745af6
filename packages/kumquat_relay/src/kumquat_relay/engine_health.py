"""Which engines to avoid, from what happened to requests sent there.

Load pattern: engines that fail part of their requests while their health
check is good, that accept connections and stay silent, or that are gone
before the store says so.

An engine is avoided after ``FAILURES`` failures in a row or when more than
half of its recent requests failed, for a time that doubles with each
repetition. After it, one request at a time is sent until one succeeds. An
engine that could not be reached stays so until a connection is accepted.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from kumquat_core.clock import Clock

from .engine_registry import EngineEntry
from .relay_rules import ALL_RULES, RelayRules

__all__ = ["EngineHealth", "Failure"]

# Two failures in a row are rare at an engine that fails one request in a
# hundred, and one lost engine costs few requests before it is left out.
FAILURES = 2
RECENT_OUTCOMES = 10
MIN_RECENT_FAILURES = 4
# Seconds without work; the shortest slow periods of engines last 0.6 s, and
# an engine that crashed is back or unlisted within about five.
AVOID_S = 0.7
MAX_AVOID_S = 5.6


class Failure(IntEnum):
    """How a request failed; the number is what it counts in a row.

    An error answer may be the request's own fault, so it counts only in the
    share of recent failures. A refused connection needs no second proof.
    """

    ERROR_ANSWER = 0
    BROKEN = 1
    UNREACHABLE = 2


@dataclass
class _Record:
    failures_in_row: int = 0
    recent: deque[bool] = field(default_factory=lambda: deque(maxlen=RECENT_OUTCOMES))
    avoid_until_s: float = float("-inf")
    avoid_s: float = AVOID_S
    avoided: bool = False
    trial_until_s: float = float("-inf")
    unreachable: bool = False


class EngineHealth:
    """Outcome records by engine id."""

    def __init__(self, clock: Clock, rules: RelayRules = ALL_RULES) -> None:
        self._clock = clock
        self._rules = rules
        self._records_by_id: dict[str, _Record] = {}

    def succeeded(self, engine_id: str) -> bool:
        """Note a success; return whether it ends a time of avoidance."""
        record = self._records_by_id.setdefault(engine_id, _Record())
        record.failures_in_row = 0
        record.unreachable = False
        record.recent.append(True)
        returned = record.avoided
        if returned:
            record.avoided = False
            record.recent.clear()
        elif len(record.recent) == RECENT_OUTCOMES and all(record.recent):
            record.avoid_s = AVOID_S
        return returned

    def failed(self, engine_id: str, failure: Failure) -> bool:
        """Note a failure; return whether the engine is avoided from now on."""
        if not self._rules.avoidance:
            return False
        record = self._records_by_id.setdefault(engine_id, _Record())
        record.failures_in_row += failure
        record.unreachable |= failure is Failure.UNREACHABLE and self._rules.probes
        record.recent.append(False)
        failures = record.recent.count(False)
        mostly_fails = failures >= MIN_RECENT_FAILURES and failures * 2 > len(
            record.recent
        )
        if record.failures_in_row < FAILURES and not mostly_fails:
            return False
        now_s = self._clock.monotonic()
        if now_s < record.avoid_until_s:
            return False
        record.avoid_until_s = now_s + record.avoid_s
        record.avoid_s = min(MAX_AVOID_S, record.avoid_s * 2)
        record.avoided = True
        record.trial_until_s = float("-inf")
        return True

    @property
    def any_trouble(self) -> bool:
        """Tell whether any engine is avoided or out of reach."""
        return any(
            record.avoided or record.unreachable
            for record in self._records_by_id.values()
        )

    def reached(self, engine_id: str) -> None:
        """Note that an engine accepted a connection."""
        record = self._records_by_id.get(engine_id)
        if record is None or not record.unreachable:
            return
        record.unreachable = False
        record.avoided = False
        record.failures_in_row = 0
        record.recent.clear()

    def is_unreachable(self, engine_id: str) -> bool:
        """Tell whether the last connection to an engine failed."""
        record = self._records_by_id.get(engine_id)
        return record is not None and record.unreachable

    def is_avoided(self, engine_id: str) -> bool:
        """Tell whether an engine should get no work now.

        After its time an avoided engine gets one trial per second.
        """
        record = self._records_by_id.get(engine_id)
        if record is None or not record.avoided:
            return False
        now_s = self._clock.monotonic()
        return now_s < record.avoid_until_s or now_s < record.trial_until_s

    def begin(self, engine_id: str) -> None:
        """Note that a request is sent; counts as the trial when avoided."""
        record = self._records_by_id.get(engine_id)
        if record is not None and record.avoided:
            record.trial_until_s = self._clock.monotonic() + 1.0

    def preferred(self, entries: Iterable[EngineEntry]) -> list[EngineEntry]:
        """Return the entries not avoided, or all when all are avoided."""
        entries = list(entries)
        good = [entry for entry in entries if not self.is_avoided(entry.id)]
        return good or entries

    def reachable(self, entries: Iterable[EngineEntry]) -> list[EngineEntry]:
        """Return the preferred ones of the entries that can be reached.

        Unlike ``preferred`` it returns nothing rather than entries that
        certainly do not answer.
        """
        return self.preferred(
            entry for entry in entries if not self.is_unreachable(entry.id)
        )

    def forget(self, engine_id: str) -> None:
        """Drop the record of an engine that is gone."""
        self._records_by_id.pop(engine_id, None)
