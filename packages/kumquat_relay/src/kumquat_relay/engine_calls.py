"""Calls to model engines: prefill, stream, reserve and release."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.settings import Address
from kumquat_core.task_errors import log_task_error

from .accounts.account_lookup import AccountLookup, no_accounts
from .caller_request import CallerRequest, Header
from .engine_connection import (
    ConnectionBrokenError,
    EngineConnection,
    ResponseHead,
    SendFailedError,
)
from .engine_exchange import AnswerNotAcceptedError, EngineExchanges, read_bounded
from .engine_pool import EnginePool
from .engine_registry import EngineEntry
from .host_parts import HostParts
from .known_limits import KnownLimits
from .open_stream import OpenStream, RunFailedError
from .protocols import EngineDialect, PrefillResult, SendOptions
from .stream_limits import disconnect_timeout_s

__all__ = ["EngineCalls", "NotExecutedError", "RunParameters"]

# An engine slowed by its neighbours prefills 11,000 tokens in 0.3 s. Waiting
# much longer costs more than letting the decode engine prefill the prompt.
PREFILL_TIMEOUT_S = 1.2
CONTROL_CALL_TIMEOUT_S = 0.5
# Engines send this status both when they have no capacity and when the prefill
# result has expired.
OVERLOADED_STATUS = 503
EVENT_STREAM = b"text/event-stream"

logger = logging.getLogger(__name__)


class NotExecutedError(Exception):
    """The run, prefill or reservation failed before a run started.

    ``overloaded`` is set for a response with ``OVERLOADED_STATUS``,
    ``unreachable`` when the engine could not be reached.
    """

    def __init__(
        self, reason: str, *, overloaded: bool = False, unreachable: bool = False
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.overloaded = overloaded
        self.unreachable = unreachable


@dataclass(frozen=True)
class RunParameters:
    """Parameters of a run besides the request itself.

    ``source`` is a prefill result that the engine fetches and consumes,
    ``fetch_from`` an engine that may still cache parts of the prompt,
    ``resume_after`` the last event id that the caller has, and
    ``reservation_id`` a reservation at the engine.
    """

    source: PrefillResult | None = None
    fetch_from: Address | None = None
    resume_after: int | None = None
    reservation_id: str = ""


class EngineCalls:
    """Sends callers' requests and control calls to model engines."""

    def __init__(
        self,
        clock: Clock,
        pool: EnginePool,
        dialect: EngineDialect,
        limits: KnownLimits,
        exchanges: EngineExchanges,
        accounts: AccountLookup | None = None,
    ) -> None:
        self._accounts = accounts or no_accounts()
        self._exchanges = exchanges
        self._limits = limits
        self._clock = clock
        self._pool = pool
        self._dialect = dialect
        self._background_tasks: set[asyncio.Task[None]] = set()

    @classmethod
    def from_parts(
        cls,
        parts: HostParts,
        dialect: EngineDialect,
        limits: KnownLimits,
        exchanges: EngineExchanges,
    ) -> "EngineCalls":
        """Create the calls of a host."""
        return cls(parts.clock, parts.pool, dialect, limits, exchanges, parts.accounts)

    async def prefill(
        self, request: CallerRequest, entry: EngineEntry
    ) -> PrefillResult:
        """Prefill the prompt of a request at a prefill engine.

        Raises ``NotExecutedError`` on failure or after a timeout.
        """
        began_s = self._clock.monotonic()
        left_ms = request.left_ms(began_s)
        options = SendOptions(
            entry.id,
            left_ms,
            prefill_only=True,
            identity=self._accounts.identity_of(request),
        )
        result, reason, unreachable = None, "ok", False
        try:
            async with asyncio.timeout(min(PREFILL_TIMEOUT_S, left_ms / 1000)):
                connection = await self._acquire(request, entry, options.left_ms / 1000)
                head, body = await self._exchange(request, entry, connection, options)
            if head.status == 200:
                result = self._dialect.prefill_result(body, entry)
            else:
                reason = f"status_{head.status}"
        except NotExecutedError as error:
            reason, unreachable = error.reason, True
        except (SendFailedError, ConnectionBrokenError, ValueError) as error:
            reason = f"{type(error).__name__}: {error}"
        except TimeoutError:
            reason = "timeout"
        log_event(
            logger,
            "prefill",
            request=request.id,
            engine=entry.id,
            ms=round((self._clock.monotonic() - began_s) * 1000, 1),
            outcome=reason,
            tokens=result.tokens if result else None,
        )
        if result is None:
            raise NotExecutedError(reason, unreachable=unreachable)
        return result

    async def open_stream(
        self,
        request: CallerRequest,
        entry: EngineEntry,
        start: "RunParameters",
    ) -> OpenStream:
        """Start a run and return its response once the head has arrived.

        Raises ``NotExecutedError`` if the request was provably not executed
        and ``RunFailedError`` if it may have been.
        """
        began_s = self._clock.monotonic()
        connection = await self._acquire(
            request,
            entry,
            request.left_ms(began_s) / 1000,
            recently_used=not request.route.allows_retry,
        )
        options = SendOptions(
            entry.id,
            request.left_ms(self._clock.monotonic()),
            prefill_source=start.source.source if start.source else "",
            fetch_from=start.fetch_from,
            resume_after=start.resume_after,
            reservation_id=start.reservation_id,
            identity=self._accounts.identity_of(request),
        )
        sent_s = self._clock.monotonic()
        try:
            async with asyncio.timeout(disconnect_timeout_s(request.route)):
                head = await self._exchanges.send(request, entry, connection, options)
            if self._dialect.not_executed(head):
                await self._exchanges.finish_refusal(connection)
                self._log_sent(request, entry, began_s, f"rejected_{head.status}")
                raise NotExecutedError(
                    f"status_{head.status}", overloaded=head.status == OVERLOADED_STATUS
                )
        except SendFailedError as error:
            connection.abort()
            raise NotExecutedError("send_failed") from error
        except AnswerNotAcceptedError as error:
            connection.abort()
            outcome = f"not_accepted: {error.fault.value}"
            self._log_sent(request, entry, began_s, outcome)
            raise RunFailedError("answer_not_accepted") from error
        except ConnectionBrokenError as error:
            connection.abort()
            self._log_sent(request, entry, began_s, f"broken: {error}")
            raise RunFailedError.from_broken(error, "no answer: ") from error
        except TimeoutError as error:
            connection.abort()
            self._log_sent(request, entry, began_s, "silent")
            raise RunFailedError.from_silence() from error
        except asyncio.CancelledError:
            connection.abort()
            raise
        self._log_sent(request, entry, began_s, f"status_{head.status}")
        kind = head.get(b"content-type") or b""
        return OpenStream(
            entry.id,
            head.status,
            self._dialect.response_headers(head),
            head.status == 200 and kind.startswith(EVENT_STREAM),
            connection,
            self._pool,
            self._clock,
            head_ms=(self._clock.monotonic() - sent_s) * 1000,
        )

    async def reserve(self, entry: EngineEntry, tokens: int, ttl_ms: int) -> str:
        """Reserve a slot and memory; return the id, empty if refused.

        Raises ``NotExecutedError`` if no valid response arrives.
        """
        method, target, headers, body = self._dialect.reserve(entry, tokens, ttl_ms)
        try:
            status, response = await self._control_call(
                entry,
                method,
                target,
                headers,
                body,
                read_token=self._dialect.parse_reservation,
            )
            return self._dialect.parse_reservation(response) if status == 200 else ""
        except (SendFailedError, ConnectionBrokenError, TimeoutError) as error:
            raise NotExecutedError(
                f"not_reserved: {error}", unreachable=True
            ) from error
        except ValueError as error:
            raise NotExecutedError(f"not_reserved: {error}") from error

    def release_reservation(
        self, entry: EngineEntry, reservation_id: str, run: str
    ) -> None:
        """Release an unused reservation in the background."""
        method, target, headers = self._dialect.release_reservation(
            entry, reservation_id
        )
        self._release_in_background(entry, method, target, headers, run)

    def release_unused(self, result: PrefillResult | None, request_id: str) -> None:
        """Release an unused prefill result in the background.

        A result that is not released expires after its time to live.
        """
        if result is None:
            return
        method, target, headers = self._dialect.release_prefill(result)
        self._release_in_background(result.engine, method, target, headers, request_id)

    def _release_in_background(
        self,
        entry: EngineEntry,
        method: str,
        target: str,
        headers: list[Header],
        request_id: str,
    ) -> None:
        is_paused = self._exchanges.notices.remaining_pause_s(entry.id) > 0
        if is_paused or self._limits.is_limited(entry.id):
            # The engine wants fewer requests. Results and reservations expire
            # there within seconds without a release.
            log_event(logger, "release_left_out", request=request_id, engine=entry.id)
            return
        task = asyncio.ensure_future(
            self._send_release(entry, method, target, headers, request_id)
        )
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        task.add_done_callback(log_task_error)

    async def _acquire(
        self,
        request: CallerRequest,
        entry: EngineEntry,
        timeout_s: float,
        *,
        recently_used: bool = False,
    ) -> EngineConnection:
        """Return a connection; raises ``NotExecutedError`` if none opens."""
        try:
            return await self._pool.acquire(
                entry.address,
                recently_used=recently_used,
                timeout_s=timeout_s,
                request_id=request.id,
            )
        except SendFailedError as error:
            raise NotExecutedError(
                f"not_connected: {error}", unreachable=True
            ) from error

    async def _exchange(
        self,
        request: CallerRequest,
        entry: EngineEntry,
        connection: EngineConnection,
        options: SendOptions,
    ) -> tuple[ResponseHead, bytes]:
        """Send a request and return its complete response."""
        try:
            head = await self._exchanges.send(request, entry, connection, options)
            body = await read_bounded(connection)
        except BaseException:
            connection.abort()
            raise
        self._pool.release(connection)
        return head, body

    async def _send_release(
        self,
        entry: EngineEntry,
        method: str,
        target: str,
        headers: list[Header],
        request_id: str,
    ) -> None:
        try:
            status, _ = await self._control_call(entry, method, target, headers, b"")
            outcome = str(status)
        except (SendFailedError, ConnectionBrokenError, TimeoutError) as error:
            outcome = type(error).__name__
        log_event(logger, "released", request=request_id, call=method, outcome=outcome)

    async def _control_call(
        self,
        entry: EngineEntry,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        *,
        read_token: Callable[[bytes], str] | None = None,
    ) -> tuple[int, bytes]:
        """Send a request of the relay's own; return its status and body."""
        async with asyncio.timeout(CONTROL_CALL_TIMEOUT_S):
            return await self._exchanges.call(
                entry,
                method,
                target,
                headers,
                body,
                connect_timeout_s=CONTROL_CALL_TIMEOUT_S,
                read_token=read_token,
            )

    def _log_sent(
        self, request: CallerRequest, entry: EngineEntry, began_s: float, outcome: str
    ) -> None:
        log_event(
            logger,
            "run_sent",
            request=request.id,
            engine=entry.id,
            ms=round((self._clock.monotonic() - began_s) * 1000, 1),
            outcome=outcome,
        )
