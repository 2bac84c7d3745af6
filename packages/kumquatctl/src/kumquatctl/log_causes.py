"""Derives from the log lines of a request how it ended and why.

The cause is taken from the last line ``request_ended``; for a late response
it is the phase that took the time.
"""

from collections.abc import Sequence

from .log_lines import LogLine

__all__ = ["CALLER_GONE", "FAILED", "OK", "REFUSED", "cause_of", "float_field"]

# Explains the values that hosts log as ``reason``.
_TEXTS_BY_REASON = {
    "answer_not_accepted": (
        "what arrived as its answer may be a copy of another one; it may have run"
    ),
    "backend_answer": "the backend server responded with an error",
    "body_too_large": "its body is larger than the configuration allows",
    "caller_gone": "the caller closed its connection",
    "caller_leaves_first": "no slot was expected before the caller gives up",
    "connection_broken": "the connection to the engine broke",
    "cut_at_stop": "its host exited before it was complete",
    "deadline": "the deadline of the caller or the route has passed",
    "endless_event": "the engine sent an event without an end",
    "engine_leaves": "the engine that was granted is leaving or asked for a pause",
    "internal_error": "an internal error of the host; see the line request_failed",
    "no_configuration": "the host had just started and had no configuration",
    "no_engine": "no engine of the service can run it now",
    "no_owner": "no host that owns the queue could be reached",
    "no_reader_for_long_prompt": (
        "no prefill engine is available and the prompt would pause running streams"
    ),
    "no_request_id": "it has no request id",
    "no_route": "no route of the configuration matches host and path",
    "no_server": "no backend server of the service is known",
    "not_connected": "no connection to the engine could be opened",
    "not_reserved": "no engine had the slot that was granted",
    "objective_missed": "no slot was expected to be free within its objective",
    "partial_event": "the response of the engine ended within an event",
    "prompt_quarantined": "engines crash under it or under a part of its prompt",
    "prompt_not_read": "its prompt could not be prefilled",
    "retry_budget": "another send would have exceeded the retry budget",
    "saturated": "it was late while requests on time were refused",
    "send_failed": "the connection to the engine was closed before the send",
    "server_limited": (
        "the request rate that the servers had named for all hosts was used up"
    ),
    "servers_paused": "all backend servers had asked this host to send nothing",
    "silent": "the engine produced no event for too long",
    **{
        f"status_{status}_unproven": (
            f"a backend server answered {status} without stating that it had not run it"
        )
        for status in (408, 429, 503)
    },
    "stopping": "the host was shutting down and might have cut it off",
    "trial_deferred": (
        "an engine crashed under it or under a part of its prompt, and none was free "
        "to try it again"
    ),
    "too_many_late": "the limit of waiting late requests was reached",
    "waited_too_long": "no slot became free within its objective",
    "withdrawn": "the host withdrew it from the queue",
}
# Result codes as hosts log them: OK and CALLER_GONE are complete codes,
# REFUSED and FAILED the first two digits of a class of codes.
OK = "0"
REFUSED = "12"
FAILED = "13"
CALLER_GONE = "1211"
# The reason of requests that ended because their host had to exit.
HOST_STOPPED = "host_stopped"


def cause_of(lines: Sequence[LogLine]) -> str:
    """Return one sentence that says how a request ended and why."""
    ends = [line for line in lines if line.event == "request_ended"]
    no_route = _last(lines, "no_route")
    if no_route is not None:
        return (
            f"answered 404: {_TEXTS_BY_REASON['no_route']} (version "
            f"{no_route.get('version')})"
        )
    cut = _last(lines, "request_cut")
    if cut is not None:
        return (
            f"cut: its host exited {cut.get('ms')} ms after it was read, "
            f"{cut.get('left_ms')} ms before its deadline{_cut_response(lines)}"
        )
    if not ends:
        last = lines[-1]
        return (
            f"unknown: the lines end with {last.event} at {last.host}; the host was "
            "killed or its log is incomplete"
        )
    end = ends[-1]
    code, reason = end.get("code"), end.get("reason")
    if code == OK:
        return _served(lines, end)
    text = _TEXTS_BY_REASON.get(reason, reason)
    if code == CALLER_GONE:
        progress = f"{_describe_progress(lines)}{_describe_stall(lines)}"
        return f"left by the caller after {end.get('ms')} ms{progress}"
    if code.startswith(REFUSED):
        return f"refused: {text}{_refusal_details(lines)}"
    if code.startswith(FAILED):
        return f"failed: {text}{_failure_details(lines)}"
    return f"answered {code}: {text}"


