"""Handling of one call to a plain service.

A repeatable call may be retried at another backend server. A non-repeatable
call is executed through the idempotency guard, which writes a durable record
and executes the call at most once.
"""

import asyncio
import hashlib
import random
from dataclasses import dataclass
from functools import partial

from returns.pipeline import is_successful

from kumquat_core.backend_client import (
    BackendClient,
    BackendRequest,
    BackendResponse,
)
from kumquat_core.clock import Clock
from kumquat_core.configuration import (
    BackendServer,
    Configuration,
    ServerState,
    Service,
)
from kumquat_core.idempotency import IdempotencyGuard, IdempotentCall, record_key
from kumquat_core.request_ids import RequestId
from kumquat_core.result_codes import Execution, ResultCode, RouterError

from .host_directory import HostDirectory
from .request_observer import RequestObserver

__all__ = ["PlainPath", "PlainRequest"]

REPEATABLE_METHODS = frozenset({"GET", "HEAD"})
MAX_ATTEMPTS = 3
# A server that answers no connection may pause; the last one that is left gets
# this many, at least a second apart by the default connect timeout.
LAST_SERVER_CONNECTS = 3
NO_FENCE = 0

# The response to a non-repeatable call is awaited beyond the caller's
# deadline, so that a later call with the same key gets it from the record.
LATE_RESPONSE_FACTOR = 3


@dataclass(frozen=True)
class PlainRequest:
    """A call to a plain service."""

    request_id: RequestId
    tenant: str
    service: Service
    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    idempotency_key: str | None
    deadline_ms: int
    first_attempt: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether the call may run twice."""
        return self.service.repeatable or self.method in REPEATABLE_METHODS

    @property
    def longest_s(self) -> float:
        """Return the longest time until the call's outcome is recorded."""
        if self.repeatable:
            return self.deadline_ms / 1000
        return self.service.timeout_ms * LATE_RESPONSE_FACTOR / 1000

    @property
    def record_key(self) -> str:
        """Return the key of the call's record, also sent to the server."""
        return record_key(
            self.tenant, self.service.name, self.idempotency_key, str(self.request_id)
        )

    @property
    def body_hash(self) -> str:
        """Return a hash that differs for different calls with the same key."""
        content = f"{self.method} {self.path}\n".encode() + self.body
        return hashlib.sha256(content).hexdigest()


