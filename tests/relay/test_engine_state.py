"""Tests of the registry, health, prefill expiry and events of engines."""

from kumquat_core.clock import ManualClock
from kumquat_core.settings import Address
from kumquat_relay.engine_health import EngineHealth, Failure
from kumquat_relay.engine_registry import EngineRegistry
from kumquat_relay.event_stream import EventSplitter
from kumquat_relay.prefill_expiry import PrefillExpiry
from kumquat_relay.store_version import StoreVersion

from .builders import engine


def test_outdated_entry_of_a_removed_engine_is_ignored() -> None:
    registry = EngineRegistry()
    registry.put(engine("e"), StoreVersion(1, 5))
    assert registry.remove("e", StoreVersion(1, 6), now_s=100.0)
    assert not registry.put(engine("e"), StoreVersion(1, 5))
    assert registry.get("e") is None
    assert registry.put(engine("e"), StoreVersion(1, 7))


def test_removal_after_a_store_outage_is_deferred_until_the_entry_returns() -> None:
    registry = EngineRegistry()
    registry.put(engine("e"), StoreVersion(1, 5))
    registry.store_reconnected(100.0)
    registry.remove("e", StoreVersion(1, 6), now_s=100.5)
    assert list(registry.usable("advice"))
    registry.put(engine("e"), StoreVersion(1, 7))
    assert registry.expire(103.0) == []
    registry.remove("e", StoreVersion(1, 8), now_s=103.0)
    assert registry.get("e") is None


def test_deferred_removal_takes_effect_after_the_grace_period() -> None:
    registry = EngineRegistry()
    registry.put(engine("e"), StoreVersion(1, 5))
    registry.store_reconnected(100.0)
    registry.remove("e", StoreVersion(1, 6), now_s=100.5)
    assert registry.expire(101.0) == []
    assert registry.expire(102.5) == ["e"]


def test_error_responses_alone_do_not_make_an_engine_avoided() -> None:
    """A healthy engine fails one request in seven."""
    health = EngineHealth(ManualClock())
    for index in range(70):
        if index % 7 == 0:
            assert not health.record_failure("e", Failure.ERROR_ANSWER)
        else:
            health.record_success("e")
    assert not health.is_avoided("e")


def test_avoided_engine_gets_one_trial_request_at_a_time() -> None:
    clock = ManualClock()
    health = EngineHealth(clock)
    assert health.record_failure("e", Failure.UNREACHABLE)
    assert health.is_avoided("e")
    clock.advance(0.8)
    assert not health.is_avoided("e")
    health.record_send("e")
    assert health.is_avoided("e")
    assert health.record_success("e")
    assert not health.is_avoided("e")


def test_prefill_results_of_an_address_are_unused_after_one_expired() -> None:
    clock = ManualClock()
    prefill_expiry = PrefillExpiry(clock)
    address = Address("10.0.0.1", 80)
    assert not prefill_expiry.likely_expired(address)
    prefill_expiry.record_expired(address)
    assert prefill_expiry.likely_expired(address)
    clock.advance(2.1)
    assert not prefill_expiry.likely_expired(address)


def test_partial_event_is_not_forwarded() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert splitter.last_id == 1
    splitter.begin_run(continues=True)
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert splitter.events == 2
