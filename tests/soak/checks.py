"""Checks the documented guarantees on what callers and engines recorded."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from tests.relay.fakes import FakeEngine

from .callers import (
    EVENT_SEPARATOR,
    STREAM_ROUTES,
    RequestOutcome,
    SentRequest,
)

__all__ = ["DEADLY_BODY_PREFIX", "HostOutage", "find_violations", "served_share"]

# Routes whose requests may be executed at most once.
NON_REPEATABLE_ROUTES = ("once", "tale")
REFUSAL_STATUSES = (429, 503)
TARGET_SUFFIX = "p%2Fq?x=1"
# After a pause a host first handles what arrived meanwhile.
OUTAGE_MARGIN_S = 1.0
# From this time after an engine has named a limit, the requests of all hosts
# in any window may exceed it by this factor and a few requests more.
LIMIT_APPLY_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
# From this time after so many crashes under a prompt part, only a few more
# requests with it may reach engines.
DEADLY_APPLY_S = 3.0
DEADLY_CRASHES = 5
DEADLY_EXTRA = 3
# The same for whole requests, whose bodies begin with this.
DEADLY_BODY_PREFIX = "deadly"
DEADLY_BODY_CRASHES = 3


@dataclass(frozen=True)
class HostOutage:
    """A period in which callers could not reach a host, in loop seconds.

    ``stopped_s`` is the time at which the process exited in a planned stop,
    None for other outages. A process that is ``killed`` cannot reset its
    connections.
    """

    host_id: str
    began_s: float
    ended_s: float
    stopped_s: float | None = None
    killed: bool = False

    def affects(self, item: SentRequest) -> bool:
        """Tell whether a request overlaps with this period."""
        return (
            self.host_id == item.host_id
            and self.began_s - OUTAGE_MARGIN_S < item.ended_s
            and item.began_s < self.ended_s + OUTAGE_MARGIN_S
        )


def find_violations(
    sent: Sequence[SentRequest],
    engines: Sequence[FakeEngine],
    events: int,
    host_outages: Sequence[HostOutage],
) -> list[str]:
    """Return one line for each violation of a guarantee."""
    return [
        *_find_repeated_runs(sent, engines),
        *_find_runs_of_refused(sent, engines),
        *_find_wrong_responses(sent, engines, events, host_outages),
        *_find_foreign_answers(sent),
        *_find_joined_streams(sent, events),
        *_find_foreign_results(engines),
        *_find_altered_requests(sent, engines),
        *_find_missing_responses(sent, host_outages),
        *_find_cut_requests(sent, engines, host_outages),
        *_find_exceeded_limits(engines),
        *_find_deadly_requests(engines),
    ]


def served_share(sent: Sequence[SentRequest], from_s: float) -> float:
    """Return the served share of the requests that began at or after a time.

    Requests whose callers disconnected early do not count.
    """
    counted = [
        item
        for item in sent
        if item.began_s >= from_s and item.outcome is not RequestOutcome.LEFT
    ]
    return sum(item.served for item in counted) / len(counted) if counted else 0.0


def _run_counts(engines: Sequence[FakeEngine]) -> Counter[str]:
    return Counter(run for engine in engines for run in engine.runs)


def _find_repeated_runs(
    sent: Sequence[SentRequest], engines: Sequence[FakeEngine]
) -> list[str]:
    counts = _run_counts(engines)
    return [
        f"{item.request_id} on {item.route} ran {counts[item.request_id]} times"
        for item in sent
        if item.route in NON_REPEATABLE_ROUTES and counts[item.request_id] > 1
    ]


def _find_runs_of_refused(
    sent: Sequence[SentRequest], engines: Sequence[FakeEngine]
) -> list[str]:
    counts = _run_counts(engines)
    return [
        f"{item.request_id} on {item.route} got status {item.status} but was executed"
        for item in sent
        if item.outcome is RequestOutcome.ANSWERED
        and item.status in REFUSAL_STATUSES
        and counts[item.request_id]
    ]


def _find_wrong_responses(
    sent: Sequence[SentRequest],
    engines: Sequence[FakeEngine],
    events: int,
    host_outages: Sequence[HostOutage],
) -> list[str]:
    """Return wrong bodies, and responses of engines that ran no such request.

    The seal in a response's headers identifies the engine that sent it.
    """
    seals = {engine.id: f"seal-{engine.id}" for engine in engines}
    violations = []
    for item in sent:
        if not item.served:
            continue
        ran_at_engine_ids = {
            engine.id for engine in engines if item.request_id in engine.runs
        }
        if item.seal not in {seals[engine_id] for engine_id in ran_at_engine_ids}:
            violations.append(
                f"{item.request_id} has the seal {item.seal or '(none)'}, "
                "not that of an engine that ran it"
            )
        expected = _expected_body(item.route, events)
        ends_like_cut = item.without_chunks and expected.startswith(item.body)
        if ends_like_cut and any(
            outage.killed and outage.affects(item) for outage in host_outages
        ):
            continue
        if item.body != expected:
            violations.append(
                f"{item.request_id} on {item.route} has a wrong response body"
            )
    return violations


def _find_foreign_answers(sent: Sequence[SentRequest]) -> list[str]:
    """Return answers of engines that bear another request id, or none."""
    return [
        f"{item.request_id} on {item.route} got status {item.status} "
        f"with the id {item.answer_id or '(none)'}"
        for item in sent
        if (item.seal or 200 <= item.status < 300) and item.answer_id != item.request_id
    ]


def _find_joined_streams(sent: Sequence[SentRequest], events: int) -> list[str]:
    """Return incomplete streams with something else than their events."""
    return [
        f"{item.request_id} on {item.route} was cut after {item.body[-60:]!r}"
        for item in sent
        if item.route in STREAM_ROUTES
        and item.status == 200
        and not item.served
        and not _expected_body(item.route, events).startswith(item.body)
    ]


def _find_foreign_results(engines: Sequence[FakeEngine]) -> list[str]:
    """Return runs with a prefill result or reservation that is not their own.

    A host that takes a copy for the answer to a prefill or a reservation names
    the result of another request, or one that its engine never gave.
    """
    request_ids_by_source = {
        f"{(engine.advertised_address or engine.address).text}/{handle}": request_id
        for engine in engines
        for handle, request_id in engine.request_ids_by_handle.items()
    }
    violations = []
    for engine in engines:
        for _, _, headers, _ in engine.received:
            request_id = headers.get("x-request-id", "")
            source = headers.get("x-kv-source", "")
            hold = headers.get("x-kv-hold", "")
            if source and request_ids_by_source.get(source) != request_id:
                violations.append(f"{request_id} at {engine.id} names {source}")
            if hold and hold not in engine.holds:
                violations.append(f"{request_id} at {engine.id} names {hold}")
    return violations


def _expected_body(route: str, events: int) -> bytes:
    if route not in STREAM_ROUTES:
        return b"whole"
    return b"".join(
        f"id: {number}\ndata: e{number}".encode() + EVENT_SEPARATOR
        for number in range(1, events + 1)
    )


def _find_altered_requests(
    sent: Sequence[SentRequest], engines: Sequence[FakeEngine]
) -> list[str]:
    """Return requests whose method, target or body differ at an engine."""
    routes_by_id = {item.request_id: item.route for item in sent}
    bodies_by_id = {item.request_id: item.sent_body for item in sent}
    violations = []
    for engine in engines:
        for method, target, headers, body in engine.received:
            request_id = headers.get("x-request-id", "")
            expected = f"/{routes_by_id.get(request_id)}/{TARGET_SUFFIX}"
            expected_body = bodies_by_id.get(request_id) or request_id.encode()
            if (method, target, body) != ("POST", expected, expected_body):
                violations.append(
                    f"{engine.id} received {method} {target} as {request_id}"
                )
    return violations


def _find_exceeded_limits(engines: Sequence[FakeEngine]) -> list[str]:
    """Return limits that an engine named and that all hosts exceeded."""
    violations = []
    for engine in engines:
        for period in engine.limit_periods:
            allowed = LIMIT_FACTOR * period.rate_per_s * LIMIT_WINDOW_S + LIMIT_EXTRA
            from_s = period.began_s + LIMIT_APPLY_S
            times = [
                time for time in engine.arrivals_s if from_s <= time < period.ended_s
            ]
            most = max(
                (
                    sum(begin <= time < begin + LIMIT_WINDOW_S for time in times)
                    for begin in times
                ),
                default=0,
            )
            if most > allowed:
                violations.append(
                    f"{engine.id} named {period.rate_per_s} requests per second from "
                    f"{period.began_s:.2f} on and received {most} in "
                    f"{LIMIT_WINDOW_S:.0f} s, allowed {allowed:.0f}"
                )
    return violations


def _find_deadly_requests(engines: Sequence[FakeEngine]) -> list[str]:
    """Return parts and bodies sent too often after crashes under them."""
    violations = []
    crashes = sorted(item for engine in engines for item in engine.crash_times)
    for part in sorted({part for part, _ in crashes}):
        times = sorted(time for crashed, time in crashes if crashed == part)
        is_body = part.startswith(DEADLY_BODY_PREFIX)
        crash_limit = DEADLY_BODY_CRASHES if is_body else DEADLY_CRASHES
        if len(times) < crash_limit:
            continue
        from_s = times[crash_limit - 1] + DEADLY_APPLY_S
        late = sum(
            sent == part and time > from_s
            for engine in engines
            for sent, time in engine.deadly_arrivals
        )
        if late > DEADLY_EXTRA:
            violations.append(
                f"{late} requests with {part} reached engines after "
                f"{crash_limit} of {len(times)} crashes under it"
            )
    return violations


def _find_missing_responses(
    sent: Sequence[SentRequest], host_outages: Sequence[HostOutage]
) -> list[str]:
    """Return requests that timed out although their host was reachable."""
    return [
        f"{item.request_id} on {item.route} at {item.host_id} got no response"
        for item in sent
        if item.outcome is RequestOutcome.UNANSWERED
        and not any(outage.affects(item) for outage in host_outages)
    ]


def _find_cut_requests(
    sent: Sequence[SentRequest],
    engines: Sequence[FakeEngine],
    host_outages: Sequence[HostOutage],
) -> list[str]:
    """Return plain requests that ran and were cut without a reason.

    Their connection was closed without a response although nothing disturbed
    the host, or between SIGTERM and the exit of the process. A stream may also
    be broken off since its engine failed.
    """
    runs = _run_counts(engines)
    violations = []
    for item in sent:
        if item.outcome is not RequestOutcome.CLOSED or not runs[item.request_id]:
            continue
        outages = [
            outage
            for outage in host_outages
            if outage.host_id == item.host_id
            and outage.began_s - OUTAGE_MARGIN_S < item.ended_s
            and item.began_s < outage.ended_s + OUTAGE_MARGIN_S
        ]
        if item.route in STREAM_ROUTES:
            continue
        if outages and all(outage.stopped_s is not None for outage in outages):
            violations.append(
                f"{item.request_id} on {item.route} at {item.host_id} was cut by a "
                "planned stop"
            )
        if not outages and item.status == 0:
            violations.append(
                f"{item.request_id} on {item.route} at {item.host_id} was closed "
                "without an answer by an undisturbed host"
            )
    return violations
