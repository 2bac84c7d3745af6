"""Outcomes of plain requests that got no answer of a server to pass on.

A refusal promises that the request has not run, so it is returned only if no
server may have started it.
"""

from dataclasses import dataclass, field

from kumquat_core.result_codes import ResultCode

from .caller_response import (
    MIN_RETRY_AFTER_S,
    CallerResponse,
    client_error,
    failure,
    refusal,
)
from .crash_evidence import Verdict
from .cutoff import HOST_STOPPED
from .queue_types import QUARANTINED, TRIAL_DEFERRED

__all__ = [
    "PlainProgress",
    "cut_response",
    "final_failure",
    "overload_response",
    "quarantined_response",
    "timeout_response",
    "unknown_key_response",
]

# Retry-After without a usable server: enough time for a restarted server to
# appear in the store.
NO_SERVER_RETRY_S = 0.5
# Retry-After if servers are known but did not serve the request: several times
# the usual latency.
UNSERVED_RETRY_S = 0.25
# Retry-After of a suspect request that found no trial: several times the
# usual time of a trial.
TRIAL_RETRY_S = 0.5
UNKNOWN_KEY = "unknown_key"
OVERLOADED = "overloaded"


@dataclass
class PlainProgress:
    """State of one request over its attempts.

    ``without_permit`` are the servers whose named limit is used up;
    ``rejected`` tells whether a server rejected a send.
    """

    tried: set[str] = field(default_factory=set)
    without_permit: set[str] = field(default_factory=set)
    sends: int = 0
    may_have_executed: bool = False
    rejected: bool = False
    last_reason: str = "no_server"
    failed_response: CallerResponse | None = None


def final_failure(
    progress: PlainProgress,
    pause_s: float | None = None,
    limit_s: float | None = None,
    full_s: float | None = None,
) -> CallerResponse:
    """Return the response to a request that must not be sent again.

    ``pause_s`` is the time until the first pause of a server ends, ``limit_s``
    the time until a server whose limit is used up may get the request, and
    ``full_s`` when a request should return that a server rejected.
    """
    if progress.failed_response is not None:
        return progress.failed_response
    if progress.may_have_executed:
        return failure(ResultCode.BACKEND_FAILED, progress.last_reason)
    if limit_s is not None:
        return refusal(ResultCode.NO_CAPACITY_IN_TIME, "server_limited", limit_s)
    if pause_s is not None:
        return refusal(ResultCode.BACKEND_UNREACHABLE, "servers_paused", pause_s)
    if not progress.tried:
        return refusal(ResultCode.NO_ENGINE, "no_server", NO_SERVER_RETRY_S)
    return refusal(
        ResultCode.BACKEND_UNREACHABLE,
        progress.last_reason,
        UNSERVED_RETRY_S if full_s is None else full_s,
    )


def overload_response(retry_s: float | None) -> CallerResponse:
    """Return the response to a request that overloaded servers do not get."""
    retry_s = UNSERVED_RETRY_S if retry_s is None else retry_s
    return refusal(ResultCode.NO_CAPACITY_IN_TIME, OVERLOADED, retry_s)


def cut_response(progress: PlainProgress) -> CallerResponse:
    """Return the response to a request whose host must exit."""
    if progress.sends == 0:
        return refusal(ResultCode.DRAINING, HOST_STOPPED, MIN_RETRY_AFTER_S)
    return failure(ResultCode.OUTCOME_UNKNOWN, HOST_STOPPED, timed_out=True)


def timeout_response(progress: PlainProgress) -> CallerResponse:
    """Return the response to a request whose deadline has passed."""
    if progress.failed_response is not None:
        return progress.failed_response
    if progress.sends == 0:
        return refusal(ResultCode.DEADLINE_BEFORE_START, "deadline", UNSERVED_RETRY_S)
    return failure(ResultCode.DEADLINE_EXCEEDED, "deadline", timed_out=True)


def quarantined_response(progress: PlainProgress, verdict: Verdict) -> CallerResponse:
    """Return the response to a request that must not reach a server now.

    The caller of a refused one is not told to return.
    """
    if progress.may_have_executed:
        return failure(ResultCode.BACKEND_FAILED, QUARANTINED)
    if verdict is Verdict.REFUSED:
        return refusal(ResultCode.PROMPT_QUARANTINED, QUARANTINED, None)
    return refusal(ResultCode.NO_CAPACITY_IN_TIME, TRIAL_DEFERRED, TRIAL_RETRY_S)


def unknown_key_response(progress: PlainProgress) -> CallerResponse:
    """Return the response to a request whose key was removed meanwhile."""
    if progress.failed_response is not None:
        return progress.failed_response
    if progress.may_have_executed:
        return failure(ResultCode.BACKEND_FAILED, UNKNOWN_KEY)
    return client_error(401, ResultCode.UNAUTHENTICATED, UNKNOWN_KEY)
