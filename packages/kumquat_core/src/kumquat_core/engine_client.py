"""The client interface of model engines, and its HTTP implementation.

Errors are ``RouterError``: ``ENGINE_FAILED`` for transport errors and
unexpected responses, ``TRANSFER_FAILED`` for the same in a KV cache transfer,
``STREAM_INTERRUPTED`` for a token stream that breaks off or stalls, and
``ENGINE_MEMORY_FULL``, ``PREFILL_EVICTED`` and ``STALE_FENCE`` as the engine
reports them.
"""

import asyncio
import json
import re
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol
from urllib.parse import quote

import aiohttp

from .configuration import EngineRole
from .http_client import TRANSPORT_ERRORS, request_json
from .proved_exchange import exchange
from .result_codes import ResultCode, RouterError

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
EVENT_SEPARATOR = b"\n\n"
END_EVENT = "data: [DONE]\n\n"
# A thousand times the size of a typical token event.
MAX_EVENT_BYTES = 64 * 1024

# A token event: its index, and its text as a valid JSON string.
TOKEN_EVENT = re.compile(
    r'data: \{"i": ?([0-9]{1,9}), ?"t": ?'
    r'("[^"\\\x00-\x1f]*(?:\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4})[^"\\\x00-\x1f]*)*")'
    r"\}\n\n"
)


@dataclass(frozen=True)
class PrefillResult:
    """A finished prefill; its KV cache is kept for at most ``expires_ms``."""

    prefill_id: str
    tokens: int
    cached_tokens: int
    pieces: int
    expires_ms: int


class Token(NamedTuple):
    """One output token and its position in the output, from 0.

    ``literal`` is the text as a JSON string with its quotes. It is forwarded
    to the caller unchanged, since decoding and encoding each token would cost
    more than all other work on it.
    """

    position: int
    literal: str

    @property
    def text(self) -> str:
        """Return the decoded text."""
        text: str = json.loads(self.literal)
        return text


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
                    raise _error_of_status(response.status)
                response_request_id = response.headers.get("X-Request-Id", request_id)
                if response_request_id != request_id:
                    response.close()
                    detail = "answer of another request"
                    raise RouterError(ResultCode.ENGINE_FAILED, detail)
                async for batch in _read_token_batches(
                    response.content, self._idle_timeout_s
                ):
                    yield batch
        except TRANSPORT_ERRORS as error:
            detail = type(error).__name__
            raise RouterError(ResultCode.STREAM_INTERRUPTED, detail) from error

    async def cancel(self, url: str, request_id: str) -> None:
        """Cancel a request and free everything that it holds at an engine."""
        path = f"{url}/v1/requests/{quote(request_id, safe='')}"
        await self._call("DELETE", path, None, CONTROL_TIMEOUT_S)

    async def report(self, url: str, *, fresh: bool) -> EngineReport:
        """Return the engine's load report; ``fresh`` requests a new one."""
        path = f"{url}/v1/report" + ("?fresh=1" if fresh else "")
        document = await self._call("GET", path, None, CONTROL_TIMEOUT_S)
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
        await self._call("POST", f"{url}/v1/orders", body, CONTROL_TIMEOUT_S)

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
            raise _error_of_status(status)
        return document


_CODES_BY_STATUS = {
    410: ResultCode.PREFILL_EVICTED,
    412: ResultCode.STALE_FENCE,
    507: ResultCode.ENGINE_MEMORY_FULL,
}


def _error_of_status(status: int) -> RouterError:
    """Return the error for a response with a status other than 200."""
    code = _CODES_BY_STATUS.get(status, ResultCode.ENGINE_FAILED)
    return RouterError(code, f"engine answered status {status}")


async def _read_token_batches(
    content: aiohttp.StreamReader, idle_timeout_s: float | None = None
) -> AsyncIterator[list[Token]]:
    """Yield a batch of tokens for each read that completes token events.

    Raises ``TimeoutError`` when no complete event arrives within
    ``idle_timeout_s``, even if bytes do. The time that the consumer spends
    on a batch does not count.
    """
    pending = b""
    while True:
        async with asyncio.timeout(idle_timeout_s):
            events, pending = await _read_complete_events(content, pending)
        batch, ended = _parse_events(events)
        if batch:
            yield batch
        if ended:
            return


async def _read_complete_events(
    content: aiohttp.StreamReader, pending: bytes
) -> tuple[bytes, bytes]:
    """Read until an event is complete; return the events and the bytes after.

    Raises ``RouterError`` with ``STREAM_INTERRUPTED`` when the stream ends
    first and ``ENGINE_FAILED`` when an event exceeds ``MAX_EVENT_BYTES``.
    """
    while True:
        data = await content.readany()
        if not data:
            raise RouterError(ResultCode.STREAM_INTERRUPTED, "no end marker")
        events, separator, pending = (pending + data).rpartition(EVENT_SEPARATOR)
        if len(pending) > MAX_EVENT_BYTES:
            raise RouterError(ResultCode.ENGINE_FAILED, "event does not end")
        if separator:
            return events + separator, pending


def _parse_events(events: bytes) -> tuple[list[Token], bool]:
    """Return the tokens of complete events, and whether the output ended.

    Raises ``RouterError`` with ``ENGINE_FAILED`` if the bytes contain anything
    but token events and a final end event.
    """
    try:
        text = events.decode()
    except UnicodeDecodeError as error:
        raise RouterError(ResultCode.ENGINE_FAILED, "event is not UTF-8") from error
    batch = [Token(int(index), literal) for index, literal in TOKEN_EVENT.findall(text)]
    remainder = TOKEN_EVENT.sub("", text) if len(batch) * 2 != text.count("\n") else ""
    if remainder not in ("", END_EVENT):
        raise RouterError(ResultCode.ENGINE_FAILED, "malformed token event")
    return batch, remainder == END_EVENT
