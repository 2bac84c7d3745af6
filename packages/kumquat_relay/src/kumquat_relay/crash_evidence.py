"""Finds the prompt parts and requests that crash engines or backend servers.

Load pattern: some requests contain a prompt part that crashes each engine that
begins to answer them. They arrive at any host and share their other parts with
harmless requests, while engines also crash for other reasons. Or one request
does so as a whole, and comes again with equal parts. Below, the mark of a
request counts as one more part of it, see ``request_marks``.

A part is suspect once an engine has crashed at the beginning of an answer to a
request with it. It is cleared when a request with it is answered. It is
quarantined after crashes at ``MIN_CRASHES`` addresses, or after
``CERTAIN_CRASHES`` crashes. Crashes at the same moment count once, since they
may have a common cause, unless the request was a trial. If several parts share
all their crashes, only requests with all of them are refused; trials of the
others show which part is the cause. A crash no longer counts if its engine
turns out to live, since connections also break and are refused elsewhere.

A quarantine ends after ``QUARANTINE_S``, doubled with each further crash. Then
the part is suspect again, so one trial decides. After ``MAX_CRASHES`` it does
not end by itself.

Records are only added or expire, so hosts can merge what they know in any
order. The class reads no clock and does no I/O.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from kumquat_core.crash_messages import CrashRecord, evidence_digest

__all__ = ["CrashEvidenceSet", "CrashHistory", "HarmlessParts", "Verdict"]

MIN_CRASHES = 2
CERTAIN_CRASHES = 3
MAX_CRASHES = 5
# Crashes of a whole failure domain reach all hosts within this time.
COINCIDENCE_S = 0.5
QUARANTINE_S = 600.0
# Requests with a deadly part may come rarely.
FORGET_SUSPECT_S = 3600.0
# Meanwhile all hosts have learned that a part is cleared.
FORGET_CLEARED_S = 120.0
# An engine that has ended writes nothing to the store after this time.
MAX_WRITE_DELAY_S = 3.0
# Bounds on memory where no two requests share a part.
MAX_PARTS = 64
MAX_HARMLESS_PARTS = 4096


class Verdict(Enum):
    """How requests with some prompt parts are treated."""

    NORMAL = "normal"
    TRIAL = "trial"
    REFUSED = "refused"


@dataclass(frozen=True)
class _Crash:
    """A crash under a part; ``at_s`` is its monotonic time."""

    address: str
    at_s: float
    trial: bool


@dataclass
class _Part:
    """What is known about a part; crashes by engine incarnation."""

    crashes_by_engine: dict[str, _Crash] = field(default_factory=dict)
    cleared_s: float | None = None

    @property
    def last_s(self) -> float:
        """Return the time of the newest observation."""
        times = [crash.at_s for crash in self.crashes_by_engine.values()]
        if self.cleared_s is not None:
            return self.cleared_s
        return max(times, default=float("-inf"))

    def count(self) -> int:
        """Return the number of crashes, coinciding ones counted once."""
        count, previous_s = 0, float("-inf")
        for crash in sorted(self.crashes_by_engine.values(), key=lambda c: c.at_s):
            if crash.trial or crash.at_s - previous_s > COINCIDENCE_S:
                count += 1
            previous_s = crash.at_s
        return count

    def is_proven(self) -> bool:
        """Return whether the crashes suffice for a quarantine."""
        if self.cleared_s is not None:
            return False
        addresses = {crash.address for crash in self.crashes_by_engine.values()}
        count = self.count()
        return count >= CERTAIN_CRASHES or (
            count >= MIN_CRASHES and len(addresses) >= MIN_CRASHES
        )

    def is_quarantined(self, now_s: float) -> bool:
        """Return whether a quarantine is in force."""
        if not self.is_proven():
            return False
        count = self.count()
        duration_s = QUARANTINE_S * 2 ** (count - MIN_CRASHES)
        return count >= MAX_CRASHES or now_s < self.last_s + duration_s


@dataclass(frozen=True)
class CrashHistory:
    """The first time and the addresses of crashes under some parts."""

    first_s: float = float("-inf")
    addresses: frozenset[str] = frozenset()


class CrashEvidenceSet:
    """The crashes and cleared parts of one service."""

    def __init__(self) -> None:
        self._parts_by_id: dict[str, _Part] = {}
        # Times until which crashes of these engines are not recorded.
        self._live_until_s_by_engine: dict[str, float] = {}
        self._digest: int | None = None

    def record_crash(
        self, part: str, engine: str, address: str, at_s: float, *, trial: bool
    ) -> bool:
        """Record a crash; return whether it was unknown.

        Nothing is recorded for a cleared part.
        """
        known = self._parts_by_id.get(part)
        if known is not None and known.cleared_s is not None:
            return False
        if at_s < self._live_until_s_by_engine.get(engine, float("-inf")):
            return False
        if known is not None and engine in known.crashes_by_engine:
            crash = known.crashes_by_engine[engine]
            if not trial or crash.trial:
                return False
        known = self._parts_by_id.setdefault(part, _Part())
        known.crashes_by_engine[engine] = _Crash(address, at_s, trial)
        self._limit_size()
        self._digest = None
        return True

    def clear(self, part: str, now_s: float) -> bool:
        """Record that a request with a part was answered.

        Returns whether the part was suspect.
        """
        known = self._parts_by_id.get(part)
        if known is None or known.cleared_s is not None:
            return False
        known.cleared_s = now_s
        known.crashes_by_engine.clear()
        self._digest = None
        return True

    def record_life(self, engine: str, now_s: float) -> list[str]:
        """Record that an engine has just written to the store.

        Returns the parts that its connections had made suspect before.
        """
        latest_s = now_s - MAX_WRITE_DELAY_S
        acquitted = []
        for part_id, part in list(self._parts_by_id.items()):
            crash = part.crashes_by_engine.get(engine)
            if crash is None or crash.at_s > latest_s:
                continue
            self._live_until_s_by_engine[engine] = latest_s
            del part.crashes_by_engine[engine]
            acquitted.append(part_id)
            if not part.crashes_by_engine:
                del self._parts_by_id[part_id]
            self._digest = None
        return acquitted

    def merge(self, records: Iterable[CrashRecord], now_s: float) -> bool:
        """Add the records of another host; return whether any was unknown."""
        changed = False
        for record in records:
            at_s = now_s - record.age_ms / 1000
            if record.engine:
                changed |= self.record_crash(
                    record.part, record.engine, record.address, at_s, trial=record.trial
                )
            elif now_s - at_s <= FORGET_CLEARED_S:
                self._parts_by_id.setdefault(record.part, _Part())
                changed |= self.clear(record.part, at_s)
        self._limit_size()
        self.expire(now_s)
        return changed

    def records(self, now_s: float) -> tuple[CrashRecord, ...]:
        """Return all observations for another host."""
        self.expire(now_s)
        records = []
        for part_id, part in self._parts_by_id.items():
            if part.cleared_s is not None:
                age_ms = _age_ms(part.cleared_s, now_s)
                records.append(CrashRecord(part_id, "", "", age_ms, False))
            for engine, crash in part.crashes_by_engine.items():
                age_ms = _age_ms(crash.at_s, now_s)
                records.append(
                    CrashRecord(part_id, engine, crash.address, age_ms, crash.trial)
                )
        return tuple(records)

    def digest(self, now_s: float) -> int:
        """Return the digest of all observations, 0 if there are none."""
        self.expire(now_s)
        if self._digest is None:
            self._digest = evidence_digest(self.records(now_s))
        return self._digest

    def verdict(self, parts: Iterable[str], now_s: float) -> Verdict:
        """Return how a request with these parts is treated."""
        present = set(parts)
        if present.isdisjoint(self._parts_by_id):
            return Verdict.NORMAL
        self.expire(now_s)
        suspects = self.suspects(present)
        if any(self._explains(part, present, now_s) for part in suspects):
            return Verdict.REFUSED
        return Verdict.TRIAL if suspects else Verdict.NORMAL

    def suspects(self, parts: Iterable[str]) -> tuple[str, ...]:
        """Return those of the parts that are suspect or quarantined."""
        return tuple(
            sorted(
                part
                for part in parts
                if part in self._parts_by_id
                and self._parts_by_id[part].cleared_s is None
            )
        )

    def history(self, parts: Iterable[str]) -> CrashHistory:
        """Return when and where engines crashed under any of the parts."""
        crashes = [
            crash
            for part in parts
            if part in self._parts_by_id
            for crash in self._parts_by_id[part].crashes_by_engine.values()
        ]
        return CrashHistory(
            min((crash.at_s for crash in crashes), default=float("-inf")),
            frozenset(crash.address for crash in crashes),
        )

    def crashes_of(self, part: str) -> list[str]:
        """Return the engine incarnations that crashed under a part."""
        known = self._parts_by_id.get(part)
        return sorted(known.crashes_by_engine) if known is not None else []

    def quarantined(self, now_s: float) -> set[tuple[str, ...]]:
        """Return the sets of parts for which a quarantine is in force.

        Requests with all parts of a set are refused.
        """
        return {
            self._indistinguishable(part)
            for part_id, part in self._parts_by_id.items()
            if part.is_quarantined(now_s)
        }

    def is_empty(self) -> bool:
        """Return whether nothing is suspect, cleared or quarantined."""
        return not self._parts_by_id

    def suspect_count(self) -> int:
        """Return the number of parts that are suspect or quarantined."""
        return sum(part.cleared_s is None for part in self._parts_by_id.values())

    def expire(self, now_s: float) -> None:
        """Forget cleared parts and those that only a few crashes concern."""
        for engine, until_s in list(self._live_until_s_by_engine.items()):
            if now_s - until_s > FORGET_SUSPECT_S:
                del self._live_until_s_by_engine[engine]
        for part_id, part in list(self._parts_by_id.items()):
            forget_s = (
                FORGET_CLEARED_S if part.cleared_s is not None else FORGET_SUSPECT_S
            )
            if now_s - part.last_s > forget_s and not part.is_proven():
                del self._parts_by_id[part_id]
                self._digest = None

    def _explains(self, part_id: str, present: set[str], now_s: float) -> bool:
        """Return whether a quarantined part condemns a request."""
        part = self._parts_by_id[part_id]
        return part.is_quarantined(now_s) and present.issuperset(
            self._indistinguishable(part)
        )

    def _indistinguishable(self, part: _Part) -> tuple[str, ...]:
        """Return the parts under which all engines crashed as under this one.

        Any of them may be the cause.
        """
        crashes = set(part.crashes_by_engine)
        return tuple(
            sorted(
                other_id
                for other_id, other in self._parts_by_id.items()
                if crashes <= set(other.crashes_by_engine)
            )
        )

    def _limit_size(self) -> None:
        """Drop the parts with the fewest crashes, the oldest first."""
        while len(self._parts_by_id) > MAX_PARTS:
            weakest = min(
                self._parts_by_id,
                key=lambda part_id: (
                    self._parts_by_id[part_id].count(),
                    self._parts_by_id[part_id].last_s,
                ),
            )
            del self._parts_by_id[weakest]
            self._digest = None


class HarmlessParts:
    """The parts of prompts that this host has seen answered most recently."""

    def __init__(self, limit: int = MAX_HARMLESS_PARTS) -> None:
        self._limit = limit
        self._parts: OrderedDict[str, None] = OrderedDict()

    def add(self, part: str) -> None:
        """Record that a request with a part was answered."""
        self._parts[part] = None
        self._parts.move_to_end(part)
        if len(self._parts) > self._limit:
            self._parts.popitem(last=False)

    def __contains__(self, part: str) -> bool:
        return part in self._parts


def _age_ms(at_s: float, now_s: float) -> int:
    return max(0, int((now_s - at_s) * 1000))
