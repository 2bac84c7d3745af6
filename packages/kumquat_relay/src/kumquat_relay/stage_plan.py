"""How many engines of a service read prompts and how many run streams.

Load pattern: the engines of a service start with roles that do not fit the
traffic, the mix of long prompts and long answers shifts, and engines crash,
leave and are added.

The plan is the division under which the busier role is least busy, worked
out from the tokens that were asked for lately, refused requests included.
It changes only when the gain is clear and has lasted, since an engine is away
for seconds while it changes its role, after its runs have ended. Without a
decode engine nothing is served, so the first one is wanted soon, and at once
when the last one has announced that it leaves. Before traffic begins no engine
is missed while it changes. Engines that crashed count as long as they are
listed, since they are mostly back by then.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from .engine_registry import EngineEntry, EngineRole
from .routes import EngineSpec

__all__ = ["Demand", "RoleChange", "StagePlan"]

# Tokens in and out count as equal until traffic shows its own mix.
PRIOR_TOKENS_PER_S = 2000.0
DEMAND_WINDOW_S = 12.0

# An engine reads prompts alone; a decode engine reads at half the speed and
# holds up its running streams meanwhile.
READ_TOKENS_PER_MS = 45.0
TOKEN_MS = 0.6

# Prompt or answer of a usual size, in tokens; decides only whether places or
# memory bound the runs of an engine.
PLANNED_RUN_TOKENS = 5500.0

# Waiting for a reader delays the first event of many, waiting for a place
# that of one, so readers are planned with more room.
READ_ROOM = 1.6

# Part of the prompts that are too long to be read beside running streams, on
# the standard sites.
UNREADABLE_SHARE = 0.45

# The busier role must become less busy by this factor, for this long.
GAIN = 1.25
LASTING_S = 4.0
# Entries lapse 3.6 s after a crash. Most engines are back within five seconds,
# and one that changes its role for nothing is away for six.
EMPTY_LASTING_S = 1.0
# Hosts that start see all engines within this time.
IDLE_LASTING_S = 0.5


@dataclass
class Demand:
    """Tokens asked for, in an exponential window, in tokens per second."""

    prompt_tokens_per_s: float = PRIOR_TOKENS_PER_S
    output_tokens_per_s: float = PRIOR_TOKENS_PER_S
    _updated_s: float = float("-inf")

    @property
    def seen(self) -> bool:
        """Tell whether there were any requests."""
        return self._updated_s > float("-inf")

    def add(self, prompt_tokens: int, output_tokens: int, now_s: float) -> None:
        """Count a request."""
        if self.seen:
            keep = 0.5 ** ((now_s - self._updated_s) / DEMAND_WINDOW_S)
            self.prompt_tokens_per_s *= keep
            self.output_tokens_per_s *= keep
        self._updated_s = now_s
        # The integral of a unit impulse under the window is window / ln 2.
        weight = 0.693 / DEMAND_WINDOW_S
        self.prompt_tokens_per_s += prompt_tokens * weight
        self.output_tokens_per_s += output_tokens * weight


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
        runs_by_engine: dict[str, int],
        now_s: float,
        avoided: Collection[str] = (),
        *,
        leaves: bool = False,
    ) -> RoleChange | None:
        """Return a change that pays and has done so for a while.

        ``avoided`` engines count but are not changed. ``leaves`` tells that
        the last decode engine is draining, so that waiting is in vain.
        """
        engines = [engine for engine in engines if engine.role is not None]
        if not engines:
            return None
        count = len(engines)
        readers = sum(engine.role is EngineRole.PREFILL for engine in engines)
        planned = best_readers(count, spec, demand)
        busy = _busiest(readers, count, spec, demand)
        planned_busy = _busiest(planned, count, spec, demand)
        empty = readers == count
        if planned == readers or (not empty and busy < GAIN * planned_busy):
            self._wanted = None
            return None
        if self._wanted != planned:
            self._wanted, self._wanted_since_s = planned, now_s
        lasting_s = 0.0 if empty and leaves else _lasting_s(empty, demand, count)
        if now_s - self._wanted_since_s < lasting_s:
            return None
        role = EngineRole.PREFILL if planned > readers else EngineRole.DECODE
        engine = min(
            (
                engine
                for engine in engines
                if engine.role is not role and engine.id not in avoided
            ),
            key=lambda engine: (runs_by_engine.get(engine.id, 0), engine.id),
            default=None,
        )
        if engine is None:
            return None
        return RoleChange(engine, role, readers, planned, busy, planned_busy)


def _lasting_s(empty: bool, demand: Demand, count: int) -> float:
    """Return how long a better plan must have been better."""
    if not demand.seen:
        # A single engine is mostly the first of several that start.
        return IDLE_LASTING_S if count > 1 else LASTING_S
    return EMPTY_LASTING_S if empty else LASTING_S


def best_readers(count: int, spec: EngineSpec, demand: Demand) -> int:
    """Return how many of ``count`` engines should read prompts."""
    if count == 1:
        return 0
    return min(range(1, count), key=lambda n: _busiest(n, count, spec, demand))


def _busiest(readers: int, count: int, spec: EngineSpec, demand: Demand) -> float:
    """Return the load of the busier role; 1 is all of its capacity."""
    if readers == count:
        return float("inf")
    runners = count - readers
    read_load = demand.prompt_tokens_per_s / READ_TOKENS_PER_MS / 1000
    run_load = demand.output_tokens_per_s * TOKEN_MS / 1000
    mean_run = max(1.0, demand.output_tokens_per_s + demand.prompt_tokens_per_s)
    # Half of the answer is in memory on average.
    half_share = 1 - 0.5 * demand.output_tokens_per_s / mean_run
    held = 2 * PLANNED_RUN_TOKENS * half_share
    places = min(float(spec.places), spec.memory_tokens / held)
    if readers == 0:
        busy = run_load / places / runners + 2 * read_load / runners
        return busy / (1 - UNREADABLE_SHARE)
    return max(READ_ROOM * read_load / readers, run_load / places / runners)
