"""Baseline policies: usual load balancing, to compare the router with.

Each entry host decides by itself and at once. There is no shard owner, no
queue and no ledger of memory; an engine is chosen by rotation or by its last
load report. Engines queue prefills and refuse transfers that do not fit, and
the entry host retries within the deadline of the request.
"""

import itertools
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from .clock import Clock
from .configuration import Configuration, Engine, EngineRole, ServerState
from .engine_client import EngineReport
from .peer_messages import (
    AdmissionRequest,
    Grant,
    PrefillDone,
    Refusal,
    Release,
    ShardSummary,
)
from .result_codes import ResultCode
from .shard_ledger import pieces_for

__all__ = [
    "Baseline",
    "LeastReportedLoad",
    "LocalScheduler",
    "RoundRobin",
    "TwoChoices",
]

RETRY_AFTER_MS = 1000

# A failed engine is blocked for this long, as usual load balancers do after a
# failed call.
FAILURE_BLOCK_S = 1.0


@dataclass(frozen=True)
class RoundRobin:
    """Chooses the engines in rotation."""


@dataclass(frozen=True)
class LeastReportedLoad:
    """Chooses the engine with the least load in its last report."""


@dataclass(frozen=True)
class TwoChoices:
    """Chooses the less loaded of two random engines by their last reports."""


Baseline = RoundRobin | LeastReportedLoad | TwoChoices


class LocalScheduler:
    """Chooses engines for one entry host by a baseline policy."""

    def __init__(
        self, shard_id: str, clock: Clock, rng: random.Random, baseline: Baseline
    ) -> None:
        self._shard_id = shard_id
        self._clock = clock
        self._rng = rng
        self._baseline = baseline
        self._engines_by_id: dict[str, Engine] = {}
        self._reports_by_id: dict[str, EngineReport] = {}
        self._blocked_until_s_by_id: dict[str, float] = {}
        self._rotation_by_role = {role: itertools.count() for role in EngineRole}

    @property
    def engine_ids(self) -> list[str]:
        """Return the ids of the engines of the shard."""
        return list(self._engines_by_id)

    def update_engines(self, engines: Iterable[Engine]) -> None:
        """Replace the engines by those of the current configuration."""
        self._engines_by_id = {engine.id: engine for engine in engines}

    def update_configuration(
        self, configuration: Configuration, shard_count: int = 1
    ) -> None:
        """Do nothing, because baselines use neither classes nor tenants."""

    async def admit(self, request: AdmissionRequest) -> Result[Grant, Refusal]:
        """Return a pair of engines at once; they may refuse the request."""
        prefill = self._choose(request, EngineRole.PREFILL, self._prefill_load)
        decode = self._choose(request, EngineRole.DECODE, self._decode_load)
        if prefill is None or decode is None:
            code = ResultCode.NO_ENGINE
            return Failure(
                Refusal(
                    request.request_id,
                    code.value,
                    code.name,
                    RETRY_AFTER_MS,
                    self.summary(),
                )
            )
        tokens = request.prompt_tokens + request.max_tokens
        return Success(
            Grant(
                request.request_id,
                self._shard_id,
                prefill.id,
                decode.id,
                pieces_for(tokens, decode.piece_tokens),
                self.summary(),
            )
        )

    def prefill_done(self, message: PrefillDone) -> None:
        """Do nothing, because there is no ledger."""

    def release(self, message: Release) -> None:
        """Block an engine after a failure, except for a lack of memory."""
        full = message.code == ResultCode.ENGINE_MEMORY_FULL
        if message.failed_engine and not full:
            until_s = self._clock.monotonic() + FAILURE_BLOCK_S
            self._blocked_until_s_by_id[message.failed_engine] = until_s

    def cancel(self, request_id: str) -> None:
        """Do nothing, because no request is queued."""

    def observe_report(self, engine_id: str, report: EngineReport) -> None:
        """Keep the last load report of an engine."""
        self._reports_by_id[engine_id] = report

    def summary(self) -> ShardSummary:
        """Return an empty summary."""
        return ShardSummary(self._shard_id, 0, 0, 0)

    def _choose(
        self,
        request: AdmissionRequest,
        role: EngineRole,
        load_of: Callable[[Engine], float],
    ) -> Engine | None:
        engines = self._eligible_engines(request, role)
        if not engines:
            return None
        match self._baseline:
            case RoundRobin():
                return engines[next(self._rotation_by_role[role]) % len(engines)]
            case LeastReportedLoad():
                return self._least_loaded(engines, load_of)
            case TwoChoices():
                count = min(2, len(engines))
                return self._least_loaded(self._rng.sample(engines, count), load_of)

    def _least_loaded(
        self, engines: Sequence[Engine], load_of: Callable[[Engine], float]
    ) -> Engine:
        """Return the least loaded engine; ties are broken at random."""
        return min(engines, key=lambda engine: (load_of(engine), self._rng.random()))

    def _eligible_engines(
        self, request: AdmissionRequest, role: EngineRole
    ) -> list[Engine]:
        """Return the engines to choose from.

        Blocked and excluded engines are left out if there are others.
        """
        serving = [
            engine
            for engine in self._engines_by_id.values()
            if engine.role is role
            and engine.state is ServerState.LIVE
            and request.model in engine.models
        ]
        now_s = self._clock.monotonic()
        not_blocked = [
            engine
            for engine in serving
            if self._blocked_until_s_by_id.get(engine.id, 0.0) <= now_s
        ]
        preferred = [e for e in not_blocked if e.id not in request.excluded_engines]
        return preferred or not_blocked or serving

    def _prefill_load(self, engine: Engine) -> float:
        report = self._reports_by_id.get(engine.id)
        return report.prefill_queue if report else 0.0

    def _decode_load(self, engine: Engine) -> float:
        report = self._reports_by_id.get(engine.id)
        return report.held_pieces / engine.total_pieces if report else 0.0
