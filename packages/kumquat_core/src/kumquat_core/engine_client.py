"""The client interface of model engines, and its HTTP implementation.

Errors are ``RouterError``: ``ENGINE_FAILED`` for transport errors and
unexpected responses, ``TRANSFER_FAILED`` for the same in a KV cache transfer,
``STREAM_INTERRUPTED`` for a token stream that breaks off or stalls, and
``ENGINE_MEMORY_FULL``, ``PREFILL_EVICTED`` and ``STALE_FENCE`` as the engine
reports them.
"""

from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol
from urllib.parse import quote

import aiohttp

from .configuration import EngineRole
from .http_client import TRANSPORT_ERRORS, request_json
from .proved_exchange import exchange
from .result_codes import ResultCode, RouterError
from .token_events import Token, read_token_batches

__all__ = [
    "CacheEvent",
    "EngineClient",
    "EngineCommand",
    "EngineReport",
    "HeldRequest",
    "HttpEngineClient",
    "PrefillResult",
    "Token",
]

CONTROL_TIMEOUT_S = 1.0
# A sound engine may pause for 1.6 s. A cancel that it has not answered may be
# lost with its connection, and the memory then stays held until a sweep.
CANCEL_TIMEOUT_S = 2.0
EVENT_STREAM = "text/event-stream"


@dataclass(frozen=True)
class PrefillResult:
    """A finished prefill; its KV cache is kept for at most ``expires_ms``."""

    prefill_id: str
    tokens: int
    cached_tokens: int
    pieces: int
    expires_ms: int


@dataclass(frozen=True)
class HeldRequest:
    """A request that holds engine memory."""

    request_id: str
    pieces: int
    age_ms: int


@dataclass(frozen=True)
class EngineReport:
    """State of an engine at ``as_of_ms``, which may be in the past."""

    as_of_ms: int
    role: EngineRole
    models: tuple[str, ...]
    total_pieces: int
    held_pieces: int
    requests: tuple[HeldRequest, ...]
    prefill_queue: int
    step_ms: float


@dataclass(frozen=True)
class CacheEvent:
    """A prefix that was added to or evicted from an engine's prefix cache."""

    sequence: int
    kind: str
    prefix: int


@dataclass(frozen=True)
class EngineCommand:
    """A command to an engine: ``load_model`` or ``set_role``.

    Engines that check the fencing token ``fence`` refuse a command with a
    lower one than they have seen.
    """

    fence: int
    kind: str
    model: str = ""
    version: str = ""
    role: str = ""


class EngineClient(Protocol):
    """Calls that the router makes to model engines."""

    async def prefill(
        self, url: str, request_id: str, model: str, prompt: str, timeout_s: float
    ) -> PrefillResult:
        """Run a prefill and return its result when it is finished."""

    async def import_cache(
        self,
        url: str,
        request_id: str,
        model: str,
        source_url: str,
        prefill: PrefillResult,
        pieces: int,
        timeout_s: float,
    ) -> None:
        """Transfer a KV cache to a decode engine and reserve memory there."""

    def decode(
        self, url: str, request_id: str, max_tokens: int, start_index: int
    ) -> AsyncIterator[list[Token]]:
        """Yield batches of tokens as they arrive, until the output ends."""

    async def cancel(self, url: str, request_id: str) -> None:
        """Cancel a request and free everything that it holds at an engine."""

    async def report(self, url: str, *, fresh: bool) -> EngineReport:
        """Return the engine's load report; ``fresh`` requests a new one."""

    async def cache_events(self, url: str, after: int) -> list[CacheEvent]:
        """Return the cache events that follow sequence number ``after``."""

    async def send_command(self, url: str, command: EngineCommand) -> None:
        """Send a command with its fencing token."""


