"""Exchanges with engines: a request is sent and its answer is checked.

Load pattern: plain requests, prefills, runs and reservations share the
connections of one pool, and a faulty server may write the answer to one of
them again where that to another is expected. Only an accepted answer is passed
on, believed as a refusal or read for notices. Most streams of a busy service
reserve, and a connection of its own for each reservation would double the new
connections, which are billed.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import NoReturn

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event

from .answer_check import AnswerFault, answer_fault, is_final_status, is_joined_head
from .body_limit import SHORT_BODY
from .caller_request import CallerRequest, Header
from .endless_responses import EndlessResponses
from .engine_connection import (
    ConnectionBrokenError,
    EndlessResponseError,
    EngineConnection,
    ResponseHead,
)
from .engine_notices import EngineNotices
from .engine_pool import EnginePool
from .engine_registry import EngineEntry
from .protocols import EngineDialect, SendOptions
from .rejected_answers import RejectedAnswers

__all__ = ["AnswerNotAcceptedError", "EngineExchanges", "read_bounded"]

SUCCESS_STATUS = 200
# Refusals are sent at once. Another server can serve the request meanwhile.
REFUSAL_BODY_TIMEOUT_S = 0.25

logger = logging.getLogger(__name__)


class AnswerNotAcceptedError(ConnectionBrokenError):
    """A response may belong to another request, or its status is invalid.

    The request may have run.
    """

    def __init__(self, fault: AnswerFault) -> None:
        super().__init__(f"answer not accepted: {fault.value}")
        self.fault = fault


@dataclass(frozen=True)
class _ControlCall:
    """A request of the relay's own."""

    entry: EngineEntry
    method: str
    target: str
    headers: list[Header]
    body: bytes
    read_token: Callable[[bytes], str] | None

    def token(self, status: int, response: bytes) -> str:
        """Return the token of an answer, empty if it has none."""
        if self.read_token is None or status != SUCCESS_STATUS:
            return ""
        try:
            return self.read_token(response)
        except ValueError:
            return ""


