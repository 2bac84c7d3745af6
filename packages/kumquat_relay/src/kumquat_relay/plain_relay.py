"""Relays one plain request to a backend server.

A request that may not be repeated is sent again only when no byte of it was
sent or an answer proves that it did not run. A repeatable one is also sent
again after a failure, within its route's limit and this host's share of the
retry budget. Answers are read whole before they are passed on, so a caller
never sees a part of one.
"""

import asyncio
import logging
from dataclasses import dataclass, field

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.result_codes import ResultCode

from .answer_memory import AnswerMemory
from .caller_request import CallerRequest
from .engine_connection import (
    AnswerHead,
    ConnectionBrokenError,
    EngineConnection,
    SendFailedError,
)
from .engine_health import EngineHealth, Failure
from .engine_notices import EngineNotices
from .engine_pool import EnginePool
from .engine_registry import EngineEntry
from .plain_choice import PlainChoice
from .protocols import EngineDialect, SendOptions
from .relay_answers import Answer, failure, refusal
from .retry_share import RetryShare

__all__ = ["PlainRelay"]

# Enough for an engine restart to show in the store or for another to answer.
NO_SERVER_RETRY_S = 0.5
# Several answers of usual length.
FULL_RETRY_S = 0.25
# An answer that comes this long after the deadline was handed on would not
# reach the caller in time.
MIN_SEND_MS = 5

logger = logging.getLogger(__name__)


class _NotRunError(Exception):
    """The send failed in a way that proves that nothing ran."""


class _MayHaveRunError(Exception):
    """The send failed and the request may have run."""


@dataclass
class _Progress:
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    may_have_run: bool = False
    last_reason: str = "no_server"
    failed_answer: Answer | None = None