def _served(lines: Sequence[LogLine], end: LogLine) -> str:
    """Return whether a served request was late, and in which phase."""
    pace = _last(lines, "stream_pace")
    if pace is None:
        return _served_plain(lines, end)
    first_ms = float_field(pace, "first_ms")
    objective_ms = float_field(pace, "objective_ms")
    if first_ms > objective_ms:
        granted = _last(lines, "place_granted")
        waited_ms = granted.get("waited_ms") if granted is not None else "0"
        return (
            f"late: first event after {first_ms:.0f} ms, objective "
            f"{objective_ms:.0f} ms, of which {waited_ms} ms in the queue"
        )
    gap_ms = float_field(pace, "max_gap_ms")
    allowed_ms = float_field(pace, "allowed_gap_ms")
    if 0 < allowed_ms < gap_ms:
        return (
            f"late: a pause of {gap_ms:.0f} ms between events, allowed "
            f"{allowed_ms:.0f} ms{_describe_stall(lines)}"
        )
    return f"served on time: first event after {first_ms:.0f} ms"


def _served_plain(lines: Sequence[LogLine], end: LogLine) -> str:
    """Return whether a request without a stream was late, and its sends."""
    read, duration_ms = _last(lines, "request_read"), float_field(end, "ms")
    objective_ms = float_field(read, "objective_ms") if read is not None else 0.0
    if not 0 < objective_ms < duration_ms:
        return f"served on time: {duration_ms:.0f} ms"
    sends = ", ".join(
        f"{line.get('engine')} {line.get('outcome')} after {line.get('ms')} ms"
        for line in lines
        if line.event == "sent"
    )
    return (
        f"late: {duration_ms:.0f} ms, objective {objective_ms:.0f} ms ({sends})"
        f"{_describe_limits(lines)}"
    )


def _refusal_details(lines: Sequence[LogLine]) -> str:
    """Return the state of the queue that refused a request, or the limits."""
    refused = _last(lines, "place_refused")
    quarantined = _last(lines, "request_quarantined")
    if quarantined is not None:
        return f" (parts {quarantined.get('parts')})"
    if refused is None:
        return _describe_limits(lines)
    return (
        f" (free slots {refused.get('free_places')}, waiting "
        f"{refused.get('waiting')}, told to retry after "
        f"{refused.get('retry_after_s')} s)"
    )


def _describe_limits(lines: Sequence[LogLine]) -> str:
    """Return the servers whose limits kept a plain request from them."""
    limits = [line for line in lines if line.event == "permit_refused"]
    if not limits:
        return ""
    servers = ", ".join(
        f"{line.get('engine')} {line.get('rate_per_s')}/s" for line in limits
    )
    return f" (limits: {servers})"


def _failure_details(lines: Sequence[LogLine]) -> str:
    """Return the engine that failed last and how."""
    broken = _last(lines, "run_broken")
    if broken is not None:
        return f" (engine {broken.get('engine')}: {broken.get('reason')})"
    sends = [line for line in lines if line.event in ("sent", "run_sent")]
    if not sends:
        return ""
    last = sends[-1]
    detail = last.get("detail")
    return (
        f" (engine {last.get('engine')}: {last.get('outcome')}"
        f"{' ' + detail if detail else ''} after {last.get('ms')} ms)"
    )


def _cut_response(lines: Sequence[LogLine]) -> str:
    """Return what the caller of a cut request got, if its host answered."""
    end = _last(lines, "request_ended")
    if end is None or end.get("reason") != HOST_STOPPED:
        return ""
    if end.get("code").startswith(REFUSED):
        return "; the caller was told that it has not run"
    return "; the caller was told that it may have run"


def _describe_progress(lines: Sequence[LogLine]) -> str:
    """Return how far a request got before its caller disconnected."""
    if _last(lines, "stream_pace") is not None:
        return ", after the first event"
    if _last(lines, "place_granted") is not None:
        return ", with a slot but before the first event"
    return ", before it had a slot"


def _describe_stall(lines: Sequence[LogLine]) -> str:
    """Return which engine sent no events and for how long, if one did."""
    stall = _last(lines, "run_stalled")
    if stall is None:
        return ""
    engine, silent_ms = stall.get("engine"), stall.get("silent_ms")
    return f" (engine {engine} was silent for {silent_ms} ms)"


def _last(lines: Sequence[LogLine], event: str) -> LogLine | None:
    return next((line for line in reversed(lines) if line.event == event), None)


def float_field(line: LogLine, name: str) -> float:
    """Return a numeric field; 0 when it is absent or not a number."""
    try:
        return float(line.get(name))
    except ValueError:
        return 0.0
