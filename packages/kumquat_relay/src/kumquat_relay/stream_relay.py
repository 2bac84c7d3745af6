"""Relays one stream: a place, the prompt, the events, and what follows breaks.

A stream that may not be resumed runs once: it is sent again only after an
answer that proves that it did not run. One that may be resumed continues at
another engine after the last whole event that the caller has, within the
route's limit and the retry budget.
"""

import asyncio
import logging

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import RunGrant, RunRequest
from kumquat_core.result_codes import ResultCode

from .admission import NOT_READ, Admission, PlaceRefusedError
from .answer_memory import AnswerMemory
from .answer_sink import AnswerSink
from .beliefs import Beliefs
from .caller_request import CallerRequest, PromptFacts
from .engine_calls import EngineCalls, NotRunError
from .engine_connection import ConnectionBrokenError
from .engine_notices import EngineNotices
from .open_stream import OpenStream, RunFailedError
from .relay_answers import failure, refusal
from .relay_metrics import RelayMetrics
from .relay_rules import ALL_RULES, RelayRules
from .request_age import RequestAge
from .retry_share import RetryShare
from .run_starter import BudgetSpentError, RunStarter
from .stream_limits import caller_patience_ms, silence_limits
from .stream_progress import EndNotice, StreamOutcome, StreamProgress

__all__ = ["StreamRelay"]

# A send that proves not to have run is repeated this often at most.
MAX_NOT_RUN = 4
NO_PLACE_RETRY_S = 0.4
# Streams that go on go before all that have not begun.
RESUME_PRIORITY = -1

logger = logging.getLogger(__name__)


