"""Relays streaming requests to model engines.

For each request, the relay acquires a slot, has the prompt prefilled, forwards
the events and handles broken runs. A request whose route does not allow
retries is sent again only after a response that proves that it was not
executed. Other streams resume at another engine after the last complete event
that the caller has received, within the limit of the route and the retry
budget.
"""

import asyncio

from kumquat_core.clock import Clock
from kumquat_core.result_codes import ResultCode

from .admission import Admission
from .caller_request import CallerRequest
from .cluster_state import ClusterState
from .continuation import check_continuation, record_refusal
from .cutoff import Cutoff
from .engine_calls import EngineCalls
from .engine_connection import ConnectionBrokenError
from .engine_notices import EngineNotices
from .event_steps import EventSteps
from .event_stream import EventSplitter
from .host_quarantine import HostQuarantine
from .host_retry_budget import HostRetryBudget
from .known_limits import KnownLimits
from .open_stream import ContinuationError, OpenStream, RunFailedError
from .relay_metrics import RelayMetrics
from .relay_rules import ALL_RULES, RelayRules
from .request_age import RequestAge
from .response_memory import ResponseMemory
from .response_sink import ResponseSink
from .run_policy import RunPolicy
from .run_starter import RunStarter
from .stream_log import log_stream_timing
from .stream_outcomes import timeout_outcome
from .stream_progress import COMPLETE, StreamOutcome, StreamProgress
from .stream_runs import BegunRun, StreamRuns

__all__ = ["StreamRelay"]


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
        self._memory = memory
        self._metrics = metrics
        self._clock = clock
        self._admission = admission
        self._retries = retries
        self._steps = EventSteps()
        starter = RunStarter(
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
        self._runs = StreamRuns(
            clock,
            cluster_state,
            admission,
            calls,
            starter,
            ages,
            metrics,
            quarantine,
            RunPolicy(cluster_state, retries, rules),
        )

    async def run(self, request: CallerRequest, sink: ResponseSink) -> StreamOutcome:
        """Serve a request until it has an outcome.

        Raises ``CallerDisconnectedError``.
        """
        tokens_per_event = self._runs.tokens_in(request, 1)
        steps = self._steps.of_service(request.service, tokens_per_event)
        progress = StreamProgress(sink, request.id, EventSplitter(steps))
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
            self._runs.release_unused(request, progress)
            if progress.first_event_s is not None:
                first_event_s = progress.first_event_s - request.arrived_s
                self._metrics.record_stream(first_event_s, progress.pace.max_gap_s)
                log_stream_timing(request, progress)

    async def _run_until_final(
        self, request: CallerRequest, progress: StreamProgress
    ) -> StreamOutcome:
        while True:
            begun: BegunRun | StreamOutcome | None
            begun = await self._runs.begin(request, progress)
            while isinstance(begun, BegunRun):
                begun = await self._forward(request, begun, progress)
            if begun is not None:
                return begun

    async def _forward(
        self, request: CallerRequest, begun: BegunRun, progress: StreamProgress
    ) -> BegunRun | StreamOutcome | None:
        """Forward a run until the response is complete or the run breaks.

        Returns the run that goes on, None if another one may begin.
        """
        try:
            return await self._forward_run(request, begun, progress)
        finally:
            begun.stream.abort_if_open()
            begun.standby.cancel()
            self._runs.release(begun.slot_id, begun.report)

    async def _forward_run(
        self, request: CallerRequest, begun: BegunRun, progress: StreamProgress
    ) -> BegunRun | StreamOutcome | None:
        stream, report = begun.stream, begun.report
        if begun.events is None:
            begun.events = self._runs.read_events(request, begun)
        splitter, events_before = progress.splitter, progress.events_before
        try:
            if progress.sink.started:
                check_continuation(stream)
            if not stream.is_event_stream:
                begun.standby.cancel()
                return await self._forward_complete(stream, progress)
            if begun.received:
                await self._forward_events(request, begun, begun.received, progress)
            async for events in begun.events:
                await self._forward_events(request, begun, events, progress)
            stream.finish()
        except (ConnectionBrokenError, RunFailedError) as error:
            if isinstance(error, ConnectionBrokenError):
                error = RunFailedError.from_broken(error)
            report.failed_engine, report.error_response = stream.engine_id, False
            report.silent = error.silent
            if isinstance(error, ContinuationError):
                report.error_response = True
                record_refusal(self._metrics, request, progress, stream, error)
            return await self._runs.after_broken_run(
                request, progress, begun.entry, error, begun.standby
            )
        finally:
            stream.abort_if_open()
            run_events = splitter.events - events_before
            report.gap_ms = stream.mean_gap_ms(run_events)
        self._quarantine.observer.record_answer(request.id, begun.entry)
        self._quarantine.prompts.record_answered(request)
        if events_before == 0:
            report.generated_tokens = self._runs.tokens_in(request, run_events)
        if not progress.sink.started:
            await progress.sink.start(stream.status, stream.headers)
        return await self._complete(progress, stream.status)

    async def _forward_complete(
        self, stream: OpenStream, progress: StreamProgress
    ) -> StreamOutcome:
        """Forward a response that is not an event stream, such as an error."""
        with self._memory.buffer(stream.engine_id) as response:
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
        begun: BegunRun,
        events: bytes,
        progress: StreamProgress,
    ) -> None:
        """Forward complete events and report progress to the owner."""
        stream = begun.stream
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
            self._admission.report_prefill(begun.slot_id, stream.head_ms)
        stream.events_forwarded += 1
        run_events = progress.splitter.events - progress.events_before
        self._admission.record_progress(
            begun.slot_id,
            self._runs.tokens_in(request, run_events),
            stream.mean_gap_ms(run_events),
        )
        if not progress.sink.started:
            await progress.sink.start(stream.status, stream.headers)
        await progress.sink.write(events)

    async def _complete(self, progress: StreamProgress, status: int) -> StreamOutcome:
        await progress.sink.finish()
        code = ResultCode.OK if status < 500 else ResultCode.ENGINE_FAILED
        return StreamOutcome(code, COMPLETE)
