"""Tests that all hosts together keep the request rate that an engine names."""

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import replace

import msgpack
import pytest
from kumquat_platform.dialect import PlatformDialect

from kumquat_core.clock import ManualClock
from kumquat_core.peer_messages import (
    Envelope,
    RunsHeld,
    RunsNoted,
    ServerLimit,
    ServerLimitNotice,
    decode,
    encode,
)
from kumquat_relay.cluster_state import ClusterState
from kumquat_relay.engine_connection import ResponseHead
from kumquat_relay.engine_health import EngineHealth
from kumquat_relay.known_limits import UNLISTED_TTL_S, KnownLimits
from kumquat_relay.queue_types import Granted, Refused
from kumquat_relay.relay_host import RelayHost
from kumquat_relay.send_permits import MAX_RETRY_AFTER_S

from .builders import QueueHarness, engine as engine_entry, granted, run_request
from .fakes import FakeEngine
from .relay_harness import RelayHarness, run_scenario

HOSTS = 4
LIMIT_PER_S = 3.0
WINDOW_S = 4.0
# The platform tolerates half of the limit more, and 5 requests, in 4 s.
ALLOWED = int(1.5 * WINDOW_S * LIMIT_PER_S) + 5
# Hosts must keep a limit once it has been in force for this time.
APPLY_S = 3.0
CALLERS_PER_HOST = 4
THINK_S = 0.02
# Without limits the first role change came within this time.
ROLE_PLAN_S = 8.0
ENTRY = replace(engine_entry("e"), born_ms=1000)


def largest_window(arrivals_s: Sequence[float], from_s: float) -> int:
    """Return the most arrivals in ``WINDOW_S`` at or after ``from_s``."""
    times = [time for time in arrivals_s if time >= from_s]
    return max(
        (sum(begin <= time < begin + WINDOW_S for time in times) for begin in times),
        default=0,
    )


async def send_load(harness: RelayHarness, route: str, seconds: float) -> None:
    """Send requests to all hosts without a pause for ``seconds``."""
    end_s = asyncio.get_running_loop().time() + seconds

    async def caller(host: RelayHost) -> None:
        while asyncio.get_running_loop().time() < end_s:
            async with harness.send(route, host=host) as response:
                await response.read()
            await asyncio.sleep(THINK_S)

    await asyncio.gather(
        *(caller(host) for host in harness.hosts for _ in range(CALLERS_PER_HOST))
    )


def limited_engine(harness: RelayHarness, kind: str) -> FakeEngine:
    match kind:
        case "plain":
            return harness.backend_servers[0]
        case "prefill":
            return harness.prefill_engine
    return harness.decode_engines[0]


@pytest.mark.parametrize("kind", ["plain", "prefill", "decode"])
def test_hosts_together_keep_the_limit_that_a_server_names(kind: str) -> None:
    """Eight hosts sent 51 requests in 4 s to a server that allowed 25."""

    async def scenario(harness: RelayHarness) -> None:
        engine = limited_engine(harness, kind)
        engine.extra_headers = {"Server-Limit": str(LIMIT_PER_S)}
        named_s = asyncio.get_running_loop().time()
        route = "once" if kind == "plain" else "tale"
        await send_load(harness, route, APPLY_S + WINDOW_S)
        assert 0 < largest_window(engine.arrivals_s, named_s + APPLY_S) <= ALLOWED

    run_scenario(scenario, HOSTS)


def test_limited_servers_cause_a_refusal_with_retry_after() -> None:
    """A request that no server may take now must not wait for its deadline."""

    async def scenario(harness: RelayHarness) -> None:
        for server in harness.backend_servers:
            server.extra_headers = {"Server-Limit": "0.5"}
        for _ in range(2):
            assert await harness.request_status("once") == 200
        async with harness.send("once") as response:
            assert response.status == 503
            assert 0 < float(response.headers["Retry-After"]) <= MAX_RETRY_AFTER_S
            assert await response.text() == "server_limited\n"
        text = harness.host._metrics_text().decode()
        assert 'send_permits_total{granted="false"}' in text
        assert "kumquat_relay_limited_servers 2.0" in text

    run_scenario(scenario)


