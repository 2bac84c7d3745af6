"""How many engines of a service read prompts and how many run streams.

Load pattern: the engines of a service start with roles that do not fit the
traffic, the mix of long prompts and long answers shifts, and engines crash,
leave and are added.

The plan is the division under which the busier role is least busy, worked
out from the tokens that were asked for lately, refused requests included, and
from the learned pace of the engines. It changes only when the gain is clear
and has lasted, since an engine is away for seconds while it changes its role,
after its runs have ended. Without a decode engine nothing is served, so the
first one is wanted soon, and at once when the last one has announced that it
leaves. Before traffic begins no engine is missed while it changes; a new owner
knows from the runs that hosts report that it has begun. Engines that crashed
count as long as they are listed, since they are mostly back by then. A large
service changes several engines at a time.
"""

import math
from collections import deque
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from .engine_load import longest_own_read_s
from .engine_registry import EngineEntry, EngineRole
from .own_read_pauses import first_pause_s
from .routes import EngineSpec
from .service_pace import ServicePace

__all__ = ["Demand", "RoleChange", "StagePlan", "most_changes"]

# Tokens in and out count as equal until traffic shows its own mix.
PRIOR_TOKENS_PER_S = 2000.0
DEMAND_WINDOW_S = 12.0
# Prompt and answer, in tokens, until the first request shows its own.
FIRST_RUN_TOKENS = 5500.0
# Requests whose sizes are kept: about ten seconds of a small service.
RECENT_REQUESTS = 64

# Random arrivals need room beyond the mean load, by this many times its root:
# a single server bears 0.61 of its capacity, ten bear 0.85 of theirs. Prompts
# then wait about as long as one is read.
ROOM = 0.5
# A decode engine reads prompts at half the speed of a prefill engine.
OWN_READ_FACTOR = 2.0

# The busier role must become less busy by this factor, for this long.
GAIN = 1.25
LASTING_S = 4.0
# Entries lapse 3.6 s after a crash. Most engines are back within five seconds,
# and one that changes its role for nothing is away for six.
EMPTY_LASTING_S = 1.0
# Hosts that start see all engines within this time.
IDLE_LASTING_S = 0.5
# One engine in this many may be away for a change of its role.
AWAY_PART = 8


@dataclass(frozen=True)
class _Size:
    prompt_tokens: int
    output_tokens: int
    max_gap_s: float


@dataclass
class Demand:
    """Tokens asked for, in an exponential window, in tokens per second."""

    prompt_tokens_per_s: float = PRIOR_TOKENS_PER_S
    output_tokens_per_s: float = PRIOR_TOKENS_PER_S
    _updated_s: float = float("-inf")
    _recent: deque[_Size] = field(default_factory=lambda: deque(maxlen=RECENT_REQUESTS))

    @property
    def seen(self) -> bool:
        """Tell whether there were any requests."""
        return self._updated_s > float("-inf")

    def add(
        self,
        prompt_tokens: int,
        output_tokens: int,
        now_s: float,
        max_gap_s: float = 0.0,
    ) -> None:
        """Count a request; ``max_gap_s`` is the pause that it allows."""
        if self.seen:
            keep = 0.5 ** ((now_s - self._updated_s) / DEMAND_WINDOW_S)
            self.prompt_tokens_per_s *= keep
            self.output_tokens_per_s *= keep
        self._updated_s = now_s
        # The integral of a unit impulse under the window is window / ln 2.
        weight = 0.693 / DEMAND_WINDOW_S
        self.prompt_tokens_per_s += prompt_tokens * weight
        self.output_tokens_per_s += output_tokens * weight
        self._recent.append(_Size(prompt_tokens, output_tokens, max_gap_s))

    def held_tokens(self) -> float:
        """Return the memory that a run of usual size holds on average."""
        if not self._recent:
            return 1.5 * FIRST_RUN_TOKENS
        # Half of the answer is in memory on average.
        held = sum(
            size.prompt_tokens + 0.5 * size.output_tokens for size in self._recent
        )
        return held / len(self._recent)

    def unreadable_share(self, spec: EngineSpec, pace: ServicePace) -> float:
        """Return the part of the prompts that are too long to read elsewhere.

        A decode engine reads no prompt that pauses its streams too long.
        """
        if not self._recent:
            return 0.0
        token_ms = pace.token_ms.value
        rate = pace.own_read_tokens_per_ms.value
        first_s = first_pause_s(spec.tokens_per_event, rate)
        longer = sum(
            pace.own_read_pauses.expected_s(size.prompt_tokens / rate / 1000, first_s)
            > longest_own_read_s(size.max_gap_s, spec, token_ms)
            for size in self._recent
        )
        return longer / len(self._recent)


