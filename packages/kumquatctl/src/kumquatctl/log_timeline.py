"""Joins the log lines of all hosts about one request into a timeline.

Beside the lines that name the request, lines that say what a host believed of
its engines at that time are shown: an engine that was lost, avoided or listed
as leaving, from the hosts that handled the request.
"""

from collections.abc import Iterable, Sequence
from datetime import datetime, timedelta

from .log_causes import cause_of
from .log_lines import LogLine
from .output import console, print_json, print_table

__all__ = ["lines_of", "show_timeline"]

# Events on engines; they concern a request from a little before its start on.
_ENGINE_EVENTS = frozenset(
    {"engine_avoided", "engine_gone", "engine_listed", "engine_reached", "order_sent"}
)
_BEFORE = timedelta(seconds=5)


def lines_of(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines that concern a request, in the order of their times."""
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
        and _earlier(first) <= line.time <= last
    ]
    return sorted([*own, *context], key=lambda line: line.time)


def show_timeline(request_id: str, lines: Sequence[LogLine], as_json: bool) -> None:
    """Print the timeline; its last line is the cause."""
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
    return " ".join(
        f"{name}={value}"
        for name, value in line.fields_by_name.items()
        if name != "request"
    )


def _earlier(time: str) -> str:
    try:
        return (datetime.fromisoformat(time) - _BEFORE).isoformat("T", "milliseconds")
    except ValueError:
        return time
