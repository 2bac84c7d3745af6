"""The path of one model request, from admission to the last token.

Each attempt asks the shard owner for a pair of engines, runs the prefill,
transfers the KV cache and streams the tokens. Model requests are repeatable:
after a failure the next attempt excludes the failed engine and resumes at
the first token that was not delivered. All engine memory of an attempt is
freed when it ends, however it ends. Each attempt has an identifier of its
own, so that freeing an old attempt can't touch a new one.
"""

import asyncio
import logging
import random
from dataclasses import dataclass, field
from typing import Protocol

from kumquat_core.clock import Clock
from kumquat_core.configuration import Configuration, Engine, Model, RequestClass
from kumquat_core.engine_client import EngineClient, PrefillResult, Token
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import (
    AdmissionRequest,
    CancelAdmission,
    Grant,
    PrefillDone,
    Release,
)
from kumquat_core.prefix_blocks import block_hashes
from kumquat_core.request_ids import RequestId, RequestIdSource
from kumquat_core.result_codes import Execution, ResultCode, RouterError
from kumquat_core.retry_budget import BudgetedRetries, RetryRules

from .background import BackgroundTasks
from .request_observer import RequestObserver

__all__ = ["AdmissionClient", "AnswerSink", "ModelPath", "ModelRequest", "ModelTimes"]

# A transfer that takes four times its nominal time has stalled; the floor
# covers the start of short transfers.
TRANSFER_TIMEOUT_FACTOR = 4.0
MIN_TRANSFER_TIMEOUT_S = 0.5

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


@dataclass(frozen=True)
class ModelRequest:
    """A validated request for a model."""

    request_id: RequestId
    tenant: str
    request_class: RequestClass
    model: Model
    pool: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    patience_ms: int
    deadline_ms: int


@dataclass
class ModelTimes:
    """What one request observed; times in milliseconds."""

    prefill_ms: float = 0.0
    ttft_ms: float = 0.0
    tbt_ms: float = 0.0
    tokens: int = 0
    attempts: int = 0
    prefill_engine: str = ""
    decode_engine: str = ""


class AdmissionClient(Protocol):
    """Chooses engines for a request and is told of its progress."""

    async def admit(
        self, configuration: Configuration, pool: str, request: AdmissionRequest
    ) -> Grant:
        """Return a grant; raises ``RouterError`` for a refusal."""

    async def tell(self, message: PrefillDone | Release | CancelAdmission) -> None:
        """Pass on a message about a request."""


class AnswerSink(Protocol):
    """Receives the answer of a model request."""

    async def write(self, tokens: list[Token], times: ModelTimes) -> None:
        """Deliver tokens to the caller; waits while the caller is slow."""


@dataclass
class _Attempt:
    """One attempt: its engines and the engines that hold something."""

    request_id: str
    grant: Grant
    prefill_engine: Engine
    decode_engine: Engine
    failed_engine: str = ""
    code: ResultCode = ResultCode.INTERNAL_ERROR
    touched: list[Engine] = field(default_factory=list)


