"""Tests that leaving and paused engines get no new work."""

import asyncio
from dataclasses import replace

import pytest
from kumquat_platform.dialect import PlatformDialect

from kumquat_core.clock import ManualClock
from kumquat_relay.cluster_state import ClusterState
from kumquat_relay.engine_connection import ResponseHead
from kumquat_relay.engine_health import EngineHealth
from kumquat_relay.engine_notices import MAX_PAUSE_S, EngineNotices
from kumquat_relay.engine_registry import EngineRegistry
from kumquat_relay.known_limits import KnownLimits
from kumquat_relay.protocols import EngineNotice
from kumquat_relay.queue_types import Granted
from kumquat_relay.store_version import StoreVersion

from .builders import QueueHarness, engine as engine_entry, granted, run_request
from .relay_harness import LLM, RelayHarness, run_scenario

BORN_MS = 1000
ENTRY = replace(engine_entry("e"), born_ms=BORN_MS)
LEAVING = {"Server-Leaving": "1"}


def is_usable(registry: EngineRegistry) -> bool:
    return [entry.id for entry in registry.usable("advice")] == ["e"]


def test_store_entry_does_not_undo_an_announced_shutdown() -> None:
    """The store still lists a leaving engine as ready for a while."""
    registry = EngineRegistry()
    registry.put(ENTRY, StoreVersion(1, 5))
    assert registry.announce_leaving("e", BORN_MS)
    assert not registry.announce_leaving("e", BORN_MS)
    registry.put(ENTRY, StoreVersion(1, 6))
    assert not is_usable(registry)


def test_new_incarnation_is_usable_after_an_announced_shutdown() -> None:
    registry = EngineRegistry()
    registry.put(ENTRY, StoreVersion(1, 5))
    registry.announce_leaving("e", BORN_MS)
    registry.put(replace(ENTRY, born_ms=2000), StoreVersion(1, 6))
    assert is_usable(registry)
    assert not registry.announce_leaving("e", BORN_MS)
    assert is_usable(registry)


def test_engine_may_announce_its_shutdown_before_it_is_listed() -> None:
    registry = EngineRegistry()
    registry.announce_leaving("e", 0)
    registry.put(ENTRY, StoreVersion(1, 5))
    assert not is_usable(registry)
    registry.put(replace(ENTRY, born_ms=2000), StoreVersion(1, 6))
    assert is_usable(registry)


@pytest.mark.parametrize("request_kind", ["plain", "stream", "prefill"])
def test_leaving_engine_gets_no_request_after_its_response(request_kind: str) -> None:
    """Otherwise requests reach it until the store lists it as leaving."""

    async def scenario(harness: RelayHarness) -> None:
        route = "once" if request_kind == "plain" else "tale"
        leaving = (
            harness.backend_servers
            if request_kind == "plain"
            else harness.decode_engines
        )
        engine = harness.prefill_engine if request_kind == "prefill" else leaving[0]
        engine.extra_headers = LEAVING
        # Otherwise the other server may be preferred for its low latency.
        harness.backend_servers[1].processing_s = 0.03
        for _ in range(12):
            assert await harness.request_status(route) == 200
        assert len(engine.received) == 1

    run_scenario(scenario)


def test_notice_of_leaving_in_a_refusal_is_applied() -> None:
    async def scenario(harness: RelayHarness) -> None:
        engine = harness.backend_servers[0]
        engine.extra_headers, engine.full = LEAVING, True
        for _ in range(12):
            assert await harness.request_status() == 200
        assert len(engine.received) == 1

    run_scenario(scenario)


def test_notice_of_leaving_in_a_reservation_response_is_applied() -> None:
    async def scenario(harness: RelayHarness) -> None:
        engine = harness.decode_engines[0]
        engine.extra_headers, engine.full = LEAVING, True
        harness.host._queue_owner._is_preferred_owner = lambda service: False
        # Slower than expected, so that the first engine is preferred.
        harness.decode_engines[1].gap_s = 0.1
        for _ in range(3):
            assert await harness.request_status("tale") == 200
        assert engine.received == []
        assert engine.calls.count("/api/hold-take") == 1
        assert harness.decode_engines[1].received

    run_scenario(scenario)


def test_owner_grants_no_engine_that_the_requesting_host_blocks() -> None:
    """An owner without the store may not know that an engine is leaving.

    It granted the only prefill engine 54 times in two seconds, although the
    hosts could not use it; a host gives up after four attempts.
    """

    async def scenario(harness: RelayHarness) -> None:
        # The owner has not received the notice of the prefill engine.
        harness.host._notices.remaining_pause_s = lambda engine_id: (
            20.0 if engine_id == "reader" else 0.0
        )
        assert await harness.request_status("tale", X_Token_Counts="2000,600") == 200
        assert harness.prefill_engine.received == []

    run_scenario(scenario)


def test_blocked_prefill_engine_is_not_granted_even_if_it_is_the_only_one() -> None:
    """Excluded engines are used if no other is left; blocked ones are not."""
    harness = QueueHarness()
    request = replace(run_request("a", prompt=2000), blocked_engines=("p0",))
    (decision,) = harness.add(request)
    assert isinstance(decision, Granted)
    assert decision.prefill is None


def test_notice_of_leaving_is_forwarded_once() -> None:
    clock = ManualClock(10.0)
    cluster_state = ClusterState(clock, EngineHealth(clock))
    cluster_state.registry.put(ENTRY, StoreVersion(1, 1))
    notices = EngineNotices(clock, cluster_state, KnownLimits(clock, cluster_state))
    forwarded: list[tuple[str, bool]] = []
    notices.on_notice = lambda entry, notice: forwarded.append(
        (entry.id, notice.leaving)
    )
    for _ in range(3):
        notices.apply(ENTRY, EngineNotice(leaving=True), 200)
    assert forwarded == [("e", True)]
    assert notices.blocked_engines("advice") == {"e"}


