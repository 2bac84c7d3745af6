"""Decides which requests hosts may send to a service that is overloaded.

Load pattern: servers that are too few get several times what they can answer.
Their queues are always full, so each response takes about as long as the
objective, and most sends are rejected and come back as retries.

An overload begins when each usable server rejects requests, or has no free
slot and a latency near the objective; while one of them pauses, or has just
appeared, and while they answer as many requests as arrive, it does not begin.
While servers have a queue, the rate of their
answers is their capacity. Hosts may send this rate, a little more or less
until so many requests are open that responses take ``TARGET_SHARE`` of the
objective. More urgent requests come first, and of one priority those that
can still be on time.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from kumquat_core.load_messages import LoadReport, is_retry

from .server_pressure import HALF_LIFE_S, ServerPressure, ServerState

__all__ = ["ALL_ADMITTED", "Admitted", "AdmittedShare"]

# Mean of the response times relative to the objective. Requests arrive at
# random, so single ones take up to half as long again.
TARGET_SHARE = 0.6
# Servers with a short queue reject requests before so many are open. Hosts do
# not send more while they reject a larger part than this.
TARGET_REJECTED = 0.1
# Overload must be seen for this long, so that a burst that the queues can
# hold, or the first moments of a pause, reject nothing.
CONFIRM_S = 0.3
# Part by which the demand exceeds the answers. Servers that work off a queue
# after a pause answer more requests than arrive.
EXCESS = 1.05
# The number of open requests is brought to its target in about this time.
# Reports and replies take about 0.5 s together, so a shorter time would empty
# and fill the queue in turn.
ADJUST_S = 0.7
# A long objective allows a large queue, which is emptied at most at this rate.
MIN_CHANGE = 0.5
# Open requests, relative to the slots, that are the least to aim for: requests
# arrive at random, and no slot should be free.
MIN_OPEN_PER_SLOT = 1.25
# Answers reported in this time were begun while the servers had a queue.
SETTLE_S = 0.6
# Growth of the assumed capacity per decision while slots are free; it doubles
# in about two seconds.
ROOM_GROWTH = 1.04
# The reports of this time show that slots are free.
ROOM_S = 1.0
# An overload is over once all requests have been sent for this long.
END_S = 1.0
# Smallest objective of this time; those of single requests come and go.
OBJECTIVE_TTL_S = 4.0
# First attempts of a priority of which none was admitted for this time, longer
# than most bursts, get a part of an even share, so that a long overload leaves
# no account or route without any response.
STARVED_S = 5.0
LEAST_PART = 0.25
# Ranks come from other hosts, so their number is bounded.
MAX_RANKS = 64
MIN_COUNT = 0.01


@dataclass(frozen=True)
class Admitted:
    """Which requests hosts may send.

    A share below 1 is that of ``cut_rank``; all more urgent requests are
    sent, and the share ``least`` of the first attempts of less urgent ones. A
    share of 1 means all requests.
    """

    cut_rank: int
    share: float
    least: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Tell whether any request is rejected."""
        return self.share < 1.0


ALL_ADMITTED = Admitted(0, 1.0)


