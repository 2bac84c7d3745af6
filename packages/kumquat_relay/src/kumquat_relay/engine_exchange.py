"""Exchanges with engines: a request is sent and its answer is checked.

Load pattern: plain requests, prefills, runs and control calls share the
connections of one pool, and a faulty server may write the answer to one of
them again where that to another is expected. Only an accepted answer is passed
on, believed as a refusal or read for notices.
"""

from typing import NoReturn

from kumquat_core.clock import Clock

from .answer_check import AnswerFault, answer_fault, is_joined_head
from .caller_request import CallerRequest, Header
from .engine_connection import (
    ConnectionBrokenError,
    EngineConnection,
    ResponseHead,
)
from .engine_notices import EngineNotices
from .engine_pool import EnginePool
from .engine_registry import EngineEntry
from .protocols import EngineDialect, SendOptions
from .rejected_answers import RejectedAnswers

__all__ = ["AnswerNotAcceptedError", "EngineExchanges", "read_bounded"]

MAX_BUFFERED_BODY_BYTES = 64 * 1024


class AnswerNotAcceptedError(ConnectionBrokenError):
    """A response may belong to another request; this one may have run."""

    def __init__(self, fault: AnswerFault) -> None:
        super().__init__(f"answer not accepted: {fault.value}")
        self.fault = fault


class EngineExchanges:
    """Sends requests over pooled connections and checks their answers."""

    def __init__(
        self,
        clock: Clock,
        pool: EnginePool,
        dialect: EngineDialect,
        notices: EngineNotices,
        rejected: RejectedAnswers,
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._dialect = dialect
        self.notices = notices
        self._rejected = rejected

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
            request.method, request.target, headers, request.body, request.id
        )
        head = await connection.read_head()
        ids = self._dialect.request_ids(head)
        fault = answer_fault(ids, request.id, reused=connection.exchanges > 1)
        if is_joined_head(head.reason, head.headers, request.id):
            fault = AnswerFault.JOINED_HEAD
        if fault is not None:
            self._reject(fault, entry, request.id, connection, head)
        if not ids:
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
    ) -> tuple[int, bytes]:
        """Send a control call; return the status and body of its answer.

        Answers to control calls bear no id. So a call is the only exchange of
        its connection: no earlier answer can arrive on it, and a copy of its
        own answer meets no other request. Raises ``SendFailedError`` and
        ``ConnectionBrokenError``.
        """
        connection = await self._pool.acquire_unused(entry.address, connect_timeout_s)
        try:
            connection.send(method, target, headers, body)
            head = await connection.read_head()
            if is_joined_head(head.reason, head.headers):
                self._reject(AnswerFault.JOINED_HEAD, entry, target, connection, head)
            notice = self._dialect.notice(head, entry.id)
            self.notices.apply(entry, notice, head.status)
            response = await read_bounded(connection)
        finally:
            connection.abort()
        return head.status, response

    def _reject(
        self,
        fault: AnswerFault,
        entry: EngineEntry,
        call: str,
        connection: EngineConnection,
        head: ResponseHead,
    ) -> NoReturn:
        self._rejected.record(fault, entry.id, call, head.status, connection.exchanges)
        raise AnswerNotAcceptedError(fault)


async def read_bounded(connection: EngineConnection) -> bytes:
    """Return the response body, up to ``MAX_BUFFERED_BODY_BYTES``."""
    parts: list[bytes] = []
    async for part in connection.read_body():
        parts.append(part)
        if sum(map(len, parts)) > MAX_BUFFERED_BODY_BYTES:
            raise ConnectionBrokenError("answer is too large")
    return b"".join(parts)
