"""Whether one server has room, from the reports of all hosts.

Load pattern: a server that is full answers steadily, but its latency is near
the objective or it rejects requests. A server that pauses shows the same for a
moment, with a gap between its answers; a server that fails or is gone shows no
answers at all, or quick ones. Counts decay within a second.
"""

import itertools
from dataclasses import dataclass, field
from enum import Enum

from kumquat_core.load_messages import ServerLoad

__all__ = ["HALF_LIFE_S", "ServerPressure", "ServerState"]

# Reports arrive every 0.5 s, so a shorter memory would not react sooner. At
# 110 answers per second the counts cover about 60 of them.
HALF_LIFE_S = 0.25
# A full server rejects or delays most requests; a few rejections are those of
# hosts that chose the same server at once.
BUSY_REJECTED_SHARE = 0.1
BUSY_LATENCY_SHARE = 0.75
# Fewer events tell nothing about a server.
MIN_EVENTS = 4.0
# Answers follow each other within some tens of milliseconds while a server
# has a queue; servers pause for 600 ms.
MIN_PAUSE_S = 0.25
# Slow servers leave longer gaps between their answers; at an even rate a gap
# of five usual ones is improbable.
PAUSE_GAPS = 5.0
# The latest answers are known from reports that arrive later.
REPORT_LAG_S = 0.1
# Latencies that a pause has raised are reported, and its queue is worked off,
# within this time after it.
RECOVERY_S = 1.0
# A server without answers for this long does not pause but is gone.
ABSENT_S = 1.5
# Hosts with open requests report every 0.5 s; others are gone.
OPEN_TTL_S = 1.2
# Resolution of the times of answers, which bounds their number.
STEP_S = 0.05


class ServerState(Enum):
    """What a server shows.

    ``UNKNOWN`` ones have just appeared, pause, or have just paused; ``ABSENT``
    ones do not answer.
    """

    ROOM = "room"
    BUSY = "busy"
    UNKNOWN = "unknown"
    ABSENT = "absent"


@dataclass
class ServerPressure:
    """Decayed counts of one server; times are monotonic seconds."""

    first_seen_s: float
    slots: int
    answered: float = 0.0
    failed: float = 0.0
    rejected: float = 0.0
    latency_sum_ms: float = 0.0
    _decayed_s: float = float("-inf")
    _open_by_host: dict[str, tuple[int, float]] = field(default_factory=dict)
    _latest_answer_s: float = float("-inf")
    _answer_steps: set[int] = field(default_factory=set)

    def apply(self, load: ServerLoad, host_id: str, now_s: float) -> None:
        """Add what a host reports."""
        self.answered += load.answered
        self.failed += load.failed
        self.rejected += load.refused
        self.latency_sum_ms += load.answered * load.latency_ms
        self._open_by_host[host_id] = (load.open, now_s)
        if load.answered:
            answered_s = now_s - load.answer_age_ms / 1000
            self._latest_answer_s = max(self._latest_answer_s, answered_s)
            self._answer_steps.add(int(answered_s / STEP_S))

    def decay(self, now_s: float) -> None:
        """Let the counts decay up to now."""
        factor = 0.5 ** ((now_s - self._decayed_s) / HALF_LIFE_S)
        self._decayed_s = now_s
        self.answered *= factor
        self.failed *= factor
        self.rejected *= factor
        self.latency_sum_ms *= factor

    @property
    def latency_ms(self) -> float:
        """Return the mean latency, 0 without any answer."""
        return self.latency_sum_ms / self.answered if self.answered > 0 else 0.0

    @property
    def rejected_share(self) -> float:
        """Return the part of the sends that the server rejected."""
        ended = self.answered + self.failed + self.rejected
        return self.rejected / ended if ended > 0 else 0.0

    def open_requests(self, now_s: float) -> int:
        """Return how many requests all hosts have open at the server."""
        self._open_by_host = {
            host_id: (count, reported_s)
            for host_id, (count, reported_s) in self._open_by_host.items()
            if count and now_s - reported_s <= OPEN_TTL_S
        }
        return sum(count for count, _ in self._open_by_host.values())

    def state(self, objective_ms: float, now_s: float) -> ServerState:
        """Return what the server shows, with the objective of its requests."""
        if now_s - max(self.first_seen_s, self._latest_answer_s) > ABSENT_S:
            return ServerState.ABSENT
        if self._has_paused(now_s):
            return ServerState.UNKNOWN
        if self.answered + self.failed + self.rejected < MIN_EVENTS:
            return ServerState.ROOM if self.answered else ServerState.UNKNOWN
        if self.rejected_share > BUSY_REJECTED_SHARE:
            return ServerState.BUSY
        is_late = self.latency_ms > BUSY_LATENCY_SHARE * objective_ms
        if is_late and self.open_requests(now_s) >= self.slots:
            return ServerState.BUSY
        return ServerState.ROOM

    def _has_paused(self, now_s: float) -> bool:
        """Tell whether the server pauses or has not recovered from a pause."""
        first_step = int((now_s - 2 * RECOVERY_S) / STEP_S)
        self._answer_steps = {step for step in self._answer_steps if step > first_step}
        if not self._answer_steps:
            return True
        steps = sorted(self._answer_steps)
        steps.append(max(steps[-1], int((now_s - REPORT_LAG_S) / STEP_S)))
        usual = (steps[-1] - steps[0]) / len(steps)
        longest = max(MIN_PAUSE_S / STEP_S, PAUSE_GAPS * usual)
        recovered_step = (now_s - RECOVERY_S) / STEP_S
        return any(
            end - begin > longest and end > recovered_step
            for begin, end in itertools.pairwise(steps)
        )
