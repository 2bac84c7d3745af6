"""Relays plain requests to backend servers.

A request whose route does not allow retries is sent again only if no byte of
it was sent or if the response proves that it was not executed. Other requests
are also retried after a failure, within the limit of the route and this host's
share of the retry budget. A response is read completely before it is passed
on, so a caller never receives part of one. An answer that promises "not run"
without a proof of it counts as an error of a server that may have run the
request.
"""

import asyncio
import functools
import logging

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.result_codes import ResultCode

from .accounts.account_lookup import AccountLookup, UnknownKeyError, no_accounts
from .balance.send_counts import SendOutcome
from .body_limit import ANSWER_BODY, SHORT_BODY
from .caller_request import CallerRequest
from .caller_response import PROMISE_STATUSES, CallerResponse, failure
from .cutoff import Cutoff
from .engine_connection import (
    ConnectionBrokenError,
    EngineConnection,
    ResponseHead,
    SendFailedError,
)
from .engine_exchange import AnswerNotAcceptedError, EngineExchanges
from .engine_health import EngineHealth, Failure
from .engine_pool import EnginePool
from .engine_registry import EngineEntry
from .host_retry_budget import HostRetryBudget
from .plain_balancer import PlainBalancer
from .plain_outcomes import (
    PlainProgress,
    cut_response,
    final_failure,
    overload_response,
    quarantined_response,
    timeout_response,
    unknown_key_response,
)
from .plain_quarantine import PlainQuarantine
from .prompt_quarantine import QuarantineError
from .protocols import EngineDialect, SendOptions
from .response_memory import ResponseMemory
from .send_permits import SendPermits

__all__ = ["PlainRelay"]

# A request with less time left is not sent, since its response would not reach
# the caller before the deadline.
MIN_SEND_MS = 5
# Reason of a failure that replaces a server's promise without a proof:
# the status of the server is between the two.
STATUS = "status_"
UNPROVEN = "_unproven"

logger = logging.getLogger(__name__)


class _NotExecutedError(Exception):
    """The send failed, and the request was certainly not executed."""


class _MayHaveExecutedError(Exception):
    """The send failed, but the request may have been executed."""


