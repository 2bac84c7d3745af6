"""Merges the log lines of all hosts about one request into a timeline.

Besides the lines that name the request, the timeline contains the events of
its engines during that time, as logged by the hosts that handled the request:
an engine that was lost, avoided, listed, reached again or sent a role command.
"""

from collections.abc import Iterable, Sequence
from datetime import datetime, timedelta

from .log_causes import cause_of
from .log_lines import LogLine
from .output import console, print_json, print_table

__all__ = ["select_lines", "show_timeline"]

# Events about engines. Those shortly before the request are included, since
# they explain why an engine was or was not chosen.
_ENGINE_EVENTS = frozenset(
    {"engine_avoided", "engine_gone", "engine_listed", "engine_reached", "order_sent"}
)
_ENGINE_EVENT_LEAD = timedelta(seconds=5)


def select_lines(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines that concern a request, ordered by time."""
    every = list(lines)
    own = [line for line in every if line.get("request") == request_id]
    if not own:
        return []
    own.sort(key=lambda line: line.time)
    hosts = {line.host for line in own}
    engines = {
        line.get(name)
        for line in own
        for name in ("engine", "decode_engine", "prefill_engine")
        if line.get(name)
    }
    first, last = own[0].time, own[-1].time
    context = [
        line
        for line in every
        if line.event in _ENGINE_EVENTS
        and line.get("engine") in engines
        and line.host in hosts
        and _subtract_lead(first) <= line.time <= last
    ]
    return sorted([*own, *context], key=lambda line: line.time)


def show_timeline(request_id: str, lines: Sequence[LogLine], as_json: bool) -> None:
    """Print the timeline of a request; the last line is the cause."""
    own = [line for line in lines if line.get("request") == request_id]
    cause = cause_of(own)
    if as_json:
        events = [
            {
                "time": line.time,
                "host": line.host,
                "event": line.event,
                "fields": dict(line.fields_by_name),
            }
            for line in lines
        ]
        print_json({"request": request_id, "events": events, "cause": cause})
        return
    rows = [
        (line.time.partition("T")[2], line.host, line.event, _fields(line))
        for line in lines
    ]
    print_table(f"Request {request_id}", ("time", "host", "event", "fields"), rows)
    console().print(cause, markup=False)


def _fields(line: LogLine) -> str:
    """Return the fields of a line for the table, without the request id."""
    return " ".join(
        f"{name}={value}"
        for name, value in line.fields_by_name.items()
        if name != "request"
    )


def _subtract_lead(time: str) -> str:
    """Return a time earlier by the lead; unchanged when not ISO 8601."""
    try:
        return (datetime.fromisoformat(time) - _ENGINE_EVENT_LEAD).isoformat(
            "T", "milliseconds"
        )
    except ValueError:
        return time
