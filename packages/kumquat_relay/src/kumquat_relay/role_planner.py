"""Plans how many engines of a service prefill prompts and how many decode.

Load pattern: the engines of a service start with roles that do not fit the
traffic, the mix of long prompts and long outputs shifts, and engines crash,
leave and are added.

The plan is the split that minimizes the utilization of the busier role. It is
computed from the tokens requested recently, including refused requests, and
from the estimated speed of the engines. A role changes only if the gain is
significant and persistent, since an engine is unavailable for seconds during
the change, after its runs have ended. Without a decode engine nothing is
served, so the first one is requested soon, or at once if the last one has
announced that it is leaving. Before traffic begins, changes cost nothing; a
new owner recognizes from the runs that hosts report that it has begun.
Crashed engines count as long as they are listed, since most of them return
within that time. A large service changes several engines concurrently.
"""

import math
from collections import deque
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from .engine_load import max_local_prefill_s
from .engine_registry import EngineEntry, EngineRole
from .local_prefill_pauses import initial_pause_s
from .routes import EngineSpec
from .service_performance import ServicePerformance

__all__ = ["Demand", "RoleChange", "RolePlanner", "max_concurrent_changes"]

# Prompt and output tokens are assumed to be equally frequent until there is
# traffic.
INITIAL_TOKENS_PER_S = 2000.0
# Half-life of the demand.
DEMAND_WINDOW_S = 12.0
# Assumed length of a prompt and of an output before the first request.
INITIAL_RUN_TOKENS = 5500.0
# Number of requests whose sizes are kept: about ten seconds of the traffic of
# a small service.
RECENT_REQUESTS = 64

# Random arrivals need capacity beyond the mean load, by this multiple of its
# square root: a single server sustains 0.61 of its capacity, ten servers 0.85
# of theirs. Prompts then wait for about the duration of one prefill.
HEADROOM = 0.5
# Cost of a local prefill relative to that on a prefill engine: a decode engine
# prefills prompts at half the speed.
LOCAL_PREFILL_COST = 2.0

# The utilization of the busier role must decrease by this factor, for this
# long.
MIN_GAIN = 1.25
STABILIZATION_S = 4.0
# Registry entries expire 3.6 s after a crash. Most engines return within five
# seconds, while an unnecessary role change makes one unavailable for six.
NO_DECODE_STABILIZATION_S = 1.0
# Starting hosts have discovered all engines within this time.
IDLE_STABILIZATION_S = 0.5
# One engine in this many may be unavailable because of a role change.
ENGINES_PER_CONCURRENT_CHANGE = 8


@dataclass(frozen=True)
class _RequestSize:
    prompt_tokens: int
    output_tokens: int
    max_gap_s: float


@dataclass
class Demand:
    """The requested tokens per second, as exponentially decaying averages."""

    prompt_tokens_per_s: float = INITIAL_TOKENS_PER_S
    output_tokens_per_s: float = INITIAL_TOKENS_PER_S
    _updated_s: float = float("-inf")
    _recent: deque[_RequestSize] = field(
        default_factory=lambda: deque(maxlen=RECENT_REQUESTS)
    )

    @property
    def has_requests(self) -> bool:
        """Return whether there was any request."""
        return self._updated_s > float("-inf")

    def add(
        self,
        prompt_tokens: int,
        output_tokens: int,
        now_s: float,
        max_gap_s: float = 0.0,
    ) -> None:
        """Add a request, whose gaps between events must not exceed a limit.

        A ``max_gap_s`` of 0 selects the default limit.
        """
        if self.has_requests:
            decay_factor = 0.5 ** ((now_s - self._updated_s) / DEMAND_WINDOW_S)
            self.prompt_tokens_per_s *= decay_factor
            self.output_tokens_per_s *= decay_factor
        self._updated_s = now_s
        # A decaying unit impulse has the integral DEMAND_WINDOW_S / ln 2.
        weight = 0.693 / DEMAND_WINDOW_S
        self.prompt_tokens_per_s += prompt_tokens * weight
        self.output_tokens_per_s += output_tokens * weight
        self._recent.append(_RequestSize(prompt_tokens, output_tokens, max_gap_s))

    def mean_held_tokens(self) -> float:
        """Return the tokens that a typical run holds in memory on average."""
        if not self._recent:
            return 1.5 * INITIAL_RUN_TOKENS
        # On average half of the output is in memory.
        held = sum(
            size.prompt_tokens + 0.5 * size.output_tokens for size in self._recent
        )
        return held / len(self._recent)

    def excess_pause_share(
        self, spec: EngineSpec, performance: ServicePerformance
    ) -> float:
        """Return the share of prompts that are too long for a local prefill.

        A decode engine prefills no prompt that pauses its streams too long.
        """
        if not self._recent:
            return 0.0
        token_ms = performance.token_ms.value
        tokens_per_ms = performance.local_prefill_tokens_per_ms.value
        initial_s = initial_pause_s(spec.tokens_per_event, tokens_per_ms)
        too_long = sum(
            performance.local_prefill_pauses.expected_s(
                size.prompt_tokens / tokens_per_ms / 1000, initial_s
            )
            > max_local_prefill_s(size.max_gap_s, spec, token_ms)
            for size in self._recent
        )
        return too_long / len(self._recent)