@dataclass(frozen=True)
class RoleChange:
    """An engine that should take another role, and why."""

    engine: EngineEntry
    role: EngineRole
    readers: int
    planned_readers: int
    busy: float
    planned_busy: float


class StagePlan:
    """Proposes one change of role at a time."""

    def __init__(self) -> None:
        self._wanted: int | None = None
        self._wanted_since_s = 0.0

    def propose(
        self,
        engines: Sequence[EngineEntry],
        spec: EngineSpec,
        demand: Demand,
        pace: ServicePace,
        runs_by_engine: Mapping[str, int],
        now_s: float,
        avoided: Collection[str] = (),
        changing: Mapping[str, EngineRole] | None = None,
        *,
        leaves: bool = False,
    ) -> RoleChange | None:
        """Return a change that pays and has done so for a while.

        ``avoided`` engines count but are not changed, those in ``changing``
        count with the role that they were ordered to take. ``leaves`` tells
        that the last decode engine is draining, so that waiting is in vain.
        """
        changing = changing or {}
        roles_by_id = {
            engine.id: changing.get(engine.id, engine.role)
            for engine in engines
            if engine.role is not None
        }
        if not roles_by_id or len(changing) >= most_changes(len(roles_by_id)):
            return None
        count = len(roles_by_id)
        readers = list(roles_by_id.values()).count(EngineRole.PREFILL)
        planned = best_readers(count, spec, demand, pace)
        busy = _busiest(readers, count, spec, demand, pace)
        planned_busy = _busiest(planned, count, spec, demand, pace)
        empty = readers == count
        if planned == readers or (not empty and busy < GAIN * planned_busy):
            self._wanted = None
            return None
        if self._wanted is None or (planned > readers) != (self._wanted > readers):
            self._wanted_since_s = now_s
        self._wanted = planned
        lasting_s = 0.0 if empty and leaves else _lasting_s(empty, demand, count)
        if now_s - self._wanted_since_s < lasting_s:
            return None
        role = EngineRole.PREFILL if planned > readers else EngineRole.DECODE
        engine = min(
            (
                engine
                for engine in engines
                if roles_by_id.get(engine.id) not in (role, None)
                and engine.id not in avoided
                and engine.id not in changing
            ),
            key=lambda engine: (runs_by_engine.get(engine.id, 0), engine.id),
            default=None,
        )
        if engine is None:
            return None
        return RoleChange(engine, role, readers, planned, busy, planned_busy)


def most_changes(count: int) -> int:
    """Return how many of ``count`` engines may change their role at once."""
    return max(1, count // AWAY_PART)


def _lasting_s(empty: bool, demand: Demand, count: int) -> float:
    """Return how long a better plan must have been better."""
    if not demand.seen:
        # A single engine is mostly the first of several that start.
        return IDLE_LASTING_S if count > 1 else LASTING_S
    return EMPTY_LASTING_S if empty else LASTING_S


def best_readers(
    count: int, spec: EngineSpec, demand: Demand, pace: ServicePace
) -> int:
    """Return how many of ``count`` engines should read prompts."""
    if count == 1:
        return 0
    return min(range(1, count), key=lambda n: _busiest(n, count, spec, demand, pace))


def _busiest(
    readers: int, count: int, spec: EngineSpec, demand: Demand, pace: ServicePace
) -> float:
    """Return the load of the busier role; 1 is all of its capacity."""
    if readers == count:
        return float("inf")
    runners = count - readers
    read_rate = pace.read_tokens_per_ms.value * 1000
    read_load = demand.prompt_tokens_per_s / read_rate
    run_load = demand.output_tokens_per_s * pace.token_ms.value / 1000
    places = min(float(spec.places), spec.memory_tokens / demand.held_tokens())
    run_busy = run_load / _usable(max(1.0, places) * runners)
    if readers == 0:
        readable = 1 - demand.unreadable_share(spec, pace)
        own_busy = OWN_READ_FACTOR * read_load / runners
        return (run_busy + own_busy) / max(readable, 1 / RECENT_REQUESTS)
    return max(read_load / _usable(readers), run_busy)


def _usable(servers: float) -> float:
    """Return the mean load that so many servers bear, with its room."""
    root = (math.sqrt(ROOM**2 + 4 * servers) - ROOM) / 2
    return root**2
