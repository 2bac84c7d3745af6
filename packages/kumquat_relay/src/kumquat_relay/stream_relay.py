"""Relays streaming requests to model engines.

For each request, the relay acquires a slot, has the prompt prefilled, forwards
the events and handles broken runs. A request whose route does not allow
retries is sent again only after a response that proves that it was not
executed. Other streams resume at another engine after the last complete event
that the caller has received, within the limit of the route and the retry
budget.
"""

import asyncio
import logging

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import RunGrant
from kumquat_core.result_codes import ResultCode

from .admission import PREFILL_SKIPPED, Admission
from .admission_refusal import AdmissionRefusedError
from .caller_request import CallerRequest
from .caller_response import PROMISE_STATUSES
from .cluster_state import ClusterState
from .continuation import check_continuation, record_refusal
from .crash_evidence import Verdict
from .cutoff import Cutoff
from .engine_calls import EngineCalls, NotExecutedError
from .engine_connection import ConnectionBrokenError
from .engine_notices import EngineNotices
from .engine_registry import EngineEntry
from .event_steps import EventSteps
from .event_stream import EventSplitter
from .host_quarantine import HostQuarantine
from .host_retry_budget import HostRetryBudget
from .known_limits import KnownLimits
from .open_stream import ContinuationError, OpenStream, RunFailedError
from .prompt_quarantine import QuarantineError
from .queue_types import QUARANTINED
from .relay_metrics import RelayMetrics
from .relay_rules import ALL_RULES, RelayRules
from .request_age import RequestAge
from .response_memory import ResponseMemory
from .response_sink import ResponseSink
from .run_starter import RetryBudgetExhaustedError, RunStarter
from .slot_request import slot_request
from .stream_limits import event_timeouts
from .stream_log import log_broken_run, log_stream_timing
from .stream_outcomes import (
    incomplete_outcome,
    quarantined_outcome,
    refused_outcome,
    timeout_outcome,
)
from .stream_progress import COMPLETE, CompletionReport, StreamOutcome, StreamProgress

__all__ = ["StreamRelay"]

# Number of rejected attempts after which the request is tried again; each of
# them was certainly not executed.
MAX_REJECTIONS = 4

logger = logging.getLogger(__name__)