def test_retry_after_pauses_plain_requests() -> None:
    """Otherwise each request first goes to the engine that asked to pause."""

    async def scenario(harness: RelayHarness) -> None:
        engine = harness.backend_servers[0]
        engine.extra_headers, engine.full = {"Retry-After": "1.2"}, True
        for _ in range(12):
            assert await harness.request_status() == 200
        assert len(engine.received) == 1
        engine.full, engine.extra_headers = False, {}
        await asyncio.sleep(1.3)
        harness.backend_servers[1].processing_s = 0.05
        statuses = await asyncio.gather(*(harness.request_status() for _ in range(8)))
        assert statuses == [200] * 8
        assert len(engine.received) > 1

    run_scenario(scenario)


def test_retry_after_pauses_streams_and_prefills() -> None:
    async def scenario(harness: RelayHarness) -> None:
        for engine in (harness.prefill_engine, harness.decode_engines[0]):
            engine.extra_headers, engine.full = {"Retry-After": "20"}, True
        for _ in range(8):
            assert (
                await harness.request_status("tale", X_Token_Counts="2000,600") == 200
            )
        assert len(harness.prefill_engine.received) == 1
        assert len(harness.decode_engines[0].received) <= 1

    run_scenario(scenario)


def test_retry_after_of_all_servers_is_forwarded_to_the_caller_at_once() -> None:
    """Otherwise callers are told to retry while every server still pauses."""

    async def scenario(harness: RelayHarness) -> None:
        for engine in harness.backend_servers:
            engine.extra_headers, engine.full = {"Retry-After": "8"}, True
        assert await harness.request_status() == 503
        async with harness.send("once") as response:
            assert response.status == 503
            assert 7.0 < float(response.headers["Retry-After"]) <= 8.0
        assert all(len(engine.received) == 1 for engine in harness.backend_servers)

    run_scenario(scenario)


def test_request_waits_for_a_pause_that_ends_in_time() -> None:
    async def scenario(harness: RelayHarness) -> None:
        for engine in harness.backend_servers:
            engine.extra_headers, engine.full = {"Retry-After": "0.3"}, True
        assert await harness.request_status() == 503
        for engine in harness.backend_servers:
            engine.extra_headers, engine.full = {}, False
        assert await harness.request_status() == 200

    run_scenario(scenario)


@pytest.mark.parametrize("value", [b"soon", b"-4", b"inf", b"nan", b"Mon, 1 Jan"])
def test_invalid_retry_after_is_no_pause(value: bytes) -> None:
    head = ResponseHead(503, b"", ((b"Retry-After", value),))
    notice = PlatformDialect().notice(head, "e")
    assert notice.pause_s == 0.0
    assert notice.problem


@pytest.mark.parametrize("status", [200, 429, 500])
def test_retry_after_is_ignored_if_the_request_was_not_refused(status: int) -> None:
    head = ResponseHead(status, b"", ((b"Retry-After", b"5"),))
    assert PlatformDialect().notice(head, "e") == EngineNotice()


def test_retry_after_is_bounded_and_never_shortened() -> None:
    clock = ManualClock(10.0)
    cluster_state = ClusterState(clock, EngineHealth(clock))
    notices = EngineNotices(clock, cluster_state, KnownLimits(clock, cluster_state))
    notices.apply(ENTRY, EngineNotice(pause_s=1e9), 503)
    assert notices.remaining_pause_s("e") == MAX_PAUSE_S
    notices.apply(ENTRY, EngineNotice(pause_s=1.0), 503)
    assert notices.remaining_pause_s("e") == MAX_PAUSE_S
    notices.clear_pause("e")
    assert notices.remaining_pause_s("e") == 0.0


def test_retry_after_applies_only_to_the_host_that_received_it() -> None:
    harness = QueueHarness()
    harness.queue.block("h", "d0", harness.now_s + 5.0, harness.now_s)
    assert granted(harness.add(run_request("a"))) == []
    assert granted(harness.add(run_request("b"), "other")) == ["b"]
    harness.clock.advance(5.0)
    assert granted(harness.add(run_request("c"))) == ["c"]


def test_retry_after_is_forwarded_to_the_queue_owner() -> None:
    async def scenario(harness: RelayHarness) -> None:
        engine = harness.decode_engines[0]
        engine.extra_headers, engine.full = {"Retry-After": "9"}, True
        for _ in range(4):
            assert await harness.request_status("tale") == 200
        blocks = harness.host._queue_owner._owned_queue(LLM).queue._blocks_by_host_id
        assert "h1" not in blocks or set(blocks["h1"]) <= {engine.id}
        if engine.received:
            assert set(blocks["h1"]) == {engine.id}

    run_scenario(scenario)


def test_engine_whose_address_was_reused_gets_no_requests() -> None:
    """Prompts were prefilled for engines that had restarted.

    Their old entries remained until they expired, and the new processes
    rejected 40 requests with the old ids in two seconds.
    """

    async def scenario(harness: RelayHarness) -> None:
        replaced_engine = harness.decode_engines[0]
        harness.decode_engines[1].gap_s = 0.05
        replaced_engine.id = "other"
        harness.host._queue_owner._is_uncertain = lambda owned: False
        for _ in range(3):
            assert await harness.request_status("tale") == 200
        assert len(harness.prefill_engine.received) <= 4
        registry = harness.host._parts.cluster_state.registry
        assert "decode0" not in {entry.id for entry in registry.usable(LLM)}

    run_scenario(scenario)