class StreamRelay:
    """Serves streams of events from model engines."""

    def __init__(
        self,
        clock: Clock,
        beliefs: Beliefs,
        admission: Admission,
        calls: EngineCalls,
        retries: RetryShare,
        ages: RequestAge,
        metrics: RelayMetrics,
        notices: EngineNotices,
        memory: AnswerMemory,
        rules: RelayRules = ALL_RULES,
    ) -> None:
        self._rules = rules
        self._memory = memory
        self._metrics = metrics
        self._starter = RunStarter(
            clock, beliefs, admission, calls, retries, notices, rules
        )
        self._clock = clock
        self._beliefs = beliefs
        self._admission = admission
        self._calls = calls
        self._retries = retries
        self._ages = ages

    async def run(self, request: CallerRequest, sink: AnswerSink) -> StreamOutcome:
        """Serve a request to its end; raises ``CallerGoneError``."""
        progress = StreamProgress(sink)
        progress.splitter.last_id = request.facts.resume_after
        self._retries.count_request(request.service)
        loop_now_s = asyncio.get_running_loop().time()
        left_s = max(0.0, request.deadline_s - self._clock.monotonic())
        try:
            async with asyncio.timeout_at(loop_now_s + left_s):
                return await self._attempts(request, progress)
        except TimeoutError:
            return self._ended(progress, "deadline", timed_out=True)
        finally:
            self._calls.release_unused(progress.prefill, request.id)
            if progress.hold and progress.hold_entry is not None:
                self._calls.release_reservation(
                    progress.hold_entry, progress.hold, request.id
                )
            self._log_pace(request, progress)

    def _log_pace(self, request: CallerRequest, progress: StreamProgress) -> None:
        first_s = progress.first_event_s
        if first_s is None:
            return
        self._metrics.stream_ended(first_s - request.arrived_s, progress.max_gap_s)
        log_event(
            logger,
            "stream_pace",
            request=request.id,
            first_ms=round((first_s - request.arrived_s) * 1000, 1),
            objective_ms=request.route.objective_ms,
            max_gap_ms=round(progress.max_gap_s * 1000, 1),
            allowed_gap_ms=request.route.max_gap_ms,
            events=progress.splitter.events,
        )

    async def _attempts(
        self, request: CallerRequest, progress: StreamProgress
    ) -> StreamOutcome:
        while True:
            try:
                grant = await self._admission.place(self._ask(request, progress))
            except PlaceRefusedError as error:
                return self._no_place(progress, error)
            self._metrics.place_granted(grant.waited_ms / 1000)
            ended = EndNotice()
            try:
                outcome = await self._attempt(request, grant, progress, ended)
            finally:
                self._admission.ended(
                    request.id,
                    ended.gap_ms,
                    ended.full_engine,
                    ended.failed_engine,
                    unreachable=ended.unreachable,
                    made_tokens=ended.made_tokens,
                    error_answer=ended.error_answer,
                )
            if outcome is not None:
                return outcome

    def _ask(self, request: CallerRequest, progress: StreamProgress) -> RunRequest:
        prompt = request.facts.prompt or PromptFacts(1, 1, 1)
        now_s = self._clock.monotonic()
        waited_ms = (now_s - request.arrived_s) * 1000
        route = request.route
        patience_ms = caller_patience_ms(route)
        priority = route.priority
        if progress.first_event_s is not None:
            # The caller has a part of the answer; the rest is worth more to
            # it than a new answer to another, as long as it waits.
            patience_ms -= int((now_s - progress.last_event_s) * 1000)
            objective_ms = float(patience_ms)
            priority = RESUME_PRIORITY
        else:
            objective_ms = self._ages.objective_left_ms(request) - waited_ms
            patience_ms -= int(waited_ms)
        made_tokens = self._tokens(request, progress.splitter.events)
        return RunRequest(
            request.id,
            request.service,
            prompt.prompt_tokens,
            max(1, prompt.expected_tokens - made_tokens),
            priority,
            int(objective_ms),
            max(0, min(patience_ms, request.left_ms(now_s))),
            request.left_ms(now_s),
            tuple(sorted(progress.excluded)),
            route.max_gap_ms,
            tuple(sorted(progress.barred | self._starter.barred(request))),
        )

    def _tokens(self, request: CallerRequest, events: int) -> int:
        spec = self._beliefs.engine_spec(request.service)
        return events * (spec.tokens_per_event if spec else 1)

    async def _attempt(
        self,
        request: CallerRequest,
        grant: RunGrant,
        progress: StreamProgress,
        ended: EndNotice,
    ) -> StreamOutcome | None:
        """Use one place; return the outcome, or None to ask for another."""
        entry = self._starter.entry(request, grant.decode_engine, grant.decode_address)
        if entry is None:
            progress.barred.add(grant.decode_engine)
            return self._after_not_run(request, progress, "engine_leaves")
        if grant.reserve and not await self._starter.reserve(request, entry, progress):
            ended.full_engine = entry.id
            return self._after_not_run(request, progress, "not_reserved")
        self._starter.drop_old_prefill(request, progress)
        to_read = progress.prefill is None and progress.first_event_s is None
        if grant.prefill_engine and not to_read:
            self._admission.prefilled(request.id, NOT_READ)
        if to_read and not await self._starter.prefill(request, grant, progress):
            return self._after_not_run(request, progress, "prompt_not_read")
        try:
            stream = await self._starter.open(request, entry, progress)
        except BudgetSpentError:
            return self._ended(progress, "retry_budget")
        except NotRunError as error:
            if error.shed:
                ended.full_engine = entry.id
            if error.unreachable:
                ended.failed_engine, ended.unreachable = entry.id, True
                progress.excluded.add(entry.id)
            return self._after_not_run(request, progress, error.reason)
        except RunFailedError as error:
            progress.runs += 1
            ended.failed_engine = entry.id
            return self._after_break(request, progress, entry.id, error.reason)
        progress.runs += 1
        if stream.status >= 500:
            ended.failed_engine, ended.error_answer = entry.id, True
        if stream.status >= 500 and self._may_go_on(request, progress):
            stream.abort_if_open()
            reason = f"status_{stream.status}"
            return self._after_break(request, progress, entry.id, reason)
        return await self._forward(request, stream, progress, ended)

    async def _forward(
        self,
        request: CallerRequest,
        stream: OpenStream,
        progress: StreamProgress,
        ended: EndNotice,
    ) -> StreamOutcome | None:
        """Pass events on to the end of the answer or to a break."""
        splitter = progress.splitter
        splitter.restart()
        progress.events_before = splitter.events
        try:
            if not stream.is_event_stream:
                return await self._pass_on_whole(stream, progress)
            async for events in stream.events(
                splitter,
                silence_limits(request.route),
                lambda silent_ms: self._admission.stalled(request.id, silent_ms),
            ):
                await self._pass_on(request, stream, events, progress)
            stream.finish()
        except (ConnectionBrokenError, RunFailedError) as error:
            ended.failed_engine, ended.error_answer = stream.engine_id, False
            return self._after_break(request, progress, stream.engine_id, str(error))
        finally:
            stream.abort_if_open()
            run_events = splitter.events - progress.events_before
            ended.gap_ms = stream.mean_gap_ms(run_events)
        if progress.events_before == 0:
            ended.made_tokens = self._tokens(request, run_events)
        if not progress.sink.started:
            await progress.sink.start(stream.status, stream.headers)
        return await self._complete(progress, stream.status)

    async def _pass_on_whole(
        self, stream: OpenStream, progress: StreamProgress
    ) -> StreamOutcome:
        """Pass on an answer that is no event stream, such as an error."""
        with self._memory.answer() as answer:
            async for part in stream.body():
                answer.add(part)
            body = answer.whole()
        stream.finish()
        await progress.sink.start(stream.status, stream.headers)
        await progress.sink.write(body)
        return await self._complete(progress, stream.status)

    async def _pass_on(
        self,
        request: CallerRequest,
        stream: OpenStream,
        events: bytes,
        progress: StreamProgress,
    ) -> None:
        now_s = self._clock.monotonic()
        if progress.first_event_s is None:
            progress.first_event_s = now_s
        if stream.events_passed == 0:
            # Tells the owner that a prompt is read if no other engine did.
            self._admission.prefilled(request.id, stream.head_ms)
        stream.events_passed += 1
        if progress.last_event_s:
            progress.max_gap_s = max(progress.max_gap_s, now_s - progress.last_event_s)
        progress.last_event_s = now_s
        run_events = progress.splitter.events - progress.events_before
        self._admission.progressed(
            request.id,
            self._tokens(request, run_events),
            stream.mean_gap_ms(run_events),
        )
        if not progress.sink.started:
            await progress.sink.start(stream.status, stream.headers)
        await progress.sink.write(events)

    async def _complete(self, progress: StreamProgress, status: int) -> StreamOutcome:
        await progress.sink.finish()
        code = ResultCode.OK if status < 500 else ResultCode.ENGINE_FAILED
        return StreamOutcome(code, "complete")

    def _after_not_run(
        self, request: CallerRequest, progress: StreamProgress, reason: str
    ) -> StreamOutcome | None:
        progress.not_run += 1
        log_event(
            logger,
            "run_rejected",
            request=request.id,
            reason=reason,
            times=progress.not_run,
        )
        if progress.not_run > MAX_NOT_RUN:
            return self._ended(progress, reason)
        return None

    def _may_go_on(self, request: CallerRequest, progress: StreamProgress) -> bool:
        """Tell whether another engine may continue or begin anew."""
        route, splitter = request.route, progress.splitter
        if not route.may_repeat or progress.runs >= route.max_engines:
            return False
        if not self._rules.resumption and splitter.events > 0:
            return False
        return splitter.events == 0 or splitter.last_id is not None

    def _after_break(
        self,
        request: CallerRequest,
        progress: StreamProgress,
        engine_id: str,
        reason: str,
    ) -> StreamOutcome | None:
        """Decide whether a broken run continues elsewhere."""
        may_go_on = self._may_go_on(request, progress)
        log_event(
            logger,
            "run_broken",
            request=request.id,
            engine=engine_id,
            reason=reason,
            runs=progress.runs,
            last_event=progress.splitter.last_id,
            continues=may_go_on,
        )
        progress.excluded.add(engine_id)
        return None if may_go_on else self._ended(progress, reason)

    def _no_place(
        self, progress: StreamProgress, error: PlaceRefusedError
    ) -> StreamOutcome:
        if progress.runs == 0:
            answer = refusal(
                ResultCode.NO_CAPACITY_IN_TIME, error.reason, error.retry_after_s
            )
            return StreamOutcome(answer.code, error.reason, answer)
        return self._ended(progress, error.reason)

    def _ended(
        self, progress: StreamProgress, reason: str, *, timed_out: bool = False
    ) -> StreamOutcome:
        """Return the outcome of a request that gets no complete answer."""
        if progress.sink.started:
            return StreamOutcome(ResultCode.STREAM_INTERRUPTED, reason)
        if progress.runs == 0 and not timed_out:
            answer = refusal(ResultCode.NO_CAPACITY_IN_TIME, reason, NO_PLACE_RETRY_S)
        elif progress.sends == 0:
            answer = refusal(ResultCode.DEADLINE_BEFORE_START, reason, NO_PLACE_RETRY_S)
        else:
            code = ResultCode.ENGINE_FAILED
            if timed_out:
                code = ResultCode.DEADLINE_EXCEEDED
            answer = failure(code, reason, timed_out=timed_out)
        return StreamOutcome(answer.code, reason, answer)