class ModelPath:
    """Runs model requests."""

    def __init__(
        self,
        clock: Clock,
        engine_client: EngineClient,
        owner_client: AdmissionClient,
        background: BackgroundTasks,
        ids: RequestIdSource,
        observer: RequestObserver | None = None,
        retries: RetryRules | None = None,
    ) -> None:
        self._retries = retries or BudgetedRetries(random.Random(0))
        self._observer = observer or RequestObserver.from_clock(clock)
        self._clock = clock
        self._engine_client = engine_client
        self._owner_client = owner_client
        self._background = background
        self._ids = ids

    async def run(
        self, configuration: Configuration, request: ModelRequest, sink: AnswerSink
    ) -> ModelTimes:
        """Answer a request through ``sink``.

        Raises ``RouterError`` when the answer can't be completed before the
        deadline.
        """
        times = ModelTimes()
        started_s = self._clock.monotonic()
        try:
            async with asyncio.timeout(request.deadline_ms / 1000):
                await self._run_attempts(configuration, request, sink, times, started_s)
        except TimeoutError as error:
            raise RouterError(ResultCode.DEADLINE_EXCEEDED) from error
        self._observer.answered(
            str(request.request_id),
            request.request_class.name,
            times.ttft_ms,
            times.tbt_ms,
            times.tokens,
            times.attempts,
        )
        return times

    async def _run_attempts(
        self,
        configuration: Configuration,
        request: ModelRequest,
        sink: AnswerSink,
        times: ModelTimes,
        started_s: float,
    ) -> None:
        excluded: list[str] = []
        self._retries.record_first_attempt(request.tenant, request.pool)
        while True:
            times.attempts += 1
            grant = await self._admit(
                configuration, request, times, started_s, excluded
            )
            attempt = self._new_attempt(configuration, request, grant, times)
            delivered = times.tokens
            try:
                await self._run_attempt(request, attempt, sink, times, started_s)
                attempt.code = ResultCode.OK
                return
            except RouterError as error:
                attempt.code = error.code
                delay_s = self._retry_delay_s(request, error, times, started_s)
                if delay_s is None:
                    raise
                if attempt.failed_engine:
                    excluded.append(attempt.failed_engine)
                self._observer.retried(error.code)
                self._log_retry(request, attempt, error)
            except asyncio.CancelledError:
                attempt.code = ResultCode.CALLER_GONE
                raise
            finally:
                self._observe_end(request, attempt, times.tokens > delivered)
                self._background.spawn(self._free(attempt, times), "free_attempt")
            await asyncio.sleep(delay_s)

    def _retry_delay_s(
        self,
        request: ModelRequest,
        error: RouterError,
        times: ModelTimes,
        started_s: float,
    ) -> float | None:
        if error.code not in RETRIED_CODES:
            return None
        budget_ms = request.patience_ms if times.tokens == 0 else request.deadline_ms
        remaining_s = budget_ms / 1000 - (self._clock.monotonic() - started_s)
        return self._retries.delay_s(
            request.tenant, request.pool, times.attempts, remaining_s
        )

    async def _admit(
        self,
        configuration: Configuration,
        request: ModelRequest,
        times: ModelTimes,
        started_s: float,
        excluded: list[str],
    ) -> Grant:
        spent_ms = (self._clock.monotonic() - started_s) * 1000
        budget_ms = request.patience_ms if times.tokens == 0 else request.deadline_ms
        left_ms = int(budget_ms - spent_ms)
        if left_ms <= 0:
            raise RouterError(ResultCode.DEADLINE_EXCEEDED)
        target_ms = int(request.request_class.ttft_target_ms - spent_ms)
        admission = AdmissionRequest(
            request_id=str(self._ids.next_id()),
            shard_id="",
            tenant=request.tenant,
            class_name=request.request_class.name,
            model=request.model.name,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            ttft_deadline_ms=max(0, target_ms),
            patience_ms=left_ms,
            prefix_blocks=block_hashes(request.prompt.encode()),
            excluded_engines=tuple(excluded),
            resume_tokens=times.tokens,
            attempt=times.attempts,
        )
        asked_s = self._clock.monotonic()
        request_id = str(request.request_id)
        try:
            grant = await self._owner_client.admit(
                configuration, request.pool, admission
            )
        except RouterError as error:
            waited_s = self._clock.monotonic() - asked_s
            self._observer.refused(request_id, admission, error, waited_s)
            if times.attempts > 1 and error.execution is Execution.NOT_RUN:
                # An earlier attempt may have run.
                raise RouterError(
                    error.code,
                    error.detail,
                    retry_after_s=error.retry_after_s,
                    execution=Execution.UNKNOWN,
                ) from error
            raise
        waited_s = self._clock.monotonic() - asked_s
        self._observer.granted(request_id, admission, grant, waited_s)
        return grant

    def _new_attempt(
        self,
        configuration: Configuration,
        request: ModelRequest,
        grant: Grant,
        times: ModelTimes,
    ) -> _Attempt:
        prefill_engine = configuration.engines_by_id.get(grant.prefill_engine)
        decode_engine = configuration.engines_by_id.get(grant.decode_engine)
        if prefill_engine is None or decode_engine is None:
            code = ResultCode.NO_ENGINE
            release = Release(grant.request_id, grant.shard_id, code.value)
            self._background.spawn(self._owner_client.tell(release), "free_grant")
            raise RouterError(code, "engine left the configuration")
        times.prefill_engine = prefill_engine.id
        times.decode_engine = decode_engine.id
        return _Attempt(grant.request_id, grant, prefill_engine, decode_engine)

    async def _run_attempt(
        self,
        request: ModelRequest,
        attempt: _Attempt,
        sink: AnswerSink,
        times: ModelTimes,
        started_s: float,
    ) -> None:
        prefill = await self._prefill(request, attempt, times)
        await self._transfer(request, attempt, prefill)
        await self._decode(request, attempt, sink, times, started_s)

    async def _prefill(
        self, request: ModelRequest, attempt: _Attempt, times: ModelTimes
    ) -> PrefillResult:
        attempt.failed_engine = attempt.prefill_engine.id
        attempt.touched.append(attempt.prefill_engine)
        class_name = request.request_class.name
        self._observer.prefill_sent(class_name, request.prompt_tokens)
        began_s = self._clock.monotonic()
        prefill = await self._engine_client.prefill(
            attempt.prefill_engine.url,
            attempt.request_id,
            request.model.name,
            request.prompt,
            request.patience_ms / 1000,
        )
        times.prefill_ms = (self._clock.monotonic() - began_s) * 1000
        self._observer.prefill_finished(
            str(request.request_id),
            attempt.request_id,
            class_name,
            times.prefill_ms / 1000,
            prefill.cached_tokens,
        )
        done = PrefillDone(
            attempt.request_id,
            attempt.grant.shard_id,
            times.prefill_ms,
            prefill.cached_tokens,
        )
        self._background.spawn(self._owner_client.tell(done), "prefill_done")
        return prefill

    async def _transfer(
        self, request: ModelRequest, attempt: _Attempt, prefill: PrefillResult
    ) -> None:
        attempt.failed_engine = attempt.decode_engine.id
        attempt.touched.append(attempt.decode_engine)
        nominal_s = (
            prefill.tokens
            * request.model.kv_bytes_per_token
            / attempt.decode_engine.link_bytes_per_s
        )
        await self._engine_client.import_cache(
            attempt.decode_engine.url,
            attempt.request_id,
            request.model.name,
            attempt.prefill_engine.url,
            prefill,
            attempt.grant.pieces,
            max(MIN_TRANSFER_TIMEOUT_S, nominal_s * TRANSFER_TIMEOUT_FACTOR),
        )

    async def _decode(
        self,
        request: ModelRequest,
        attempt: _Attempt,
        sink: AnswerSink,
        times: ModelTimes,
        started_s: float,
    ) -> None:
        first_s = 0.0
        start_index = times.tokens
        async for tokens in self._engine_client.decode(
            attempt.decode_engine.url,
            attempt.request_id,
            request.max_tokens,
            start_index,
        ):
            now_s = self._clock.monotonic()
            if times.tokens == 0:
                times.ttft_ms = (now_s - started_s) * 1000
            if not first_s:
                first_s = now_s
            _check_order(tokens, times.tokens)
            times.tokens += len(tokens)
            await sink.write(tokens, times)
        received = times.tokens - start_index
        if received > 1:
            elapsed_ms = (self._clock.monotonic() - first_s) * 1000
            times.tbt_ms = elapsed_ms / (received - 1)
        attempt.failed_engine = ""

    async def _free(self, attempt: _Attempt, times: ModelTimes) -> None:
        """Free the attempt's memory at the engines, then at the owner."""
        if attempt.code is not ResultCode.OK:
            await asyncio.gather(
                *(self._cancel(engine, attempt) for engine in attempt.touched)
            )
        release = Release(
            attempt.request_id,
            attempt.grant.shard_id,
            attempt.code.value,
            times.prefill_ms,
            times.ttft_ms,
            times.tbt_ms,
            times.tokens,
            attempt.failed_engine,
        )
        await self._owner_client.tell(release)

    async def _cancel(self, engine: Engine, attempt: _Attempt) -> None:
        try:
            await self._engine_client.cancel(engine.url, attempt.request_id)
        except RouterError as error:
            log_event(
                logger,
                "engine_cancel_failed",
                level=logging.WARNING,
                engine=engine.id,
                request=attempt.request_id,
                detail=error.detail,
            )

    def _observe_end(
        self, request: ModelRequest, attempt: _Attempt, delivered: bool
    ) -> None:
        """Record a failed attempt; its prefill is wasted without a token."""
        if attempt.code is ResultCode.OK:
            return
        wasted = bool(attempt.touched) and not delivered
        self._observer.attempt_failed(
            str(request.request_id),
            attempt.request_id,
            request.request_class.name,
            attempt.code,
            attempt.failed_engine,
            request.prompt_tokens if wasted else 0,
        )

    def _log_retry(
        self, request: ModelRequest, attempt: _Attempt, error: RouterError
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


def _check_order(tokens: list[Token], expected: int) -> None:
    """Refuse tokens that are missing, repeated or out of order."""
    for offset, token in enumerate(tokens):
        if token.position != expected + offset:
            raise RouterError(ResultCode.ENGINE_FAILED, "token out of order")
