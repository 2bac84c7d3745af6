"""One request of the load client, checked byte for byte.

An outcome is ``ok`` (complete and correct), ``refused`` (a numbered error
before the first token), ``failed`` (a numbered error after it), ``cancelled``
(the client itself disconnected), ``damaged`` (any byte differs from the
response to this request, or the response ended early with an end marker) or
``lost`` (no end marker and no error, or no response before the client's
limit).
"""

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from kumquat_core.http_client import TRANSPORT_ERRORS
from kumquat_core.result_codes import ResultCode

from .emulated_responses import receipt, response_text

__all__ = [
    "ResponseReader",
    "CallOutcome",
    "PlannedDisconnectError",
    "ModelCall",
    "PlainCall",
    "call_model",
    "call_plain",
]

# Beyond the deadline that the router itself enforces.
CLIENT_MARGIN_S = 5.0
END_OF_STREAM = b"[DONE]"
BACKEND_FAILED = ResultCode.BACKEND_FAILED.value


@dataclass(frozen=True)
class ModelCall:
    """A streamed model request; ``cancel_after_tokens`` disconnects early."""

    api_key: str
    model: str
    class_name: str
    prompt: str
    max_tokens: int
    deadline_ms: int
    cancel_after_tokens: int | None = None
    cancel_after_s: float | None = None

    @property
    def cancels(self) -> bool:
        """Return whether the caller is set to disconnect early."""
        return self.cancel_after_tokens is not None or self.cancel_after_s is not None


@dataclass(frozen=True)
class PlainCall:
    """A call of a plain service that may not be repeated."""

    api_key: str
    service: str
    class_name: str
    key: str
    body: bytes
    limit_s: float
    first_attempt: bool = True


@dataclass
class CallOutcome:
    """Result of a call as the caller saw it; ``ended_s`` is monotonic."""

    class_name: str
    kind: str = "lost"
    code: int = -1
    execution: str = ""
    ttft_ms: float = 0.0
    tbt_ms: float = 0.0
    tokens: int = 0
    ended_s: float = 0.0
    prefill_engine: str = ""
    decode_engine: str = ""
    request_id: str = ""
    detail: str = ""


class PlannedDisconnectError(Exception):
    """Ends a call whose client disconnects at a chosen token."""


@dataclass
class ResponseReader:
    """Collects the events of one stream."""

    call: ModelCall
    outcome: CallOutcome
    started_s: float
    parts: list[str] = field(default_factory=list)
    ended: bool = False
    first_s: float = 0.0
    last_s: float = 0.0
    _pending: bytes = b""
    _event: str = ""

    def feed(self, data: bytes) -> None:
        """Process bytes of the stream."""
        *lines, self._pending = (self._pending + data).split(b"\n")
        for line in lines:
            if line.startswith(b"data: "):
                self._process_event(line[6:])
            elif line.startswith(b"event: "):
                self._event = line[7:].decode().strip()

    def _process_event(self, payload: bytes) -> None:
        if payload == END_OF_STREAM:
            self.ended = True
            return
        document = json.loads(payload)
        if self._event == "error":
            self.outcome.code = document["error"]["code"]
            self.outcome.execution = document["error"]["execution"]
            self.outcome.kind = "failed"
            return
        text = document["choices"][0]["text"]
        if not text:
            return
        self.last_s = time.monotonic()
        if not self.parts:
            self.first_s = self.last_s
            self.outcome.ttft_ms = (self.first_s - self.started_s) * 1000
        self.parts.append(text)
        self.outcome.tokens = len(self.parts)
        if self.call.cancel_after_tokens == len(self.parts):
            raise PlannedDisconnectError

    def finish(self) -> None:
        """Classify the response by the bytes received."""
        outcome = self.outcome
        expected = response_text(
            self.call.model, self.call.prompt, self.call.max_tokens
        )
        received = "".join(self.parts)
        if len(self.parts) > 1:
            elapsed_ms = (self.last_s - self.first_s) * 1000
            outcome.tbt_ms = elapsed_ms / (len(self.parts) - 1)
        if not expected.startswith(received) or (self.ended and received != expected):
            outcome.kind = "damaged"
            outcome.detail = f"{len(received)} of {len(expected)} bytes"
        elif self.ended:
            outcome.kind = "ok"
            outcome.code = 0


