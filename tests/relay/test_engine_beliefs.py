"""Guards against wrong beliefs about engines and what they sent."""

from kumquat_core.clock import ManualClock
from kumquat_core.settings import Address
from kumquat_relay.engine_health import EngineHealth, Failure
from kumquat_relay.engine_registry import EngineRegistry
from kumquat_relay.event_stream import EventSplitter
from kumquat_relay.prefill_lapses import PrefillLapses

from .builders import engine


def test_an_engine_that_restarts_is_not_taken_for_the_old_one() -> None:
    registry = EngineRegistry()
    registry.put(engine("e"), 5)
    assert registry.remove("e", 6, now_s=100.0)
    assert not registry.put(engine("e"), 5)
    assert registry.get("e") is None
    assert registry.put(engine("e"), 7)


def test_entries_that_lapsed_with_the_store_may_return() -> None:
    registry = EngineRegistry()
    registry.put(engine("e"), 5)
    registry.store_returned(100.0)
    registry.remove("e", 6, now_s=100.5)
    assert list(registry.usable("advice"))
    registry.put(engine("e"), 7)
    assert registry.expire(103.0) == []
    registry.remove("e", 8, now_s=103.0)
    assert registry.get("e") is None


def test_an_entry_that_does_not_return_is_gone() -> None:
    registry = EngineRegistry()
    registry.put(engine("e"), 5)
    registry.store_returned(100.0)
    registry.remove("e", 6, now_s=100.5)
    assert registry.expire(101.0) == []
    assert registry.expire(102.5) == ["e"]


def test_error_answers_alone_do_not_avoid_an_engine() -> None:
    """One request in seven fails at a sound engine."""
    health = EngineHealth(ManualClock())
    for index in range(70):
        if index % 7 == 0:
            assert not health.failed("e", Failure.ERROR_ANSWER)
        else:
            health.succeeded("e")
    assert not health.is_avoided("e")


def test_an_avoided_engine_gets_one_trial_at_a_time() -> None:
    clock = ManualClock()
    health = EngineHealth(clock)
    assert health.failed("e", Failure.UNREACHABLE)
    assert health.is_avoided("e")
    clock.advance(0.8)
    assert not health.is_avoided("e")
    health.begin("e")
    assert health.is_avoided("e")
    assert health.succeeded("e")
    assert not health.is_avoided("e")


def test_results_that_lapse_are_not_named_for_a_while() -> None:
    clock = ManualClock()
    lapses = PrefillLapses(clock)
    address = Address("10.0.0.1", 80)
    assert not lapses.expected(address)
    lapses.note(address)
    assert lapses.expected(address)
    clock.advance(2.1)
    assert not lapses.expected(address)


def test_a_partial_event_is_not_passed_on() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert splitter.last_id == 1
    splitter.restart()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert splitter.events == 2