class HttpEngineClient:
    """Engine client over HTTP; tokens arrive as server-sent events."""

    def __init__(self, session: aiohttp.ClientSession, idle_timeout_s: float) -> None:
        self._session = session
        self._idle_timeout_s = idle_timeout_s

    async def prefill(
        self, url: str, request_id: str, model: str, prompt: str, timeout_s: float
    ) -> PrefillResult:
        """Run a prefill and return its result when it is finished."""
        body = {
            "request_id": request_id,
            "model": model,
            "prompt": prompt,
            "priority": 0,
        }
        document = await self._call("POST", f"{url}/v1/prefill", body, timeout_s)
        with _reading_document():
            if document.get("request_id", request_id) != request_id:
                raise RouterError(ResultCode.ENGINE_FAILED, "answer of another request")
            return PrefillResult(
                prefill_id=document["prefill_id"],
                tokens=document["tokens"],
                cached_tokens=document["cached_tokens"],
                pieces=document["pieces"],
                expires_ms=document["expires_ms"],
            )

    async def import_cache(
        self,
        url: str,
        request_id: str,
        model: str,
        source_url: str,
        prefill: PrefillResult,
        pieces: int,
        timeout_s: float,
    ) -> None:
        """Transfer a KV cache to a decode engine and reserve memory there."""
        body = {
            "request_id": request_id,
            "model": model,
            "source_url": source_url,
            "prefill_id": prefill.prefill_id,
            "pieces": pieces,
        }
        try:
            await self._call("POST", f"{url}/v1/import", body, timeout_s)
        except RouterError as error:
            if error.code is ResultCode.ENGINE_FAILED:
                raise RouterError(ResultCode.TRANSFER_FAILED, error.detail) from error
            raise

    async def decode(
        self, url: str, request_id: str, max_tokens: int, start_index: int
    ) -> AsyncIterator[list[Token]]:
        """Yield batches of tokens as they arrive, until the output ends.

        Raises ``STREAM_INTERRUPTED`` when the stream ends without its end
        marker or no complete event arrives within the idle timeout.
        """
        body = {
            "request_id": request_id,
            "max_tokens": max_tokens,
            "start_index": start_index,
        }
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONTROL_TIMEOUT_S,
            sock_read=self._idle_timeout_s,
        )
        try:
            async with exchange(
                self._session, "POST", f"{url}/v1/decode", json=body, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise _StatusError(response.status)
                content_type = response.headers.get("Content-Type", EVENT_STREAM)
                if not content_type.startswith(EVENT_STREAM):
                    detail = f"content type {content_type[:40]!r} of a stream"
                    raise RouterError(ResultCode.ENGINE_FAILED, detail)
                response_request_id = response.headers.get("X-Request-Id", request_id)
                if response_request_id != request_id:
                    response.close()
                    detail = "answer of another request"
                    raise RouterError(ResultCode.ENGINE_FAILED, detail)
                async for batch in read_token_batches(
                    response.content, self._idle_timeout_s
                ):
                    yield batch
        except TRANSPORT_ERRORS as error:
            detail = type(error).__name__
            raise RouterError(ResultCode.STREAM_INTERRUPTED, detail) from error

    async def cancel(self, url: str, request_id: str) -> None:
        """Cancel a request and free everything that it holds at an engine."""
        path = f"{url}/v1/requests/{quote(request_id, safe='')}"
        await self._call("DELETE", path, None, CANCEL_TIMEOUT_S)

    async def report(self, url: str, *, fresh: bool) -> EngineReport:
        """Return the engine's load report; ``fresh`` requests a new one."""
        path = f"{url}/v1/report" + ("?fresh=1" if fresh else "")
        document = await self._call("GET", path, None, CONTROL_TIMEOUT_S)
        with _reading_document():
            requests = tuple(
                HeldRequest(item["request_id"], item["pieces"], item["age_ms"])
                for item in document["requests"]
            )
            return EngineReport(
                as_of_ms=document["as_of_ms"],
                role=EngineRole(document["role"]),
                models=tuple(document["models"]),
                total_pieces=document["total_pieces"],
                held_pieces=document["held_pieces"],
                requests=requests,
                prefill_queue=document["prefill_queue"],
                step_ms=document["step_ms"],
            )

    async def cache_events(self, url: str, after: int) -> list[CacheEvent]:
        """Return the cache events that follow sequence number ``after``."""
        path = f"{url}/v1/cache-events?after={after}"
        document = await self._call("GET", path, None, CONTROL_TIMEOUT_S)
        with _reading_document():
            return [
                CacheEvent(item["sequence"], item["kind"], item["prefix"])
                for item in document["events"]
            ]

    async def send_command(self, url: str, command: EngineCommand) -> None:
        """Send a command with its fencing token."""
        body = {
            "fence": command.fence,
            "kind": command.kind,
            "model": command.model,
            "version": command.version,
            "role": command.role,
        }
        try:
            await self._call("POST", f"{url}/v1/orders", body, CONTROL_TIMEOUT_S)
        except _StatusError as error:
            if error.status == HTTPStatus.PRECONDITION_FAILED:
                raise RouterError(ResultCode.STALE_FENCE, error.detail) from error
            raise

    async def _call(self, method: str, url: str, body: Any, timeout_s: float) -> Any:
        """Send a request and return the JSON body of its response.

        Raises ``RouterError`` when the call fails or the status is not 200.
        """
        status, document = await request_json(
            self._session,
            method,
            url,
            body=body,
            timeout_s=timeout_s,
            error_code=ResultCode.ENGINE_FAILED,
        )
        if status != 200:
            raise _StatusError(status)
        return document


_CODES_BY_STATUS: dict[int, ResultCode] = {
    HTTPStatus.GONE: ResultCode.PREFILL_EVICTED,
    HTTPStatus.INSUFFICIENT_STORAGE: ResultCode.ENGINE_MEMORY_FULL,
}


class _StatusError(RouterError):
    """A response with a status other than 200."""

    def __init__(self, status: int) -> None:
        code = _CODES_BY_STATUS.get(status, ResultCode.ENGINE_FAILED)
        super().__init__(code, f"engine answered status {status}")
        self.status = status


@contextmanager
def _reading_document() -> Iterator[None]:
    """Raise ``ENGINE_FAILED`` for a document that lacks fields."""
    try:
        yield
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        detail = f"malformed response: {type(error).__name__}"
        raise RouterError(ResultCode.ENGINE_FAILED, detail) from error
