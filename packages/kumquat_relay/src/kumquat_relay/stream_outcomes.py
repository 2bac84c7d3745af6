"""Outcomes of streams that were not served completely.

A refusal promises that the request has not run, so it is sent only before an
engine may have started it.
"""

from kumquat_core.result_codes import ResultCode

from .admission_refusal import AdmissionRefusedError
from .caller_response import MIN_RETRY_AFTER_S, client_error, failure, refusal
from .cutoff import HOST_STOPPED
from .queue_types import QUARANTINED
from .stream_progress import StreamOutcome, StreamProgress

__all__ = [
    "incomplete_outcome",
    "quarantined_outcome",
    "refused_outcome",
    "timeout_outcome",
    "unknown_key_outcome",
]

NO_SLOT_RETRY_S = 0.4
UNKNOWN_KEY = "unknown_key"


def refused_outcome(
    progress: StreamProgress, error: AdmissionRefusedError
) -> StreamOutcome:
    """Return the outcome of a request to which no slot was granted."""
    if progress.counts.runs == 0:
        response = refusal(
            ResultCode.NO_CAPACITY_IN_TIME, error.reason, error.retry_after_s
        )
        return StreamOutcome(response.code, error.reason, response)
    return incomplete_outcome(progress, error.reason)


def quarantined_outcome(progress: StreamProgress) -> StreamOutcome:
    """Return the outcome of a request whose prompt parts crash engines.

    The caller is not told to return, since it would be refused again.
    """
    if progress.sink.started:
        return StreamOutcome(ResultCode.STREAM_INTERRUPTED, QUARANTINED)
    if progress.counts.runs == 0:
        response = refusal(ResultCode.PROMPT_QUARANTINED, QUARANTINED, None)
    else:
        response = failure(ResultCode.ENGINE_FAILED, QUARANTINED)
    return StreamOutcome(response.code, QUARANTINED, response)


def unknown_key_outcome(progress: StreamProgress) -> StreamOutcome:
    """Return the outcome of a request whose key was removed meanwhile."""
    if progress.counts.runs > 0:
        return incomplete_outcome(progress, UNKNOWN_KEY)
    response = client_error(401, ResultCode.UNAUTHENTICATED, UNKNOWN_KEY)
    return StreamOutcome(response.code, UNKNOWN_KEY, response)


def incomplete_outcome(
    progress: StreamProgress, reason: str, *, timed_out: bool = False
) -> StreamOutcome:
    """Return the outcome of a request without a complete response."""
    if progress.sink.started:
        return StreamOutcome(ResultCode.STREAM_INTERRUPTED, reason)
    if progress.counts.runs == 0 and not timed_out:
        response = refusal(ResultCode.NO_CAPACITY_IN_TIME, reason, NO_SLOT_RETRY_S)
    elif progress.counts.sends == 0:
        response = refusal(ResultCode.DEADLINE_BEFORE_START, reason, NO_SLOT_RETRY_S)
    else:
        code = ResultCode.ENGINE_FAILED
        if timed_out:
            code = ResultCode.DEADLINE_EXCEEDED
        response = failure(code, reason, timed_out=timed_out)
    return StreamOutcome(response.code, reason, response)


def timeout_outcome(progress: StreamProgress, *, host_stopped: bool) -> StreamOutcome:
    """Return the outcome at the deadline, or when the host must exit."""
    if not host_stopped:
        return incomplete_outcome(progress, "deadline", timed_out=True)
    if progress.sink.started:
        return StreamOutcome(ResultCode.STREAM_INTERRUPTED, HOST_STOPPED)
    if progress.counts.sends == 0:
        response = refusal(ResultCode.DRAINING, HOST_STOPPED, MIN_RETRY_AFTER_S)
    else:
        response = failure(ResultCode.OUTCOME_UNKNOWN, HOST_STOPPED, timed_out=True)
    return StreamOutcome(response.code, HOST_STOPPED, response)
