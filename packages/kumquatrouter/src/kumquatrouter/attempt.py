"""Runs the steps of one attempt at a model request.

Model requests may run more than once. When an attempt ends, whatever the
result, all memory that it holds at engines is freed. Each attempt has its own
request id, so that freeing an old attempt can't free memory of a later one.
"""

import asyncio
import logging
from dataclasses import dataclass, field

from kumquat_core.clock import Clock
from kumquat_core.configuration import Engine
from kumquat_core.engine_client import EngineClient, PrefillResult, Token
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import Grant, PrefillDone, Release, SlowStep
from kumquat_core.result_codes import ResultCode, RouterError

from .background import BackgroundTasks
from .model_request import AdmissionClient, ModelRequest, RequestStats, ResponseSink
from .request_observer import RequestObserver

__all__ = ["Attempt", "AttemptRunner"]

# A transfer that takes four times its nominal time is treated as stalled. A
# sound engine at either end may pause for 1.6 s; the minimum covers that.
TRANSFER_TIMEOUT_FACTOR = 4.0
MIN_TRANSFER_TIMEOUT_S = 2.0

# A decode step this many times longer than the step of a full batch is
# reported to the shard owner, at most once per period for each engine.
SLOW_STEP_FACTOR = 3.0
SLOW_STEP_PERIOD_S = 0.1

# Results of an attempt that are not failures of the engine in use.
NON_ENGINE_CODES = frozenset(
    {ResultCode.OK, ResultCode.CALLER_GONE, ResultCode.ATTEMPT_REPLACED}
)

logger = logging.getLogger(__name__)


@dataclass
class Attempt:
    """A grant in use.

    ``used_engines`` are the engines that may hold memory for the attempt.
    ``failed_engine`` is the id of the engine that is in use or has failed;
    it is empty when no engine is at fault.
    """

    request_id: str
    grant: Grant
    prefill_engine: Engine
    decode_engine: Engine
    prefill_ms: float = 0.0
    failed_engine: str = ""
    code: ResultCode = ResultCode.INTERNAL_ERROR
    used_engines: list[Engine] = field(default_factory=list)


