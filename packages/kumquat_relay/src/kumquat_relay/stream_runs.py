"""Begins the runs of streams, and further runs beside silent ones.

To begin a run, a slot is acquired, the prompt is prefilled, and the request is
sent to the engine of the slot. A run has begun once the head of its response
has arrived, and one beside a silent run once its first event has: an engine
that has nothing to add to a response answers without one.
"""

import asyncio
import logging
from collections.abc import AsyncIterator
from dataclasses import dataclass

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import RunGrant

from .accounts.account_lookup import AccountLookup
from .admission import PREFILL_SKIPPED, Admission
from .admission_refusal import AdmissionRefusedError
from .caller_request import CallerRequest
from .caller_response import PROMISE_STATUSES
from .cluster_state import ClusterState
from .crash_evidence import Verdict
from .engine_calls import EngineCalls, NotExecutedError
from .engine_registry import EngineEntry
from .host_quarantine import HostQuarantine
from .open_stream import ContinuationError, OpenStream, RunFailedError
from .prompt_quarantine import QuarantineError
from .queue_types import QUARANTINED
from .relay_metrics import RelayMetrics
from .request_age import RequestAge
from .run_policy import RunPolicy
from .run_response import await_response
from .run_starter import RetryBudgetExhaustedError, RunStarter
from .slot_request import slot_request
from .standby import Standby
from .stream_limits import event_timeouts, max_events
from .stream_log import log_broken_run, log_quarantined
from .stream_outcomes import (
    incomplete_outcome,
    quarantined_outcome,
    refused_outcome,
    unknown_key_outcome,
)
from .stream_progress import CompletionReport, StreamOutcome, StreamProgress

__all__ = ["BegunRun", "StreamRuns"]

# Number of rejected attempts after which the request is tried again; each of
# them was certainly not executed.
MAX_REJECTIONS = 4

logger = logging.getLogger(__name__)


@dataclass
class BegunRun:
    """A run whose response head has arrived; it holds the slot ``slot_id``.

    ``progress`` is the state of the stream that began it. ``events`` are the
    events after those in ``received``, None before they are read.
    """

    entry: EngineEntry
    stream: OpenStream
    standby: "Standby[BegunRun]"
    progress: StreamProgress
    slot_id: str
    report: CompletionReport
    received: bytes = b""
    events: AsyncIterator[bytes] | None = None


