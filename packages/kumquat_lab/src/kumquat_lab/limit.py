"""Computes an upper bound of the goodput of a pool for given arrivals.

The bound depends only on the cost model and holds for every scheduler;
``docs/lab.md`` derives it. Each good request needs a minimum amount of work
within a window of time that its arrival and its targets determine:

- prefill: ``prefill_s`` of the tokens that no other request can have cached,
  between the arrival and the latest time at which a transfer and one step
  still meet the TTFT target;
- decode: a minimum share of the steps of one engine, between the earliest end
  of prefill and transfer and the time at which the last token still meets
  the TBT target;
- start: the same share, up to the latest first token, except for the requests
  that are still decoding then, at most one for each slot.

A set of engines can do at most ``engines * length`` seconds of work in a
window. Of the requests whose windows lie within it, enough must fail for the
work of the others to fit; dropping the largest requests first gives the
minimum number. Failures in disjoint windows add up, because each request lies
within at most one of them.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace

import numpy as np

from kumquat_core.prefix_blocks import block_hashes
from kumquat_core.shard_ledger import pieces_for

from .caller import ModelCall
from .client_accounts import ClientAccount
from .cost_model import EngineConfig

__all__ = [
    "Demand",
    "PoolResources",
    "WindowedWork",
    "max_good_requests",
    "capacity_per_s",
    "compute_demands",
    "min_failures",
]

# Windows begin and end on this grid; a finer one gives a tighter bound.
GRID_S = 0.25


@dataclass(frozen=True)
class PoolResources:
    """The engines of a pool, which all have the same configuration."""

    engine: EngineConfig
    prefill_engines: int
    decode_engines: int

    @classmethod
    def from_engines(cls, engines: Sequence[EngineConfig]) -> "PoolResources":
        """Return the resources of a pool's engines."""
        roles = Counter(engine.role for engine in engines)
        return cls(engines[0], roles["prefill"], roles["decode"])


@dataclass(frozen=True)
class WindowedWork:
    """Minimum work, in seconds, that must be done between two times."""

    begin_s: float
    end_s: float
    work_s: float


@dataclass(frozen=True)
class Demand:
    """Minimum work of one request that meets its targets.

    Two lower bounds of the decode work apply: ``decode_by_count`` results from
    the number of requests in a batch, ``decode_by_memory`` from their pieces.
    ``latest_first_token_s`` is when the TTFT target expires.
    """

    prefill: WindowedWork
    decode_by_count: WindowedWork
    decode_by_memory: WindowedWork
    latest_first_token_s: float

    def start_by(self, work: WindowedWork) -> WindowedWork:
        """Return decode work in the window up to the first token."""
        return replace(work, end_s=self.latest_first_token_s)


def compute_demands(
    account: ClientAccount,
    calls: Sequence[tuple[float, ModelCall]],
    resources: PoolResources,
) -> list[Demand]:
    """Return the demand of each request of one pool."""
    hashes = [block_hashes(call.prompt.encode()) for _, call in calls]
    uses = Counter(block for item in hashes for block in item)
    return [
        _demand(account, at_s, call, item, uses, resources)
        for (at_s, call), item in zip(calls, hashes, strict=True)
    ]


def _demand(
    account: ClientAccount,
    at_s: float,
    call: ModelCall,
    hashes: tuple[int, ...],
    uses: Counter[int],
    resources: PoolResources,
) -> Demand:
    engine, work = resources.engine, account.find_work(call.class_name)
    tokens = len(call.prompt.split())
    shared = sum(uses[block] > 1 for block in hashes)
    cached = min(tokens - 1, shared * tokens // (len(hashes) + 1))
    prefill_s = engine.prefill_s(tokens - cached)
    transfer_s = engine.transfer_s(tokens)
    first_s = at_s + work.ttft_target_ms / 1000
    last_s = first_s + (call.max_tokens - 1) * work.tbt_target_ms / 1000
    pieces = pieces_for(tokens + call.max_tokens, engine.piece_tokens)
    base_s, share_s = engine.step_base_ms / 1000, engine.step_request_ms / 1000
    begin_s = at_s + prefill_s + transfer_s
    by_count = call.max_tokens * (base_s / engine.max_requests + share_s)
    by_memory = call.max_tokens * (base_s * pieces / engine.total_pieces + share_s)
    prefill_end_s = first_s - transfer_s - engine.step_s(1)
    return Demand(
        WindowedWork(at_s, prefill_end_s, prefill_s),
        WindowedWork(begin_s, last_s, by_count),
        WindowedWork(begin_s, last_s, by_memory),
        first_s,
    )


def max_good_requests(demands: Sequence[Demand], resources: PoolResources) -> int:
    """Return the largest number of requests that can be good."""
    engines = resources.decode_engines
    slots = engines * resources.engine.max_requests
    by_count = [d.decode_by_count for d in demands]
    by_memory = [d.decode_by_memory for d in demands]
    start_by_count = [d.start_by(d.decode_by_count) for d in demands]
    start_by_memory = [d.start_by(d.decode_by_memory) for d in demands]
    failures = max(
        min_failures([d.prefill for d in demands], resources.prefill_engines),
        min_failures(by_count, engines),
        min_failures(by_memory, engines),
        min_failures(start_by_count, engines, slots),
        min_failures(start_by_memory, engines, slots),
    )
    return len(demands) - failures


def min_failures(
    work: Sequence[WindowedWork], engines: int, unfinished: int = 0
) -> int:
    """Return the minimum number of items that cannot be done in time.

    ``unfinished`` items of each window need not be done by its end.
    """
    if not work:
        return 0
    begin = np.array([item.begin_s for item in work])
    end = np.array([item.end_s for item in work])
    cost = np.array([item.work_s for item in work])
    order = np.argsort(cost)
    begin, end, cost = begin[order], end[order], cost[order]
    origin_s = float(begin.min())
    count = int(np.ceil((float(end.max()) - origin_s) / GRID_S)) + 1
    grid = origin_s + GRID_S * np.arange(count)
    best = [0] * count
    for last in range(1, count):
        best[last] = best[last - 1]
        in_time = end <= grid[last]
        for first in range(last):
            inside = in_time & (begin >= grid[first])
            capacity_s = engines * float(grid[last] - grid[first])
            done = np.searchsorted(
                np.cumsum(cost[inside]), capacity_s + 1e-9, side="right"
            )
            failed = int(inside.sum()) - int(done) - unfinished
            best[last] = max(best[last], best[first] + failed)
    return best[-1]


def capacity_per_s(demands: Sequence[Demand], resources: PoolResources) -> float:
    """Return the arrival rate that saturates the bottleneck resource."""
    prefill_s = float(np.mean([d.prefill.work_s for d in demands]))
    by_count_s = float(np.mean([d.decode_by_count.work_s for d in demands]))
    by_memory_s = float(np.mean([d.decode_by_memory.work_s for d in demands]))
    return min(
        resources.prefill_engines / prefill_s,
        resources.decode_engines / max(by_count_s, by_memory_s),
    )
