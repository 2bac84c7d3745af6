"""At-most-once execution of non-repeatable requests.

One record in the table service for each tenant, service and idempotency key
decides whether the request may be sent. Its states are::

    absent -> intent -> dispatched -> done
                 |           |-> cancelled -> intent (higher fence)
                 |           `-> unknown -> done or cancelled (own holder)
                 `-> intent of another attempt (higher fence)

The holder of an attempt is the entry host process that made it. Every
transition is a conditional write that expects the version last read, so at
most one host can make it. An attempt is identified by its request id and its
fence, a fencing token that each new attempt raises. When the response to a
write is lost, the record is read back to find out whether it took effect.

Invariants:

- A call sends only after its own transition from ``intent`` to
  ``dispatched`` is known to have taken effect, and then only once.
- A new attempt starts only from ``absent``, ``cancelled``, or another
  attempt's ``intent``, none of which can have run. An attempt whose
  ``intent`` was replaced fails its transition to ``dispatched`` because the
  version has changed.
- ``cancelled`` is written only with proof that the attempt did not run:
  by its holder, which is the only sender and has not sent, or by another
  host after the backend server stated, while raising the fence, that it
  never accepted a request with this key.
- Only the holder replaces ``unknown``, because only the holder can still
  learn the outcome.

The holder checks its clock again after the transition to ``dispatched``. The
check keeps work from starting after the deadline. It does not prove that
other hosts consider the holder alive, since the process can also be paused
after the check. A sender that is paused there is stopped by the fence. At a
backend server that checks no fences it remains the only sender, because the
other hosts record ``unknown``.

"Not run" means that nothing ran under the key of the call. It is reported
only when the record was read, or when no earlier call can have had the key:
the caller gave no key, or states that this is the first call with it. When
the record shows another attempt that may run, or could not be read, the
execution is reported as "unknown" instead.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from .backend_client import BackendClient, BackendResponse
from .clock import Clock
from .group_commit import GroupCommit
from .log_events import log_event
from .request_ids import RequestId
from .request_records import (
    Record,
    RecordedOutcome,
    RecordState,
    RecordStore,
    StoredRecord,
    StoreUnavailable,
    TransitionApplied,
    TransitionFailure,
    VersionConflict,
    record_key,
)
from .result_codes import Execution, ResultCode, RouterError
from .settings import Options
from .table_client import TableClient
from .task_errors import log_task_error

__all__ = [
    "IdempotencyGuard",
    "IdempotentCall",
    "RecordState",
    "RecordedOutcome",
    "record_key",
]

POLL_INITIAL_DELAY_S = 0.05
POLL_MAX_DELAY_S = 0.5
FINALIZE_INITIAL_DELAY_S = 0.1
FINALIZE_MAX_DELAY_S = 5.0
RETRY_AFTER_S = 1.0

HTTP_PRECONDITION_FAILED = 412

logger = logging.getLogger(__name__)

Value = TypeVar("Value")

Send = Callable[[int], Awaitable[BackendResponse]]
IsLive = Callable[[str, int], bool]


@dataclass(frozen=True)
class IdempotentCall:
    """A call of a non-repeatable service.

    ``deadline_s`` is in monotonic seconds. Without a ``key`` the request id
    is the key. ``server_url`` is the backend server that ``send`` uses; the
    fence of this attempt is raised there. ``first_attempt`` is the caller's
    statement that no earlier call had its key.
    """

    tenant: str
    service: str
    key: str | None
    request_id: str
    body_hash: str
    deadline_s: float
    server_url: str
    checks_fencing: bool
    first_attempt: bool = False

    @property
    def may_have_predecessor(self) -> bool:
        """Return whether an earlier call can have had the same key."""
        return self.key is not None and not self.first_attempt


_CallResult = Result[RecordedOutcome, RouterError]


class _Phase(Enum):
    """Progress of a call; ``run`` reads it at the deadline."""

    BEFORE_SEND = "before_send"
    OTHER_ATTEMPT = "other_attempt"
    SENT = "sent"


@dataclass
class _Progress:
    """State that ``run`` and the task of the call share."""

    phase: _Phase = _Phase.BEFORE_SEND
    abandoned: bool = False
    may_send: bool = True
    record_seen: bool = False
    outcome: RecordedOutcome | None = None


@dataclass
class _Backoff:
    """Exponential backoff: the delay doubles up to a limit, in seconds."""

    delay_s: float
    limit_s: float

    async def wait(self, max_delay_s: float | None = None) -> None:
        """Sleep for the current delay, then double it."""
        delay_s = (
            self.delay_s if max_delay_s is None else min(self.delay_s, max_delay_s)
        )
        await asyncio.sleep(max(0.0, delay_s))
        self.delay_s = min(self.delay_s * 2, self.limit_s)


class IdempotencyGuard:
    """Runs non-repeatable requests at most once for each key."""

    def __init__(
        self,
        table: TableClient,
        backend: BackendClient,
        clock: Clock,
        is_live: IsLive,
        *,
        intent_lease_s: float,
        commit: GroupCommit | None = None,
    ) -> None:
        self._backend = backend
        self._clock = clock
        self._is_live = is_live
        self._intent_lease_s = intent_lease_s
        self._records = RecordStore(table, commit or GroupCommit(table))
        self._tasks: set[asyncio.Task[Any]] = set()
        self._active_attempts: Counter[str] = Counter()

    @classmethod
    def from_config(
        cls,
        options: Options,
        *,
        table: TableClient,
        backend: BackendClient,
        clock: Clock,
        is_live: IsLive,
    ) -> "IdempotencyGuard":
        """Create the guard of an entry host from its settings."""
        return cls(
            table, backend, clock, is_live, intent_lease_s=options.timing.intent_lease_s
        )

    @property
    def unfinished_count(self) -> int:
        """Return the number of calls and background writes in progress."""
        return len(self._tasks)

    async def run(self, call: IdempotentCall, send: Send) -> _CallResult:
        """Run a request at most once and return its outcome.

        ``send`` sends the request once with the given fence; it raises
        ``RouterError`` with ``BACKEND_UNREACHABLE`` only when no byte was
        sent. If the caller is cancelled before the request is sent, the
        attempt ends without sending; after that, the work continues.
        """
        progress = _Progress()
        task = self._spawn(call.request_id, self._run_attempts(call, send, progress))
        remaining_s = max(0.0, call.deadline_s - self._clock.monotonic())
        try:
            await asyncio.wait({task}, timeout=remaining_s)
        except asyncio.CancelledError:
            progress.abandoned = True
            raise
        if not task.done():
            call_result = self._result_at_deadline(progress)
        elif task.cancelled() or task.exception() is not None:
            call_result = self._result_of_failed_task(progress, task)
        else:
            call_result = task.result()
        if progress.record_seen or not call.may_have_predecessor:
            return call_result
        return call_result.alt(_with_unknown_execution)

    async def read_recorded_result(self, call: IdempotentCall) -> _CallResult | None:
        """Return the result that the record holds for an earlier call.

        Used for a call that cannot be sent now. None means that nothing ran
        under its key.
        """
        key = record_key(call.tenant, call.service, call.key, call.request_id)
        match await self._records.read(key):
            case StoredRecord(record=Record() as record):
                pass
            case StoreUnavailable() if call.may_have_predecessor:
                refusal = RouterError(ResultCode.STORE_UNAVAILABLE)
                return Failure(_with_unknown_execution(refusal))
            case _:
                return None
        if record.body_hash != call.body_hash:
            return Failure(RouterError(ResultCode.IDEMPOTENCY_KEY_REUSED))
        match record.state:
            case RecordState.CANCELLED:
                return None
            case RecordState.DONE:
                return record.recorded_outcome()
            case RecordState.UNKNOWN:
                return _outcome_unknown()
        return _in_progress()

    async def drain(self, limit_s: float | None = None) -> int:
        """Wait for all work in progress; return how many tasks remain.

        ``limit_s`` bounds the wait; None waits without a limit.
        """
        deadline_s = None if limit_s is None else self._clock.monotonic() + limit_s
        while self._tasks:
            remaining_s = None
            if deadline_s is not None:
                remaining_s = deadline_s - self._clock.monotonic()
                if remaining_s <= 0:
                    break
            await asyncio.wait(self._tasks, timeout=remaining_s)
        return len(self._tasks)

    def _spawn(
        self, attempt: str, work: Coroutine[Any, Any, Value]
    ) -> "asyncio.Task[Value]":
        """Start a task for an attempt that continues after its caller ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        self._active_attempts[attempt] += 1
        task.add_done_callback(lambda done: self._remove_task(attempt, done))
        # Its caller may have ended before it.
        task.add_done_callback(log_task_error)
        return task

    def _remove_task(self, attempt: str, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        self._active_attempts[attempt] -= 1
        if not self._active_attempts[attempt]:
            del self._active_attempts[attempt]

    # Results of calls whose task has not returned one.

    def _result_at_deadline(self, progress: _Progress) -> _CallResult:
        """Return the result of a call whose task is still running."""
        if progress.outcome is not None:
            return Success(progress.outcome)
        match progress.phase:
            case _Phase.SENT:
                detail = "the backend server has not answered before the deadline"
                return Failure(RouterError(ResultCode.OUTCOME_UNKNOWN, detail))
            case _Phase.OTHER_ATTEMPT:
                return _in_progress()
            case _Phase.BEFORE_SEND:
                # The task checks this flag without an await between the
                # check and the send, so it never sends from here on.
                progress.abandoned = True
                return _deadline_exceeded()

    def _result_of_failed_task(
        self, progress: _Progress, task: "asyncio.Task[Any]"
    ) -> _CallResult:
        if progress.outcome is not None:
            return Success(progress.outcome)
        error = None if task.cancelled() else task.exception()
        log_event(
            logger,
            "idempotent_call_failed",
            level=logging.ERROR,
            phase=progress.phase.value,
            error=repr(error),
        )
        if progress.phase is _Phase.BEFORE_SEND:
            execution = Execution.NOT_RUN
        else:
            execution = Execution.UNKNOWN
        return Failure(
            RouterError(
                ResultCode.INTERNAL_ERROR,
                "the call ended unexpectedly",
                execution=execution,
            )
        )

    # Attempts of one call; they run in a task of the guard.

    async def _run_attempts(
        self, call: IdempotentCall, send: Send, progress: _Progress
    ) -> _CallResult:
        key = record_key(call.tenant, call.service, call.key, call.request_id)
        poll = _Backoff(POLL_INITIAL_DELAY_S, POLL_MAX_DELAY_S)
        stored: StoredRecord | None = StoredRecord()
        while True:
            if stored is None:
                match await self._records.read(key):
                    case StoreUnavailable():
                        return self._result_when_store_unavailable(progress)
                    case current:
                        stored = current
                        progress.record_seen = True
            if self._must_stop(call, progress):
                return self._result_when_stopped(progress, stored)
            call_result = await self._process_record(key, call, send, progress, stored)
            match call_result:
                case VersionConflict(current):
                    stored = current
                    progress.record_seen = True
                case StoreUnavailable():
                    return self._result_when_store_unavailable(progress)
                case None:
                    stored = None
                    remaining_s = call.deadline_s - self._clock.monotonic()
                    await poll.wait(max_delay_s=remaining_s)
                case _:
                    return call_result

    async def _process_record(
        self,
        key: str,
        call: IdempotentCall,
        send: Send,
        progress: _Progress,
        stored: StoredRecord,
    ) -> "_CallResult | TransitionFailure | None":
        """Act on the state of the record.

        None means that the caller waits and reads the record again.
        """
        record = stored.record
        progress.phase = _Phase.BEFORE_SEND
        if record is None:
            return await self._make_attempt(key, call, send, progress, stored)
        if record.body_hash != call.body_hash:
            return Failure(RouterError(ResultCode.IDEMPOTENCY_KEY_REUSED))
        match record.state:
            case RecordState.DONE:
                return record.recorded_outcome()
            case RecordState.UNKNOWN:
                return _outcome_unknown()
            case RecordState.CANCELLED:
                return await self._make_attempt(key, call, send, progress, stored)
            case RecordState.INTENT:
                if self._is_replaceable_intent(record, call):
                    return await self._make_attempt(key, call, send, progress, stored)
                progress.phase = _Phase.OTHER_ATTEMPT
                return None
            case RecordState.DISPATCHED:
                progress.phase = _Phase.OTHER_ATTEMPT
                if self._holder_is_live(record, call):
                    return None
                return await self._resolve_dead_holder(key, stored.version, record)

    async def _make_attempt(
        self,
        key: str,
        call: IdempotentCall,
        send: Send,
        progress: _Progress,
        stored: StoredRecord,
    ) -> "_CallResult | TransitionFailure":
        """Make an attempt; the attempt in ``stored`` cannot have run."""
        if not progress.may_send:
            detail = "another attempt raised the fence"
            return _refusal(ResultCode.CONFLICTING_ATTEMPT, detail)
        fence = 1 if stored.record is None else stored.record.fence + 1
        intent = Record(
            RecordState.INTENT,
            call.request_id,
            fence,
            call.body_hash,
            call.server_url,
            call.checks_fencing,
            self._clock.wall_ms(),
        )
        match await self._records.apply_transition(key, stored.version, intent):
            case TransitionApplied(intent_version):
                progress.record_seen = True
            case failure:
                return failure
        dispatched = replace(intent, state=RecordState.DISPATCHED)
        cancelled = replace(intent, state=RecordState.CANCELLED)
        if self._must_stop(call, progress):
            # The write of the intent took too long, or the process was
            # paused after it; nothing was sent.
            return await self._cancel(
                key, intent_version, cancelled, _deadline_exceeded()
            )
        match await self._records.apply_transition(key, intent_version, dispatched):
            case TransitionApplied(version):
                pass
            case StoreUnavailable():
                # The write may have taken effect, but nothing is sent.
                self._spawn(cancelled.attempt, self._finalize_record(key, cancelled))
                return _refusal(ResultCode.STORE_UNAVAILABLE, "before the dispatch")
            case failure:
                return failure
        if self._must_stop(call, progress):
            return await self._cancel(key, version, cancelled, _deadline_exceeded())
        progress.phase = _Phase.SENT
        return await self._send(key, version, dispatched, send, progress)

    async def _send(
        self,
        key: str,
        version: int,
        dispatched: Record,
        send: Send,
        progress: _Progress,
    ) -> "_CallResult | TransitionFailure":
        """Send the request once and record the outcome."""
        cancelled = replace(dispatched, state=RecordState.CANCELLED)
        try:
            response = await send(dispatched.fence)
        except RouterError as error:
            if error.code is ResultCode.BACKEND_UNREACHABLE:
                progress.phase = _Phase.BEFORE_SEND
                return await self._cancel(key, version, cancelled, Failure(error))
            return await self._record_unknown(key, version, dispatched)
        except Exception as error:
            log_event(
                logger, "idempotent_send_failed", level=logging.ERROR, error=repr(error)
            )
            return await self._record_unknown(key, version, dispatched)
        if dispatched.checks_fencing and response.status == HTTP_PRECONDITION_FAILED:
            progress.may_send = False
            progress.phase = _Phase.OTHER_ATTEMPT
            _log_attempt("idempotent_attempt_fenced", dispatched)
            return await self._cancel_fenced(key, version, cancelled)
        outcome = RecordedOutcome(
            response.status, response.content_type, response.body, dispatched.attempt
        )
        progress.outcome = outcome
        done = dispatched.with_outcome(outcome)
        match await self._records.apply_transition(key, version, done):
            case VersionConflict() | StoreUnavailable():
                self._spawn(done.attempt, self._finalize_record(key, done))
        return Success(outcome)

    async def _cancel(
        self, key: str, version: int, cancelled: Record, call_result: _CallResult
    ) -> "_CallResult | TransitionFailure":
        """Record that the own attempt did not run and return its result."""
        match await self._records.apply_transition(key, version, cancelled):
            case VersionConflict() as conflict if not conflict.current.belongs_to(
                cancelled
            ):
                # Another attempt replaced this one; its state decides the
                # result.
                return conflict
            case VersionConflict() | StoreUnavailable():
                self._spawn(cancelled.attempt, self._finalize_record(key, cancelled))
        return call_result

    async def _cancel_fenced(
        self, key: str, version: int, cancelled: Record
    ) -> "_CallResult | TransitionFailure":
        """Record that the backend server refused the fence of the attempt.

        Another host raised the fence and may have started an attempt, so
        "not run" is reported only when the record shows that it has not.
        """
        match await self._records.apply_transition(key, version, cancelled):
            case TransitionApplied():
                return _refusal(ResultCode.CONFLICTING_ATTEMPT, "stale fence")
            case VersionConflict() as conflict if not conflict.current.belongs_to(
                cancelled
            ):
                return conflict
        self._spawn(cancelled.attempt, self._finalize_record(key, cancelled))
        return _in_progress()

    async def _record_unknown(
        self, key: str, version: int, dispatched: Record
    ) -> _CallResult:
        """Record that the outcome of the attempt is unknown."""
        unknown = replace(dispatched, state=RecordState.UNKNOWN)
        _log_attempt("idempotent_outcome_unknown", dispatched)
        match await self._records.apply_transition(key, version, unknown):
            case VersionConflict() | StoreUnavailable():
                self._spawn(unknown.attempt, self._finalize_record(key, unknown))
        return _outcome_unknown()

    async def _resolve_dead_holder(
        self, key: str, version: int, record: Record
    ) -> "_CallResult | TransitionFailure | None":
        """Determine the state of an attempt whose holder has died.

        Raises the fence at a backend server that checks fences. If the
        server never accepted a request with the key, the attempt becomes
        ``cancelled``, otherwise ``unknown``.
        """
        _log_attempt("idempotent_holder_dead", record)
        if record.checks_fencing:
            fence = record.fence + 1
            try:
                was_accepted = await self._backend.raise_fence(
                    record.server_url, key, fence
                )
            except RouterError:
                # The record stays unchanged, so that a later call can ask
                # the backend server again.
                return _outcome_unknown()
            if not was_accepted:
                cancelled = replace(record, state=RecordState.CANCELLED)
                match await self._records.apply_transition(key, version, cancelled):
                    case TransitionApplied(new_version):
                        return VersionConflict(StoredRecord(new_version, cancelled))
                    case failure:
                        return failure
        unknown = replace(record, state=RecordState.UNKNOWN)
        match await self._records.apply_transition(key, version, unknown):
            case VersionConflict() as conflict:
                return conflict
        return _outcome_unknown()

    # Conditions.

    def _must_stop(self, call: IdempotentCall, progress: _Progress) -> bool:
        """Return whether the caller has gone or the deadline has passed."""
        return progress.abandoned or self._clock.monotonic() >= call.deadline_s

    def _result_when_stopped(
        self, progress: _Progress, stored: StoredRecord
    ) -> _CallResult:
        """Return the result of a call that stops without a new attempt."""
        record = stored.record
        if record is not None and record.state is RecordState.DONE:
            return record.recorded_outcome()
        if progress.phase is _Phase.OTHER_ATTEMPT or _may_run(record):
            return _in_progress()
        return _deadline_exceeded()

    def _result_when_store_unavailable(self, progress: _Progress) -> _CallResult:
        if progress.phase is _Phase.OTHER_ATTEMPT:
            return _in_progress()
        return _refusal(ResultCode.STORE_UNAVAILABLE, "this call did not run")

    def _is_replaceable_intent(self, record: Record, call: IdempotentCall) -> bool:
        """Return whether an intent has expired or its holder has died.

        This only avoids unnecessary conflicts. The version protects the
        record even when the clocks of two hosts differ.
        """
        age_s = (self._clock.wall_ms() - record.created_ms) / 1000
        return age_s >= self._intent_lease_s or not self._holder_is_live(record, call)

    def _holder_is_live(self, record: Record, call: IdempotentCall) -> bool:
        """Return whether the holder of an attempt may still work on it."""
        try:
            holder = RequestId.parse(record.attempt)
            own = RequestId.parse(call.request_id)
        except ValueError:
            return False
        if (holder.host_id, holder.incarnation) == (own.host_id, own.incarnation):
            # The attempt belongs to this process. If no task works on it,
            # its task ended without finalizing the record.
            is_own = record.attempt == call.request_id
            return not is_own and record.attempt in self._active_attempts
        return self._is_live(holder.host_id, holder.incarnation)

    async def _finalize_record(self, key: str, final: Record) -> None:
        """Write the final state of the own attempt, with retries."""
        backoff = _Backoff(FINALIZE_INITIAL_DELAY_S, FINALIZE_MAX_DELAY_S)
        while True:
            match await self._records.read(key):
                case StoredRecord() as current:
                    if not current.belongs_to(final):
                        break
                    if await self._try_finalize(key, current, final):
                        return
            await backoff.wait()
        # The record now belongs to another attempt, whose state and outcome
        # are never overwritten.
        if final.state is RecordState.DONE:
            _log_attempt("outcome_not_recorded", final, level=logging.ERROR)

    async def _try_finalize(
        self, key: str, current: StoredRecord, final: Record
    ) -> bool:
        """Write the final state once; return whether no retry is needed."""
        record = current.record
        if record is None or record.state in (final.state, RecordState.DONE):
            return True
        if record.state is RecordState.CANCELLED and final.state is RecordState.UNKNOWN:
            # Another host has proved in the meantime that the attempt did
            # not run.
            return True
        match await self._records.apply_transition(key, current.version, final):
            case TransitionApplied():
                return True
        return False


def _log_attempt(event: str, record: Record, level: int = logging.WARNING) -> None:
    log_event(
        logger,
        event,
        level=level,
        attempt=record.attempt,
        fence=record.fence,
        state=record.state.value,
    )


def _may_run(record: Record | None) -> bool:
    """Return whether a recorded attempt has run or can still run."""
    return record is not None and record.state is not RecordState.CANCELLED


def _refusal(code: ResultCode, detail: str) -> _CallResult:
    return Failure(RouterError(code, detail, retry_after_s=RETRY_AFTER_S))


def _with_unknown_execution(error: RouterError) -> RouterError:
    """Return the error; a "not run" becomes "unknown".

    Without the record it is not known whether an earlier call ran.
    """
    if error.execution is not Execution.NOT_RUN:
        return error
    detail = f"{error.detail}; an earlier call with its key may have run".lstrip("; ")
    return RouterError(
        error.code,
        detail,
        retry_after_s=error.retry_after_s,
        execution=Execution.UNKNOWN,
    )


def _deadline_exceeded() -> _CallResult:
    detail = "the deadline passed before the request was sent"
    return Failure(RouterError(ResultCode.DEADLINE_BEFORE_START, detail))


def _in_progress() -> _CallResult:
    return _refusal(ResultCode.REQUEST_IN_PROGRESS, "another attempt may run")


def _outcome_unknown() -> _CallResult:
    detail = "an attempt may have run"
    return Failure(RouterError(ResultCode.OUTCOME_UNKNOWN, detail))