def test_an_unlimited_server_gets_the_rest() -> None:
    async def scenario(harness: RelayHarness) -> None:
        harness.backend_servers[0].extra_headers = {"Server-Limit": "0.5"}
        for _ in range(20):
            assert await harness.request_status("once") == 200
        assert len(harness.backend_servers[0].received) <= 2

    run_scenario(scenario)


def test_disabled_rule_ignores_limits() -> None:
    async def scenario(harness: RelayHarness) -> None:
        harness.host._limits.known._enabled = False
        for server in harness.backend_servers:
            server.extra_headers = {"Server-Limit": "0.5"}
        for _ in range(10):
            assert await harness.request_status("once") == 200

    run_scenario(scenario)


def head(*values: bytes, status: int = 200) -> ResponseHead:
    return ResponseHead(
        status, b"OK", tuple((b"Server-Limit", value) for value in values)
    )


@pytest.mark.parametrize(
    ("value", "limit_per_s"), [(b"3.4", 3.4), (b"12", 12.0), (b"0", 0.0)]
)
def test_limits_are_decimal_numbers(value: bytes, limit_per_s: float) -> None:
    notice = PlatformDialect().notice(head(value), "e")
    assert (notice.limit_per_s, notice.limit_problem) == (limit_per_s, "")


@pytest.mark.parametrize(
    "values",
    [
        (b"",),
        (b"-1",),
        (b"nan",),
        (b"inf",),
        (b"1e3",),
        (b"3,4",),
        (b"1_0",),
        (b"9" * 400,),
        (b"3", b"4"),
        ("\u0663".encode(),),
    ],
)
def test_invalid_limits_are_reported(values: tuple[bytes, ...]) -> None:
    notice = PlatformDialect().notice(head(*values), "e")
    assert notice.limit_per_s is None
    assert 0 < len(notice.limit_problem) < 120


class KnownLimitsHarness:
    """The limits that one host knows, and the notices to their owner."""

    def __init__(self) -> None:
        self.clock = ManualClock(100.0)
        cluster_state = ClusterState(self.clock, EngineHealth(self.clock))
        self.known = KnownLimits(self.clock, cluster_state)
        self.notices: list[tuple[float, bool]] = []
        self.known.notify_owner = lambda message: self.notices.append(
            (message.limit.rate_per_s, message.named)
        )

    def respond(
        self, value: bytes | None, sent_s: float | None, status: int = 200
    ) -> None:
        values = () if value is None else (value,)
        notice = PlatformDialect().notice(head(*values, status=status), "e")
        self.known.apply(ENTRY, notice, sent_s, status)


def test_a_limit_changes_and_ends_with_the_responses() -> None:
    harness = KnownLimitsHarness()
    for value in (b"3", b"3", b"2.5"):
        harness.respond(value, harness.clock.monotonic())
        harness.clock.advance(0.1)
    harness.respond(None, harness.clock.monotonic())
    assert harness.notices == [(3.0, True), (2.5, True), (2.5, False)]
    assert harness.known.count() == 0


@pytest.mark.parametrize(("sent_s", "status"), [(99.9, 200), (None, 200), (100.2, 500)])
def test_responses_that_tell_nothing_do_not_end_a_limit(
    sent_s: float | None, status: int
) -> None:
    """They were sent for before it began, or by a part that knows none."""
    harness = KnownLimitsHarness()
    harness.respond(b"3", 100.0)
    harness.clock.advance(0.3)
    harness.respond(None, sent_s, status)
    assert harness.known.is_limited("e")


def test_an_invalid_limit_is_logged_once_and_changes_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    harness = KnownLimitsHarness()
    harness.respond(b"3", 100.0)
    harness.clock.advance(0.1)
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            harness.respond(b"many", harness.clock.monotonic())
    assert [record.msg for record in caplog.records] == ["server_limit_invalid"]
    assert harness.known.rate_per_s("e") == 3.0


