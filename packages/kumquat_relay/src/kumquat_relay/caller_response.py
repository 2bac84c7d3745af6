"""Complete responses to callers, and those that the relay produces itself.

A ``429`` or ``503`` guarantees that the request was not executed and won't be;
only ``refusal`` builds such a response. ``failure`` guarantees nothing about
execution. A server's own response with such a status is passed on only if the
server states that it did not execute the request.
"""

import math
from dataclasses import dataclass

from kumquat_core.result_codes import ResultCode

__all__ = [
    "MIN_RETRY_AFTER_S",
    "PROMISE_STATUSES",
    "CallerResponse",
    "failure",
    "client_error",
    "proves_not_run",
    "quota_refusal",
    "refusal",
]

RETRY_AFTER = "Retry-After"
RESULT_CODE = "X-Result-Code"
MIN_RETRY_AFTER_S = 0.05
# Callers read these as "not executed, and never will be" and send even a
# request again that must not be repeated.
PROMISE_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True)
class CallerResponse:
    """A complete response to a caller.

    ``code`` and ``reason`` are logged. ``reason`` is an identifier or the text
    of the last engine error.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    code: ResultCode
    reason: str


def refusal(
    code: ResultCode, reason: str, retry_after_s: float | None
) -> CallerResponse:
    """Return a response that guarantees the request is never executed.

    Without ``retry_after_s`` the caller is not told to try again.
    """
    if retry_after_s is None:
        return _text(503, code, reason, ())
    retry_after = f"{max(MIN_RETRY_AFTER_S, retry_after_s):.2f}"
    return _text(503, code, reason, ((RETRY_AFTER, retry_after),))


def quota_refusal(reason: str, retry_after_s: float | None) -> CallerResponse:
    """Return the response to a request over the quota of its account.

    Like ``refusal`` it guarantees that the request is never executed. Without
    ``retry_after_s`` the caller is not told to try again.
    """
    headers: tuple[tuple[str, str], ...] = ()
    if retry_after_s is not None:
        # Rounded up, since the credit is not available before.
        hundredths = math.ceil(max(MIN_RETRY_AFTER_S, retry_after_s) * 100)
        headers = ((RETRY_AFTER, f"{hundredths / 100:.2f}"),)
    return _text(429, ResultCode.TENANT_LIMIT, reason, headers)


def proves_not_run(response: CallerResponse) -> bool:
    """Return whether a response guarantees that its request did not run."""
    unauthenticated = response.code is ResultCode.UNAUTHENTICATED
    return unauthenticated or response.status in PROMISE_STATUSES


def failure(
    code: ResultCode, reason: str, *, timed_out: bool = False
) -> CallerResponse:
    """Return the response to a request that may have been executed."""
    return _text(504 if timed_out else 502, code, reason, ())


def client_error(status: int, code: ResultCode, reason: str) -> CallerResponse:
    """Return the 4xx response to an invalid or unroutable request."""
    return _text(status, code, reason, ())


def _text(
    status: int,
    code: ResultCode,
    reason: str,
    headers: tuple[tuple[str, str], ...],
) -> CallerResponse:
    own = (
        (RESULT_CODE, str(code.value)),
        ("Content-Type", "text/plain; charset=utf-8"),
    )
    return CallerResponse(status, own + headers, f"{reason}\n".encode(), code, reason)
