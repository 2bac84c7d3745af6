"""A model request, its statistics, and the interfaces that it uses."""

from dataclasses import dataclass
from typing import Protocol

from kumquat_core.configuration import Configuration, Model, RequestClass
from kumquat_core.engine_client import Token
from kumquat_core.peer_messages import (
    AdmissionRequest,
    Grant,
    Progress,
)
from kumquat_core.request_ids import RequestId

__all__ = ["AdmissionClient", "ResponseSink", "ModelRequest", "RequestStats"]


@dataclass(frozen=True)
class ModelRequest:
    """A validated request for a model."""

    request_id: RequestId
    tenant: str
    request_class: RequestClass
    model: Model
    pool: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    patience_ms: int
    deadline_ms: int


@dataclass
class RequestStats:
    """Times, delivered tokens, attempts and last engines of one request.

    ``tbt_ms`` is the mean time between the tokens of the last stream.
    ``ends_at`` is the position at which an engine that was to resume the
    output said that it ends, without a token.
    """

    prefill_ms: float = 0.0
    ttft_ms: float = 0.0
    tbt_ms: float = 0.0
    tokens: int = 0
    attempts: int = 0
    prefill_engine: str = ""
    decode_engine: str = ""
    ends_at: int | None = None


class AdmissionClient(Protocol):
    """Requests engines for a request and reports its progress."""

    async def admit(
        self, configuration: Configuration, pool: str, request: AdmissionRequest
    ) -> Grant:
        """Return a grant; raises ``RouterError`` when admission is refused."""

    async def send_progress(self, message: Progress) -> None:
        """Send a message about a request to the scheduler that granted it."""


class ResponseSink(Protocol):
    """Writes the tokens of a response to the caller."""

    async def write(self, tokens: list[Token], stats: RequestStats) -> None:
        """Write tokens to the caller; waits while the caller reads slowly."""