def test_an_owner_that_does_not_list_a_limit_ends_it_only_after_a_while() -> None:
    """The owner may have begun just now, or not yet have heard of it."""
    harness = KnownLimitsHarness()
    harness.respond(b"3", 100.0)
    harness.known.merge("advice", ())
    assert harness.known.is_limited("e")
    assert not harness.known.is_confirmed("advice")
    harness.known.merge("advice", None)
    assert harness.known.is_confirmed("advice")
    harness.clock.advance(UNLISTED_TTL_S + 0.1)
    harness.known.merge("advice", ())
    assert harness.known.is_limited("e")
    harness.clock.advance(UNLISTED_TTL_S + 0.1)
    harness.known.merge("advice", ())
    assert not harness.known.is_limited("e")


def limited_queue(rate_per_s: float, **kinds: int) -> QueueHarness:
    """Return a queue whose first decode engine has a limit."""
    harness = QueueHarness(**kinds)
    limits = harness.queue._limits
    limits.set_share(1.0, harness.now_s)
    limits.set_limit(ServerLimit("d0", "advice", 0, rate_per_s), harness.now_s)
    return harness


def test_a_stream_waits_for_a_permit_within_its_objective() -> None:
    harness = limited_queue(4.0)
    assert harness.add(run_request("a")) == []
    due_s = harness.queue.next_due_s(harness.now_s)
    assert due_s == pytest.approx(harness.now_s + 0.25)
    harness.clock.advance(0.26)
    assert granted(harness.queue.advance(harness.now_s)) == ["a"]


def test_a_stream_that_gets_no_permit_in_time_is_refused_at_once() -> None:
    harness = limited_queue(0.5)
    (decision,) = harness.add(run_request("a"))
    assert isinstance(decision, Refused)
    assert decision.reason == "server_limited"
    assert decision.retry_after_s >= 2.0


def test_streams_go_to_the_engine_without_a_limit() -> None:
    harness = limited_queue(0.5, decode_engines=2)
    for number in range(3):
        (decision,) = harness.add(run_request(f"r{number}"))
        assert isinstance(decision, Granted)
        assert decision.decode.id == "d1"
        harness.finish_prefill(f"r{number}")


def test_every_grant_of_a_limited_engine_takes_a_permit() -> None:
    """A resumed stream and a retry ask for another grant."""
    harness = limited_queue(2.0)
    harness.clock.advance(0.5)
    assert granted(harness.add(run_request("a"))) == ["a"]
    harness.finish_prefill("a")
    harness.end("a")
    assert harness.add(run_request("a")) == []


def test_messages_without_limits_are_readable_by_earlier_builds() -> None:
    """Hosts of two builds exchange reports while a fleet is replaced."""
    limit = ServerLimit("e", "advice", 5, 3.5)
    for message, length in (
        (RunsHeld("s"), 2),
        (RunsHeld("s", (), True, 7), 4),
        (RunsHeld("s", (), False, 7, (limit,)), 5),
        (RunsNoted("h", 3), 4),
        (RunsNoted("h", 3, False, -1, (limit,)), 5),
        (RunsNoted("h", 3, False, -1, None), 5),
        (ServerLimitNotice("s", limit, True), 3),
    ):
        data = encode(Envelope(1, message))
        assert len(msgpack.unpackb(data)) == 2 + length
        assert decode(data).message == message


def test_no_role_changes_while_limits_bind() -> None:
    """One of two limited decode engines was ordered to prefill prompts."""

    async def scenario(harness: RelayHarness) -> None:
        for engine in harness.decode_engines:
            engine.extra_headers = {"Server-Limit": str(LIMIT_PER_S)}
        await send_load(harness, "tale", ROLE_PLAN_S)
        assert harness.decode_engines[0].role_commands == []
        assert harness.decode_engines[1].role_commands == []

    run_scenario(scenario, HOSTS)