class AttemptRunner:
    """Runs the steps of attempts and frees the memory that they hold."""

    def __init__(
        self,
        clock: Clock,
        engine_client: EngineClient,
        admission_client: AdmissionClient,
        background: BackgroundTasks,
        observer: RequestObserver,
    ) -> None:
        self._clock = clock
        self._engine_client = engine_client
        self._admission_client = admission_client
        self._background = background
        self._observer = observer
        self._slow_step_reported_s_by_engine_id: dict[str, float] = {}

    async def prefill(self, request: ModelRequest, attempt: Attempt) -> PrefillResult:
        """Run the prefill and report its end to the shard owner."""
        attempt.failed_engine = attempt.prefill_engine.id
        attempt.used_engines.append(attempt.prefill_engine)
        class_name = request.request_class.name
        self._observer.record_prefill_start(class_name, request.prompt_tokens)
        prefill_started_s = self._clock.monotonic()
        prefill = await self._engine_client.prefill(
            attempt.prefill_engine.url,
            attempt.request_id,
            request.model.name,
            request.prompt,
            request.patience_ms / 1000,
        )
        attempt.prefill_ms = (self._clock.monotonic() - prefill_started_s) * 1000
        self._observer.record_prefill_end(
            str(request.request_id),
            attempt.request_id,
            class_name,
            attempt.prefill_ms / 1000,
            prefill.cached_tokens,
        )
        done = PrefillDone(
            attempt.request_id,
            attempt.grant.shard_id,
            attempt.prefill_ms,
            prefill.cached_tokens,
        )
        self._background.spawn(
            self._admission_client.send_progress(done), "prefill_done"
        )
        return prefill

    async def transfer(
        self, request: ModelRequest, attempt: Attempt, prefill: PrefillResult
    ) -> None:
        """Import the KV cache at the decode engine.

        Raises ``PREFILL_EVICTED`` when the prefill engine no longer has it.
        """
        attempt.failed_engine = attempt.decode_engine.id
        attempt.used_engines.append(attempt.decode_engine)
        nominal_s = (
            prefill.tokens
            * request.model.kv_bytes_per_token
            / attempt.decode_engine.link_bytes_per_s
        )
        try:
            await self._engine_client.import_cache(
                attempt.decode_engine.url,
                attempt.request_id,
                request.model.name,
                attempt.prefill_engine.url,
                prefill,
                attempt.grant.pieces,
                max(MIN_TRANSFER_TIMEOUT_S, nominal_s * TRANSFER_TIMEOUT_FACTOR),
            )
        except RouterError as error:
            if error.code is ResultCode.PREFILL_EVICTED:
                # The prefill engine evicted a result that waited too long; the
                # decode engine did not fail.
                attempt.failed_engine = ""
            raise

    def _report_slow_step(self, attempt: Attempt, gap_s: float, now_s: float) -> None:
        """Report a decode step to the shard owner if it was far too slow.

        All streams of an engine observe the same step, so that one message
        is enough.
        """
        engine = attempt.decode_engine
        step_ms = engine.step_base_ms + engine.step_request_ms * engine.max_requests
        if gap_s * 1000 < SLOW_STEP_FACTOR * step_ms:
            return
        reported_s = self._slow_step_reported_s_by_engine_id.get(engine.id)
        if reported_s is not None and now_s - reported_s < SLOW_STEP_PERIOD_S:
            return
        self._slow_step_reported_s_by_engine_id[engine.id] = now_s
        report = SlowStep(attempt.request_id, attempt.grant.shard_id, gap_s * 1000)
        self._background.spawn(
            self._admission_client.send_progress(report), "slow_step"
        )

    async def decode(
        self,
        request: ModelRequest,
        attempt: Attempt,
        sink: ResponseSink,
        stats: RequestStats,
        started_s: float,
    ) -> None:
        """Stream the tokens that were not delivered to the caller yet.

        Records the time to the first token and the mean time between tokens.
        """
        first_token_s = last_write_s = write_time_s = 0.0
        start_index = stats.tokens
        async for tokens in self._engine_client.decode(
            attempt.decode_engine.url,
            attempt.request_id,
            request.max_tokens,
            start_index,
        ):
            now_s = self._clock.monotonic()
            if stats.tokens == 0:
                stats.ttft_ms = (now_s - started_s) * 1000
            if not first_token_s:
                first_token_s = now_s
            else:
                self._report_slow_step(attempt, now_s - last_write_s, now_s)
            _check_positions(tokens, stats.tokens)
            stats.tokens += len(tokens)
            await sink.write(tokens, stats)
            last_write_s = self._clock.monotonic()
            write_time_s += last_write_s - now_s
        received_tokens = stats.tokens - start_index
        if not received_tokens:
            _check_end(request, stats)
        if received_tokens > 1:
            # Excludes the time spent writing to a slow caller, which says
            # nothing about the engine.
            elapsed_s = self._clock.monotonic() - first_token_s - write_time_s
            stats.tbt_ms = elapsed_s * 1000 / (received_tokens - 1)
        attempt.failed_engine = ""

    def end(
        self,
        request: ModelRequest,
        attempt: Attempt,
        code: ResultCode,
        stats: RequestStats,
        *,
        delivered: bool,
    ) -> None:
        """Record the result of an attempt and free it in the background.

        A failure is attributed to the engine in use, unless the caller
        disconnected or another attempt was faster.
        """
        attempt.code = code
        if code in NON_ENGINE_CODES:
            attempt.failed_engine = ""
        self._record_failure(request, attempt, delivered)
        self._background.spawn(self._free(attempt, stats), "free_attempt")

    async def _free(self, attempt: Attempt, stats: RequestStats) -> None:
        """Free the attempt at its engines, then release its grant.

        After a success the engines have freed its memory themselves.
        """
        if attempt.code is not ResultCode.OK:
            await asyncio.gather(
                *(self._cancel(engine, attempt) for engine in attempt.used_engines)
            )
        release = Release(
            attempt.request_id,
            attempt.grant.shard_id,
            attempt.code.value,
            attempt.prefill_ms,
            stats.ttft_ms,
            stats.tbt_ms,
            stats.tokens,
            attempt.failed_engine,
        )
        await self._admission_client.send_progress(release)

    async def _cancel(self, engine: Engine, attempt: Attempt) -> None:
        """Free an attempt at one engine; a failure is only logged."""
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

    def _record_failure(
        self, request: ModelRequest, attempt: Attempt, delivered: bool
    ) -> None:
        """Record a failed attempt; without a token its prefill was wasted."""
        if attempt.code is ResultCode.OK:
            return
        wasted = bool(attempt.used_engines) and not delivered
        self._observer.record_failed_attempt(
            str(request.request_id),
            attempt.request_id,
            request.request_class.name,
            attempt.code,
            attempt.failed_engine,
            request.prompt_tokens if wasted else 0,
        )


def _check_end(request: ModelRequest, stats: RequestStats) -> None:
    """Raise ``ENGINE_FAILED`` if a resumed output may not be complete.

    The stream before may have broken off between the last token and the end
    marker. An engine that resumes without a token may also have lost the
    output, so a second one has to say the same.
    """
    if stats.tokens in (0, request.max_tokens, stats.ends_at):
        return
    stats.ends_at = stats.tokens
    raise RouterError(ResultCode.ENGINE_FAILED, "resumed without a token")


def _check_positions(tokens: list[Token], expected_position: int) -> None:
    """Raise ``ENGINE_FAILED`` for missing, repeated or reordered tokens."""
    for offset, token in enumerate(tokens):
        if token.position != expected_position + offset:
            raise RouterError(ResultCode.ENGINE_FAILED, "token out of order")