@dataclass(frozen=True)
class RoleChange:
    """An engine that should change to ``role``, and the reason.

    The utilization is that of the busier role, before and after all planned
    changes.
    """

    engine: EngineEntry
    role: EngineRole
    prefill_engines: int
    planned_prefill_engines: int
    utilization: float
    planned_utilization: float


class RolePlanner:
    """Proposes role changes for one service, one engine at a time."""

    def __init__(self) -> None:
        self._target: int | None = None
        self._target_since_s = 0.0

    def propose(
        self,
        engines: Sequence[EngineEntry],
        spec: EngineSpec,
        demand: Demand,
        performance: ServicePerformance,
        runs_by_engine: Mapping[str, int],
        now_s: float,
        avoided: Collection[str] = (),
        changing: Mapping[str, EngineRole] | None = None,
        *,
        last_decode_draining: bool = False,
    ) -> RoleChange | None:
        """Return a role change whose gain has persisted long enough, if any.

        ``avoided`` engines count but do not change. Those in ``changing``
        count with the role that they were commanded to take. If
        ``last_decode_draining`` is set, the last decode engine is shutting
        down, so a prefill engine takes its role without waiting.
        """
        changing = changing or {}
        roles_by_id = {
            engine.id: changing.get(engine.id, engine.role)
            for engine in engines
            if engine.role is not None
        }
        if not roles_by_id or len(changing) >= max_concurrent_changes(len(roles_by_id)):
            return None
        count = len(roles_by_id)
        prefill_engines = list(roles_by_id.values()).count(EngineRole.PREFILL)
        planned = best_prefill_count(count, spec, demand, performance)
        utilization = _max_utilization(
            prefill_engines, count, spec, demand, performance
        )
        planned_utilization = _max_utilization(
            planned, count, spec, demand, performance
        )
        no_decode_engines = prefill_engines == count
        if planned == prefill_engines or (
            not no_decode_engines and utilization < MIN_GAIN * planned_utilization
        ):
            self._target = None
            return None
        if self._target is None or (planned > prefill_engines) != (
            self._target > prefill_engines
        ):
            self._target_since_s = now_s
        self._target = planned
        stabilization_s = (
            0.0
            if no_decode_engines and last_decode_draining
            else _stabilization_s(no_decode_engines, demand, count)
        )
        if now_s - self._target_since_s < stabilization_s:
            return None
        role = EngineRole.PREFILL if planned > prefill_engines else EngineRole.DECODE
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
        return RoleChange(
            engine, role, prefill_engines, planned, utilization, planned_utilization
        )


def max_concurrent_changes(count: int) -> int:
    """Return how many of ``count`` engines may change roles concurrently."""
    return max(1, count // ENGINES_PER_CONCURRENT_CHANGE)


def _stabilization_s(no_decode_engines: bool, demand: Demand, count: int) -> float:
    """Return how long a gain must persist before a role is changed."""
    if not demand.has_requests:
        # A single engine is usually the first of several that are starting.
        return IDLE_STABILIZATION_S if count > 1 else STABILIZATION_S
    return NO_DECODE_STABILIZATION_S if no_decode_engines else STABILIZATION_S


def best_prefill_count(
    count: int, spec: EngineSpec, demand: Demand, performance: ServicePerformance
) -> int:
    """Return how many of ``count`` engines should prefill prompts."""
    if count == 1:
        return 0
    return min(
        range(1, count),
        key=lambda n: _max_utilization(n, count, spec, demand, performance),
    )


def _max_utilization(
    prefill_engines: int,
    count: int,
    spec: EngineSpec,
    demand: Demand,
    performance: ServicePerformance,
) -> float:
    """Return the utilization of the busier role; 1 is its sustainable load.

    Without decode engines it is infinite. Without prefill engines it includes
    the local prefills and increases with the share of prompts that are too
    long for them.
    """
    if prefill_engines == count:
        return float("inf")
    decode_engines = count - prefill_engines
    prefill_rate = performance.prefill_tokens_per_ms.value * 1000
    prefill_load = demand.prompt_tokens_per_s / prefill_rate
    decode_load = demand.output_tokens_per_s * performance.token_ms.value / 1000
    slots = min(float(spec.slots), spec.memory_tokens / demand.mean_held_tokens())
    decode_utilization = decode_load / _sustainable_load(
        max(1.0, slots) * decode_engines
    )
    if prefill_engines == 0:
        prefillable_share = 1 - demand.excess_pause_share(spec, performance)
        local_prefill_utilization = LOCAL_PREFILL_COST * prefill_load / decode_engines
        return (decode_utilization + local_prefill_utilization) / max(
            prefillable_share, 1 / RECENT_REQUESTS
        )
    return max(prefill_load / _sustainable_load(prefill_engines), decode_utilization)


def _sustainable_load(servers: float) -> float:
    """Return the mean load that so many servers sustain with headroom."""
    root = (math.sqrt(HEADROOM**2 + 4 * servers) - HEADROOM) / 2
    return root**2
