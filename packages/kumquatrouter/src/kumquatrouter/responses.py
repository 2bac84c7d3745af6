"""Formats of HTTP responses to callers."""

import json
import math
from http import HTTPStatus
from typing import Any

from aiohttp import web

from kumquat_core.backend_client import BackendResponse
from kumquat_core.engine_client import Token
from kumquat_core.request_ids import RequestId
from kumquat_core.result_codes import Execution, ResultCode, RouterError, spec_of

from .model_request import ModelRequest, RequestStats

__all__ = [
    "StreamFormat",
    "announce_close",
    "completion_document",
    "engine_headers",
    "error_document",
    "error_response",
    "finish_reason",
    "raw_error_response",
    "service_response",
    "success_headers",
]

END_EVENT = b"data: [DONE]\n\n"


def error_document(error: RouterError) -> dict[str, Any]:
    """Return the body of an error response."""
    spec = spec_of(error.code)
    message = f"{spec.text} {error.detail}".strip()
    fields: dict[str, Any] = {
        "code": error.code.value,
        "name": error.code.name,
        "message": message,
        "execution": error.execution.value,
    }
    if error.retry_after_s is not None:
        fields["retry_after_s"] = error.retry_after_s
    return {"error": fields}


def error_response(error: RouterError, request_id: RequestId) -> web.Response:
    """Return the HTTP response to a failed request."""
    headers = {
        "X-Request-Id": str(request_id),
        "X-Result-Code": str(error.code.value),
        "X-Execution": error.execution.value,
    }
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after_s)))
    return web.json_response(
        error_document(error), status=spec_of(error.code).http_status, headers=headers
    )


def raw_error_response(error: RouterError) -> bytes:
    """Return the bytes of a response to a request whose head is incomplete."""
    spec, body = spec_of(error.code), json.dumps(error_document(error)).encode()
    retry_after = ""
    if error.retry_after_s is not None:
        retry_after = f"Retry-After: {max(1, math.ceil(error.retry_after_s))}\r\n"
    head = (
        f"HTTP/1.1 {spec.http_status} {HTTPStatus(spec.http_status).phrase}\r\n"
        f"X-Result-Code: {error.code.value}\r\n"
        f"X-Execution: {error.execution.value}\r\n"
        f"{retry_after}"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


class StreamFormat:
    """Server-sent events of one completion.

    The constant parts of an event are encoded once for each stream, because
    a host forwards some 15,000 tokens a second at the target load.
    """

    def __init__(self, request_id: RequestId, model: str) -> None:
        head = json.dumps(
            {"id": str(request_id), "object": "text_completion", "model": model}
        )
        self._head = f'data: {head[:-1]}, "choices": [{{"index": 0, "text": '
        self._tail = ', "finish_reason": null}]}\n\n'

    def tokens(self, tokens: list[Token]) -> bytes:
        """Return one event for each token."""
        head, tail = self._head, self._tail
        return "".join([f"{head}{token.literal}{tail}" for token in tokens]).encode()

    def end(self, finish_reason: str) -> bytes:
        """Return the last event and the end marker."""
        event = f'{self._head}"", "finish_reason": "{finish_reason}"}}]}}\n\n'
        return event.encode() + END_EVENT

    @staticmethod
    def error(error: RouterError) -> bytes:
        """Return the event that ends a failed stream."""
        return f"event: error\ndata: {json.dumps(error_document(error))}\n\n".encode()


def completion_document(
    request_id: RequestId,
    model: str,
    text: str,
    finish_reason: str,
    prompt_tokens: int,
    tokens: int,
) -> dict[str, Any]:
    """Return the body of a response that is not streamed."""
    return {
        "id": str(request_id),
        "object": "text_completion",
        "model": model,
        "choices": [{"index": 0, "text": text, "finish_reason": finish_reason}],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        },
    }


def success_headers(request_id: RequestId) -> dict[str, str]:
    """Return the headers of a successful response."""
    return {
        "X-Request-Id": str(request_id),
        "X-Result-Code": str(ResultCode.OK.value),
        "X-Execution": Execution.RAN.value,
    }


def service_response(request_id: RequestId, response: BackendResponse) -> web.Response:
    """Return the response of a backend server as one to the caller.

    A status of 500 or above gets the code ``BACKEND_FAILED``.
    """
    headers = success_headers(request_id)
    if response.content_type:
        headers["Content-Type"] = response.content_type
    if response.status >= 500:
        headers["X-Result-Code"] = str(ResultCode.BACKEND_FAILED.value)
        headers["X-Execution"] = spec_of(ResultCode.BACKEND_FAILED).execution.value
    return web.Response(status=response.status, body=response.body, headers=headers)


def engine_headers(stats: RequestStats) -> dict[str, str]:
    """Return the headers that name the engines of a model request."""
    return {
        "X-Prefill-Engine": stats.prefill_engine,
        "X-Decode-Engine": stats.decode_engine,
    }


def finish_reason(request: ModelRequest, stats: RequestStats) -> str:
    """Return why generation ended, as the published API names it."""
    return "length" if stats.tokens >= request.max_tokens else "stop"


def announce_close(response: web.StreamResponse) -> None:
    """Close the connection after a response whose headers are composed."""
    response.force_close()
    response.headers["Connection"] = "close"
