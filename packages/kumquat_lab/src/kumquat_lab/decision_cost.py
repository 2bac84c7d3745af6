"""Measures the time of one scheduling decision.

A decision comprises all steps for one request: the entry host chooses a shard,
and the owner of the shard admits the request and processes the messages about
its prefill and its release. The configuration contains all engines, and the
host owns one shard. With a full queue, ``QUEUED`` other requests wait ahead of
each request, so that a decision also removes a request from a long queue.
"""

import asyncio
import random
import time
from collections import deque
from dataclasses import dataclass

from rich.console import Console

from kumquat_core.clock import ManualClock
from kumquat_core.configuration import (
    Configuration,
    Engine,
    Model,
    RequestClass,
)
from kumquat_core.peer_messages import (
    AdmissionRequest,
    Grant,
    PrefillDone,
    Release,
    ShardSummary,
)
from kumquat_core.rendezvous import shard_ids_of, shards_of
from kumquat_core.result_codes import ResultCode
from kumquat_core.rule_set import RuleSet
from kumquat_core.shard_choice import choose_shard
from kumquat_core.shard_scheduler import ShardScheduler

from .sample_engines import make_engine

__all__ = ["DecisionCost", "measure_decisions", "run_decision_cost"]

POOL = "pool"
ENGINE_COUNTS = (10, 100, 1000)
DECISIONS = 4000
WARM_UP_DECISIONS = 500
QUEUED = 2000
TENANTS = 20
# Long enough that the transfer links are never the bottleneck.
ARRIVAL_PERIOD_S = 0.005
# One engine in this many is a prefill engine.
PREFILL_ENGINE_INTERVAL = 3

CONFIGURATION = Configuration(
    classes_by_name={  # type: ignore[arg-type]
        "patient": RequestClass("patient", 60_000, 60, 90_000, 120_000, 0)
    },
    models_by_name={  # type: ignore[arg-type]
        "advice": Model("advice", "1", 4.0, 65536, 8192, 40_000)
    },
)


@dataclass(frozen=True)
class DecisionCost:
    """Mean and 99th percentile of the time of a decision, in microseconds."""

    mean_us: float
    p99_us: float


async def measure_decisions(engine_count: int, queued: int, seed: int) -> DecisionCost:
    """Return the cost of a decision with ``queued`` waiting requests."""
    return await _DecisionBenchmark(engine_count, queued, seed).run()


async def run_decision_cost(seed: int) -> None:
    """Measure all numbers of engines and print one line for each."""
    console = Console(soft_wrap=True, highlight=False)
    console.print(f"seed {seed}, {DECISIONS} decisions each, microseconds")
    for engine_count in ENGINE_COUNTS:
        for queued in (0, QUEUED):
            cost = await measure_decisions(engine_count, queued, seed)
            console.print(
                f"engines {engine_count:5}  queued {queued:5}  "
                f"mean {cost.mean_us:7.1f}  p99 {cost.p99_us:7.1f}"
            )


class _DecisionBenchmark:
    """Measures the owner of one shard that receives a stream of requests."""

    def __init__(self, engine_count: int, queued: int, seed: int) -> None:
        self._engine_count = engine_count
        self._queued = queued
        self._rng = random.Random(f"{seed}/{engine_count}/{queued}")
        self._clock = ManualClock()
        engines = [_engine(index) for index in range(engine_count)]
        shard = shards_of(POOL, engines)[0]
        self._shard_id = shard.id
        # Early refusal would empty the queue.
        rules = RuleSet(early_refusal=not queued)
        self._scheduler = ShardScheduler(
            shard.id, self._clock, random.Random(seed), rules
        )
        self._scheduler.update_configuration(CONFIGURATION)
        members = set(shard.engine_ids)
        self._scheduler.update_engines(e for e in engines if e.id in members)
        self._summaries_by_shard_id = {
            shard_id: ShardSummary(shard_id, self._rng.randrange(100), 0, 0)
            for shard_id in shard_ids_of(POOL, engine_count)
        }
        self._granted: deque[str] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0

    async def run(self) -> DecisionCost:
        """Fill the queue, then time the decisions."""
        for _ in range(self._queued):
            await self._submit_request()
        times_us = []
        for _ in range(WARM_UP_DECISIONS + DECISIONS):
            self._clock.advance(ARRIVAL_PERIOD_S)
            began_ns = time.perf_counter_ns()
            choose_shard(
                POOL, self._engine_count, self._summaries_by_shard_id, self._rng
            )
            await self._submit_request()
            self._release_oldest()
            times_us.append((time.perf_counter_ns() - began_ns) / 1000)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        measured = sorted(times_us[WARM_UP_DECISIONS:])
        return DecisionCost(
            sum(measured) / len(measured), measured[int(0.99 * len(measured))]
        )

    async def _submit_request(self) -> None:
        self._number += 1
        request = AdmissionRequest(
            request_id=f"h.1.{self._number}",
            shard_id=self._shard_id,
            tenant=f"tenant-{self._rng.randrange(TENANTS)}",
            class_name="patient",
            model="advice",
            prompt_tokens=self._rng.randint(100, 3000),
            max_tokens=200,
            ttft_deadline_ms=self._rng.randint(40_000, 60_000),
            patience_ms=90_000,
            prefix_blocks=tuple(self._rng.randrange(1000) for _ in range(8)),
        )
        task = asyncio.ensure_future(self._admit(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.sleep(0)

    async def _admit(self, request: AdmissionRequest) -> None:
        decision = await self._scheduler.admit(request)
        decision.map(self._record_grant)

    def _record_grant(self, grant: Grant) -> None:
        done = PrefillDone(grant.request_id, self._shard_id, 50.0, 0)
        self._scheduler.prefill_done(done)
        self._granted.append(grant.request_id)

    def _release_oldest(self) -> None:
        if self._granted:
            code = ResultCode.OK.value
            request_id = self._granted.popleft()
            self._scheduler.release(Release(request_id, self._shard_id, code))


def _engine(index: int) -> Engine:
    kind = "engine" if index % PREFILL_ENGINE_INTERVAL else "prefill"
    return make_engine(
        f"{kind}-{index}",
        pool=POOL,
        piece_tokens=1024,
        prefill_tokens_per_s=20000.0,
        link_bytes_per_s=1e10,
        step_base_ms=12.0,
        step_request_ms=0.9,
    )