class StreamRelay:
    """Serves streaming requests with event streams of model engines."""

    def __init__(
        self,
        clock: Clock,
        cluster_state: ClusterState,
        admission: Admission,
        calls: EngineCalls,
        retries: HostRetryBudget,
        ages: RequestAge,
        metrics: RelayMetrics,
        notices: EngineNotices,
        memory: ResponseMemory,
        limits: KnownLimits,
        quarantine: HostQuarantine,
        cutoff: Cutoff,
        rules: RelayRules = ALL_RULES,
    ) -> None:
        self._cutoff = cutoff
        self._quarantine = quarantine
        self._rules = rules
        self._memory = memory
        self._metrics = metrics
        self._starter = RunStarter(
            clock,
            cluster_state,
            admission,
            calls,
            retries,
            notices,
            limits,
            quarantine.prompts,
            rules,
        )
        self._clock = clock
        self._cluster_state = cluster_state
        self._admission = admission
        self._calls = calls
        self._retries = retries
        self._ages = ages
        self._steps = EventSteps()

    async def run(self, request: CallerRequest, sink: ResponseSink) -> StreamOutcome:
        """Serve a request until it has an outcome.

        Raises ``CallerDisconnectedError``.
        """
        steps = self._steps.of_service(request.service, self._tokens_in(request, 1))
        progress = StreamProgress(sink, EventSplitter(steps))
        progress.splitter.resume_after(request.metadata.resume_after)
        self._retries.record_request(request.service)
        loop_now_s = asyncio.get_running_loop().time()
        left_s = max(0.0, request.deadline_s - self._clock.monotonic())
        try:
            async with self._cutoff.timeout_at(loop_now_s + left_s):
                return await self._run_until_final(request, progress)
        except TimeoutError:
            return timeout_outcome(progress, host_stopped=self._cutoff.reached)
        finally:
            self._quarantine.observer.run_ended(request.id)
            self._calls.release_unused(progress.prefill, request.id)
            self._starter.release_reservation(request, progress)
            if progress.first_event_s is not None:
                first_event_s = progress.first_event_s - request.arrived_s
                self._metrics.record_stream(first_event_s, progress.max_gap_s)
                log_stream_timing(request, progress)

    async def _run_until_final(
        self, request: CallerRequest, progress: StreamProgress
    ) -> StreamOutcome:
        while True:
            prompts = self._quarantine.prompts
            suspects = progress.own_suspects.union(prompts.suspect_parts(request))
            progress.trial_parts = tuple(sorted(suspects))
            if prompts.verdict(request) is Verdict.REFUSED:
                return self._refuse_quarantined(request, progress)
            try:
                grant = await self._admission.acquire_slot(
                    slot_request(
                        request,
                        progress,
                        self._clock.monotonic(),
                        self._ages.objective_left_ms(request),
                        self._tokens_in(request, progress.splitter.events),
                        self._starter.blocked_engines(request),
                    )
                )
            except AdmissionRefusedError as error:
                if error.reason == QUARANTINED:
                    return self._refuse_quarantined(request, progress)
                return refused_outcome(progress, error)
            self._metrics.record_queue_wait(grant.waited_ms / 1000)
            report = CompletionReport()
            try:
                outcome = await self._attempt(request, grant, progress, report)
            except QuarantineError as error:
                # The verdict became known after the request for the slot.
                log_event(
                    logger, "grant_unused", request=request.id, verdict=str(error)
                )
                outcome = None
            finally:
                self._admission.release(
                    request.id,
                    report.gap_ms,
                    report.full_engine,
                    report.failed_engine,
                    unreachable=report.unreachable,
                    generated_tokens=report.generated_tokens,
                    error_response=report.error_response,
                )
            if outcome is not None:
                return outcome

    def _refuse_quarantined(
        self, request: CallerRequest, progress: StreamProgress
    ) -> StreamOutcome:
        """Log and return the refusal of a request that would crash engines."""
        self._metrics.quarantined_requests.inc()
        log_event(
            logger,
            "request_quarantined",
            request=request.id,
            parts=",".join(progress.trial_parts) or None,
            runs=progress.runs,
        )
        return quarantined_outcome(progress)

    def _tokens_in(self, request: CallerRequest, events: int) -> int:
        """Return the number of tokens that ``events`` events carry."""
        spec = self._cluster_state.engine_spec(request.service)
        return events * (spec.tokens_per_event if spec else 1)

    async def _attempt(
        self,
        request: CallerRequest,
        grant: RunGrant,
        progress: StreamProgress,
        report: CompletionReport,
    ) -> StreamOutcome | None:
        """Use a granted slot; return the outcome, None to ask for another.

        Raises ``QuarantineError``.
        """
        progress.answer_began_s = None
        entry = self._starter.granted_engine(
            request, grant.decode_engine, grant.decode_address
        )
        if entry is None:
            progress.blocked_engines.add(grant.decode_engine)
            return self._after_rejection(request, progress, "engine_leaves")
        if grant.reserve and not await self._starter.reserve(request, entry, progress):
            report.full_engine = entry.id
            return self._after_rejection(request, progress, "not_reserved")
        self._starter.discard_old_prefill(request, progress)
        needs_prefill = progress.prefill is None and progress.first_event_s is None
        if grant.prefill_engine and not needs_prefill:
            self._admission.report_prefill(request.id, PREFILL_SKIPPED)
        if needs_prefill and not await self._starter.prefill(request, grant, progress):
            return self._after_rejection(request, progress, "prompt_not_read")
        self._quarantine.stream_began(request, progress, entry)
        try:
            stream = await self._starter.open(request, entry, progress)
        except RetryBudgetExhaustedError:
            return incomplete_outcome(progress, "retry_budget")
        except NotExecutedError as error:
            if error.overloaded:
                report.full_engine = entry.id
            if error.unreachable:
                report.failed_engine, report.unreachable = entry.id, True
                progress.excluded.add(entry.id)
            return self._after_rejection(request, progress, error.reason)
        except RunFailedError as error:
            progress.runs += 1
            report.failed_engine = entry.id
            return self._after_broken_run(
                request,
                progress,
                entry,
                error.reason,
                closed_by_engine=error.closed_by_engine,
            )
        progress.runs += 1
        is_unproven = stream.status in PROMISE_STATUSES
        if stream.status >= 500 or is_unproven:
            report.failed_engine, report.error_response = entry.id, True
            may_resume = self._may_resume(request, progress)
            if not progress.sink.started and (is_unproven or may_resume):
                stream.abort_if_open()
                reason = f"status_{stream.status}"
                return self._after_broken_run(request, progress, entry, reason)
        return await self._forward(request, entry, stream, progress, report)

    async def _forward(
        self,
        request: CallerRequest,
        entry: EngineEntry,
        stream: OpenStream,
        progress: StreamProgress,
        report: CompletionReport,
    ) -> StreamOutcome | None:
        """Forward events until the response is complete or the run breaks."""
        splitter, continues = progress.splitter, progress.sink.started
        splitter.begin_run(continues=continues)
        progress.events_before = splitter.events
        try:
            if continues:
                check_continuation(stream)
            if not stream.is_event_stream:
                return await self._forward_complete(stream, progress)
            async for events in stream.events(
                splitter,
                event_timeouts(
                    request.route, may_resume=self._may_resume(request, progress)
                ),
                lambda silent_ms: self._admission.report_stall(request.id, silent_ms),
            ):
                await self._forward_events(request, stream, events, progress)
            stream.finish()
        except (ConnectionBrokenError, RunFailedError) as error:
            if isinstance(error, ConnectionBrokenError):
                error = RunFailedError.from_broken(error)
            report.failed_engine, report.error_response = stream.engine_id, False
            if isinstance(error, ContinuationError):
                report.error_response = True
                record_refusal(self._metrics, request, progress, stream, error)
            return self._after_broken_run(
                request,
                progress,
                entry,
                error.reason,
                closed_by_engine=error.closed_by_engine,
            )
        finally:
            stream.abort_if_open()
            run_events = splitter.events - progress.events_before
            report.gap_ms = stream.mean_gap_ms(run_events)
        self._quarantine.observer.record_answer(request.id, entry)
        self._quarantine.prompts.record_answered(request)
        if progress.events_before == 0:
            report.generated_tokens = self._tokens_in(request, run_events)
        if not progress.sink.started:
            await progress.sink.start(stream.status, stream.headers)
        return await self._complete(progress, stream.status)

    async def _forward_complete(
        self, stream: OpenStream, progress: StreamProgress
    ) -> StreamOutcome:
        """Forward a response that is not an event stream, such as an error."""
        with self._memory.buffer() as response:
            async for part in stream.body():
                response.add(part)
            body = response.to_bytes()
        stream.finish()
        await progress.sink.start(stream.status, stream.headers)
        await progress.sink.write(body)
        return await self._complete(progress, stream.status)

    async def _forward_events(
        self,
        request: CallerRequest,
        stream: OpenStream,
        events: bytes,
        progress: StreamProgress,
    ) -> None:
        """Forward complete events and report progress to the owner."""
        progress.record_event_time(self._clock.monotonic())
        if not progress.answer_recorded and progress.is_answering(
            self._clock.monotonic()
        ):
            progress.answer_recorded = True
            self._quarantine.observer.run_ended(request.id)
            self._quarantine.prompts.record_answered(request)
        if stream.events_forwarded == 0:
            # If no prefill engine was used, this tells the owner that the
            # decode engine has prefilled the prompt.
            self._admission.report_prefill(request.id, stream.head_ms)
        stream.events_forwarded += 1
        run_events = progress.splitter.events - progress.events_before
        self._admission.record_progress(
            request.id,
            self._tokens_in(request, run_events),
            stream.mean_gap_ms(run_events),
        )
        if not progress.sink.started:
            await progress.sink.start(stream.status, stream.headers)
        await progress.sink.write(events)

    async def _complete(self, progress: StreamProgress, status: int) -> StreamOutcome:
        await progress.sink.finish()
        code = ResultCode.OK if status < 500 else ResultCode.ENGINE_FAILED
        return StreamOutcome(code, COMPLETE)

    def _after_rejection(
        self, request: CallerRequest, progress: StreamProgress, reason: str
    ) -> StreamOutcome | None:
        """Return the outcome after too many rejected attempts, else None."""
        progress.rejections += 1
        log_event(
            logger,
            "run_rejected",
            request=request.id,
            reason=reason,
            times=progress.rejections,
        )
        if progress.rejections > MAX_REJECTIONS:
            return incomplete_outcome(progress, reason)
        return None

    def _may_resume(self, request: CallerRequest, progress: StreamProgress) -> bool:
        """Tell whether another engine may resume or restart the stream."""
        if not request.route.allows_run_after(progress.runs):
            return False
        if not self._rules.resumption and progress.splitter.events > 0:
            return False
        return progress.splitter.can_continue

    def _after_broken_run(
        self,
        request: CallerRequest,
        progress: StreamProgress,
        entry: EngineEntry,
        reason: str,
        *,
        closed_by_engine: bool = False,
    ) -> StreamOutcome | None:
        """Return the outcome of a broken run, None if it may resume."""
        may_resume = self._may_resume(request, progress)
        log_broken_run(
            request, progress, entry.id, reason, may_resume, closed_by_engine
        )
        progress.excluded.add(entry.id)
        if not progress.is_answering(self._clock.monotonic()):
            self._quarantine.stream_broken(request, progress, entry, closed_by_engine)
        return None if may_resume else incomplete_outcome(progress, reason)