class StreamRuns:
    """Begins runs and decides whether others may follow."""

    def __init__(
        self,
        clock: Clock,
        cluster_state: ClusterState,
        admission: Admission,
        calls: EngineCalls,
        starter: RunStarter,
        ages: RequestAge,
        metrics: RelayMetrics,
        quarantine: HostQuarantine,
        policy: RunPolicy,
    ) -> None:
        self._accounts = AccountLookup(lambda: cluster_state.routes)
        self._policy = policy
        self._clock = clock
        self._cluster_state = cluster_state
        self._admission = admission
        self._calls = calls
        self._starter = starter
        self._ages = ages
        self._metrics = metrics
        self._quarantine = quarantine

    async def begin(
        self, request: CallerRequest, progress: StreamProgress
    ) -> BegunRun | StreamOutcome:
        """Begin a run; return the outcome of the stream if none can."""
        while True:
            prompts = self._quarantine.prompts
            suspects = progress.own_suspects.union(prompts.suspect_parts(request))
            progress.trial_parts = tuple(sorted(suspects))
            if prompts.verdict(request) is Verdict.REFUSED:
                return self._refuse_quarantined(request, progress)
            slot_id = progress.slot_id
            try:
                grant = await self._admission.acquire_slot(
                    slot_request(
                        request,
                        progress,
                        self._clock.monotonic(),
                        self._ages.objective_left_ms(request),
                        self.tokens_in(request, progress.splitter.events),
                        self._starter.blocked_engines(request),
                    )
                )
            except AdmissionRefusedError as error:
                if error.reason == QUARANTINED:
                    return self._refuse_quarantined(request, progress)
                return refused_outcome(progress, error)
            except asyncio.CancelledError:
                # The slot may have been granted just before.
                self.release(slot_id, CompletionReport())
                raise
            self._metrics.record_queue_wait(grant.waited_ms / 1000)
            report = CompletionReport()
            begun: BegunRun | StreamOutcome | None = None
            try:
                if not self._accounts.holds_key(request):
                    # It was removed while the request waited or ran.
                    return unknown_key_outcome(progress)
                begun = await self._attempt(request, grant, progress, report)
            except QuarantineError as error:
                # The verdict became known after the request for the slot.
                log_event(
                    logger, "grant_unused", request=request.id, verdict=str(error)
                )
            finally:
                if not isinstance(begun, BegunRun) or begun.slot_id != slot_id:
                    self.release(slot_id, report)
            if begun is not None:
                return begun

    def release(self, slot_id: str, report: CompletionReport) -> None:
        """Release a slot and tell its owner about the run."""
        self._admission.release(
            slot_id,
            report.gap_ms,
            report.full_engine,
            report.failed_engine,
            unreachable=report.unreachable,
            generated_tokens=report.generated_tokens,
            error_response=report.error_response,
            silent=report.silent,
        )

    def tokens_in(self, request: CallerRequest, events: int) -> int:
        """Return the number of tokens that ``events`` events carry."""
        spec = self._cluster_state.engine_spec(request.service)
        return events * (spec.tokens_per_event if spec else 1)

    def release_unused(self, request: CallerRequest, progress: StreamProgress) -> None:
        """Release the prefill result and the reservation that no run used."""
        self._calls.release_unused(progress.prefill, request.id)
        self._starter.release_reservation(request, progress)

    async def after_broken_run(
        self,
        request: CallerRequest,
        progress: StreamProgress,
        entry: EngineEntry,
        error: RunFailedError,
        standby: Standby[BegunRun],
    ) -> BegunRun | StreamOutcome | None:
        """Return the run that goes on, else the outcome of the stream.

        Returns None if another run may begin.
        """
        may_resume = self._policy.may_resume(request, progress)
        log_broken_run(
            request,
            progress,
            entry.id,
            error.reason,
            may_resume or standby.is_active,
            error.closed_by_engine,
        )
        progress.excluded.add(entry.id)
        if not progress.is_answering(self._clock.monotonic()):
            self._quarantine.stream_broken(
                request, progress, entry, error.closed_by_engine
            )
        begun = await self._take(request, progress, standby)
        # A run of the standby that broke counts as well.
        if begun is not None or self._policy.may_resume(request, progress):
            return begun
        return incomplete_outcome(progress, error.reason)

    def _refuse_quarantined(
        self, request: CallerRequest, progress: StreamProgress
    ) -> StreamOutcome:
        """Log and return the refusal of a request that would crash engines."""
        self._metrics.quarantined_requests.inc()
        log_quarantined(request, progress)
        return quarantined_outcome(progress)

    async def _attempt(
        self,
        request: CallerRequest,
        grant: RunGrant,
        progress: StreamProgress,
        report: CompletionReport,
    ) -> BegunRun | StreamOutcome | None:
        """Use a granted slot; return None to ask for another.

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
            self._admission.report_prefill(progress.slot_id, PREFILL_SKIPPED)
        if needs_prefill and not await self._starter.prefill(request, grant, progress):
            return self._after_rejection(request, progress, "prompt_not_read")
        standby = self._standby(request, progress, entry)
        begun: BegunRun | StreamOutcome | None = None
        try:
            begun = await self._open(request, entry, progress, report, standby)
        finally:
            if not isinstance(begun, BegunRun) or begun.standby is not standby:
                standby.cancel()
                self._quarantine.observer.run_ended(request.id, entry)
        return begun

    async def _open(
        self,
        request: CallerRequest,
        entry: EngineEntry,
        progress: StreamProgress,
        report: CompletionReport,
        standby: Standby[BegunRun],
    ) -> BegunRun | StreamOutcome | None:
        """Send the request; return the run once its response is usable."""
        slot_id = progress.slot_id
        self._quarantine.stream_began(request, progress, entry)
        try:
            opening = asyncio.ensure_future(
                self._starter.open(request, entry, progress)
            )
            stream = await await_response(self._clock, opening, standby)
        except RetryBudgetExhaustedError:
            begun = await self._take(request, progress, standby)
            return begun or incomplete_outcome(progress, "retry_budget")
        except NotExecutedError as error:
            if error.overloaded:
                report.full_engine = entry.id
            if error.unreachable:
                report.failed_engine, report.unreachable = entry.id, True
                progress.excluded.add(entry.id)
            begun = await self._take(request, progress, standby)
            return begun or self._after_rejection(request, progress, error.reason)
        except RunFailedError as error:
            report.failed_engine, report.silent = entry.id, error.silent
            return await self.after_broken_run(request, progress, entry, error, standby)
        is_unproven = stream.status in PROMISE_STATUSES
        if stream.status >= 500 or is_unproven:
            report.failed_engine, report.error_response = entry.id, True
        fault = self._policy.unusable(
            request, stream, progress, has_standby=standby.is_active
        )
        if fault is not None:
            stream.abort_if_open()
            report.failed_engine, report.error_response = entry.id, True
            return await self.after_broken_run(request, progress, entry, fault, standby)
        run = BegunRun(entry, stream, standby, progress, slot_id, report)
        if not progress.is_standby:
            return run
        try:
            await self._read_first_event(request, run)
        except RunFailedError as error:
            report.failed_engine, report.silent = entry.id, error.silent
            report.error_response = isinstance(error, ContinuationError)
            return await self.after_broken_run(request, progress, entry, error, standby)
        return run

    async def _read_first_event(self, request: CallerRequest, run: BegunRun) -> None:
        """Read a run beside a silent one until its first event.

        Raises ``RunFailedError`` if there is none.
        """
        progress, events = run.progress, self.read_events(request, run)
        try:
            async for part in events:
                run.received += part
                if progress.splitter.events > progress.events_before:
                    run.events = events
                    return
            raise RunFailedError("no_event")
        except BaseException:
            run.stream.abort_if_open()
            raise

    def read_events(
        self, request: CallerRequest, run: BegunRun
    ) -> AsyncIterator[bytes]:
        """Return the events of a run, which raise as ``OpenStream.events``."""
        progress = run.progress
        progress.splitter.begin_run(continues=progress.sink.started)
        progress.events_before = progress.splitter.events
        return run.stream.events(
            progress.splitter,
            event_timeouts(request.route, may_resume=False),
            lambda silent_ms: self._admission.report_stall(run.slot_id, silent_ms),
            run.standby,
            max_events(request),
        )

    async def _take(
        self,
        request: CallerRequest,
        progress: StreamProgress,
        standby: Standby[BegunRun],
    ) -> BegunRun | None:
        """Go on with the run of ``standby`` if it begins."""
        begun = await standby.take()
        if begun is not None:
            log_event(
                logger, "standby_run_used", request=request.id, engine=begun.entry.id
            )
            progress.adopt(begun.progress)
        return begun

    def _standby(
        self, request: CallerRequest, progress: StreamProgress, entry: EngineEntry
    ) -> Standby[BegunRun]:
        """Return the further run for a silence of a run at ``entry``."""

        def discard(begun: BegunRun) -> None:
            begun.stream.abort_if_open()
            begun.standby.cancel()
            self._quarantine.observer.run_ended(request.id, begun.entry)
            self.release(begun.slot_id, begun.report)
            self.release_unused(request, begun.progress)

        return Standby(
            self._clock,
            event_timeouts(request.route, may_resume=True),
            lambda: self._begin_standby(request, progress, entry),
            lambda: self._policy.may_begin_standby(request, progress, entry),
            discard,
        )

    async def _begin_standby(
        self, request: CallerRequest, progress: StreamProgress, silent: EngineEntry
    ) -> BegunRun | None:
        """Begin a run beside a silent one, which is given up only for it."""
        own = progress.for_standby(request.id, silent.id)
        log_event(logger, "standby_run_requested", request=request.id, silent=silent.id)
        begun: BegunRun | StreamOutcome | None = None
        try:
            begun = await self.begin(request, own)
        finally:
            if not isinstance(begun, BegunRun):
                self.release_unused(request, own)
        if isinstance(begun, BegunRun):
            return begun
        log_event(logger, "standby_run_failed", request=request.id, reason=begun.reason)
        return None

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
