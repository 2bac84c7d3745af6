"""Relays one stream: a place, the prompt, the events, and what follows breaks.

A stream that may not be resumed runs once: it is sent again only after an
answer that proves that it did not run. One that may be resumed continues at
another engine after the last whole event that the caller has, within the
route's limit and the retry budget.
"""

import asyncio
import logging
from dataclasses import dataclass, field

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import RunGrant, RunRequest
from kumquat_core.result_codes import ResultCode

from .admission import Admission, PlaceRefusedError
from .answer_sink import AnswerSink
from .beliefs import Beliefs
from .caller_request import CallerRequest, PromptFacts
from .engine_calls import (
    EngineCalls,
    NotRunError,
    OpenStream,
    RunFailedError,
    RunStart,
)
from .engine_registry import EngineEntry
from .event_stream import EventSplitter
from .prefill_lapses import PrefillLapses
from .protocols import PrefillResult
from .relay_answers import Answer, failure, refusal
from .relay_settings import parse_address
from .request_age import RequestAge
from .retry_share import RetryShare

__all__ = ["StreamOutcome", "StreamRelay"]

# Callers leave a stream that is silent for the longest of these.
MIN_PATIENCE_MS = 2000
PATIENCE_OBJECTIVES = 4
PATIENCE_GAPS = 8

# A send that proves not to have run is repeated this often at most.
MAX_NOT_RUN = 4
NO_PLACE_RETRY_S = 0.4
# Room for the first events; the memory for the others is freed by other runs.
RESERVED_OUTPUT_TOKENS = 500
# Streams that go on go before all that have not begun.
RESUME_PRIORITY = -1
# Part of the life of a prefill result in which it is still sent elsewhere.
PREFILL_USE_SHARE = 0.7

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class StreamOutcome:
    """How a stream ended; ``answer`` is set when nothing was passed on."""

    code: ResultCode
    reason: str
    answer: Answer | None = None


class BudgetSpentError(Exception):
    """A further send would exceed this host's share of the retry budget."""