class EngineExchanges:
    """Sends requests over pooled connections and checks their answers."""

    def __init__(
        self,
        clock: Clock,
        pool: EnginePool,
        dialect: EngineDialect,
        notices: EngineNotices,
        rejected: RejectedAnswers,
        endless: EndlessResponses,
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._dialect = dialect
        self.notices = notices
        self._rejected = rejected
        self._endless = endless

    async def send(
        self,
        request: CallerRequest,
        entry: EngineEntry,
        connection: EngineConnection,
        options: SendOptions,
    ) -> ResponseHead:
        """Send a request and return the head of its answer.

        Raises ``SendFailedError``, and ``ConnectionBrokenError`` if the
        request may have been executed; the connection must be aborted then.
        """
        headers = self._dialect.engine_headers(request.metadata, options)
        sent_s = self._clock.monotonic()
        connection.send(
            request.method,
            request.target,
            headers,
            request.body,
            request.id,
            self._endless.recorder(entry.id, request.id),
        )
        head = await connection.read_head()
        ids = self._dialect.request_ids(head)
        fault = answer_fault(ids, request.id, reused=connection.exchanges > 1)
        if is_joined_head(head.reason, head.headers, request.id):
            fault = AnswerFault.JOINED_HEAD
        if fault is None and not is_final_status(head.status):
            fault = AnswerFault.INVALID_STATUS
        if fault is not None:
            self._reject(fault, entry, request.id, connection, head)
        if ids:
            connection.returns_ids = True
        else:
            connection.end_reuse()
        notice = self._dialect.notice(head, entry.id)
        self.notices.apply(entry, notice, head.status, sent_s)
        return head

    async def call(
        self,
        entry: EngineEntry,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        *,
        connect_timeout_s: float,
        read_token: Callable[[bytes], str] | None = None,
    ) -> tuple[int, bytes]:
        """Send a control call; return the status and body of its answer.

        Answers to control calls bear no id. So a call without ``read_token``
        is the only exchange of its connection: no earlier answer can arrive on
        it, and a copy of its own answer meets no other request.

        ``read_token`` reads what only the answer to this call has, such as the
        id of a reservation; it raises ``ValueError`` if there is none. A call
        with it uses pooled connections. On a used one an answer counts only
        with a token that the connection has not carried; otherwise the call is
        sent again on an unused one, so it must be one that may be repeated.
        Requests follow on the connection only if the server returned the id of
        one there before; they are told from copies by it.

        Raises ``SendFailedError`` and ``ConnectionBrokenError``.
        """
        call = _ControlCall(entry, method, target, headers, body, read_token)
        if read_token is not None:
            connection = await self._pool.acquire(
                entry.address, recently_used=True, timeout_s=connect_timeout_s
            )
            is_unused = connection.exchanges == 0
            try:
                return await self._call_on(connection, call)
            except ConnectionBrokenError:
                if is_unused:
                    raise
        connection = await self._pool.acquire_unused(entry.address, connect_timeout_s)
        return await self._call_on(connection, call)

    async def finish_refusal(self, connection: EngineConnection) -> None:
        """Read the rest of a refusal; return its connection to the pool.

        The head proved that the request was not executed. A body without end
        does not change that, but closes the connection.
        """
        try:
            async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_S):
                await read_bounded(connection)
        except (EndlessResponseError, TimeoutError) as error:
            log_event(
                logger,
                "refusal_not_ended",
                address=connection.address.text,
                reason=str(error) or "timeout",
            )
            connection.abort()
            return
        self._pool.release(connection)

    async def _call_on(
        self, connection: EngineConnection, call: "_ControlCall"
    ) -> tuple[int, bytes]:
        """Send a control call on a connection and check its answer."""
        entry = call.entry
        try:
            connection.send(
                call.method,
                call.target,
                call.headers,
                call.body,
                on_endless=self._endless.recorder(entry.id, call.target),
            )
            head = await connection.read_head()
            if is_joined_head(head.reason, head.headers):
                fault = AnswerFault.JOINED_HEAD
                self._reject(fault, entry, call.target, connection, head)
            if not is_final_status(head.status):
                fault = AnswerFault.INVALID_STATUS
                self._reject(fault, entry, call.target, connection, head)
            response = await read_bounded(connection)
            token = call.token(head.status, response)
            if connection.exchanges > 1:
                self._check_token(token, call, connection, head)
            if call.read_token is None:
                connection.end_reuse()
            connection.record_id(token)
        except BaseException:
            connection.abort()
            raise
        notice = self._dialect.notice(head, entry.id)
        self.notices.apply(entry, notice, head.status)
        self._pool.release(connection)
        return head.status, response

    def _check_token(
        self,
        token: str,
        call: "_ControlCall",
        connection: EngineConnection,
        head: ResponseHead,
    ) -> None:
        """Raise ``AnswerNotAcceptedError`` if an answer may be a copy."""
        is_carried = bool(token) and connection.has_carried(token)
        if is_carried or self._dialect.request_ids(head):
            fault = AnswerFault.OTHER_ID
            self._reject(fault, call.entry, call.target, connection, head)
        if not token:
            # Sound engines refuse like this, so that reuse is not suspended.
            raise AnswerNotAcceptedError(AnswerFault.NO_ID)

    def _reject(
        self,
        fault: AnswerFault,
        entry: EngineEntry,
        call: str,
        connection: EngineConnection,
        head: ResponseHead,
    ) -> NoReturn:
        self._rejected.record(fault, entry.id, call, head.status, connection.exchanges)
        if fault.may_be_copy:
            self._pool.suspend_reuse(entry.address)
        raise AnswerNotAcceptedError(fault)


async def read_bounded(connection: EngineConnection) -> bytes:
    """Return a short response body.

    Raises ``EndlessResponseError`` if it is over ``SHORT_BODY``.
    """
    return b"".join([part async for part in connection.read_body(SHORT_BODY)])
