"""Numbered result codes and the error type that carries them.

Each code states whether the work of the request was executed.
``docs/result-codes.md`` has the same table, and a test compares the two.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum

__all__ = ["CodeSpec", "Execution", "ResultCode", "RouterError", "spec_of"]


class Execution(Enum):
    """Whether the work of a request ran at an engine or backend server."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """Result of a request; the numbers are stable."""

    OK = 0
    MALFORMED_BODY = 1101
    INVALID_FIELD = 1102
    PROMPT_TOO_LONG = 1103
    UNKNOWN_MODEL = 1104
    UNKNOWN_SERVICE = 1105
    UNAUTHENTICATED = 1106
    FORBIDDEN = 1107
    BODY_TOO_LARGE = 1108
    SLOW_SENDER = 1109
    IDEMPOTENCY_KEY_REUSED = 1110
    INVALID_IDEMPOTENCY_KEY = 1111
    HEAD_TOO_LARGE = 1112
    NO_CAPACITY_IN_TIME = 1201
    TENANT_LIMIT = 1202
    NO_ENGINE = 1203
    DRAINING = 1204
    STORE_UNAVAILABLE = 1205
    DEADLINE_BEFORE_START = 1206
    BACKEND_UNREACHABLE = 1207
    OWNER_UNAVAILABLE = 1208
    REQUEST_IN_PROGRESS = 1209
    NOT_READY = 1210
    CALLER_GONE = 1211
    CONFLICTING_ATTEMPT = 1212
    ATTEMPT_REPLACED = 1213
    PROMPT_QUARANTINED = 1214
    ENGINE_FAILED = 1301
    TRANSFER_FAILED = 1302
    PREFILL_EVICTED = 1303
    STREAM_INTERRUPTED = 1304
    DEADLINE_EXCEEDED = 1305
    OUTCOME_UNKNOWN = 1306
    BACKEND_FAILED = 1307
    ENGINE_MEMORY_FULL = 1308
    OUTCOME_NOT_KEPT = 1309
    INTERNAL_ERROR = 1399
    TICKET_CONFLICT = 1401
    TICKET_SUPERSEDED = 1402
    TICKET_INVALID = 1403
    STALE_FENCE = 1404
    PEER_PROTOCOL = 1501
    PEER_AUTHENTICATION = 1502
    PEER_FRAME_TOO_LARGE = 1503
    PEER_CLOSED = 1504
    SETTINGS_INVALID = 1601


@dataclass(frozen=True)
class CodeSpec:
    """The meaning of a result code and the HTTP status sent for it."""

    code: ResultCode
    execution: Execution
    http_status: int
    text: str


_NOT_RUN = Execution.NOT_RUN
_RAN = Execution.RAN
_UNKNOWN = Execution.UNKNOWN

_SPECS = (
    CodeSpec(ResultCode.OK, _RAN, 200, "The request was answered in full."),
    CodeSpec(ResultCode.MALFORMED_BODY, _NOT_RUN, 400, "The body is not valid JSON."),
    CodeSpec(ResultCode.INVALID_FIELD, _NOT_RUN, 422, "A field has a wrong value."),
    CodeSpec(
        ResultCode.PROMPT_TOO_LONG,
        _NOT_RUN,
        413,
        "The prompt is longer than the model accepts.",
    ),
    CodeSpec(ResultCode.UNKNOWN_MODEL, _NOT_RUN, 404, "No such model."),
    CodeSpec(ResultCode.UNKNOWN_SERVICE, _NOT_RUN, 404, "No such service."),
    CodeSpec(
        ResultCode.UNAUTHENTICATED, _NOT_RUN, 401, "The API key is missing or wrong."
    ),
    CodeSpec(
        ResultCode.FORBIDDEN, _NOT_RUN, 403, "The tenant may not use this service."
    ),
    CodeSpec(ResultCode.BODY_TOO_LARGE, _NOT_RUN, 413, "The body is too large."),
    CodeSpec(ResultCode.SLOW_SENDER, _NOT_RUN, 408, "The body did not arrive in time."),
    CodeSpec(
        ResultCode.IDEMPOTENCY_KEY_REUSED,
        _NOT_RUN,
        422,
        "The idempotency key was used with another body.",
    ),
    CodeSpec(
        ResultCode.INVALID_IDEMPOTENCY_KEY,
        _NOT_RUN,
        400,
        "The idempotency key is not valid.",
    ),
    CodeSpec(
        ResultCode.HEAD_TOO_LARGE,
        _NOT_RUN,
        431,
        "The head of the request is too large.",
    ),
    CodeSpec(
        ResultCode.NO_CAPACITY_IN_TIME,
        _NOT_RUN,
        503,
        "No capacity is expected before the deadline.",
    ),
    CodeSpec(
        ResultCode.TENANT_LIMIT, _NOT_RUN, 429, "The tenant has reached its limit."
    ),
    CodeSpec(ResultCode.NO_ENGINE, _NOT_RUN, 503, "No engine can take the request."),
    CodeSpec(ResultCode.DRAINING, _NOT_RUN, 503, "The host is shutting down."),
    CodeSpec(
        ResultCode.STORE_UNAVAILABLE, _NOT_RUN, 503, "The table service is unavailable."
    ),
    CodeSpec(
        ResultCode.DEADLINE_BEFORE_START,
        _NOT_RUN,
        504,
        "The deadline passed before the request ran.",
    ),
    CodeSpec(
        ResultCode.BACKEND_UNREACHABLE,
        _NOT_RUN,
        503,
        "No backend server accepted the connection.",
    ),
    CodeSpec(
        ResultCode.OWNER_UNAVAILABLE, _NOT_RUN, 503, "No shard owner could be reached."
    ),
    CodeSpec(
        ResultCode.REQUEST_IN_PROGRESS,
        _UNKNOWN,
        409,
        "Another call with this idempotency key is in progress.",
    ),
    CodeSpec(ResultCode.NOT_READY, _NOT_RUN, 503, "The host has no configuration yet."),
    CodeSpec(
        ResultCode.CALLER_GONE, _NOT_RUN, 499, "The caller closed the connection."
    ),
    CodeSpec(
        ResultCode.CONFLICTING_ATTEMPT,
        _NOT_RUN,
        409,
        "Another attempt of this request took over.",
    ),
    CodeSpec(
        ResultCode.ATTEMPT_REPLACED,
        _UNKNOWN,
        503,
        "Another attempt of the same request was faster; never sent to a caller.",
    ),
    CodeSpec(
        ResultCode.PROMPT_QUARANTINED,
        _NOT_RUN,
        503,
        "Engines crash under the request or a part of its prompt.",
    ),
    CodeSpec(ResultCode.ENGINE_FAILED, _UNKNOWN, 502, "The engine failed."),
    CodeSpec(
        ResultCode.TRANSFER_FAILED, _UNKNOWN, 502, "The KV cache transfer failed."
    ),
    CodeSpec(
        ResultCode.PREFILL_EVICTED,
        _UNKNOWN,
        502,
        "The prefill result was evicted before its transfer.",
    ),
    CodeSpec(
        ResultCode.STREAM_INTERRUPTED,
        _UNKNOWN,
        502,
        "The stream ended before the answer was complete.",
    ),
    CodeSpec(ResultCode.DEADLINE_EXCEEDED, _UNKNOWN, 504, "The deadline passed."),
    CodeSpec(
        ResultCode.OUTCOME_UNKNOWN,
        _UNKNOWN,
        504,
        "The request may have run; its outcome is not known.",
    ),
    CodeSpec(
        ResultCode.BACKEND_FAILED,
        _UNKNOWN,
        502,
        "The backend server answered an error.",
    ),
    CodeSpec(
        ResultCode.ENGINE_MEMORY_FULL, _UNKNOWN, 503, "The engine had no memory left."
    ),
    CodeSpec(
        ResultCode.OUTCOME_NOT_KEPT,
        _RAN,
        410,
        "The request ran; its answer was too large to be kept for a repeated call.",
    ),
    CodeSpec(ResultCode.INTERNAL_ERROR, _UNKNOWN, 500, "An internal error occurred."),
    CodeSpec(
        ResultCode.TICKET_CONFLICT,
        _NOT_RUN,
        409,
        "The ticket number was used with other content.",
    ),
    CodeSpec(
        ResultCode.TICKET_SUPERSEDED,
        _NOT_RUN,
        409,
        "A higher ticket is in force for everything it touches.",
    ),
    CodeSpec(ResultCode.TICKET_INVALID, _NOT_RUN, 422, "The ticket is not valid."),
    CodeSpec(
        ResultCode.STALE_FENCE, _NOT_RUN, 412, "The fencing number is out of date."
    ),
    CodeSpec(
        ResultCode.PEER_PROTOCOL, _NOT_RUN, 400, "A peer sent a malformed message."
    ),
    CodeSpec(
        ResultCode.PEER_AUTHENTICATION, _NOT_RUN, 401, "A peer failed authentication."
    ),
    CodeSpec(
        ResultCode.PEER_FRAME_TOO_LARGE, _NOT_RUN, 413, "A peer frame is too large."
    ),
    CodeSpec(
        ResultCode.PEER_CLOSED, _NOT_RUN, 503, "The connection to a peer was closed."
    ),
    CodeSpec(
        ResultCode.SETTINGS_INVALID, _NOT_RUN, 400, "The settings file is not valid."
    ),
)

_SPECS_BY_CODE = {spec.code: spec for spec in _SPECS}


def spec_of(code: ResultCode) -> CodeSpec:
    """Return the specification of a result code."""
    return _SPECS_BY_CODE[code]


class RouterError(Exception):
    """A failure with its result code.

    ``detail`` is sent to the caller and must contain no prompt text and no
    key. ``retry_after_s`` tells the caller after how many seconds to retry.
    ``execution`` overrides that of the code where more is known.
    """

    def __init__(
        self,
        code: ResultCode,
        detail: str = "",
        *,
        retry_after_s: float | None = None,
        execution: Execution | None = None,
    ) -> None:
        super().__init__(f"{code.value} {code.name}: {detail}")
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s
        self.execution = execution or spec_of(code).execution