class PlainPath:
    """Runs calls to plain services."""

    def __init__(
        self,
        clock: Clock,
        backend_client: BackendClient,
        directory: HostDirectory,
        guard: IdempotencyGuard,
        rng: random.Random,
        observer: RequestObserver | None = None,
    ) -> None:
        self._observer = observer or RequestObserver.from_clock(clock)
        self._clock = clock
        self._backend_client = backend_client
        self._directory = directory
        self._guard = guard
        self._rng = rng

    async def run(
        self, configuration: Configuration, request: PlainRequest
    ) -> BackendResponse:
        """Return the response to a call, or raise ``RouterError``."""
        if request.repeatable:
            return await self._run_repeatable(configuration, request)
        return await self._run_at_most_once(configuration, request)

    async def _run_at_most_once(
        self, configuration: Configuration, request: PlainRequest
    ) -> BackendResponse:
        """Run a call at most once.

        Another backend server is tried only when the guard has established
        that the call did not run, because no connection could be opened.
        """
        deadline_s = self._clock.monotonic() + request.deadline_ms / 1000
        failure = RouterError(ResultCode.BACKEND_UNREACHABLE, retry_after_s=1.0)
        try:
            servers = self._candidates(configuration, request)
        except RouterError as error:
            return await self._read_recorded_response(request, error)
        for server in servers:
            result = await self._guard.run(
                _idempotent_call(server, request, deadline_s),
                partial(self._send, server, request, server is servers[-1]),
            )
            if is_successful(result):
                outcome = result.unwrap()
                self._observe(request, server, ResultCode.OK)
                return BackendResponse(
                    outcome.status, outcome.content_type, outcome.body
                )
            failure = result.failure()
            self._observe(request, server, failure.code)
            if failure.code is not ResultCode.BACKEND_UNREACHABLE:
                break
        try:
            raise failure
        finally:
            # The error refers to this frame, which must not keep the body.
            del failure

    async def _read_recorded_response(
        self, request: PlainRequest, refusal: RouterError
    ) -> BackendResponse:
        """Return the response that the record holds for an earlier call.

        Without such a record, ``refusal`` is raised.
        """
        result = await self._guard.read_recorded_result(
            _idempotent_call(None, request, 0.0)
        )
        if result is None:
            raise refusal
        if not is_successful(result):
            raise result.failure()
        outcome = result.unwrap()
        return BackendResponse(outcome.status, outcome.content_type, outcome.body)

    async def _run_repeatable(
        self, configuration: Configuration, request: PlainRequest
    ) -> BackendResponse:
        """Try several backend servers until one responds."""
        failure = RouterError(ResultCode.BACKEND_UNREACHABLE, retry_after_s=1.0)
        try:
            async with asyncio.timeout(request.deadline_ms / 1000):
                servers = self._candidates(configuration, request)
                for server in servers:
                    is_last = server is servers[-1]
                    try:
                        result = await self._send(server, request, is_last, NO_FENCE)
                        self._observe(request, server, ResultCode.OK)
                        return result
                    except RouterError as error:
                        self._observe(request, server, error.code)
                        # When an attempt may have run, a later attempt that
                        # did not run must not make the result "not run".
                        if failure.execution is Execution.NOT_RUN:
                            failure = error
        except TimeoutError as error:
            raise RouterError(ResultCode.DEADLINE_EXCEEDED) from error
        try:
            raise failure
        finally:
            # The error refers to this frame, which must not keep the body.
            del failure

    def _observe(
        self, request: PlainRequest, server: BackendServer, code: ResultCode
    ) -> None:
        self._observer.record_server_call(
            str(request.request_id),
            server.id,
            code,
            repeatable=request.repeatable,
            checks_fencing=server.checks_fencing,
        )

    def _candidates(
        self, configuration: Configuration, request: PlainRequest
    ) -> list[BackendServer]:
        """Return up to ``MAX_ATTEMPTS`` servers in random order."""
        states_by_id = self._directory.backend_states_by_id
        servers = [
            server
            for server in configuration.backend_servers_of(request.service.name)
            if states_by_id.get(server.id) is not ServerState.LEAVING
        ]
        if not servers:
            raise RouterError(
                ResultCode.BACKEND_UNREACHABLE,
                "no live backend server",
                retry_after_s=2.0,
                execution=Execution.NOT_RUN,
            )
        self._rng.shuffle(servers)
        return servers[:MAX_ATTEMPTS]

    async def _send(
        self, server: BackendServer, request: PlainRequest, is_last: bool, fence: int
    ) -> BackendResponse:
        """Send a call; ``is_last`` if no other server is left for it."""
        call = BackendRequest(
            method=request.method,
            path=request.path,
            body=request.body,
            headers=request.headers,
            key=request.record_key,
            fence=fence,
            connects=LAST_SERVER_CONNECTS if is_last else 1,
        )
        timeout_s = request.service.timeout_ms / 1000
        if not request.repeatable:
            timeout_s *= LATE_RESPONSE_FACTOR
        return await self._backend_client.send(server.url, call, timeout_s)


def _idempotent_call(
    server: BackendServer | None, request: PlainRequest, deadline_s: float
) -> IdempotentCall:
    return IdempotentCall(
        tenant=request.tenant,
        service=request.service.name,
        key=request.idempotency_key,
        request_id=str(request.request_id),
        body_hash=request.body_hash,
        deadline_s=deadline_s,
        server_url=server.url if server else "",
        checks_fencing=server.checks_fencing if server else False,
        first_attempt=request.first_attempt,
    )
