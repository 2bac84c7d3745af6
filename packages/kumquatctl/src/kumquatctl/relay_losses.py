"""Accounts for every request of relay hosts from their logs.

Each request is served on time, or its loss has an outcome and a reason: late
(where its time went), refused, failed, left by its caller, or cut with its
host. The reasons add up to all requests. Lines are read as a stream in the
order of their times; only requests in progress are kept in memory.
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
    number_of,
)
from .log_lines import LogLine

__all__ = ["Loss", "LossAccount", "account_for"]

# Outcomes of sends that are no errors.
_GOOD_OUTCOMES = ("ok", "200")


@dataclass(frozen=True)
class Loss:
    """Why a request was not served on time.

    ``engine`` is the last engine that it was sent to, and ``last_error`` what
    went wrong there, or nothing.
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
    """All requests of a set of logs; ``by`` counts losses by a field."""

    requests: int = 0
    served: int = 0
    losses: Counter[Loss] = field(default_factory=Counter)

    def by(self, *names: str) -> list[tuple[tuple[str, ...], int]]:
        """Return the losses by fields of ``Loss``, most frequent first."""
        counts: Counter[tuple[str, ...]] = Counter()
        for loss, count in self.losses.items():
            counts[tuple(str(getattr(loss, name)) for name in names)] += count
        return sorted(counts.items(), key=lambda item: (-item[1], item[0]))


@dataclass
class _Open:
    """A request in progress; times are epoch seconds and milliseconds."""

    host: str
    route: str
    at_s: float
    objective_ms: float
    waited_ms: float = 0.0
    read_ms: float = 0.0
    has_place: bool = False
    attempts: int = 0
    last_engine: str = ""
    last_error: str = ""
    pace: LogLine | None = None


def account_for(lines: Iterable[LogLine]) -> LossAccount:
    """Return the account of log lines that are in the order of their times."""
    return _Accountant().run(lines)


class _Accountant:
    def __init__(self) -> None:
        self._account = LossAccount()
        self._open_by_id: dict[str, _Open] = {}
        self._domains_by_host: dict[str, str] = {}
        self._first_s: float | None = None

    def run(self, lines: Iterable[LogLine]) -> LossAccount:
        for line in lines:
            self._take(line)
        for request in self._open_by_id.values():
            self._lose(request, "cut", "host_ended")
        return self._account

    def _take(self, line: LogLine) -> None:
        if line.event == "started":
            self._domains_by_host[line.host] = line.get("failure_domain")
        request_id = line.get("request")
        if line.event == "request_read":
            self._begin(request_id, line)
            return
        request = self._open_by_id.get(request_id)
        if request is None:
            return
        if line.event == "request_ended":
            del self._open_by_id[request_id]
            self._end(request, line)
            return
        _observe(request, line)

    def _begin(self, request_id: str, line: LogLine) -> None:
        at_s = _seconds(line.time)
        if self._first_s is None:
            self._first_s = at_s
        self._account.requests += 1
        self._open_by_id[request_id] = _Open(
            line.host, line.get("route"), at_s, number_of(line, "objective_ms")
        )

    def _end(self, request: _Open, line: LogLine) -> None:
        code, reason = line.get("code"), line.get("reason")
        if code == OK:
            phase = _late_phase(request, number_of(line, "ms"))
            if phase:
                self._lose(request, "late", phase)
            else:
                self._account.served += 1
        elif code == CALLER_GONE:
            self._lose(request, "caller_gone", _progress(request))
        elif code.startswith(REFUSED):
            self._lose(request, "refused", reason)
        elif code.startswith(FAILED):
            self._lose(request, "failed", reason)
        else:
            self._lose(request, "rejected", reason)

    def _lose(self, request: _Open, outcome: str, reason: str) -> None:
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


def _observe(request: _Open, line: LogLine) -> None:
    """Take over what a line says of a request in progress."""
    match line.event:
        case "place_granted":
            request.has_place = True
            request.waited_ms += number_of(line, "waited_ms")
        case "stream_pace":
            request.pace = line
        case "run_broken":
            request.last_error = line.get("reason")
        case "prefill":
            request.read_ms += number_of(line, "ms")
            _observe_send(request, line)
        case "sent" | "run_sent":
            request.attempts += 1
            _observe_send(request, line)


def _observe_send(request: _Open, line: LogLine) -> None:
    request.last_engine = line.get("engine")
    outcome, detail = line.get("outcome"), line.get("detail")
    if outcome == "answered":
        request.last_error = f"status_{detail}" if detail.startswith("5") else ""
    else:
        request.last_error = "" if outcome in _GOOD_OUTCOMES else outcome


def _late_phase(request: _Open, took_ms: float) -> str:
    """Return where the time of a late answer went, nothing if it was not."""
    pace = request.pace
    if pace is None:
        if not 0 < request.objective_ms < took_ms:
            return ""
        return "repeated" if request.attempts > 1 else "server"
    first_ms = number_of(pace, "first_ms")
    if first_ms > request.objective_ms:
        parts_ms = {
            "queue": request.waited_ms,
            "prompt": request.read_ms,
            "run": first_ms - request.waited_ms - request.read_ms,
        }
        return max(parts_ms, key=lambda name: parts_ms[name])
    if 0 < number_of(pace, "allowed_gap_ms") < number_of(pace, "max_gap_ms"):
        return "pause"
    return ""


def _progress(request: _Open) -> str:
    if request.pace is not None:
        return "after_first_event"
    return "with_place" if request.has_place else "before_place"


def _seconds(time: str) -> float:
    try:
        return datetime.fromisoformat(time).replace(tzinfo=UTC).timestamp()
    except ValueError:
        return 0.0
