"""Runs a model request from admission to the last token.

Each attempt requests a pair of engines from the shard owner, runs the
prefill, transfers the KV cache and streams the tokens. After a failure the
next attempt excludes the failed engine and resumes at the first token that
was not delivered.
"""

import asyncio
import logging
import random
from functools import partial

from kumquat_core.clock import Clock
from kumquat_core.configuration import Configuration
from kumquat_core.engine_client import EngineClient
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import AdmissionRequest, Grant, Release
from kumquat_core.prefix_blocks import block_hashes
from kumquat_core.request_ids import RequestIdGenerator
from kumquat_core.result_codes import Execution, ResultCode, RouterError
from kumquat_core.retry_budget import BudgetedRetries, HedgeBudget, RetryPolicy

from .attempt import Attempt, AttemptRunner
from .background import BackgroundTasks
from .hedged_prefill import HEDGE_PATIENCE_MS, HedgedPrefill
from .model_request import AdmissionClient, ModelRequest, RequestStats, ResponseSink
from .request_observer import RequestObserver

__all__ = [
    "AdmissionClient",
    "ResponseSink",
    "ModelPath",
    "ModelRequest",
    "RequestStats",
]

RETRIED_CODES = frozenset(
    {
        ResultCode.ENGINE_FAILED,
        ResultCode.TRANSFER_FAILED,
        ResultCode.PREFILL_EVICTED,
        ResultCode.STREAM_INTERRUPTED,
        ResultCode.ENGINE_MEMORY_FULL,
    }
)

logger = logging.getLogger(__name__)