class PlainRelay:
    """Sends plain requests and returns their answers."""

    def __init__(
        self,
        clock: Clock,
        pool: EnginePool,
        choice: PlainChoice,
        health: EngineHealth,
        retries: RetryShare,
        dialect: EngineDialect,
        notices: EngineNotices,
        memory: AnswerMemory,
    ) -> None:
        self._notices = notices
        self._memory = memory
        self._clock = clock
        self._pool = pool
        self._choice = choice
        self._health = health
        self._retries = retries
        self._dialect = dialect

    async def run(self, request: CallerRequest) -> Answer:
        """Return the final answer to a request."""
        progress = _Progress()
        self._retries.count_request(request.service)
        try:
            async with asyncio.timeout_at(_loop_time(request, self._clock)):
                return await self._attempts(request, progress)
        except TimeoutError:
            return _timed_out(progress)

    async def _attempts(self, request: CallerRequest, progress: _Progress) -> Answer:
        while True:
            entry = self._choice.choose(request.service, progress.tried)
            if entry is None:
                pause_s = self._choice.pause_left_s(request.service, progress.tried)
                if pause_s is not None and await self._outwait(request, pause_s):
                    continue
                pause_s = self._choice.pause_left_s(request.service, set())
                return _give_up(progress, pause_s)
            if not self._may_send(request, progress):
                return _give_up(progress)
            progress.tried.add(entry.id)
            try:
                answer = await self._send(request, entry, progress)
            except _NotRunError as error:
                progress.last_reason = str(error)
                continue
            except _MayHaveRunError as error:
                progress.may_have_run = True
                progress.last_reason = str(error)
                if not request.route.may_repeat:
                    return _give_up(progress)
                continue
            if answer.status >= 500 and request.route.may_repeat:
                progress.failed_answer = answer
                progress.may_have_run = True
                continue
            return answer

    async def _outwait(self, request: CallerRequest, pause_s: float) -> bool:
        """Wait for the end of a pause that leaves the time for an answer.

        Returns false at once when the caller would rather come back later.
        """
        left_s = request.left_ms(self._clock.monotonic()) / 1000
        if pause_s + self._choice.answer_s(request.service) > left_s:
            return False
        await asyncio.sleep(pause_s)
        return True

    def _may_send(self, request: CallerRequest, progress: _Progress) -> bool:
        if request.left_ms(self._clock.monotonic()) < MIN_SEND_MS:
            return False
        if progress.sends == 0:
            return True
        if progress.may_have_run and len(progress.tried) >= request.route.max_engines:
            return False
        if self._retries.try_spend(request.service):
            return True
        progress.last_reason = "retry_budget"
        return False

    async def _send(
        self, request: CallerRequest, entry: EngineEntry, progress: _Progress
    ) -> Answer:
        """Send once; raises what the failure proves."""
        began_s = self._clock.monotonic()
        left_ms = request.left_ms(began_s)
        try:
            connection = await self._pool.take(
                entry.address,
                fresh=not request.route.may_repeat,
                timeout_s=left_ms / 1000,
            )
        except SendFailedError as error:
            self._log(request, entry, began_s, "not_connected", str(error))
            self._note_failure(entry, Failure.UNREACHABLE)
            raise _NotRunError("not_connected") from error
        options = SendOptions(entry.id, request.left_ms(self._clock.monotonic()))
        self._choice.begin(entry.id)
        progress.sends += 1
        answer_ms: float | None = None
        try:
            answer = await self._exchange(request, entry, connection, options)
            answer_ms = (self._clock.monotonic() - began_s) * 1000
        except SendFailedError as error:
            connection.abort()
            raise _NotRunError("send_failed") from error
        except ConnectionBrokenError as error:
            connection.abort()
            self._log(request, entry, began_s, "broken", str(error))
            self._note_failure(entry, Failure.BROKEN)
            raise _MayHaveRunError("connection_broken") from error
        except _NotRunError as error:
            self._log(request, entry, began_s, "not_executed", str(error))
            raise
        except asyncio.CancelledError:
            connection.abort()
            self._log(request, entry, began_s, "cancelled", "")
            if request.left_ms(self._clock.monotonic()) <= 0:
                progress.may_have_run = True
                self._note_failure(entry, Failure.BROKEN)
            raise
        finally:
            self._choice.end(entry.id, answer_ms)
        self._log(request, entry, began_s, "answered", str(answer.status))
        if answer.status >= 500:
            self._note_failure(entry, Failure.ERROR_ANSWER)
        elif self._health.succeeded(entry.id):
            log_event(logger, "engine_trusted_again", engine=entry.id)
        return answer

    async def _exchange(
        self,
        request: CallerRequest,
        entry: EngineEntry,
        connection: EngineConnection,
        options: SendOptions,
    ) -> Answer:
        headers = self._dialect.engine_headers(request.facts, options)
        connection.send(request.method, request.target, headers, request.body)
        head = await connection.read_head()
        if self._dialect.foreign(head, request.id, reused=connection.exchanges > 1):
            raise ConnectionBrokenError("answer of another request")
        self._notices.take(entry, self._dialect.notice(head, entry.id))
        with self._memory.answer() as answer:
            async for part in connection.read_body():
                answer.add(part)
            body = answer.whole()
        self._pool.give_back(connection)
        if self._dialect.not_executed(head):
            raise _NotRunError(f"status_{head.status}")
        return _passed_on(head, body, self._dialect)

    def _note_failure(self, entry: EngineEntry, failure: Failure) -> None:
        if self._health.failed(entry.id, failure):
            log_event(
                logger, "engine_avoided", engine=entry.id, failure=failure.name.lower()
            )

    def _log(
        self,
        request: CallerRequest,
        entry: EngineEntry,
        began_s: float,
        outcome: str,
        detail: str,
    ) -> None:
        log_event(
            logger,
            "sent",
            request=request.id,
            engine=entry.id,
            ms=round((self._clock.monotonic() - began_s) * 1000, 1),
            outcome=outcome,
            detail=detail or None,
        )


def _passed_on(head: AnswerHead, body: bytes, dialect: EngineDialect) -> Answer:
    headers = tuple(dialect.answer_headers(head))
    code = ResultCode.OK if head.status < 500 else ResultCode.BACKEND_FAILED
    return Answer(head.status, headers, body, code, "backend_answer")


def _loop_time(request: CallerRequest, clock: Clock) -> float:
    left_s = request.deadline_s - clock.monotonic()
    return asyncio.get_running_loop().time() + max(0.0, left_s)


def _give_up(progress: _Progress, pause_s: float | None = None) -> Answer:
    """Return the final answer when no further send is allowed.

    ``pause_s`` is the time after which the first server takes work again.
    """
    if progress.failed_answer is not None:
        return progress.failed_answer
    if progress.may_have_run:
        return failure(ResultCode.BACKEND_FAILED, progress.last_reason)
    if pause_s is not None:
        return refusal(ResultCode.BACKEND_UNREACHABLE, "servers_paused", pause_s)
    if not progress.tried:
        return refusal(ResultCode.NO_ENGINE, "no_server", NO_SERVER_RETRY_S)
    return refusal(ResultCode.BACKEND_UNREACHABLE, progress.last_reason, FULL_RETRY_S)


def _timed_out(progress: _Progress) -> Answer:
    if progress.failed_answer is not None:
        return progress.failed_answer
    if progress.sends == 0:
        return refusal(ResultCode.DEADLINE_BEFORE_START, "deadline", FULL_RETRY_S)
    return failure(ResultCode.DEADLINE_EXCEEDED, "deadline", timed_out=True)
