"""Counts from the logs of relay hosts how each request ended.

A request is either served on time or a loss with an outcome and a reason:
late (the phase that took the time), refused, failed, abandoned by its caller,
or cut off when its host ended. Served requests and losses add up to all
requests. Lines are processed as a stream ordered by time; only requests in
progress are kept in memory.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime

from .log_causes import (
    CALLER_GONE,
    FAILED,
    OK,
    REFUSED,
    float_field,
)
from .log_lines import LogLine

__all__ = ["Loss", "LossAccount", "account_for"]

# Outcomes of a send other than ``answered`` that are not errors.
_SUCCESSFUL_OUTCOMES = ("ok", "200")


@dataclass(frozen=True)
class Loss:
    """Why a request was not served on time.

    ``engine`` is the last engine that it was sent to, and ``last_error`` the
    error there, empty if there was none.
    """

    outcome: str
    reason: str
    last_error: str
    route: str
    host: str
    failure_domain: str
    engine: str
    second: int


@dataclass
class LossAccount:
    """Counts of all requests in a set of logs and of their losses."""

    requests: int = 0
    served: int = 0
    losses: Counter[Loss] = field(default_factory=Counter)

    def by(self, *names: str) -> list[tuple[tuple[str, ...], int]]:
        """Return loss counts grouped by fields of ``Loss``, highest first."""
        counts: Counter[tuple[str, ...]] = Counter()
        for loss, count in self.losses.items():
            counts[tuple(str(getattr(loss, name)) for name in names)] += count
        return sorted(counts.items(), key=lambda item: (-item[1], item[0]))


@dataclass
class _OpenRequest:
    """A request in progress; ``at_s`` is its start in epoch seconds."""

    host: str
    route: str
    at_s: float
    objective_ms: float
    waited_ms: float = 0.0
    prefill_ms: float = 0.0
    has_slot: bool = False
    attempts: int = 0
    last_engine: str = ""
    last_error: str = ""
    stream_pace: LogLine | None = None


def account_for(lines: Iterable[LogLine]) -> LossAccount:
    """Return the counts for log lines that are ordered by time."""
    return _LossCounter().run(lines)


class _LossCounter:
    """Follows every request from its first to its last log line."""

    def __init__(self) -> None:
        self._account = LossAccount()
        self._requests_by_id: dict[str, _OpenRequest] = {}
        self._domains_by_host: dict[str, str] = {}
        self._first_s: float | None = None

    def run(self, lines: Iterable[LogLine]) -> LossAccount:
        for line in lines:
            self._process_line(line)
        for request in self._requests_by_id.values():
            self._record_loss(request, "cut", "host_ended")
        return self._account

    def _process_line(self, line: LogLine) -> None:
        if line.event == "started":
            self._domains_by_host[line.host] = line.get("failure_domain")
        request_id = line.get("request")
        if line.event == "request_read":
            self._start_request(request_id, line)
            return
        request = self._requests_by_id.get(request_id)
        if request is None:
            return
        if line.event == "request_cut":
            del self._requests_by_id[request_id]
            self._record_loss(request, "cut", "host_stopped")
            return
        if line.event == "request_ended":
            del self._requests_by_id[request_id]
            self._finish_request(request, line)
            return
        _update_request(request, line)

    def _start_request(self, request_id: str, line: LogLine) -> None:
        at_s = _seconds(line.time)
        if self._first_s is None:
            self._first_s = at_s
        self._account.requests += 1
        self._requests_by_id[request_id] = _OpenRequest(
            line.host, line.get("route"), at_s, float_field(line, "objective_ms")
        )

    def _finish_request(self, request: _OpenRequest, line: LogLine) -> None:
        code, reason = line.get("code"), line.get("reason")
        if code == OK:
            phase = _late_phase(request, float_field(line, "ms"))
            if phase:
                self._record_loss(request, "late", phase)
            else:
                self._account.served += 1
        elif code == CALLER_GONE:
            self._record_loss(request, "caller_gone", _reached_phase(request))
        elif code.startswith(REFUSED):
            self._record_loss(request, "refused", reason)
        elif code.startswith(FAILED):
            self._record_loss(request, "failed", reason)
        else:
            self._record_loss(request, "rejected", reason)

    def _record_loss(self, request: _OpenRequest, outcome: str, reason: str) -> None:
        first_s = self._first_s if self._first_s is not None else request.at_s
        loss = Loss(
            outcome,
            reason,
            request.last_error,
            request.route,
            request.host,
            self._domains_by_host.get(request.host, ""),
            request.last_engine,
            int(request.at_s - first_s),
        )
        self._account.losses[loss] += 1


def _update_request(request: _OpenRequest, line: LogLine) -> None:
    """Update a request in progress from one of its log lines."""
    match line.event:
        case "place_granted":
            request.has_slot = True
            request.waited_ms += float_field(line, "waited_ms")
        case "stream_pace":
            request.stream_pace = line
        case "run_broken":
            request.last_error = line.get("reason")
        case "prefill":
            request.prefill_ms += float_field(line, "ms")
            _record_send(request, line)
        case "sent" | "run_sent":
            request.attempts += 1
            _record_send(request, line)


def _record_send(request: _OpenRequest, line: LogLine) -> None:
    """Record the engine and error of the last send."""
    request.last_engine = line.get("engine")
    outcome, detail = line.get("outcome"), line.get("detail")
    if outcome == "answered":
        is_error = detail.startswith("5") or detail.endswith("_unproven")
        request.last_error = f"status_{detail}" if is_error else ""
    else:
        request.last_error = "" if outcome in _SUCCESSFUL_OUTCOMES else outcome


def _late_phase(request: _OpenRequest, duration_ms: float) -> str:
    """Return the phase that made a response late; empty when on time."""
    stream_pace = request.stream_pace
    if stream_pace is None:
        if not 0 < request.objective_ms < duration_ms:
            return ""
        return "repeated" if request.attempts > 1 else "server"
    first_ms = float_field(stream_pace, "first_ms")
    if first_ms > request.objective_ms:
        parts_ms = {
            "queue": request.waited_ms,
            "prompt": request.prefill_ms,
            "run": first_ms - request.waited_ms - request.prefill_ms,
        }
        return max(parts_ms, key=lambda name: parts_ms[name])
    if (
        0
        < float_field(stream_pace, "allowed_gap_ms")
        < float_field(stream_pace, "max_gap_ms")
    ):
        return "pause"
    return ""


def _reached_phase(request: _OpenRequest) -> str:
    """Return how far a request got before its caller disconnected."""
    if request.stream_pace is not None:
        return "after_first_event"
    return "with_place" if request.has_slot else "before_place"


def _seconds(time: str) -> float:
    """Return an ISO 8601 UTC time in epoch seconds; 0 when malformed."""
    try:
        return datetime.fromisoformat(time).replace(tzinfo=UTC).timestamp()
    except ValueError:
        return 0.0
