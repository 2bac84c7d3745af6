"""Timeouts of streams without events, and the most events of a stream.

Load pattern: an engine pauses all its runs while it prefills a prompt or has
no memory left for them. An engine that crashed without a TCP reset, or that
only sends a byte now and then, never produces another event.

Only complete events count as progress. After a few of the pauses that its
route allows, a stream that can be resumed asks for a run at another engine,
but its silent run goes on until that one sends events: the engine may be
sound, and no other may have capacity. Failing a run before its caller
disconnects gains nothing, so its timeout covers the caller's patience.
"""

import math
from dataclasses import dataclass

from .caller_request import CallerRequest
from .routes import Route

__all__ = [
    "EventTimeouts",
    "caller_patience_ms",
    "disconnect_timeout_s",
    "event_timeouts",
    "max_events",
]

# Callers disconnect from a stream that is idle for the longest of a minimum,
# a multiple of the latency objective and a multiple of the longest pause.
MIN_PATIENCE_MS = 2000
PATIENCE_PER_OBJECTIVE = 4
PATIENCE_PER_GAP = 8

# An engine may need this long to prefill a long prompt or to restore a
# preempted run.
MIN_FIRST_EVENT_TIMEOUT_S = 0.9
MIN_GAP_TIMEOUT_S = 1.2
# Multiple of the longest pause that the route allows. Engines slowed by their
# neighbours pause for two to three times the usual time.
TIMEOUT_PER_GAP = 4
# A stream has at most an event for each token that its caller allows, and a
# few without a token. One far beyond that has no end.
MAX_EVENTS_PER_TOKEN = 2
MAX_EVENTS_WITHOUT_TOKEN = 64
# The disconnect of a caller is received within this time.
DISCONNECT_MARGIN_S = 0.5


@dataclass(frozen=True)
class EventTimeouts:
    """Longest idle time before the first event and between events, seconds."""

    first_event_s: float
    gap_s: float


def caller_patience_ms(route: Route) -> int:
    """Return the idle time after which a caller disconnects, milliseconds."""
    return max(
        MIN_PATIENCE_MS,
        PATIENCE_PER_OBJECTIVE * route.objective_ms,
        PATIENCE_PER_GAP * route.max_gap_ms,
    )


def disconnect_timeout_s(route: Route) -> float:
    """Return the idle time after which a run certainly has no caller."""
    return caller_patience_ms(route) / 1000 + DISCONNECT_MARGIN_S


def event_timeouts(route: Route, *, may_resume: bool) -> EventTimeouts:
    """Return the timeouts of a run, or those until another run is begun.

    ``may_resume`` tells whether another run is to begin beside the silent one.
    """
    disconnect_s = disconnect_timeout_s(route)
    if not may_resume:
        return EventTimeouts(disconnect_s, disconnect_s)
    return EventTimeouts(
        min(disconnect_s, max(MIN_FIRST_EVENT_TIMEOUT_S, route.objective_ms / 1000)),
        min(
            disconnect_s,
            max(MIN_GAP_TIMEOUT_S, TIMEOUT_PER_GAP * route.max_gap_ms / 1000),
        ),
    )


def max_events(request: CallerRequest) -> float:
    """Return how many events the stream of a request may have."""
    prompt = request.metadata.prompt
    if prompt is None:
        return math.inf
    return MAX_EVENTS_PER_TOKEN * prompt.max_output_tokens + MAX_EVENTS_WITHOUT_TOKEN