class ModelPath:
    """Runs model requests and retries failed attempts.

    Without a ``hedge_budget`` no prefill is hedged.
    """

    def __init__(
        self,
        clock: Clock,
        engine_client: EngineClient,
        admission_client: AdmissionClient,
        background: BackgroundTasks,
        id_generator: RequestIdGenerator,
        observer: RequestObserver | None = None,
        retry_policy: RetryPolicy | None = None,
        hedge_budget: HedgeBudget | None = None,
    ) -> None:
        self._retry_policy = retry_policy or BudgetedRetries(random.Random(0))
        self._observer = observer or RequestObserver.from_clock(clock)
        self._clock = clock
        self._admission_client = admission_client
        self._background = background
        self._id_generator = id_generator
        self._runner = AttemptRunner(
            clock, engine_client, admission_client, background, self._observer
        )
        self._hedged = HedgedPrefill(self._runner, self._observer, hedge_budget)

    async def run(
        self, configuration: Configuration, request: ModelRequest, sink: ResponseSink
    ) -> RequestStats:
        """Write the response to ``sink`` and return the request's statistics.

        Raises ``RouterError`` when the response can't be completed before
        the deadline.
        """
        stats = RequestStats()
        started_s = self._clock.monotonic()
        try:
            async with asyncio.timeout(request.deadline_ms / 1000):
                await self._run_attempts(configuration, request, sink, stats, started_s)
        except TimeoutError as error:
            raise RouterError(ResultCode.DEADLINE_EXCEEDED) from error
        self._observer.record_completion(
            str(request.request_id),
            request.request_class.name,
            stats.ttft_ms,
            stats.tbt_ms,
            stats.tokens,
            stats.attempts,
        )
        return stats

    async def _run_attempts(
        self,
        configuration: Configuration,
        request: ModelRequest,
        sink: ResponseSink,
        stats: RequestStats,
        started_s: float,
    ) -> None:
        """Run attempts until one succeeds or the error permits no retry."""
        excluded_engine_ids: list[str] = []
        self._retry_policy.record_first_attempt(request.tenant, request.pool)
        while True:
            stats.attempts += 1
            attempt = await self._admit(
                configuration, request, stats, started_s, excluded_engine_ids
            )
            delivered = stats.tokens
            code = ResultCode.INTERNAL_ERROR
            admit_second = partial(
                self._admit_second, configuration, request, stats, started_s
            )
            try:
                attempt, prefill = await self._hedged.run(
                    request, attempt, stats, admit_second
                )
                stats.prefill_engine = attempt.prefill_engine.id
                stats.decode_engine = attempt.decode_engine.id
                await self._runner.transfer(request, attempt, prefill)
                await self._runner.decode(request, attempt, sink, stats, started_s)
                code = ResultCode.OK
                return
            except RouterError as error:
                code = error.code
                delay_s = self._retry_delay_s(request, error, stats, started_s)
                if delay_s is None:
                    raise
                if attempt.failed_engine:
                    excluded_engine_ids.append(attempt.failed_engine)
                self._observer.record_retry(error.code)
                self._log_retry(request, attempt, error)
            except asyncio.CancelledError:
                code = ResultCode.CALLER_GONE
                raise
            finally:
                self._runner.end(
                    request, attempt, code, stats, delivered=stats.tokens > delivered
                )
            await asyncio.sleep(delay_s)

    def _retry_delay_s(
        self,
        request: ModelRequest,
        error: RouterError,
        stats: RequestStats,
        started_s: float,
    ) -> float | None:
        """Return the delay before a retry, or None if none is permitted.

        Until the first token the retries are limited by the patience of the
        request, afterwards by its deadline.
        """
        if error.code not in RETRIED_CODES:
            return None
        time_limit_ms = (
            request.patience_ms if stats.tokens == 0 else request.deadline_ms
        )
        remaining_s = time_limit_ms / 1000 - (self._clock.monotonic() - started_s)
        return self._retry_policy.delay_s(
            request.tenant, request.pool, stats.attempts, remaining_s
        )

    async def _admit_second(
        self,
        configuration: Configuration,
        request: ModelRequest,
        stats: RequestStats,
        started_s: float,
        slow_engine_id: str,
    ) -> Attempt:
        """Request a pair of engines for a hedge, without the slow engine.

        The short patience admits it only if engines are idle now.
        """
        return await self._admit(
            configuration,
            request,
            stats,
            started_s,
            [slow_engine_id],
            HEDGE_PATIENCE_MS,
        )

    async def _admit(
        self,
        configuration: Configuration,
        request: ModelRequest,
        stats: RequestStats,
        started_s: float,
        excluded_engine_ids: list[str],
        max_patience_ms: int | None = None,
    ) -> Attempt:
        """Request engines for the next attempt within the remaining time.

        ``max_patience_ms`` limits the time in the admission queue further.
        """
        elapsed_ms = (self._clock.monotonic() - started_s) * 1000
        time_limit_ms = (
            request.patience_ms if stats.tokens == 0 else request.deadline_ms
        )
        remaining_ms = int(time_limit_ms - elapsed_ms)
        if remaining_ms <= 0:
            raise RouterError(ResultCode.DEADLINE_EXCEEDED)
        if max_patience_ms is not None:
            remaining_ms = min(remaining_ms, max_patience_ms)
        target_ms = int(request.request_class.ttft_target_ms - elapsed_ms)
        admission = AdmissionRequest(
            request_id=str(self._id_generator.next_id()),
            shard_id="",
            tenant=request.tenant,
            class_name=request.request_class.name,
            model=request.model.name,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            ttft_deadline_ms=max(0, target_ms),
            patience_ms=remaining_ms,
            prefix_blocks=block_hashes(request.prompt.encode()),
            excluded_engines=tuple(excluded_engine_ids),
            resume_tokens=stats.tokens,
            attempt=stats.attempts,
        )
        requested_s = self._clock.monotonic()
        request_id = str(request.request_id)
        try:
            grant = await self._admission_client.admit(
                configuration, request.pool, admission
            )
        except RouterError as error:
            waited_s = self._clock.monotonic() - requested_s
            self._observer.record_refusal(request_id, admission, error, waited_s)
            if stats.attempts > 1 and error.execution is Execution.NOT_RUN:
                # An earlier attempt may have run at an engine.
                raise RouterError(
                    error.code,
                    error.detail,
                    retry_after_s=error.retry_after_s,
                    execution=Execution.UNKNOWN,
                ) from error
            raise
        waited_s = self._clock.monotonic() - requested_s
        self._observer.record_grant(request_id, admission, grant, waited_s)
        return self._new_attempt(configuration, grant)

    def _new_attempt(self, configuration: Configuration, grant: Grant) -> Attempt:
        """Return the attempt of a grant.

        Frees the grant and raises ``NO_ENGINE`` if one of its engines is no
        longer in the configuration.
        """
        prefill_engine = configuration.engines_by_id.get(grant.prefill_engine)
        decode_engine = configuration.engines_by_id.get(grant.decode_engine)
        if prefill_engine is None or decode_engine is None:
            code = ResultCode.NO_ENGINE
            release = Release(grant.request_id, grant.shard_id, code.value)
            self._background.spawn(
                self._admission_client.send_progress(release), "free_grant"
            )
            raise RouterError(code, "engine left the configuration")
        return Attempt(grant.request_id, grant, prefill_engine, decode_engine)

    def _log_retry(
        self, request: ModelRequest, attempt: Attempt, error: RouterError
    ) -> None:
        log_event(
            logger,
            "attempt_failed",
            level=logging.WARNING,
            request=request.request_id,
            attempt=attempt.request_id,
            tenant=request.tenant,
            engine=attempt.failed_engine,
            code=error.code.value,
            detail=error.detail,
        )