@dataclass
class _Progress:
    """What has happened to a stream so far."""

    sink: AnswerSink
    splitter: EventSplitter = field(default_factory=EventSplitter)
    not_run: int = 0
    runs: int = 0
    sends: int = 0
    excluded: set[str] = field(default_factory=set)
    prefill: PrefillResult | None = None
    prefilled_s: float = float("-inf")
    hold: str = ""
    hold_entry: EngineEntry | None = None
    prefills: int = 0
    first_event_s: float | None = None
    last_event_s: float = 0.0
    max_gap_s: float = 0.0


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
    ) -> None:
        self._lapses = PrefillLapses(clock)
        self._clock = clock
        self._beliefs = beliefs
        self._admission = admission
        self._calls = calls
        self._retries = retries
        self._ages = ages

    async def run(self, request: CallerRequest, sink: AnswerSink) -> StreamOutcome:
        """Serve a request to its end; raises ``CallerGoneError``."""
        progress = _Progress(sink)
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

    def _log_pace(self, request: CallerRequest, progress: _Progress) -> None:
        first_s = progress.first_event_s
        if first_s is None:
            return
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
        self, request: CallerRequest, progress: _Progress
    ) -> StreamOutcome:
        while True:
            try:
                grant = await self._admission.place(self._ask(request, progress))
            except PlaceRefusedError as error:
                return self._no_place(progress, error)
            ended = _EndNotice()
            try:
                outcome = await self._attempt(request, grant, progress, ended)
            finally:
                self._admission.ended(
                    request.id,
                    ended.gap_ms,
                    ended.full_engine,
                    ended.failed_engine,
                    unreachable=ended.unreachable,
                )
            if outcome is not None:
                return outcome

    def _ask(self, request: CallerRequest, progress: _Progress) -> RunRequest:
        prompt = request.facts.prompt or PromptFacts(1, 1, 1)
        now_s = self._clock.monotonic()
        waited_ms = (now_s - request.arrived_s) * 1000
        route = request.route
        patience_ms = max(
            MIN_PATIENCE_MS,
            PATIENCE_OBJECTIVES * route.objective_ms,
            PATIENCE_GAPS * route.max_gap_ms,
        )
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
        return RunRequest(
            request.id,
            request.service,
            prompt.prompt_tokens,
            max(1, prompt.expected_tokens - self._made_tokens(request, progress)),
            priority,
            int(objective_ms),
            max(0, min(patience_ms, request.left_ms(now_s))),
            tuple(sorted(progress.excluded)),
        )

    def _made_tokens(self, request: CallerRequest, progress: _Progress) -> int:
        spec = self._beliefs.engine_spec(request.service)
        return progress.splitter.events * (spec.tokens_per_event if spec else 1)

    async def _attempt(
        self,
        request: CallerRequest,
        grant: RunGrant,
        progress: _Progress,
        ended: "_EndNotice",
    ) -> StreamOutcome | None:
        """Use one place; return the outcome, or None to ask for another."""
        entry = self._entry(request, grant.decode_engine, grant.decode_address)
        if entry is None:
            progress.excluded.add(grant.decode_engine)
            return self._after_not_run(request, progress, "engine_leaves")
        if grant.reserve and not await self._reserve(request, entry, progress):
            ended.full_engine = entry.id
            return self._after_not_run(request, progress, "not_reserved")
        self._drop_old_prefill(request, progress)
        to_read = progress.prefill is None and progress.first_event_s is None
        if to_read and not await self._prefill(request, grant, progress):
            progress.excluded.add(grant.prefill_engine)
            return self._after_not_run(request, progress, "prompt_not_read")
        try:
            stream = await self._open(request, entry, progress)
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
        may_go_on = (
            request.route.may_repeat and progress.runs < request.route.max_engines
        )
        if stream.status >= 500 and may_go_on:
            stream.abort_if_open()
            ended.failed_engine = entry.id
            reason = f"status_{stream.status}"
            return self._after_break(request, progress, entry.id, reason)
        return await self._forward(request, stream, progress, ended)

    def _drop_old_prefill(self, request: CallerRequest, progress: _Progress) -> None:
        """Forget a prefill result that has lapsed before a place was found."""
        spec = self._beliefs.engine_spec(request.service)
        ttl_s = PREFILL_USE_SHARE * (spec.handle_ttl_s if spec else 0.0)
        if self._clock.monotonic() - progress.prefilled_s > ttl_s:
            progress.prefill = None

    async def _open(
        self, request: CallerRequest, entry: EngineEntry, progress: _Progress
    ) -> OpenStream:
        """Start a run; a prefill result that is gone is fetched instead.

        An engine refuses alike when it is full and when the result is gone.
        The prompt's parts often stay at the engine that read them.
        """
        source, progress.prefill = progress.prefill, None
        hold, progress.hold = progress.hold, ""
        last_id = progress.splitter.last_id
        lapses = source is not None and self._lapses.expected(source.address)
        if source is not None and not lapses:
            try:
                start = RunStart(source, None, last_id, hold)
                return await self._send(request, entry, start, progress)
            except NotRunError as error:
                if not error.shed:
                    # The engine has not seen the result; another can take it.
                    progress.prefill = source
                    raise
                # A reservation is used up by the first request that names it.
                hold = ""
        fetch_from = source.address if source is not None else None
        start = RunStart(None, fetch_from, last_id, hold)
        stream = await self._send(request, entry, start, progress)
        if source is not None and not lapses:
            self._lapses.note(source.address)
            log_event(logger, "prefill_lapsed", request=request.id, engine=entry.id)
        return stream

    async def _send(
        self,
        request: CallerRequest,
        entry: EngineEntry,
        start: RunStart,
        progress: _Progress,
    ) -> OpenStream:
        if progress.sends > 0 and not self._retries.try_spend(request.service):
            raise BudgetSpentError
        progress.sends += 1
        try:
            return await self._calls.open_stream(request, entry, start)
        except NotRunError as error:
            if error.unreachable:
                progress.sends -= 1
            raise

    async def _reserve(
        self, request: CallerRequest, entry: EngineEntry, progress: _Progress
    ) -> bool:
        """Reserve the granted place where the owner is not sure of it."""
        spec = self._beliefs.engine_spec(request.service)
        if spec is None or not spec.hold_ttl_ms:
            return True
        prompt = request.facts.prompt or PromptFacts(1, 1, 1)
        tokens = prompt.prompt_tokens + RESERVED_OUTPUT_TOKENS
        try:
            progress.hold = await self._calls.reserve(entry, tokens, spec.hold_ttl_ms)
        except NotRunError as error:
            log_event(
                logger,
                "not_reserved",
                request=request.id,
                engine=entry.id,
                reason=error.reason,
            )
            progress.excluded.add(entry.id)
            return False
        progress.hold_entry = entry
        return bool(progress.hold)

    def _entry(
        self, request: CallerRequest, engine_id: str, address: str
    ) -> EngineEntry | None:
        """Return the granted engine, None if this host knows it is leaving.

        The owner may know an engine that the store has not shown here yet.
        """
        entry = self._beliefs.registry.get(engine_id)
        if entry is not None:
            return None if entry.draining else entry
        if self._beliefs.registry.was_removed(engine_id):
            return None
        return EngineEntry(
            engine_id, request.service, parse_address(address), "", 0, False
        )

    async def _prefill(
        self, request: CallerRequest, grant: RunGrant, progress: _Progress
    ) -> bool:
        """Have the prompt read; return false when that failed.

        Without a prefill engine the decode engine reads the prompt.
        """
        if not grant.prefill_engine:
            return True
        entry = self._entry(request, grant.prefill_engine, grant.prefill_address)
        if entry is None:
            return False
        if progress.prefills > 0 and not self._retries.try_spend(request.service):
            return False
        progress.prefills += 1
        began_s = self._clock.monotonic()
        result = await self._calls.prefill(request, entry)
        took_ms = (self._clock.monotonic() - began_s) * 1000
        self._admission.prefilled(request.id, took_ms if result else 0.0)
        if result is None:
            self._retries.count_unavoidable(request.service)
        progress.prefill = result
        progress.prefilled_s = self._clock.monotonic()
        return result is not None

    async def _forward(
        self,
        request: CallerRequest,
        stream: OpenStream,
        progress: _Progress,
        ended: "_EndNotice",
    ) -> StreamOutcome | None:
        """Pass events on to the end of the answer or to a break."""
        splitter = progress.splitter
        splitter.restart()
        first_count = splitter.events
        try:
            if not stream.is_event_stream:
                await progress.sink.start(stream.status, stream.headers)
                async for chunk in stream.chunks():
                    await progress.sink.write(chunk)
                stream.finish()
                return await self._complete(progress, stream.status)
            async for chunk in stream.chunks(
                request.route.may_repeat,
                lambda silent_ms: self._admission.stalled(request.id, silent_ms),
            ):
                await self._pass_on(request, stream, splitter.feed(chunk), progress)
            stream.finish()
        except RunFailedError as error:
            ended.failed_engine = stream.engine_id
            return self._after_break(request, progress, stream.engine_id, error.reason)
        finally:
            stream.abort_if_open()
            ended.gap_ms = stream.mean_gap_ms(splitter.events - first_count)
        if splitter.rest:
            await self._pass_on(request, stream, splitter.rest, progress)
        if not progress.sink.started:
            await progress.sink.start(stream.status, stream.headers)
        return await self._complete(progress, stream.status)

    async def _pass_on(
        self,
        request: CallerRequest,
        stream: OpenStream,
        events: bytes,
        progress: _Progress,
    ) -> None:
        if not events:
            return
        now_s = self._clock.monotonic()
        if progress.first_event_s is None:
            progress.first_event_s = now_s
        if stream.events_passed == 0:
            # Tells the owner that a prompt is read if no other engine did.
            self._admission.prefilled(request.id, 0.0)
        stream.events_passed += 1
        if progress.last_event_s:
            progress.max_gap_s = max(progress.max_gap_s, now_s - progress.last_event_s)
        progress.last_event_s = now_s
        if not progress.sink.started:
            await progress.sink.start(stream.status, stream.headers)
        await progress.sink.write(events)

    async def _complete(self, progress: _Progress, status: int) -> StreamOutcome:
        await progress.sink.finish()
        code = ResultCode.OK if status < 500 else ResultCode.ENGINE_FAILED
        return StreamOutcome(code, "complete")

    def _after_not_run(
        self, request: CallerRequest, progress: _Progress, reason: str
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

    def _after_break(
        self, request: CallerRequest, progress: _Progress, engine_id: str, reason: str
    ) -> StreamOutcome | None:
        """Decide whether a broken run continues elsewhere."""
        route = request.route
        may_go_on = route.may_repeat and progress.runs < route.max_engines
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

    def _no_place(self, progress: _Progress, error: PlaceRefusedError) -> StreamOutcome:
        if progress.runs == 0:
            answer = refusal(
                ResultCode.NO_CAPACITY_IN_TIME, error.reason, error.retry_after_s
            )
            return StreamOutcome(answer.code, error.reason, answer)
        return self._ended(progress, error.reason)

    def _ended(
        self, progress: _Progress, reason: str, *, timed_out: bool = False
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


@dataclass
class _EndNotice:
    gap_ms: float = 0.0
    full_engine: str = ""
    failed_engine: str = ""
    unreachable: bool = False