class PlainRelay:
    """Sends plain requests and returns their responses."""

    def __init__(
        self,
        clock: Clock,
        pool: EnginePool,
        balancer: PlainBalancer,
        health: EngineHealth,
        retries: HostRetryBudget,
        dialect: EngineDialect,
        exchanges: EngineExchanges,
        memory: ResponseMemory,
        permits: SendPermits,
        quarantine: PlainQuarantine,
        cutoff: Cutoff,
        accounts: AccountLookup | None = None,
    ) -> None:
        self._accounts = accounts or no_accounts()
        self._quarantine = quarantine
        self._cutoff = cutoff
        self._permits = permits
        self._exchanges = exchanges
        self._memory = memory
        self._clock = clock
        self._pool = pool
        self._balancer = balancer
        self._health = health
        self._retries = retries
        self._dialect = dialect

    async def run(self, request: CallerRequest) -> CallerResponse:
        """Send a request until there is a final response, and return it."""
        progress = PlainProgress()
        overload = self._balancer.overload
        if overload is not None and not overload.admits(request):
            return overload_response(self._retry_after_s(request))
        self._retries.record_request(request.service)
        try:
            # Also before there is a server for it.
            self._quarantine.check(request)
            async with self._cutoff.timeout_at(_loop_deadline_s(request, self._clock)):
                return await self._send_until_final(request, progress)
        except QuarantineError as error:
            return quarantined_response(progress, error.verdict)
        except UnknownKeyError:
            return unknown_key_response(progress)
        except TimeoutError:
            if self._cutoff.reached:
                return cut_response(progress)
            return timeout_response(progress)
        finally:
            self._quarantine.end_trial(request)

    async def _send_until_final(
        self, request: CallerRequest, progress: PlainProgress
    ) -> CallerResponse:
        while True:
            excluded = progress.tried | progress.without_permit
            entry = self._balancer.choose(request.service, excluded)
            if entry is None and progress.without_permit:
                retry_s = self._permits.retry_after_s(progress.without_permit)
                return final_failure(progress, limit_s=retry_s)
            if entry is None:
                pause_s = self._balancer.remaining_pause_s(
                    request.service, progress.tried
                )
                if pause_s is not None and await self._wait_for_pause(request, pause_s):
                    continue
                pause_s = self._balancer.remaining_pause_s(request.service, set())
                full_s = self._retry_after_s(request) if progress.rejected else None
                return final_failure(progress, pause_s, full_s=full_s)
            entry = await self._quarantine.choose(
                request,
                entry,
                functools.partial(self._balancer.ranked, request.service, excluded),
            )
            if not await self._permits.acquire(request.id, entry):
                self._quarantine.end_trial(request)
                progress.without_permit.add(entry.id)
                continue
            if not self._may_send(request, progress):
                self._permits.give_back(entry)
                full_s = self._retry_after_s(request) if progress.rejected else None
                return final_failure(progress, full_s=full_s)
            self._quarantine.check(request)
            self._accounts.check(request)
            progress.tried.add(entry.id)
            try:
                response = await self._send(request, entry, progress)
            except _NotExecutedError as error:
                self._quarantine.end_trial(request)
                progress.last_reason = str(error)
                continue
            except _MayHaveExecutedError as error:
                progress.may_have_executed = True
                progress.last_reason = str(error)
                if not request.route.allows_retry:
                    return final_failure(progress)
                await self._quarantine.wait_for_check(request)
                continue
            if response.status >= 500 and request.route.allows_retry:
                progress.failed_response = response
                progress.may_have_executed = True
                continue
            return response

    def _retry_after_s(self, request: CallerRequest) -> float | None:
        """Return when the caller of a rejected request should retry.

        None if the load of all hosts is not known.
        """
        overload = self._balancer.overload
        if overload is None:
            return None
        left_s = request.left_ms(self._clock.monotonic()) / 1000
        return overload.retry_after_s(request.service, left_s)

    async def _wait_for_pause(self, request: CallerRequest, pause_s: float) -> bool:
        """Wait for the end of a pause if a response can still be in time.

        Returns false at once if it cannot.
        """
        left_s = request.left_ms(self._clock.monotonic()) / 1000
        if pause_s + self._balancer.lowest_latency_s(request.service) > left_s:
            return False
        await asyncio.sleep(pause_s)
        return True

    def _may_send(self, request: CallerRequest, progress: PlainProgress) -> bool:
        """Tell whether time, route and retry budget allow another send."""
        if request.left_ms(self._clock.monotonic()) < MIN_SEND_MS:
            return False
        if progress.sends == 0:
            return True
        if (
            progress.may_have_executed
            and len(progress.tried) >= request.route.max_engines
        ):
            return False
        if self._retries.try_spend(request.service):
            return True
        progress.last_reason = "retry_budget"
        return False

    async def _send(
        self, request: CallerRequest, entry: EngineEntry, progress: PlainProgress
    ) -> CallerResponse:
        """Send a request once and return the response.

        Raises ``_NotExecutedError`` or ``_MayHaveExecutedError``.
        """
        began_s = self._clock.monotonic()
        left_ms = request.left_ms(began_s)
        try:
            connection = await self._pool.acquire(
                entry.address,
                recently_used=not request.route.allows_retry,
                timeout_s=left_ms / 1000,
                request_id=request.id,
            )
        except SendFailedError as error:
            self._log(request, entry, began_s, "not_connected", str(error))
            self._record_failure(entry, Failure.UNREACHABLE)
            self._balancer.record_unreachable(entry.id)
            raise _NotExecutedError("not_connected") from error
        options = SendOptions(
            entry.id,
            request.left_ms(self._clock.monotonic()),
            identity=self._accounts.identity_of(request),
        )
        sent_s = self._balancer.record_send(entry.id)
        self._quarantine.run_began(request, entry)
        progress.sends += 1
        latency_ms: float | None = None
        outcome = SendOutcome.FAILED
        try:
            response = await self._exchange(request, entry, connection, options)
            latency_ms = (self._clock.monotonic() - began_s) * 1000
            if response.status < 500:
                outcome = SendOutcome.ANSWERED
        except SendFailedError as error:
            # An idle connection that the server has closed meanwhile.
            outcome = SendOutcome.UNKNOWN
            connection.abort()
            self._log(request, entry, began_s, "not_sent", str(error))
            raise _NotExecutedError("send_failed") from error
        except AnswerNotAcceptedError as error:
            connection.abort()
            self._log(request, entry, began_s, "not_accepted", error.fault.value)
            self._record_failure(entry, Failure.BROKEN)
            raise _MayHaveExecutedError("answer_not_accepted") from error
        except ConnectionBrokenError as error:
            connection.abort()
            self._log(request, entry, began_s, "broken", str(error))
            self._record_failure(entry, Failure.BROKEN)
            self._quarantine.run_broken(
                request, entry, closed_by_server=error.closed_by_peer
            )
            raise _MayHaveExecutedError("connection_broken") from error
        except _NotExecutedError as error:
            outcome = SendOutcome.REFUSED
            progress.rejected = True
            self._log(request, entry, began_s, "not_executed", str(error))
            raise
        except asyncio.CancelledError:
            connection.abort()
            self._log(request, entry, began_s, "cancelled", "")
            is_late = request.left_ms(self._clock.monotonic()) <= 0
            progress.may_have_executed |= is_late
            # The server of a held connection could send no more.
            if is_late and not connection.is_held:
                self._record_failure(entry, Failure.BROKEN)
                self._quarantine.run_broken(request, entry, closed_by_server=False)
            else:
                outcome = SendOutcome.UNKNOWN
            raise
        finally:
            self._balancer.record_end(entry.id, latency_ms, outcome, sent_s)
            self._quarantine.run_ended(request)
        self._log(request, entry, began_s, "answered", _answer_detail(response))
        self._quarantine.record_answered(request, entry)
        if response.status >= 500:
            self._record_failure(entry, Failure.ERROR_ANSWER)
        elif self._health.record_success(entry.id):
            log_event(logger, "engine_trusted_again", engine=entry.id)
        return response

    async def _exchange(
        self,
        request: CallerRequest,
        entry: EngineEntry,
        connection: EngineConnection,
        options: SendOptions,
    ) -> CallerResponse:
        head = await self._exchanges.send(request, entry, connection, options)
        if self._dialect.not_executed(head):
            await self._exchanges.finish_refusal(connection)
            raise _NotExecutedError(f"status_{head.status}")
        # The body of an unproven promise is not passed on.
        is_promise = head.status in PROMISE_STATUSES
        limit = SHORT_BODY if is_promise else ANSWER_BODY
        declared = head.content_length or 0
        body = await self._memory.read_body(connection, entry.id, declared, limit)
        self._pool.release(connection)
        return _caller_response(head, body, self._dialect)

    def _record_failure(self, entry: EngineEntry, failure: Failure) -> None:
        if self._health.record_failure(entry.id, failure):
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


def _caller_response(
    head: ResponseHead, body: bytes, dialect: EngineDialect
) -> CallerResponse:
    """Return the response to a request that may have been executed."""
    if head.status in PROMISE_STATUSES:
        # Its callers would send the request again, and it may have run.
        reason = f"{STATUS}{head.status}{UNPROVEN}"
        return failure(ResultCode.BACKEND_FAILED, reason)
    headers = tuple(dialect.response_headers(head))
    code = ResultCode.OK if head.status < 500 else ResultCode.BACKEND_FAILED
    return CallerResponse(head.status, headers, body, code, "backend_answer")


def _answer_detail(response: CallerResponse) -> str:
    """Return the status that the server gave, marked if it isn't passed on."""
    if response.reason.endswith(UNPROVEN):
        return response.reason.removeprefix(STATUS)
    return str(response.status)


def _loop_deadline_s(request: CallerRequest, clock: Clock) -> float:
    """Return the deadline of a request in the time of the event loop."""
    left_s = request.deadline_s - clock.monotonic()
    return asyncio.get_running_loop().time() + max(0.0, left_s)