@dataclass
class AdmittedShare:
    """The counts and the decision for one service; times in seconds."""

    _servers_by_id: dict[str, ServerPressure] = field(default_factory=dict)
    _demand_by_rank: dict[int, float] = field(default_factory=dict)
    _sent: float = 0.0
    _decayed_s: float = float("-inf")
    _objective_ms: int = 0
    _objective_until_s: float = float("-inf")
    _busy_since_s: float | None = None
    _all_since_s: float | None = None
    _present: int = 0
    _full_since_s: float | None = None
    _room_since_s: float | None = None
    _cut_since_s: float | None = None
    capacity: float = 0.0
    pressure: float = 0.0
    is_overloaded: bool = False

    @property
    def objective_ms(self) -> int:
        """Return the objective of the service, 0 if none is known."""
        return self._objective_ms

    @property
    def served_per_s(self) -> float:
        """Return the capacity that is assumed, in requests per second."""
        return self.capacity * math.log(2) / HALF_LIFE_S

    def apply(self, report: LoadReport, host_id: str, now_s: float) -> None:
        """Add a host's report.

        Counts decay only with each decision, since there are far more reports.
        """
        for load in report.servers:
            if load.engine in self._servers_by_id:
                self._servers_by_id[load.engine].apply(load, host_id, now_s)
        demand = self._demand_by_rank
        for item in report.demand:
            if item.rank in demand or len(demand) < MAX_RANKS:
                demand[item.rank] = demand.get(item.rank, 0.0) + item.requests
                self._sent += item.requests - item.rejected
        if report.objective_ms > 0:
            is_smaller = report.objective_ms <= self._objective_ms
            if is_smaller or now_s >= self._objective_until_s:
                self._objective_ms = report.objective_ms
                self._objective_until_s = now_s + OBJECTIVE_TTL_S

    def decide(self, slots_by_id: Mapping[str, int], now_s: float) -> Admitted:
        """Return which requests hosts may send from now on.

        ``slots_by_id`` has the slots of the usable servers.
        """
        self._decay(slots_by_id, now_s)
        if self._objective_ms <= 0 or not self._demand_by_rank:
            self._end()
            return ALL_ADMITTED
        states_by_id = {
            key: server.state(self._objective_ms, now_s)
            for key, server in self._servers_by_id.items()
        }
        present = [
            self._servers_by_id[key]
            for key, state in states_by_id.items()
            if state is not ServerState.ABSENT
        ]
        if not present:
            self._end()
            return ALL_ADMITTED
        states = set(states_by_id.values()) - {ServerState.ABSENT}
        if not self.is_overloaded:
            served = sum(server.answered + server.failed for server in present)
            exceeds = sum(self._demand_by_rank.values()) > EXCESS * served
            if not self._confirms(exceeds and states == {ServerState.BUSY}, now_s):
                return ALL_ADMITTED
        # The answers of a server that pauses do not show its capacity.
        is_steady = ServerState.UNKNOWN not in states
        return self._limit(present, now_s, is_steady=is_steady)

    def _confirms(self, is_overload: bool, now_s: float) -> bool:
        """Tell whether an overload has been seen for long enough."""
        if not is_overload:
            self._busy_since_s = None
            return False
        if self._busy_since_s is None:
            self._busy_since_s = now_s
        return now_s - self._busy_since_s >= CONFIRM_S

    def _limit(
        self, present: list[ServerPressure], now_s: float, *, is_steady: bool
    ) -> Admitted:
        """Return the limit in an overload."""
        served = sum(server.answered + server.failed for server in present)
        rejected = sum(server.rejected for server in present)
        slots = sum(server.slots for server in present)
        opened = sum(server.open_requests(now_s) for server in present)
        if self.is_overloaded and len(present) > self._present:
            # The others work at their capacity, so another one adds its own.
            self.capacity *= len(present) / max(1, self._present)
        self._present = len(present)
        self.is_overloaded = True
        self._learn_capacity(served, opened, slots, now_s, is_steady=is_steady)
        target_s = TARGET_SHARE * self._objective_ms / 1000
        target = max(self.served_per_s * target_s, MIN_OPEN_PER_SLOT * slots)
        self.pressure = opened / target
        if rejected > TARGET_REJECTED * (served + rejected):
            self.pressure = max(1.0, self.pressure)
        change = (1.0 - self.pressure) * target_s / ADJUST_S
        rate = self.capacity
        if len(present) < len(self._servers_by_id):
            # Part of what hosts send gets lost at servers that do not answer.
            rate = max(rate, self._sent)
        admitted = self._allocate(rate * max(MIN_CHANGE, 1.0 + change), now_s)
        if admitted.is_limited:
            self._all_since_s = None
        elif self._all_since_s is None:
            self._all_since_s = now_s
        elif now_s - self._all_since_s >= END_S:
            self._end()
        return admitted

    def _learn_capacity(
        self,
        served: float,
        opened: int,
        slots: int,
        now_s: float,
        *,
        is_steady: bool,
    ) -> None:
        """Follow the served rate while servers are full, else only upwards."""
        if opened >= slots:
            self._full_since_s = self._full_since_s or now_s
            self._room_since_s = None
        else:
            self._full_since_s = None
            self._room_since_s = self._room_since_s or now_s
        full_since_s, room_since_s = self._full_since_s, self._room_since_s
        is_settled = full_since_s is not None and now_s - full_since_s >= SETTLE_S
        if (is_settled and is_steady) or served > self.capacity:
            self.capacity = served
        elif room_since_s is not None and now_s - room_since_s >= ROOM_S:
            self.capacity *= ROOM_GROWTH

    def _allocate(self, rate: float, now_s: float) -> Admitted:
        """Return which ranks fit into a rate, the most urgent first."""
        demand_by_rank = self._demand_by_rank
        if sum(demand_by_rank.values()) <= rate:
            self._cut_since_s = None
            return ALL_ADMITTED
        first_by_rank = {
            rank: demand
            for rank, demand in demand_by_rank.items()
            if not is_retry(rank)
        }
        first = sum(first_by_rank.values())
        least = 0.0
        if self._cut_since_s is not None and now_s - self._cut_since_s >= STARVED_S:
            least = min(1.0, LEAST_PART * rate / max(first, MIN_COUNT))
            rate -= least * first
        for rank in sorted(demand_by_rank):
            base = 0.0 if is_retry(rank) else least
            demand = (1.0 - base) * demand_by_rank[rank]
            if demand > rate:
                if rank >= max(first_by_rank, default=0):
                    self._cut_since_s = None
                elif self._cut_since_s is None:
                    self._cut_since_s = now_s
                share = base + (1.0 - base) * max(0.0, rate / demand)
                return Admitted(rank, share, least)
            rate -= demand
        return ALL_ADMITTED

    def _end(self) -> None:
        self.is_overloaded = False
        self._busy_since_s = self._all_since_s = None
        self._full_since_s = self._room_since_s = None
        self._cut_since_s = None
        self.capacity = self.pressure = 0.0

    def _decay(self, slots_by_id: Mapping[str, int], now_s: float) -> None:
        """Let the counts decay, and follow the list of usable servers."""
        factor = 0.5 ** ((now_s - self._decayed_s) / HALF_LIFE_S)
        self._decayed_s = now_s
        self._sent *= factor
        self._demand_by_rank = {
            rank: demand * factor
            for rank, demand in self._demand_by_rank.items()
            if demand * factor > MIN_COUNT
        }
        servers = self._servers_by_id
        for key in [key for key in servers if key not in slots_by_id]:
            del servers[key]
        for key, slots in slots_by_id.items():
            servers.setdefault(key, ServerPressure(now_s, max(1, slots))).decay(now_s)