async def call_model(
    session: aiohttp.ClientSession, base_url: str, call: ModelCall
) -> CallOutcome:
    """Send a model request and read its stream to the end."""
    outcome = CallOutcome(call.class_name)
    reader = ResponseReader(call, outcome, time.monotonic())
    limit_s = call.deadline_ms / 1000 + CLIENT_MARGIN_S
    if call.cancel_after_s is not None:
        limit_s = min(limit_s, call.cancel_after_s)
    try:
        async with asyncio.timeout(limit_s):
            await _stream(session, base_url, call, reader)
        if not outcome.code > 0:
            reader.finish()
    except PlannedDisconnectError:
        reader.finish()
        outcome.kind = "damaged" if outcome.kind == "damaged" else "cancelled"
    except TimeoutError:
        outcome.kind = "lost" if call.cancel_after_s is None else "cancelled"
    except (*TRANSPORT_ERRORS, ValueError) as error:
        outcome.kind = "lost"
        outcome.detail = type(error).__name__
    outcome.ended_s = time.monotonic()
    return outcome


async def _stream(
    session: aiohttp.ClientSession,
    base_url: str,
    call: ModelCall,
    reader: ResponseReader,
) -> None:
    body = {
        "model": call.model,
        "prompt": call.prompt,
        "max_tokens": call.max_tokens,
        "stream": True,
    }
    headers = {
        "Authorization": f"Bearer {call.api_key}",
        "X-Request-Class": call.class_name,
        "X-Deadline-Ms": str(call.deadline_ms),
    }
    url = f"{base_url}/v1/completions"
    async with session.post(url, json=body, headers=headers) as response:
        _record_headers(reader.outcome, response)
        if response.status != 200:
            document = await response.json(content_type=None)
            _record_error(reader.outcome, document)
            return
        async for data in response.content.iter_any():
            reader.feed(data)


async def call_plain(
    session: aiohttp.ClientSession, base_url: str, call: PlainCall
) -> CallOutcome:
    """Call a plain service and compare its receipt."""
    outcome = CallOutcome(call.class_name)
    started_s = time.monotonic()
    headers = {
        "Authorization": f"Bearer {call.api_key}",
        "Idempotency-Key": call.key,
        "Content-Type": "application/json",
        "X-First-Attempt": str(call.first_attempt).lower(),
    }
    url = f"{base_url}/services/{call.service}/{call.class_name}"
    try:
        async with (
            asyncio.timeout(call.limit_s),
            session.post(url, data=call.body, headers=headers) as response,
        ):
            content = await response.read()
            _record_headers(outcome, response)
            outcome.ttft_ms = (time.monotonic() - started_s) * 1000
            if response.headers.get("X-Result-Code") == str(BACKEND_FAILED):
                # The body is the backend server's own error response.
                outcome.kind, outcome.code = "failed", BACKEND_FAILED
            elif response.status != 200:
                _record_error(outcome, json.loads(content))
            elif content == receipt(call.service, call.body):
                outcome.kind, outcome.code = "ok", 0
            else:
                outcome.kind = "damaged"
    except (*TRANSPORT_ERRORS, ValueError) as error:
        outcome.detail = type(error).__name__
    outcome.ended_s = time.monotonic()
    return outcome


def _record_headers(outcome: CallOutcome, response: aiohttp.ClientResponse) -> None:
    outcome.request_id = response.headers.get("X-Request-Id", "")
    outcome.prefill_engine = response.headers.get("X-Prefill-Engine", "")
    outcome.decode_engine = response.headers.get("X-Decode-Engine", "")


def _record_error(outcome: CallOutcome, document: Any) -> None:
    error = document["error"]
    outcome.kind = "refused"
    outcome.code = error["code"]
    outcome.execution = error["execution"]
    outcome.detail = error.get("message", "")
