"""The path of one call to a plain service.

A repeatable call may be sent again to another backend server. A call that
may not be repeated runs under the idempotency guard, which keeps a durable
record and sends at most once.
"""

import asyncio
import hashlib
import random
from dataclasses import dataclass

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
from kumquat_core.request_ids import RequestId
from kumquat_core.result_codes import Execution, ResultCode, RouterError

from .host_directory import HostDirectory

__all__ = ["PlainPath", "PlainRequest"]

REPEATABLE_METHODS = frozenset({"GET", "HEAD"})
MAX_ATTEMPTS = 3


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

    @property
    def repeatable(self) -> bool:
        """Tell whether the call may run twice."""
        return self.service.repeatable or self.method in REPEATABLE_METHODS

    @property
    def body_hash(self) -> str:
        """Return the hash that tells calls with one key apart."""
        content = f"{self.method} {self.path}\n".encode() + self.body
        return hashlib.sha256(content).hexdigest()


class PlainPath:
    """Runs calls to plain services."""

    def __init__(
        self,
        clock: Clock,
        backend_client: BackendClient,
        directory: HostDirectory,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._backend_client = backend_client
        self._directory = directory
        self._rng = rng

    async def run(
        self, configuration: Configuration, request: PlainRequest
    ) -> BackendResponse:
        """Answer a call; raises ``RouterError`` when it can't be answered."""
        if request.repeatable:
            return await self._run_repeatable(configuration, request)
        raise RouterError(
            ResultCode.STORE_UNAVAILABLE, "no store for the idempotency record"
        )

    async def _run_repeatable(
        self, configuration: Configuration, request: PlainRequest
    ) -> BackendResponse:
        failure = RouterError(ResultCode.BACKEND_UNREACHABLE, retry_after_s=1.0)
        try:
            async with asyncio.timeout(request.deadline_ms / 1000):
                for server in self._candidates(configuration, request):
                    try:
                        return await self._send(server, request, 0)
                    except RouterError as error:
                        failure = error
        except TimeoutError as error:
            raise RouterError(ResultCode.DEADLINE_EXCEEDED) from error
        raise failure

    def _candidates(
        self, configuration: Configuration, request: PlainRequest
    ) -> list[BackendServer]:
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
        self, server: BackendServer, request: PlainRequest, fence: int
    ) -> BackendResponse:
        key = request.idempotency_key or str(request.request_id)
        call = BackendRequest(
            method=request.method,
            path=request.path,
            body=request.body,
            headers=request.headers,
            key=f"{request.tenant}/{request.service.name}/{key}",
            fence=fence,
        )
        return await self._backend_client.send(
            server.url, call, request.service.timeout_ms / 1000
        )
